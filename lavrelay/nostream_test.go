package lavrelay

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"

	"lavenderrack.example/lavenderrack/lavassert"
	"lavenderrack.example/lavenderrack/lavconfig"
	"lavenderrack.example/lavenderrack/platform/standin"
)

// TestSuccessWithoutEventsIsNoStream guards against a success that is no stream of events, or a stream
// without any, that reaches the caller of a stream as if it were complete.
func TestSuccessWithoutEventsIsNoStream(t *testing.T) {
	tests := map[string]standin.Handler{
		"Text":        standin.Respond(http.StatusOK, "ok"),
		"TextOfEvent": standin.Respond(http.StatusOK, standin.Event(1)),
		"Empty":       standin.Respond(http.StatusOK, ""),
		"NoContent":   standin.Respond(http.StatusNoContent, ""),
	}
	for _, framing := range standin.StreamFramings {
		tests[fmt.Sprint("NoEvents", framing)] = standin.StreamOf("", framing, false)
		tests[fmt.Sprint("Comment", framing)] = standin.StreamOf(": comment\n\n", framing, false)
	}
	for name, handler := range tests {
		t.Run(name, func(t *testing.T) {
			t.Run("Resumable", func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					b := newFixture(handler, standin.Stream(standin.StreamEvents))
					out := b.serve(context.Background(), b.call(lavconfig.KindStreaming))
					lavassert.Equal(t, "status", out.Code, http.StatusOK)
					lavassert.True(t, "whole answer", strings.HasSuffix(out.Body.String(), standin.EventsUpTo(standin.StreamEvents)))
					b.closePool()
				})
			})
			t.Run("NotResumable", func(t *testing.T) { assertNoSuccess(t, handler) })
		})
	}
}

// assertNoSuccess checks that a stream that can't be resumed doesn't end as complete.
func assertNoSuccess(t *testing.T, handler standin.Handler) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		b := newFixture(handler, standin.Stream(standin.StreamEvents))
		c := b.call(lavconfig.KindStreaming)
		c.Route.Resumable = false
		out := b.serve(context.Background(), c)
		lavassert.True(t, "aborted or refused", out.aborted || out.Code == http.StatusBadGateway)
		lavassert.Equal(t, "arrivals", len(b.endpoints.Requests()), 1)
		b.closePool()
	})
}

// TestResumeAfterTheLastEventIsEmpty checks that a stream may have no events for a caller who has all of
// them.
func TestResumeAfterTheLastEventIsEmpty(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newFixture(standin.Stream(standin.StreamEvents))
		c := b.call(lavconfig.KindStreaming)
		c.LastEvent = "6"
		c.Header = standin.ResumeHeaders(c.ID, c.LastEvent)
		out := b.serve(context.Background(), c)
		lavassert.True(t, "connection not aborted", !out.aborted)
		lavassert.Equal(t, "status", out.Code, http.StatusOK)
		lavassert.Equal(t, "body", out.Body.String(), "")
		b.closePool()
	})
}

// TestResumedStreamWithoutItsEventIsNotComplete guards against a stream that ends as complete although its first
// run broke off inside a further event.
func TestResumedStreamWithoutItsEventIsNotComplete(t *testing.T) {
	for _, broken := range []standin.Handler{standin.Stream(2), standin.UnframedStream(2), standin.EndedStream(2)} {
		for _, empty := range []standin.Handler{
			standin.StreamOf("", standin.FramedByChunks, false),
			standin.StreamOf("", standin.FramedByLength, false),
			standin.StreamOf(": comment\n\n", standin.FramedByChunks, false),
			standin.Respond(http.StatusNoContent, "", standin.EventsHeader),
			standin.Respond(http.StatusResetContent, "", standin.EventsHeader),
		} {
			synctest.Test(t, func(t *testing.T) {
				b := newFixture(broken, empty)
				out := b.serve(context.Background(), b.call(lavconfig.KindStreaming))
				lavassert.True(t, "connection aborted", out.aborted)
				lavassert.True(t, "events of the first run", strings.HasPrefix(out.Body.String(), standin.EventsUpTo(2)))
				b.closePool()
			})
		}
	}
}
