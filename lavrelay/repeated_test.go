package lavrelay

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"testing/synctest"

	"lavenderrack.example/lavenderrack/lavassert"
	"lavenderrack.example/lavenderrack/lavconfig"
	"lavenderrack.example/lavenderrack/platform/standin"
)

// repeatRefusal returns a handler that refuses the first request that it gets, and writes what again
// returns before it answers the next one on the same connection.
func repeatRefusal(again func(refused *http.Request) string, answer standin.Handler) standin.Handler {
	var kept net.Conn
	var refused *http.Request
	return func(c net.Conn, r *http.Request) {
		switch {
		case refused == nil:
			kept, refused = c, r
			standin.Refuse(http.StatusServiceUnavailable)(c, r)
			return
		case kept == c:
			_, _ = io.WriteString(c, again(refused))
		}
		answer(c, r)
	}
}

// TestRepeatedRefusalIsNotBelieved guards against a refusal that an endpoint writes once more on a kept
// connection, and that is taken for the answer to the next request there.
func TestRepeatedRefusalIsNotBelieved(t *testing.T) {
	kinds := []struct {
		name   string
		kind   lavconfig.RouteKind
		answer standin.Handler
		body   string
	}{
		{"Safe", lavconfig.KindSafe, standin.Respond(http.StatusOK, "ok"), "ok"},
		{"Unsafe", lavconfig.KindUnsafe, standin.Respond(http.StatusOK, "ok"), "ok"},
		{"Stream", lavconfig.KindStreaming, standin.Stream(standin.StreamEvents), standin.EventsUpTo(standin.StreamEvents)},
	}
	repeats := map[string]func(*http.Request) string{
		"SameID":    func(r *http.Request) string { return standin.RefusalOf(standin.RequestID(r.Header)) },
		"WithoutID": func(*http.Request) string { return standin.RefusalOf("") },
	}
	for _, test := range kinds {
		for name, again := range repeats {
			t.Run(test.name+name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					b := newFixture(repeatRefusal(again, test.answer))
					first := b.call(lavconfig.KindSafe)
					first.ID, first.Header = "first", standin.RequestHeaders("first")
					lavassert.Equal(t, "status of the first call", b.serve(context.Background(), first).Code, http.StatusServiceUnavailable)
					out := b.serve(context.Background(), b.call(test.kind))
					lavassert.Equal(t, "status", out.Code, http.StatusOK)
					lavassert.Equal(t, "body", out.Body.String(), test.body)
					lavassert.Equal(t, "arrivals", len(b.endpoints.Requests()), 2)
					b.relay.pool.Sweep(func(netip.AddrPort) bool { return false })
				})
			})
		}
	}
}

// TestRepeatedRefusalIsNoAnswerToAnOrder guards against a repeated refusal that is taken for the answer to
// an order, or to a question for a report.
func TestRepeatedRefusalIsNoAnswerToAnOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		again := func(r *http.Request) string { return standin.RefusalOf(standin.RequestID(r.Header)) }
		b := newFixture(repeatRefusal(again, standin.Respond(http.StatusOK, "{}")))
		c := b.call(lavconfig.KindSafe)
		b.serve(context.Background(), c)
		snapshot, _ := b.fleet.Snapshot("s", func(lavconfig.Incarnation) bool { return false })
		orders := &reservationSet{task: &task{relay: b.relay, call: c}}
		status, err := orders.sendOrder(context.Background(), snapshot.Endpoints[0], []byte("{}"))
		lavassert.NoError(t, err)
		lavassert.Equal(t, "status of the order", status, http.StatusOK)
		b.relay.pool.Sweep(func(netip.AddrPort) bool { return false })
	})
}
