package lavburn

import (
	"context"
	"time"

	"lavenderrack.example/lavenderrack/lavmesh"
	"lavenderrack.example/lavenderrack/lavpause"
)

// Times of passing counts on. The pause grows with the fleet, so that what a
// host hears stays within bytesPerSecond.
const (
	leastPause     = 5 * time.Second
	longestPause   = 2 * time.Minute
	bytesPerSecond = 4 << 10
	pullTimeout    = 3 * time.Second
)

// Mesh carries messages to the peers.
type Mesh interface {
	Spread(topic lavmesh.Topic, body any) (int, error)
	Call(ctx context.Context, peer string, topic lavmesh.Topic, in, out any) error
}

// Service passes the counts of a host on.
type Service struct {
	burn  *Tracker
	mesh  Mesh
	peers func() []string
}

// NewService returns a service that passes burn's counts on by mesh. Peers
// returns the incarnations of the other hosts.
func NewService(burn *Tracker, mesh Mesh, peers func() []string) *Service {
	return &Service{burn: burn, mesh: mesh, peers: peers}
}

// Handle takes a peer's message in. An empty one asks for everything.
func (s *Service) Handle(_ context.Context, _ string, body []byte) (any, error) {
	var m Message
	if err := lavmesh.Decode(body, &m); err != nil {
		return nil, err
	}
	if m.empty() {
		return s.burn.Snapshot(time.Now()), nil
	}
	s.burn.Merge(time.Now(), m)
	return Message{}, nil
}

// Serve passes counts on until the context ends. At first it takes what the
// fleet counted before this host started from a peer.
func (s *Service) Serve(ctx context.Context) error {
	pulled := false
	for {
		pulled = pulled || s.pull(ctx)
		size := s.Publish()
		if err := lavpause.For(ctx, pause(len(s.peers())+1, size)); err != nil {
			return err
		}
	}
}

// Publish tells the peers what this host has counted, and returns about how many
// bytes that was. A host that stops calls it a last time.
func (s *Service) Publish() int {
	delta := s.burn.Delta(time.Now())
	if len(delta.Cells) > 0 {
		// What a peer misses now is in the next message; what is never passed
		// on is missing from the report.
		_, _ = s.mesh.Spread(lavmesh.TopicBurn, delta)
	}
	return delta.size()
}

// Sizes of the parts of a message in bytes, names included.
const (
	cellBytes     = 80
	tallyBytes    = 40
	customerBytes = 48
)

// size is about the message's length in bytes.
func (m *Message) size() int {
	size := 0
	for i := range m.Cells {
		size += cellBytes + tallyBytes*len(m.Cells[i].Tallies) + customerBytes*m.Cells[i].customers()
	}
	return size
}

// pause is the time between two messages of that size in a fleet of that many
// hosts. It stays well below the age at which counts are dropped.
func pause(hosts, size int) time.Duration {
	return min(max(leastPause, time.Duration(hosts*size)*time.Second/bytesPerSecond), longestPause)
}

// pull takes everything that one peer knows, and reports whether it did.
func (s *Service) pull(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	for _, peer := range s.peers() {
		var m Message
		if s.mesh.Call(ctx, peer, lavmesh.TopicBurn, Message{}, &m) == nil {
			s.burn.Merge(time.Now(), m)
			return true
		}
	}
	return false
}
