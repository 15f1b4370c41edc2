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

// TestExtraAnswerIsNoAnswer guards against bytes after a complete answer on a kept connection that are taken
// for the answer to the next request there.
func TestExtraAnswerIsNoAnswer(t *testing.T) {
	for name, extra := range standin.ExtraAnswers() {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				first := standin.Respond(http.StatusOK, "first")
				b := newFixture(standin.InTurn(first, standin.RespondAfter(extra, "ok")), standin.Respond(http.StatusOK, "ok"))
				lavassert.Equal(t, "first answer", b.serve(context.Background(), b.call(lavconfig.KindSafe)).Body.String(), "first")
				out := b.serve(context.Background(), b.call(lavconfig.KindSafe))
				lavassert.True(t, "connection not aborted", !out.aborted)
				lavassert.Equal(t, "status", out.Code, http.StatusOK)
				lavassert.Equal(t, "body", out.Body.String(), "ok")
				lavassert.Equal(t, "one stamp", standin.ServerStamp(out.Header()), "s")
				b.closePool()
			})
		})
	}
}
