package lavrelay

import (
	"context"
	"net/http"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"lavenderrack.example/lavenderrack/lavassert"
	"lavenderrack.example/lavenderrack/lavconfig"
	"lavenderrack.example/lavenderrack/lavfleet"
	"lavenderrack.example/lavenderrack/lavpermit"
	"lavenderrack.example/lavenderrack/platform/standin"
)

// grantPermits answers the questions of the fixture's host with a number of permits for each
// endpoint, at a permit an interval.
func (b *fixture) grantPermits(permits int, interval time.Duration) {
	for _, ask := range b.fleet.PermitAsks(16) {
		b.fleet.AddPermits(ask.Life, time.Now(), lavpermit.Grant{Permits: permits, Interval: interval, AskAfter: interval})
	}
}

// firstEndpoint is the address of the first endpoint of a fixture.
var firstEndpoint = netip.AddrPortFrom(netip.MustParseAddr("10.0.0.1"), 1)

// TestLimitedEndpointNeedsPermits guards against requests to an endpoint that has stated a limit
// which no permit covers, on all ways there.
func TestLimitedEndpointNeedsPermits(t *testing.T) {
	limited := standin.RespondLimited(200, "ok", 1)
	tests := []struct {
		name         string
		kind         lavconfig.RouteKind
		first, other standin.Handler
		// arrivals is how many requests reach the limited endpoint.
		arrivals int
	}{
		{"Safe", lavconfig.KindSafe, limited, standin.Respond(200, "ok"), 1},
		{"Unsafe", lavconfig.KindUnsafe, limited, standin.Respond(200, "ok"), 1},
		{"Failure", lavconfig.KindUnsafe, standin.RespondLimited(500, "no", 1), standin.Respond(200, "ok"), 1},
		{"RetryElsewhere", lavconfig.KindSafe, limited, standin.CloseConnection, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newFixture(test.first, test.other)
				b.serveMany(test.kind, 5)
				time.Sleep(time.Minute)
				b.serveMany(test.kind, 5)
				lavassert.Equal(t, "requests to the endpoint", b.arrivalsAt(1), test.arrivals)
				b.sweep()
			})
		})
	}
	t.Run("WithPermits", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			b := newFixture(limited, standin.Respond(200, "ok"))
			b.serveMany(lavconfig.KindSafe, 2)
			b.grantPermits(2, time.Second)
			b.serveMany(lavconfig.KindSafe, 5)
			lavassert.Equal(t, "requests to the endpoint", b.arrivalsAt(1), 3)
			b.sweep()
		})
	})
}

// TestLimitEnds guards against a limit that holds for good, and against one that anything ends but
// a success which was sent for after the statement.
func TestLimitEnds(t *testing.T) {
	tests := []struct {
		name string
		next standin.Handler
		ends bool
	}{
		{"Success", standin.Respond(200, "ok"), true},
		{"Failure", standin.Respond(500, "no"), false},
		{"OtherEndpointAtTheAddress", standin.Respond(http.StatusMisdirectedRequest, ""), false},
		{"ConnectionLost", standin.CloseConnection, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newFixture(standin.RespondLimited(200, "ok", 1), standin.Respond(200, "ok"))
				b.serveMany(lavconfig.KindSafe, 2)
				b.endpoints.Set(firstEndpoint, test.next)
				time.Sleep(time.Millisecond)
				b.grantPermits(1, time.Second)
				b.serveMany(lavconfig.KindUnsafe, 1)
				time.Sleep(time.Minute)
				_, limits := b.fleet.Statements()
				lavassert.Equal(t, "limit has ended", len(limits) == 0, test.ends)
				b.sweep()
			})
		})
	}
}

// TestCallerOfLimitedEndpoints guards against callers that are held for a permit which can't come in
// time, or refused though one can.
func TestCallerOfLimitedEndpoints(t *testing.T) {
	t.Run("IsRefusedAtOnce", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			b := newFixture(standin.RespondLimited(200, "ok", 0.1))
			b.serveMany(lavconfig.KindUnsafe, 2)
			b.grantPermits(0, 10*time.Second)
			b.assertRefusedAtOnce(t, 10, 20)
			b.sweep()
		})
	})
	t.Run("WaitsForAPermit", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			b := newFixture(standin.RespondLimited(200, "ok", 20))
			b.serveMany(lavconfig.KindUnsafe, 1)
			go func() {
				time.Sleep(80 * time.Millisecond)
				b.grantPermits(1, 50*time.Millisecond)
			}()
			out := b.serve(context.Background(), b.call(lavconfig.KindUnsafe))
			lavassert.Equal(t, "status", out.Code, http.StatusOK)
			b.sweep()
		})
	})
}

// TestWaitingRequestsKeepTheirOrder guards against a permit that a later request gets before one that
// waits.
func TestWaitingRequestsKeepTheirOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newFixture(standin.RespondLimited(200, "ok", 40))
		b.serveMany(lavconfig.KindUnsafe, 1)
		var order []int
		done := make(chan int, 3)
		for i := range 3 {
			go func() {
				time.Sleep(time.Duration(i) * 10 * time.Millisecond)
				if b.serve(context.Background(), b.call(lavconfig.KindUnsafe)).Code == http.StatusOK {
					done <- i
				}
			}()
		}
		for range 3 {
			time.Sleep(25 * time.Millisecond)
			b.grantPermits(1, 20*time.Millisecond)
			time.Sleep(20 * time.Millisecond)
			select {
			case i := <-done:
				order = append(order, i)
			default:
			}
		}
		lavassert.Equal(t, "order of the answers", order, []int{0, 1, 2})
		time.Sleep(time.Second)
		b.sweep()
	})
}

// recordingPeers records what it is told.
type recordingPeers struct {
	noPeers
	limits []lavfleet.Limit
}

func (p *recordingPeers) TellLimit(_ lavconfig.Incarnation, l lavfleet.Limit) {
	p.limits = append(p.limits, l)
}

// TestPeersAreToldOfChangedLimits guards against a message to all hosts for each response.
func TestPeersAreToldOfChangedLimits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newFixture(standin.RespondLimited(200, "ok", 2))
		told := &recordingPeers{}
		b.relay.SetPeers(told)
		for _, next := range []standin.Handler{nil, standin.RespondLimited(200, "ok", 3), standin.Respond(200, "ok"), nil} {
			if next != nil {
				b.endpoints.Set(firstEndpoint, next)
				b.relay.pool.Sweep(func(netip.AddrPort) bool { return false })
			}
			for range 3 {
				b.serveMany(lavconfig.KindSafe, 1)
				b.grantPermits(1, 100*time.Millisecond)
				time.Sleep(500 * time.Millisecond)
			}
		}
		var perSecond []float64
		for _, l := range told.limits {
			perSecond = append(perSecond, l.PerSecond)
		}
		lavassert.Equal(t, "limits that peers were told of", perSecond, []float64{2, 3, 0})
		b.sweep()
	})
}
