package lavhost

import (
	"context"
	"net/http"
	"sync"
	"time"

	"lavenderrack.example/lavenderrack/lavconfig"
)

// bodyWait is the wait for the body of a request. It ends when a planned stop no longer lets the
// request begin, however slowly the body arrives.
type bodyWait struct {
	drain    *drain
	control  *http.ResponseController
	route    *lavconfig.Route
	deadline time.Time

	mu    sync.Mutex
	ended bool
}

// watch ends the wait when the request may no longer begin. The result ends the watch.
func (b *bodyWait) watch() (stop func()) {
	stopRefusing := context.AfterFunc(b.drain.Refusing(b.route), b.endUnlessAdmitted)
	stopLeft := context.AfterFunc(b.drain.Left(), b.endUnlessAdmitted)
	return func() {
		stopRefusing()
		stopLeft()
		b.mu.Lock()
		defer b.mu.Unlock()
		b.ended = true
	}
}

// endUnlessAdmitted makes the reading of the body fail, unless the request may still begin.
func (b *bodyWait) endUnlessAdmitted() {
	b.mu.Lock()
	defer b.mu.Unlock()
	// Once the body is read, a failing connection would look like a caller who has left.
	if !b.ended && !b.isAdmitted() {
		// A server without deadlines, as in tests, waits longer.
		_ = b.control.SetReadDeadline(time.Unix(1, 0))
	}
}

// refusedBodyTime is how long the rest of a refused body is read. A connection that is closed before
// that is reset, and its caller may miss the refusal.
const refusedBodyTime = 500 * time.Millisecond

// drop lets the server read the rest of a body that is refused.
func (b *bodyWait) drop() { _ = b.control.SetReadDeadline(time.Now().Add(refusedBodyTime)) }

// isAdmitted reports whether the request may still begin.
func (b *bodyWait) isAdmitted() bool { return b.drain.MayBegin(b.route, b.deadline) }
