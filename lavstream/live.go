package lavstream

import (
	"context"
	"sync"
	"time"

	"lavenderrack.example/lavenderrack/lavrequest"

	"github.com/cockroachdb/errors"
)

// errHandedOver is why a relay ends whose caller has gone to another host.
var errHandedOver = errors.New("stream was handed over to another host")

// ActiveStreams is the set of streams that this host relays. It claims them against the
// sweep of streams that nobody wants.
type ActiveStreams struct {
	mu      sync.Mutex
	streams map[lavrequest.ID]*claim
}

// claim counts the relays of one stream; handed over, all of them end.
type claim struct {
	count int
	gone  chan struct{}
}

// NewActiveStreams returns an empty set.
func NewActiveStreams() *ActiveStreams { return &ActiveStreams{streams: make(map[lavrequest.ID]*claim)} }

// Register claims a stream until end is called. The context ends as the stream is
// handed over.
func (l *ActiveStreams) Register(ctx context.Context, id lavrequest.ID) (handed context.Context, end func()) {
	l.mu.Lock()
	c := l.streams[id]
	if c == nil {
		c = &claim{gone: make(chan struct{})}
		l.streams[id] = c
	}
	c.count++
	l.mu.Unlock()
	ctx, cancel := context.WithCancelCause(ctx)
	ended := make(chan struct{})
	watched := make(chan struct{})
	go func() {
		defer close(watched)
		select {
		case <-c.gone:
			cancel(errHandedOver)
		case <-ended:
		}
	}()
	return ctx, func() {
		close(ended)
		<-watched
		cancel(nil)
		l.end(id, c)
	}
}

func (l *ActiveStreams) end(id lavrequest.ID, c *claim) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c.count--
	if c.count == 0 && l.streams[id] == c {
		delete(l.streams, id)
	}
}

// lingerTime is how long a stream whose caller has gone may be taken over at
// another host before it is cancelled.
const lingerTime = 2 * time.Second

// AwaitHandOver waits for the caller of a stream to take it over at another host, and
// reports whether he did.
func (l *ActiveStreams) AwaitHandOver(ctx context.Context, id lavrequest.ID) bool {
	lingering, end := l.Register(context.WithoutCancel(ctx), id)
	defer end()
	timer := time.NewTimer(lingerTime)
	defer timer.Stop()
	select {
	case <-lingering.Done():
		return true
	case <-timer.C:
		return false
	}
}

// HandedOver reports whether a stream's context ended because another host has
// taken it over.
func HandedOver(ctx context.Context) bool { return errors.Is(context.Cause(ctx), errHandedOver) }

// HandOver ends this host's relays of a stream without cancelling it at its
// engine. It reports whether there was one.
func (l *ActiveStreams) HandOver(id lavrequest.ID) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.streams[id]
	if c == nil {
		return false
	}
	close(c.gone)
	delete(l.streams, id)
	return true
}

// Contains reports whether this host relays a stream.
func (l *ActiveStreams) Contains(id lavrequest.ID) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.streams[id] != nil
}

// Len returns the number of streams.
func (l *ActiveStreams) Len() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.streams)
}
