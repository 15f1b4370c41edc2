package lavrelay

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"testing"
	"testing/synctest"

	"lavenderrack.example/lavenderrack/lavassert"
	"lavenderrack.example/lavenderrack/lavconfig"
	"lavenderrack.example/lavenderrack/lavconn"
	"lavenderrack.example/lavenderrack/platform/standin"
)

// wholeStream is the body of a complete stream.
var wholeStream = standin.EventsUpTo(standin.StreamEvents)

// breakOffCase is a route, with the handlers of its endpoints given the one that breaks off.
type breakOffCase struct {
	name      string
	kind      lavconfig.RouteKind
	resumable bool
	// kept is true if the connection has been used for a call before.
	kept     bool
	handlers func(broken standin.Handler) []standin.Handler
	// Status, body, aborted and runs are what the caller sees, and the requests that arrive.
	status  int
	body    string
	aborted bool
	runs    int
}

var breakOffCases = []breakOffCase{
	{"Unsafe", lavconfig.KindUnsafe, false, false, brokenThen(standin.Respond(http.StatusOK, "ok")), http.StatusBadGateway, "Unknown\n", false, 1},
	{"Safe", lavconfig.KindSafe, false, false, brokenThen(standin.Respond(http.StatusOK, "ok")), http.StatusOK, "ok", false, 2},
	{"SafeAlone", lavconfig.KindSafe, false, false, brokenThen(), http.StatusBadGateway, "Full\n", false, 1},
	{"SafeKept", lavconfig.KindSafe, false, true, brokenThen(standin.Respond(http.StatusOK, "ok")), http.StatusOK, "ok", false, 3},
	{"SafeKeptAlone", lavconfig.KindSafe, false, true, brokenThen(), http.StatusBadGateway, "Full\n", false, 2},
	{"Stream", lavconfig.KindStreaming, false, false, brokenThen(standin.Stream(standin.StreamEvents)), http.StatusBadGateway, "Unknown\n", false, 1},
	{"Resumable", lavconfig.KindStreaming, true, false, brokenThen(standin.Stream(standin.StreamEvents)), http.StatusOK, wholeStream, false, 2},
	{"ResumableKept", lavconfig.KindStreaming, true, true, brokenThen(standin.Stream(standin.StreamEvents)), http.StatusOK, wholeStream, false, 3},
	{"SecondRun", lavconfig.KindStreaming, true, false, thenBroken(standin.Stream(2)), http.StatusOK, standin.EventsUpTo(2), true, 2},
}

// brokenThen returns the handlers of an endpoint that breaks off and of others.
func brokenThen(others ...standin.Handler) func(standin.Handler) []standin.Handler {
	return func(broken standin.Handler) []standin.Handler { return append([]standin.Handler{broken}, others...) }
}

// thenBroken returns the handlers of an endpoint and of one that breaks off.
func thenBroken(first standin.Handler) func(standin.Handler) []standin.Handler {
	return func(broken standin.Handler) []standin.Handler { return []standin.Handler{first, broken} }
}

// TestHeadThatBreaksOffIsNoAnswer guards against an answer whose head breaks off at any byte and that reaches
// the caller as a success, or that runs an unsafe request twice.
func TestHeadThatBreaksOffIsNoAnswer(t *testing.T) {
	for _, test := range breakOffCases {
		for _, head := range standin.Heads(test.kind == lavconfig.KindStreaming) {
			t.Run(fmt.Sprintf("%s/%+v", test.name, head), func(t *testing.T) {
				for length := range head.Text("id") {
					synctest.Test(t, func(t *testing.T) {
						b := newFixture(test.handlersFor(standin.BreakOff(head, length, standin.Finish))...)
						test.assert(t, b, length)
						b.closePool()
					})
				}
			})
		}
	}
}

// TestHeadThatBreaksOffOnSocketIsNoAnswer guards against the same on TCP connections, which end with a FIN or
// with a reset that may overtake the bytes before it.
func TestHeadThatBreaksOffOnSocketIsNoAnswer(t *testing.T) {
	endings := map[string]func(net.Conn){"Finish": standin.Finish, "Reset": standin.Reset}
	for name, end := range endings {
		for _, test := range breakOffCases {
			if test.retries() {
				// A retry needs a budget, which a host doesn't have at once.
				continue
			}
			for _, head := range standin.Heads(test.kind == lavconfig.KindStreaming) {
				if head.FramingFirst {
					// The order of a head's lines is independent of the kind of connection.
					continue
				}
				t.Run(fmt.Sprintf("%s/%s/%+v", test.name, name, head), func(t *testing.T) {
					for length := range head.Text("id") {
						b := newFixtureNow(test.handlersFor(standin.BreakOff(head, length, end))...)
						b.relay.pool = lavconn.New(b.endpoints.DialSocket, 2)
						test.assert(t, b, length)
						b.closePool()
					}
				})
			}
		}
	}
}

// retries reports whether the call of the case runs twice.
func (c breakOffCase) retries() bool {
	if c.kept {
		return c.runs > 2
	}
	return c.runs > 1
}

// handlersFor returns the handlers of the case.
func (c breakOffCase) handlersFor(broken standin.Handler) []standin.Handler {
	if c.kept {
		broken = standin.InTurn(standin.Respond(http.StatusOK, "first"), broken)
	}
	return c.handlers(broken)
}

// assert makes the calls of a case and checks what the caller sees.
func (c breakOffCase) assert(t *testing.T, b *fixture, length int) {
	t.Helper()
	if c.kept {
		lavassert.Equal(t, "status of the first call", b.serve(context.Background(), b.call(lavconfig.KindSafe)).Code, http.StatusOK)
	}
	call := b.call(c.kind)
	call.Route.Resumable = c.resumable
	out := b.serve(context.Background(), call)
	at := fmt.Sprintf(" after %d bytes", length)
	lavassert.Equal(t, "aborted"+at, out.aborted, c.aborted)
	lavassert.Equal(t, "status"+at, out.Code, c.status)
	lavassert.Equal(t, "body"+at, out.Body.String(), c.body)
	lavassert.Equal(t, "arrivals"+at, len(b.endpoints.Requests()), c.runs)
}
