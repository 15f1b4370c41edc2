package lavhost

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"lavenderrack.example/lavenderrack/platform"
	"lavenderrack.example/lavenderrack/platform/standin"
)

// shareLoad has the hosts of a fleet send as much as their shares of a bound allow, and records it.
type shareLoad struct {
	fleet *emulatedFleet
	// send sends once from a host if its share allows it.
	send func(h *Host) bool
	sent []time.Time
	// pause is the time between two tries of a host.
	pause time.Duration
}

// shareSettle is more than the time after which hosts may use their shares.
const shareSettle = 2 * retryWindow

// withShareLoad starts a fleet of which the last hosts are not yet started.
func withShareLoad(t *testing.T, hosts, later int, pause time.Duration, bounds func(*platform.Bounds), send func(*Host) bool, body func(t *testing.T, l *shareLoad)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		settings := func(i int, domain string) platform.Settings {
			s := emulatedSettings(i, domain)
			bounds(&s.Bounds)
			return s
		}
		store := standin.NewStore()
		store.PutEntry(standin.EndpointEntry("e0", 0, "s", "10.100.0.1:80", emulatedDomain(0), "ready"))
		f := startSomeOfFleet(t, hosts, later, store, noEndpoint, settings)
		defer f.end(t)
		l := &shareLoad{fleet: f, send: send, pause: pause}
		time.Sleep(shareSettle)
		body(t, l)
		// No connection is still being opened as the hosts end.
		l.isolate(1, false)
		l.cutOffFromStore(1, false)
		time.Sleep(time.Second)
	})
}

// play lets the hosts send for a time.
func (l *shareLoad) play(d time.Duration) {
	for until := time.Now().Add(d); time.Now().Before(until); time.Sleep(l.pause) {
		for i := range l.fleet.hosts {
			for h := l.fleet.host(i); h != nil && l.send(h); {
				l.sent = append(l.sent, time.Now())
			}
		}
	}
}

// most returns how often all hosts have sent at most in any window.
func (l *shareLoad) most(window time.Duration) int {
	most := 0
	for i, at := range l.sent {
		end, _ := slices.BinarySearchFunc(l.sent, at.Add(window), time.Time.Compare)
		most = max(most, end-i)
	}
	return most
}

// some returns a share of the hosts.
func (l *shareLoad) some(share float64) []int {
	return allHosts(int(share * float64(len(l.fleet.hosts))))
}

// isolate cuts a share of the hosts off from all other hosts, or ends that.
func (l *shareLoad) isolate(share float64, isolated bool) {
	for _, i := range l.some(share) {
		l.fleet.isolate(i, isolated)
	}
}

// cutOffFromStore cuts a share of the hosts off from the store, or ends that.
func (l *shareLoad) cutOffFromStore(share float64, cut bool) {
	for _, i := range l.some(share) {
		l.fleet.network.SetPartitioned(emulatedHost(i), "store", cut)
	}
}
