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

// TestRestartedEndpointDoesNotTakeItsCrashBack guards against an endpoint that has crashed, starts again under
// its ID and answers: that says nothing for the request that crashed it. One that has not crashed does,
// and ends a wrong block.
func TestRestartedEndpointDoesNotTakeItsCrashBack(t *testing.T) {
	for _, restarted := range []bool{true, false} {
		t.Run(fmt.Sprintf("Restarted=%v", restarted), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const hosts = 3
				f := startFleet(t, hosts, 10)
				defer f.end(t)
				time.Sleep(5 * time.Second)
				call := &lavrelay.Call{ID: "bad", Traits: lavcrash.NewTraits("s", 1, nil)}
				crashed := []lavconfig.Endpoint{f.endpoint("e0"), f.endpoint("e1")}
				for _, e := range crashed {
					f.host(0).crashes.reportCrash(e, call.Traits)
					time.Sleep(time.Second)
				}
				f.host(1).crashes.Answered(crashed[0], time.Now())
				// It writes its entry half a heartbeat after its start.
				time.Sleep(600 * time.Millisecond)
				if restarted {
					entry := standin.EndpointEntry("e0", 0, "s", crashed[0].Address.String(), crashed[0].FailureDomain, "ready")
					entry.Value = []byte(standin.StartedEndpointValue("s", crashed[0].Address.String(), crashed[0].FailureDomain, "ready", 1, 1))
					f.store.PutEntry(entry)
				}
				time.Sleep(10 * time.Second)
				for i := range hosts {
					_, blocked := f.host(i).crashes.Blocked(call)
					lavassert.Equal(t, fmt.Sprintf("host %d refuses the request", i), blocked, restarted)
				}
			})
		})
	}
}

// endpoint returns the endpoint with an ID as the first host knows it.
func (f *emulatedFleet) endpoint(id string) lavconfig.Endpoint {
	s := f.host(0).state
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.endpoints[id]
}
