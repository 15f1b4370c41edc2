package lavrelay

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"lavenderrack.example/lavenderrack/lavassert"
	"lavenderrack.example/lavenderrack/lavconfig"
	"lavenderrack.example/lavenderrack/lavresponse"
	"lavenderrack.example/lavenderrack/platform/standin"
)

// acceptableBytes is how much of a response without end a host may read before it gives up.
const acceptableBytes = 2 << 20

func fixed(text string) func(*http.Request) string { return func(*http.Request) string { return text } }

// TestEndlessResponses checks responses whose bytes never end. The host must close the
// connection soon, and the caller gets the answer of another endpoint.
func TestEndlessResponses(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\n"
	tests := []struct {
		name    string
		endless standin.Endless
	}{
		{"StatusLine", standin.Endless{Prefix: fixed("HTTP/1.1 200 "), Repeat: "a"}},
		{"NoStatusLine", standin.Endless{Repeat: "a"}},
		{"HeaderName", standin.Endless{Prefix: fixed(ok), Repeat: "a"}},
		{"HeaderValue", standin.Endless{Prefix: fixed(ok + "A: "), Repeat: "a"}},
		{"Headers", standin.Endless{Prefix: fixed(ok), Repeat: "A: b\r\n"}},
		{"Informational", standin.Endless{Repeat: "HTTP/1.1 100 Continue\r\n\r\n"}},
		{"OtherResponses", standin.Endless{Repeat: standin.OtherHead("Content-Length: 1\r\n") + "x"}},
		{"OtherResponseBody", standin.Endless{Prefix: fixed(standin.OtherHead("Transfer-Encoding: chunked\r\n")), Repeat: "1\r\nx\r\n"}},
		{"ChunkSize", standin.Endless{Prefix: standin.StreamHead, Repeat: "0"}},
		{"ChunkExtension", standin.Endless{Prefix: func(r *http.Request) string { return standin.StreamHead(r) + "5;" }, Repeat: "a"}},
		{"Trailer", standin.Endless{Prefix: func(r *http.Request) string { return standin.StreamHead(r) + "0\r\nA: " }, Repeat: "a"}},
		{"Event", standin.Endless{Prefix: standin.StreamHead, Repeat: "1000\r\n" + strings.Repeat("x", 4096) + "\r\n"}},
		{"Comments", standin.Endless{Prefix: standin.StreamHead, Repeat: "3\r\n:\n\n\r\n"}},
		{"BlankLines", standin.Endless{Prefix: standin.StreamHead, Repeat: "2\r\n\n\n\r\n"}},
	}
	for i := range tests {
		test := &tests[i]
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newFixture(test.endless.Handle, standin.Stream(standin.StreamEvents))
				started := time.Now()
				out := b.serve(context.Background(), b.call(lavconfig.KindStreaming))
				lavassert.AtMost(t, "bytes accepted from the endpoint", test.endless.Accepted.Load(), acceptableBytes)
				lavassert.True(t, "connection not aborted", !out.aborted)
				lavassert.True(t, "whole answer", isWholeStream(out.Body.String()))
				lavassert.AtMost(t, "time", time.Since(started), time.Second)
				b.assertNoLoad(t)
				b.relay.pool.Sweep(func(netip.AddrPort) bool { return false })
			})
		})
	}
}

// isWholeStream reports whether a body consists of the events of a whole stream. Comments and
// blank lines may stand between them.
func isWholeStream(body string) bool {
	events := strings.ReplaceAll(body, ":\n\n", "")
	return strings.TrimLeft(events, "\n") == standin.EventsUpTo(standin.StreamEvents)
}

// TestBufferedBytesAreReturned checks that responses which use up the budget are forwarded whole, and
// that the budget is whole again afterwards.
func TestBufferedBytesAreReturned(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		large := strings.Repeat("x", 1<<20)
		b := newFixture(standin.Respond(200, large))
		b.relay.buffers = lavresponse.NewBudget(3 * freeBufferBytes)
		out := b.serve(context.Background(), b.call(lavconfig.KindSafe))
		lavassert.Equal(t, "bytes of the body", out.Body.Len(), len(large))
		lavassert.Equal(t, "budget afterwards", b.relay.buffers.Left(), 3*freeBufferBytes)
		b.relay.pool.Sweep(func(netip.AddrPort) bool { return false })
	})
}

// TestDribblingStream checks that bytes which complete no event don't keep a stream alive, and that a
// slow stream is not cut as long as its events come in time.
func TestDribblingStream(t *testing.T) {
	for _, test := range []struct {
		name     string
		dribble  string
		pause    time.Duration
		arrivals int
	}{
		{"BytesOfAnEvent", "1\r\nx\r\n", 300 * time.Millisecond, 2},
		{"Comments", "3\r\n:\n\n\r\n", 300 * time.Millisecond, 2},
		{"SlowEvents", "", 1500 * time.Millisecond, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newFixture(standin.SlowStream(test.dribble, test.pause), standin.Stream(standin.StreamEvents))
				c := b.call(lavconfig.KindStreaming)
				c.Deadline = c.Arrived.Add(15 * time.Second)
				c.Route.Timeout = 15 * time.Second
				out := b.serve(context.Background(), c)
				lavassert.True(t, "connection not aborted", !out.aborted)
				lavassert.True(t, "whole answer", isWholeStream(out.Body.String()))
				lavassert.Equal(t, "endpoints that ran it", fmt.Sprint(len(b.endpoints.Requests())), fmt.Sprint(test.arrivals))
				b.relay.pool.Sweep(func(netip.AddrPort) bool { return false })
			})
		})
	}
}
