package lavburn

import (
	"context"
	"time"

	"lavenderrack.example/lavenderrack/lavmesh"
	"lavenderrack.example/lavenderrack/lavpause"
)

// Parameters of broadcasting counts. The interval between broadcasts grows with the
// number of hosts and the message size, so that a host receives at most about
// maxReceivedBytesPerSecond, unless this requires more than maxSendInterval.
const (
	minSendInterval           = 5 * time.Second
	maxSendInterval           = 2 * time.Minute
	maxReceivedBytesPerSecond = 4 << 10
	pullTimeout               = 3 * time.Second
)

// Mesh sends messages to the other hosts: Broadcast to every host, Call to one host.
type Mesh interface {
	Broadcast(topic lavmesh.Topic, body any) (int, error)
	Call(ctx context.Context, peer string, topic lavmesh.Topic, in, out any) error
}

// Service broadcasts a host's counts to its peers and receives theirs.
type Service struct {
	tracker *Tracker
	mesh    Mesh
	peers   func() []string
}

// NewService returns a service that broadcasts the counts of tracker over mesh. The
// function peers returns the incarnations of the other hosts.
func NewService(tracker *Tracker, mesh Mesh, peers func() []string) *Service {
	return &Service{tracker: tracker, mesh: mesh, peers: peers}
}

// Handle processes a message from a peer. It replies to an empty message with a
// snapshot and merges any other message.
func (s *Service) Handle(_ context.Context, _ string, body []byte) (any, error) {
	var m Message
	if err := lavmesh.Decode(body, &m); err != nil {
		return nil, err
	}
	if m.empty() {
		return s.tracker.Snapshot(time.Now()), nil
	}
	s.tracker.Merge(time.Now(), m)
	return Message{}, nil
}

// Serve broadcasts the counts periodically until the context ends. It first loads the
// counts that the fleet collected before this host started from a peer, and retries
// before each broadcast until a peer replies.
func (s *Service) Serve(ctx context.Context) error {
	loaded := false
	for {
		loaded = loaded || s.pullSnapshot(ctx)
		size := s.Publish()
		if err := lavpause.For(ctx, sendInterval(len(s.peers())+1, size)); err != nil {
			return err
		}
	}
}

// Publish broadcasts this host's counts to the peers and returns the approximate size
// of the message in bytes. A host that shuts down calls it one last time.
func (s *Service) Publish() int {
	delta := s.tracker.Delta(time.Now())
	if len(delta.Cells) > 0 {
		// Errors are ignored, because the next message contains the same counts
		// until their minute is folded. Counts that no message delivers are
		// missing from the reports of the peers.
		_, _ = s.mesh.Broadcast(lavmesh.TopicBurn, delta)
	}
	return delta.size()
}

// Approximate sizes of the encoded parts of a message in bytes, with typical names.
const (
	cellBytes      = 80
	objectiveBytes = 40
	customerBytes  = 48
)

// size returns the approximate encoded size of the cells in bytes.
func (m *Message) size() int {
	size := 0
	for i := range m.Cells {
		size += cellBytes + objectiveBytes*len(m.Cells[i].Counts) + customerBytes*m.Cells[i].customerCount()
	}
	return size
}

// sendInterval returns the time between two broadcasts for a number of hosts and a
// message size in bytes. The maximum is well below the age at which receivers drop
// counts.
func sendInterval(hosts, size int) time.Duration {
	return min(max(minSendInterval, time.Duration(hosts*size)*time.Second/maxReceivedBytesPerSecond), maxSendInterval)
}

// pullSnapshot merges the snapshot of the first peer that replies. It reports whether
// a peer replied within pullTimeout.
func (s *Service) pullSnapshot(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	for _, peer := range s.peers() {
		var m Message
		if s.mesh.Call(ctx, peer, lavmesh.TopicBurn, Message{}, &m) == nil {
			s.tracker.Merge(time.Now(), m)
			return true
		}
	}
	return false
}
