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

// TestForeignBytesDoNotReachCallers guards against bytes of an endpoint that are no event of its run, but
// reach callers as if they were one.
func TestForeignBytesDoNotReachCallers(t *testing.T) {
	for _, after := range []int{0, 1, 3, standin.StreamEvents} {
		for _, foreign := range standin.AllForeignBytes(after) {
			for _, framing := range standin.StreamFramings {
				for _, inPieces := range []bool{false, true} {
					name := fmt.Sprintf("%s/After%d/%v/%v", foreign.Name, after, framing, inPieces)
					spoiled := standin.StreamWith(foreign.Text, after, framing, inPieces)
					t.Run(name, func(t *testing.T) {
						t.Run("Resumed", func(t *testing.T) {
							if foreign.BeginsEvent && after == standin.StreamEvents {
								assertForeignBytesBreakStream(t, spoiled)
								return
							}
							assertForeignBytesResumed(t, spoiled)
						})
						t.Run("NotResumable", func(t *testing.T) { assertForeignBytesAbort(t, spoiled, after) })
					})
				}
			}
		}
	}
}

// assertForeignBytesResumed checks that a stream with foreign bytes goes on at another endpoint.
func assertForeignBytesResumed(t *testing.T, spoiled standin.Handler) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		b := newFixture(spoiled, standin.Stream(standin.StreamEvents))
		out := b.serve(context.Background(), b.call(lavconfig.KindStreaming))
		lavassert.True(t, "connection not aborted", !out.aborted)
		lavassert.Equal(t, "status", out.Code, http.StatusOK)
		lavassert.Equal(t, "body", out.Body.String(), standin.EventsUpTo(standin.StreamEvents))
		lavassert.Equal(t, "endpoints that ran it", len(b.endpoints.Requests()), 2)
		b.assertNoLoad(t)
		b.closePool()
	})
}

// assertForeignBytesBreakStream checks that a stream that breaks off inside what looks like a further event
// doesn't end as complete, although the next endpoint knows of none.
func assertForeignBytesBreakStream(t *testing.T, spoiled standin.Handler) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		b := newFixture(spoiled, standin.Stream(standin.StreamEvents))
		out := b.serve(context.Background(), b.call(lavconfig.KindStreaming))
		lavassert.True(t, "connection aborted", out.aborted)
		lavassert.Equal(t, "body", out.Body.String(), standin.EventsUpTo(standin.StreamEvents))
		b.assertNoLoad(t)
		b.closePool()
	})
}

// assertForeignBytesAbort checks that a stream with foreign bytes that can't go on elsewhere ends with the
// events before them, and not as if it were complete.
func assertForeignBytesAbort(t *testing.T, spoiled standin.Handler, after int) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		b := newFixture(spoiled, standin.Stream(standin.StreamEvents))
		c := b.call(lavconfig.KindStreaming)
		c.Route.Resumable = false
		out := b.serve(context.Background(), c)
		if after == 0 {
			lavassert.Equal(t, "status", out.Code, http.StatusBadGateway)
		} else {
			lavassert.True(t, "connection aborted", out.aborted)
			lavassert.Equal(t, "body", out.Body.String(), standin.EventsUpTo(after))
		}
		lavassert.Equal(t, "endpoints that ran it", len(b.endpoints.Requests()), 1)
		b.assertNoLoad(t)
		b.closePool()
	})
}

// TestBlankLinesAndCommentsAreForwarded checks that streams are forwarded unchanged with all that may stand
// beside their events.
func TestBlankLinesAndCommentsAreForwarded(t *testing.T) {
	const events = "\n: welcome\n\nid: 1\ndata: a\n\nx-weight-versions: 7\nid: 2\nevent: token\nretry: 5\ndata: b\ndata\n\n" +
		": é\nid:3\ndata:\r\n\r\n\r\n\n:\n\nid: 4\r\ndata: d\n\r\n: end\n\n"
	for _, framing := range standin.StreamFramings {
		for _, inPieces := range []bool{false, true} {
			t.Run(fmt.Sprint(framing, inPieces), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					b := newFixture(standin.StreamOf(events, framing, inPieces), standin.Stream(standin.StreamEvents))
					out := b.serve(context.Background(), b.call(lavconfig.KindStreaming))
					lavassert.True(t, "connection not aborted", !out.aborted)
					lavassert.Equal(t, "body", out.Body.String(), events)
					lavassert.Equal(t, "endpoints that ran it", len(b.endpoints.Requests()), 1)
					b.closePool()
				})
			})
		}
	}
}
