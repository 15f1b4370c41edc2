package lavrelay

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"lavenderrack.example/lavenderrack/lavassert"
	"lavenderrack.example/lavenderrack/lavconfig"
	"lavenderrack.example/lavenderrack/lavconn"
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

// lateExtra is long after an answer and long before the next request.
const lateExtra = 10 * time.Millisecond

// TestLateExtraAnswerOnSocketIsNoAnswer guards against the same bytes on a TCP connection that lies idle.
func TestLateExtraAnswerOnSocketIsNoAnswer(t *testing.T) {
	for name, extra := range standin.ExtraAnswers() {
		t.Run(name, func(t *testing.T) {
			first := standin.Respond(http.StatusOK, "first")
			late := func(c net.Conn, r *http.Request) {
				first(c, r)
				time.AfterFunc(lateExtra, func() { _, _ = io.WriteString(c, extra) })
			}
			b := newFixtureNow(standin.InTurn(late, standin.Respond(http.StatusOK, "ok")))
			b.relay.pool = lavconn.New(b.endpoints.DialSocket, 2)
			lavassert.Equal(t, "first answer", b.serve(context.Background(), b.call(lavconfig.KindSafe)).Body.String(), "first")
			time.Sleep(5 * lateExtra)
			out := b.serve(context.Background(), b.call(lavconfig.KindSafe))
			lavassert.Equal(t, "status", out.Code, http.StatusOK)
			lavassert.Equal(t, "body", out.Body.String(), "ok")
			b.closePool()
		})
	}
}

// TestExtraAnswerToACallWithoutID guards against an answer on a kept connection that names no request, and that is
// taken for the answer to one without an ID.
func TestExtraAnswerToACallWithoutID(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		used := make(map[net.Conn]bool)
		b := newFixture(func(c net.Conn, r *http.Request) {
			if used[c] {
				standin.Respond(http.StatusOK, "extra")(c, r)
			}
			used[c] = true
			standin.Respond(http.StatusOK, "ok")(c, r)
		})
		for range 2 {
			c := b.call(lavconfig.KindSafe)
			c.ID, c.Header = "", http.Header{}
			lavassert.Equal(t, "body", b.serve(context.Background(), c).Body.String(), "ok")
		}
		b.closePool()
	})
}
