package lavhost

import (
	"fmt"
	"testing"
	"time"

	"lavenderrack.example/lavenderrack/lavassert"
	"lavenderrack.example/lavenderrack/lavfleet"
	"lavenderrack.example/lavenderrack/platform"
	"lavenderrack.example/lavenderrack/platform/standin"
)

// coldShareRate is the rate that the endpoint declares for its cold phase, in requests per second.
const coldShareRate = 18

// coldShareLimit is how many requests all hosts together may send it in any second.
const coldShareLimit = coldShareRate*coldFactor + coldSlack

// withColdShareLoad starts a fleet whose hosts send as many requests to an endpoint that may be cold
// as their shares allow.
func withColdShareLoad(t *testing.T, hosts int, body func(t *testing.T, l *shareLoad)) {
	t.Helper()
	bounds := func(b *platform.Bounds) {
		b.RetryWindow, b.ColdFactor, b.ColdSlack = retryWindow, coldFactor, coldSlack
	}
	send := func(h *Host) bool {
		for _, life := range h.fleet.KnownEndpoints() {
			if run := h.fleet.Begin([]lavfleet.Allocation{{Life: life}}); run != nil {
				run.End(lavfleet.VerdictNone)
				return true
			}
		}
		return false
	}
	withShareLoad(t, hosts, 0, 50*time.Millisecond, bounds, send, func(t *testing.T, l *shareLoad) {
		l.fleet.store.Put(platform.KeyConfig, standin.ColdConfigValue(2, "s", coldShareRate))
		time.Sleep(shareSettle)
		body(t, l)
	})
}

// TestColdSharesOfHostsThatAreApart guards against hosts that together send more to a cold endpoint
// than it accepts since each divides that by the hosts that it can hear.
func TestColdSharesOfHostsThatAreApart(t *testing.T) {
	t.Parallel()
	const phase = 4 * time.Second
	for _, hosts := range []int{14, 28, 60} {
		for _, share := range []float64{0.5, 1} {
			t.Run(fmt.Sprintf("%d/%v", hosts, share), func(t *testing.T) {
				t.Parallel()
				withColdShareLoad(t, hosts, func(t *testing.T, l *shareLoad) {
					l.play(phase)
					l.isolate(share, true)
					l.play(2 * phase)
					l.isolate(share, false)
					l.play(phase)
					t.Logf("at most %d requests in a second, %v accepted", l.most(time.Second), coldShareLimit)
					lavassert.AtMost(t, "requests of all hosts in a second", float64(l.most(time.Second)), coldShareLimit)
				})
			})
		}
	}
}
