package lavrelay

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"

	"lavenderrack.example/lavenderrack/lavassert"
	"lavenderrack.example/lavenderrack/lavconfig"
	"lavenderrack.example/lavenderrack/platform/standin"

	"github.com/uber-go/tally/v4"
)

// TestAnswerWithoutIDOrStampDoesNotReachCallers guards against wrong bytes that tell a caller that a payment was done, failed or never ran.
func TestAnswerWithoutIDOrStampDoesNotReachCallers(t *testing.T) {
	responses := map[string]standin.Identity{
		"Anonymous":    {},
		"WithoutID":    {Stamped: true},
		"WithoutStamp": {Named: true},
	}
	whole := func(h standin.Handler) standin.Handler { return h }
	for name, identity := range responses {
		t.Run(name, func(t *testing.T) { assertIdentityIsNone(t, identity, whole) })
		t.Run(name+"InBytes", func(t *testing.T) { assertIdentityIsNone(t, identity, standin.InBytes) })
	}
}

// assertIdentityIsNone checks that no answer with an identity counts, sent in a way.
func assertIdentityIsNone(t *testing.T, identity standin.Identity, sent func(standin.Handler) standin.Handler) {
	const body = "bad"
	respond := func(status int, body string, headers ...string) standin.Handler {
		return sent(standin.RespondAs(identity, status, body, headers...))
	}
	t.Run("UnsafeSuccess", func(t *testing.T) {
		assertLost(t, lavconfig.KindUnsafe, respond(http.StatusOK, body))
	})
	t.Run("StreamSuccess", func(t *testing.T) {
		assertLost(t, lavconfig.KindStreaming, respond(http.StatusOK, standin.EventsUpTo(2), standin.EventsHeader))
	})
	t.Run("Retried", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			b := newFixture(respond(http.StatusOK, body), standin.Respond(http.StatusOK, "ok"))
			out := b.serve(context.Background(), b.call(lavconfig.KindSafe))
			lavassert.Equal(t, "status", out.Code, http.StatusOK)
			lavassert.Equal(t, "body", out.Body.String(), "ok")
			b.closePool()
		})
	})
	if identity.Named {
		return
	}
	t.Run("UnsafeRefusal", func(t *testing.T) {
		assertLost(t, lavconfig.KindUnsafe, respond(http.StatusServiceUnavailable, "", standin.NotRunHeader))
	})
	t.Run("UnsafeFailure", func(t *testing.T) {
		assertLost(t, lavconfig.KindUnsafe, respond(http.StatusInternalServerError, body))
	})
}

// assertLost checks that a call that may run once ends with a status that promises nothing.
func assertLost(t *testing.T, kind lavconfig.RouteKind, faulty standin.Handler) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		b := newFixture(faulty, standin.Respond(http.StatusOK, "ok"))
		scope := tally.NewTestScope("", nil)
		b.relay.metrics = newMetrics(scope)
		c := b.call(kind)
		c.Route.Resumable = false
		out := b.serve(context.Background(), c)
		lavassert.Equal(t, "status", out.Code, http.StatusBadGateway)
		lavassert.Equal(t, "stamp", standin.ServerStamp(out.Header()), "")
		lavassert.Equal(t, "arrivals", len(b.endpoints.Requests()), 1)
		lavassert.Equal(t, "counted", scope.Snapshot().Counters()["endpoints.unproven_answers+"].Value(), 1)
		b.closePool()
	})
}
