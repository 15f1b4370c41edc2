package lavrelay

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"

	"lavenderrack.example/lavenderrack/lavassert"
	"lavenderrack.example/lavenderrack/lavconfig"
	"lavenderrack.example/lavenderrack/platform/standin"
)

// TestRefusalThatDoesNotSaySoIsNoPromise guards against a status that callers take for the promise that a
// request has not run, though its endpoint doesn't state that.
func TestRefusalThatDoesNotSaySoIsNoPromise(t *testing.T) {
	for _, status := range []int{http.StatusRequestTimeout, http.StatusTooManyRequests, http.StatusServiceUnavailable} {
		for _, kind := range []lavconfig.RouteKind{lavconfig.KindUnsafe, lavconfig.KindStreaming} {
			t.Run(fmt.Sprint(status, kind), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					b := newFixture(standin.Respond(status, "no"), standin.Respond(http.StatusOK, "ok"))
					c := b.call(kind)
					c.Route.Resumable = false
					out := b.serve(context.Background(), c)
					lavassert.Equal(t, "status", out.Code, http.StatusBadGateway)
					lavassert.Equal(t, "arrivals", len(b.endpoints.Requests()), 1)
					b.assertNoLoad(t)
					b.closePool()
				})
			})
		}
	}
}
