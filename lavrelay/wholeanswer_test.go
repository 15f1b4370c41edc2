package lavrelay

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"

	"lavenderrack.example/lavenderrack/lavassert"
	"lavenderrack.example/lavenderrack/lavconfig"
	"lavenderrack.example/lavenderrack/platform/standin"
)

// TestFaultyAnswerIsNoSuccess guards against an answer of no clear length or status, or with other bytes in
// its head, that reaches the caller as a success.
func TestFaultyAnswerIsNoSuccess(t *testing.T) { assertAllFaulty(t, standin.FaultyAnswers()) }

// assertAllFaulty checks that no answer is a success on any route.
func assertAllFaulty(t *testing.T, answers map[string]string) {
	t.Helper()
	for name, answer := range answers {
		t.Run(name, func(t *testing.T) {
			faulty := standin.RespondRaw(answer, true)
			t.Run("Unsafe", func(t *testing.T) { assertFaulty(t, lavconfig.KindUnsafe, faulty) })
			t.Run("Safe", func(t *testing.T) { assertFaulty(t, lavconfig.KindSafe, faulty) })
			t.Run("Stream", func(t *testing.T) {
				assertFaulty(t, lavconfig.KindStreaming, standin.RespondRaw(standin.WithEvent(answer), true))
			})
		})
	}
}

// assertFaulty checks that a call whose endpoint gives a faulty answer fails, and runs once.
func assertFaulty(t *testing.T, kind lavconfig.RouteKind, faulty standin.Handler) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		b := newFixture(faulty)
		c := b.call(kind)
		c.Route.Resumable = false
		out := b.serve(context.Background(), c)
		lavassert.True(t, "aborted or refused", out.aborted || out.Code == http.StatusBadGateway)
		lavassert.Equal(t, "arrivals", len(b.endpoints.Requests()), 1)
		b.assertNoLoad(t)
		b.closePool()
	})
}
