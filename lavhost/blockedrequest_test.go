package lavhost

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"lavenderrack.example/lavenderrack/lavassert"
	"lavenderrack.example/lavenderrack/lavconfig"
	"lavenderrack.example/lavenderrack/lavcrash"
	"lavenderrack.example/lavenderrack/lavrelay"
	"lavenderrack.example/lavenderrack/platform/standin"
)

// TestBlockedRequestStaysBlocked guards against hosts that run a request which crashes endpoints, though
// the other hosts refuse it: hosts that start, or that have missed the broadcast.
func TestBlockedRequestStaysBlocked(t *testing.T) {
	const hosts = 6
	// knownWithin is how long after a disturbance all hosts must refuse the request.
	const knownWithin = 3 * time.Second
	var copied *standin.StoreCopy
	tests := []struct {
		name          string
		before, after func(f *emulatedFleet)
	}{
		{"Undisturbed", nil, nil},
		{"HostsRestart", nil, func(f *emulatedFleet) { f.restart(1, 3) }},
		{"OneAfterTheOther", nil, func(f *emulatedFleet) {
			for i := range hosts {
				f.restart(i)
				time.Sleep(knownWithin)
			}
		}},
		{"AllHostsRestart", nil, func(f *emulatedFleet) { f.restart(allHosts(hosts)...) }},
		{"HostMissesTheBroadcast", func(f *emulatedFleet) { f.isolate(2, true) }, nil},
		{"StoreFromOlderCopy", nil, func(f *emulatedFleet) {
			f.store.Restore(copied)
			time.Sleep(2 * contactTime)
			f.restart(allHosts(hosts)...)
		}},
		{"HostRestartsWhileStoreIsAway", nil, func(f *emulatedFleet) {
			f.store.SetMode(standin.ModeBusy)
			f.restart(0)
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := startFleet(t, hosts, 10)
				defer f.end(t)
				time.Sleep(5 * time.Second)
				copied = f.store.Copy()
				if test.before != nil {
					test.before(f)
					time.Sleep(knownWithin)
				}
				call := &lavrelay.Call{ID: "bad", Traits: lavcrash.NewTraits("s", 1, nil)}
				for i := range lavcrash.RequestCrashes {
					f.host(4).crashes.reportCrash(lavconfig.Endpoint{ID: fmt.Sprint("e", i)}, call.Traits)
					time.Sleep(time.Second)
				}
				if test.after != nil {
					test.after(f)
				}
				time.Sleep(knownWithin)
				for i := range hosts {
					_, blocked := f.host(i).crashes.Blocked(call)
					lavassert.True(t, fmt.Sprintf("host %d refuses the request", i), blocked)
				}
				f.isolate(2, false)
				time.Sleep(time.Second)
			})
		})
	}
}
