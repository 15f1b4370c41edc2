package lavrelay

import (
	"context"
	"net"
	"net/http"
	"sync"
	"testing"

	"lavenderrack.example/lavenderrack/lavassert"
	"lavenderrack.example/lavenderrack/lavconfig"
	"lavenderrack.example/lavenderrack/lavconn"
	"lavenderrack.example/lavenderrack/lavfake"
	"lavenderrack.example/lavenderrack/platform/standin"
)

// callsAtOnce is how many calls are answered without end at the same time.
const callsAtOnce = 200

// acceptedBytes is how much of an answer without end its caller accepts.
const acceptedBytes = 1 << 20

// leavingCaller is a caller who keeps nothing of an answer, and leaves after acceptedBytes.
type leavingCaller struct {
	header   http.Header
	accepted int
}

func (l *leavingCaller) Header() http.Header { return l.header }
func (l *leavingCaller) WriteHeader(int)     {}
func (l *leavingCaller) Flush()              {}

func (l *leavingCaller) Write(p []byte) (int, error) {
	l.accepted += len(p)
	if l.accepted > acceptedBytes {
		return 0, net.ErrClosed
	}
	return len(p), nil
}

// TestEndlessResponsesLeaveMemory guards against a host that runs out of memory, since it keeps answers that don't end.
func TestEndlessResponsesLeaveMemory(t *testing.T) {
	identity := standin.IdentityLines("id")
	for _, endless := range lavfake.EndlessAnswers(identity) {
		t.Run(endless.Name, func(t *testing.T) { assertMemoryIsLeft(t, lavconfig.KindUnsafe, endless) })
	}
	for _, endless := range lavfake.EndlessAnswers(identity + standin.EventsHeader) {
		t.Run(endless.Name+"/Stream", func(t *testing.T) { assertMemoryIsLeft(t, lavconfig.KindStreaming, endless) })
	}
}

// assertMemoryIsLeft checks how much memory calls take that get the same answer at once.
func assertMemoryIsLeft(t *testing.T, kind lavconfig.RouteKind, endless lavfake.EndlessAnswer) {
	t.Helper()
	b := newFixtureNow(func(c net.Conn, _ *http.Request) { endless.Write(c) })
	b.relay.pool = lavconn.New(b.endpoints.DialSocket, 2)
	lavassert.FitsIntoHost(t, func() {
		var running sync.WaitGroup
		for range callsAtOnce {
			running.Go(func() { b.serveLeaving(kind) })
		}
		running.Wait()
	})
	lavassert.Equal(t, "calls", len(b.endpoints.Requests()), callsAtOnce)
	b.closePool()
}

// serveLeaving serves a call whose caller leaves.
func (b *fixture) serveLeaving(kind lavconfig.RouteKind) {
	// The relay aborts the connection of a caller who has a part of the answer.
	defer func() { _ = recover() }()
	c := b.call(kind)
	c.Deadline = c.Arrived.Add(realTimeout)
	b.relay.Serve(context.Background(), &leavingCaller{header: http.Header{}}, c)
}
