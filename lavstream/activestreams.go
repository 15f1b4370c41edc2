package lavstream

import (
	"context"
	"sync"
	"time"

	"lavenderrack.example/lavenderrack/lavrequest"

	"github.com/cockroachdb/errors"
)

// errHandedOver is the cause with which a relay's context ends when another
// host takes the stream over.
var errHandedOver = errors.New("stream was handed over to another host")

// ActiveStreams is the set of streams that this host relays. A registered
// stream is protected from the sweep that cancels streams without a relaying
// host.
type ActiveStreams struct {
	mu      sync.Mutex
	streams map[lavrequest.ID]*registration
}

// registration counts this host's relays of one stream. handedOver is closed
// when another host takes the stream over, which ends all of these relays.
type registration struct {
	relays     int
	handedOver chan struct{}
}

// NewActiveStreams returns an empty set.
func NewActiveStreams() *ActiveStreams {
	return &ActiveStreams{streams: make(map[lavrequest.ID]*registration)}
}

// Register adds a relay of a stream until end is called. The returned context
// ends when the stream is handed over to another host.
func (s *ActiveStreams) Register(ctx context.Context, id lavrequest.ID) (streamCtx context.Context, end func()) {
	s.mu.Lock()
	r := s.streams[id]
	if r == nil {
		r = &registration{handedOver: make(chan struct{})}
		s.streams[id] = r
	}
	r.relays++
	s.mu.Unlock()
	ctx, cancel := context.WithCancelCause(ctx)
	ended := make(chan struct{})
	watched := make(chan struct{})
	go func() {
		defer close(watched)
		select {
		case <-r.handedOver:
			cancel(errHandedOver)
		case <-ended:
		}
	}()
	return ctx, func() {
		close(ended)
		<-watched
		cancel(nil)
		s.unregister(id, r)
	}
}

// unregister removes one relay of a stream.
func (s *ActiveStreams) unregister(id lavrequest.ID, r *registration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r.relays--
	if r.relays == 0 && s.streams[id] == r {
		delete(s.streams, id)
	}
}

// handOverTimeout is how long a stream whose caller has disconnected is kept,
// so that another host can take it over before it is canceled.
const handOverTimeout = 2 * time.Second

// AwaitHandOver keeps a stream registered until another host takes it over or
// handOverTimeout has passed. It reports whether the stream was taken over.
func (s *ActiveStreams) AwaitHandOver(ctx context.Context, id lavrequest.ID) bool {
	registered, end := s.Register(context.WithoutCancel(ctx), id)
	defer end()
	timer := time.NewTimer(handOverTimeout)
	defer timer.Stop()
	select {
	case <-registered.Done():
		return true
	case <-timer.C:
		return false
	}
}

// HandedOver reports whether the context of a stream ended because another host
// took the stream over.
func HandedOver(ctx context.Context) bool { return errors.Is(context.Cause(ctx), errHandedOver) }

// HandOver ends this host's relays of a stream without canceling the stream at
// its engine. It reports whether this host relayed the stream.
func (s *ActiveStreams) HandOver(id lavrequest.ID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.streams[id]
	if r == nil {
		return false
	}
	close(r.handedOver)
	delete(s.streams, id)
	return true
}

// Contains reports whether this host relays a stream.
func (s *ActiveStreams) Contains(id lavrequest.ID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.streams[id] != nil
}

// Len returns the number of streams in the set.
func (s *ActiveStreams) Len() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.streams)
}
