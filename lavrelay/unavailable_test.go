package lavrelay

import (
	"context"
	"net/http"
	"net/netip"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"lavenderrack.example/lavenderrack/lavassert"
	"lavenderrack.example/lavenderrack/lavconfig"
	"lavenderrack.example/lavenderrack/platform/standin"
)

// arrivalsAt returns how many requests the endpoint with a number, counted from 1, has received.
func (b *fixture) arrivalsAt(endpoint uint16) int {
	count := 0
	for _, r := range b.endpoints.Requests() {
		if r.At.Port() == endpoint {
			count++
		}
	}
	return count
}

// serveMany serves a number of calls, one after the other.
func (b *fixture) serveMany(kind lavconfig.RouteKind, calls int) {
	for range calls {
		b.serve(context.Background(), b.call(kind))
	}
}

// assertRefusedAtOnce checks that a call is refused at once, and that its caller may return after a
// time between two numbers of seconds.
func (b *fixture) assertRefusedAtOnce(t *testing.T, least, most float64) {
	t.Helper()
	start := time.Now()
	out := b.serve(context.Background(), b.call(lavconfig.KindUnsafe))
	lavassert.Equal(t, "status", out.Code, http.StatusServiceUnavailable)
	lavassert.AtMost(t, "time to the refusal", time.Since(start), 50*time.Millisecond)
	retryAfter, err := strconv.ParseFloat(out.Header().Get("Retry-After"), 64)
	lavassert.NoError(t, err)
	lavassert.AtLeast(t, "seconds until the caller may return", retryAfter, least)
	lavassert.AtMost(t, "seconds until the caller may return", retryAfter, most)
}

// sweep closes the connections to all endpoints.
func (b *fixture) sweep() {
	b.relay.pool.Sweep(func(netip.AddrPort) bool { return false })
	time.Sleep(time.Second)
}

// TestLeavingEndpointGetsNoRequests guards against requests to an endpoint that has stated in an
// answer that it will leave.
func TestLeavingEndpointGetsNoRequests(t *testing.T) {
	sound := standin.Stream(standin.StreamEvents)
	tests := []struct {
		name    string
		kind    lavconfig.RouteKind
		leaving standin.Handler
		other   standin.Handler
	}{
		{"Answer", lavconfig.KindSafe, standin.RespondLeaving(200, "ok"), standin.Respond(200, "ok")},
		{"Failure", lavconfig.KindUnsafe, standin.RespondLeaving(500, "no"), standin.Respond(200, "ok")},
		{"Refusal", lavconfig.KindUnsafe, standin.RefuseLeaving(503), standin.Respond(200, "ok")},
		{"Stream", lavconfig.KindStreaming, standin.LeavingStream(standin.StreamEvents), sound},
		{"StreamCutOff", lavconfig.KindStreaming, standin.LeavingStream(1), sound},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newFixture(test.leaving, test.other)
				b.serveMany(test.kind, 5)
				time.Sleep(time.Minute)
				b.serveMany(test.kind, 5)
				lavassert.Equal(t, "requests to the endpoint", b.arrivalsAt(1), 1)
				b.sweep()
			})
		})
	}
	t.Run("OtherEndpointAtTheAddress", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			b := newFixture(standin.RespondLeaving(http.StatusMisdirectedRequest, ""), standin.Respond(200, "ok"))
			b.serveMany(lavconfig.KindSafe, 1)
			b.endpoints.Set(netip.AddrPortFrom(netip.MustParseAddr("10.0.0.1"), 1), standin.Respond(200, "ok"))
			time.Sleep(time.Minute)
			b.serveMany(lavconfig.KindSafe, 1)
			lavassert.Equal(t, "requests to the endpoint", b.arrivalsAt(1), 2)
			b.sweep()
		})
	})
}

// TestEndpointIsLeftAlone guards against requests to an endpoint that has asked for none.
func TestEndpointIsLeftAlone(t *testing.T) {
	t.Run("UntilTheTimeIsOver", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			b := newFixture(standin.RefuseFor(10*time.Second), standin.Respond(200, "ok"))
			for range 9 {
				b.serveMany(lavconfig.KindUnsafe, 1)
				time.Sleep(time.Second)
			}
			lavassert.Equal(t, "requests while it wants none", b.arrivalsAt(1), 1)
			time.Sleep(2 * time.Second)
			b.serveMany(lavconfig.KindUnsafe, 1)
			lavassert.Equal(t, "requests afterwards", b.arrivalsAt(1), 2)
			b.sweep()
		})
	})
	t.Run("CallerIsRefusedAtOnce", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			b := newFixture(standin.RefuseFor(10 * time.Second))
			b.serveMany(lavconfig.KindUnsafe, 1)
			time.Sleep(time.Second)
			b.assertRefusedAtOnce(t, 9, 20)
			b.sweep()
		})
	})
	t.Run("CallerWithTimeWaits", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			b := newFixture(standin.RefuseFor(100 * time.Millisecond))
			b.serveMany(lavconfig.KindUnsafe, 1)
			b.endpoints.Set(netip.AddrPortFrom(netip.MustParseAddr("10.0.0.1"), 1), standin.Respond(200, "ok"))
			out := b.serve(context.Background(), b.call(lavconfig.KindUnsafe))
			lavassert.Equal(t, "status", out.Code, http.StatusOK)
			b.sweep()
		})
	})
}
