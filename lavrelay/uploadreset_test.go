package lavrelay

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"lavenderrack.example/lavenderrack/lavassert"
	"lavenderrack.example/lavenderrack/lavconfig"
	"lavenderrack.example/lavenderrack/lavconn"
	"lavenderrack.example/lavenderrack/platform/standin"
)

// uploadSizes are the lengths of requests that are written while their answers are read, in bytes.
var uploadSizes = []int{16 << 10, 300 << 10, 1 << 20, 6 << 20}

// resetWaits are the times from a part of an answer to its reset.
var resetWaits = []time.Duration{0, time.Millisecond, 30 * time.Millisecond}

// realTimeout is longer than a call takes on a busy machine, whose time the tests don't control.
const realTimeout = 20 * time.Second

// uploadRuns is how often each case runs, since the kernel tells either the reader or the writer.
const uploadRuns = 3

// earlyFixture is a relay with an endpoint on TCP that answers before it reads the request.
func earlyFixture(handler standin.Handler) *fixture {
	b := newFixtureNow(handler)
	b.endpoints.AnswerEarly(firstEndpoint)
	b.relay.pool = lavconn.New(b.endpoints.DialSocket, 2)
	return b
}

// upload returns a call with a body of a size that runs once.
func (b *fixture) upload(kind lavconfig.RouteKind, size int) *Call {
	c := b.call(kind)
	c.Route.Resumable = false
	c.Deadline = c.Arrived.Add(realTimeout)
	c.Body = bytes.Repeat([]byte("u"), size)
	return c
}

// TestResetDuringUploadIsNoAnswer guards against a part of an answer that callers get as whole, since the
// connection was reset while the request was written.
func TestResetDuringUploadIsNoAnswer(t *testing.T) {
	ends := map[string]func(time.Duration) func(net.Conn){"Reset": standin.ResetAfter, "CloseUnread": standin.CloseAfter}
	for name, end := range ends {
		for _, size := range uploadSizes {
			for _, wait := range resetWaits {
				at := fmt.Sprintf("%s/%dBytes/%v", name, size, wait)
				for _, part := range []int{2, 100 << 10} {
					t.Run(fmt.Sprintf("%s/Part%d", at, part), func(t *testing.T) {
						assertPartIsLost(t, standin.RespondUnframed(strings.Repeat("x", part), end(wait)), size)
					})
				}
				t.Run(at+"/Stream", func(t *testing.T) { assertStreamIsCut(t, standin.StreamUnframed(2, end(wait)), size) })
			}
		}
	}
}

// assertPartIsLost checks that the caller doesn't get a part of an answer.
func assertPartIsLost(t *testing.T, handler standin.Handler, size int) {
	t.Helper()
	for range uploadRuns {
		b := earlyFixture(handler)
		out := b.serve(context.Background(), b.upload(lavconfig.KindUnsafe, size))
		lavassert.Equal(t, "status", out.Code, http.StatusBadGateway)
		lavassert.Equal(t, "body", out.Body.String(), "Unknown\n")
		b.closePool()
	}
}

// assertStreamIsCut checks that a stream that broke off after a whole event doesn't end as complete.
func assertStreamIsCut(t *testing.T, handler standin.Handler, size int) {
	t.Helper()
	for range uploadRuns {
		b := earlyFixture(handler)
		out := b.serve(context.Background(), b.upload(lavconfig.KindStreaming, size))
		lavassert.True(t, "not ended as complete", out.aborted || out.Code == http.StatusBadGateway)
		b.closePool()
	}
}

// TestWholeAnswerDuringUploadIsForwarded guards against an answer that came whole and counts as lost, or that the
// caller has to wait for, because the endpoint doesn't read the request.
func TestWholeAnswerDuringUploadIsForwarded(t *testing.T) {
	const unread = 10 * time.Second
	body := strings.Repeat("x", 10<<10)
	whole := map[string]standin.Handler{
		"FinishLeftUnread":    standin.RespondUnframed(body, standin.FinishUnread(unread)),
		"FinishThenReset":     standin.RespondUnframed(body, standin.FinishUnread(0)),
		"FinishThenResetLate": standin.RespondUnframed(body, standin.FinishUnread(time.Millisecond)),
		"FinishThenRead":      standin.RespondUnframed(body, standin.FinishThenRead),
		"LengthThenReset":     standin.RespondFramed(body, standin.FramedByLength, standin.Reset),
		"LengthLeftUnread":    standin.RespondFramed(body, standin.FramedByLength, standin.ResetAfter(unread)),
		"ChunksThenReset":     standin.RespondFramed(body, standin.FramedByChunks, standin.Reset),
		"ChunksLeftUnread":    standin.RespondFramed(body, standin.FramedByChunks, standin.ResetAfter(unread)),
	}
	for name, handler := range whole {
		for _, size := range uploadSizes {
			t.Run(fmt.Sprintf("%s/%dBytes", name, size), func(t *testing.T) {
				for range uploadRuns {
					b := earlyFixture(handler)
					began := time.Now()
					out := b.serve(context.Background(), b.upload(lavconfig.KindUnsafe, size))
					lavassert.Equal(t, "status", out.Code, http.StatusOK)
					lavassert.Equal(t, "bytes of the body", out.Body.Len(), len(body))
					lavassert.AtMost(t, "time", time.Since(began), unread/2)
					b.closePool()
				}
			})
		}
	}
}
