package lavnode

import (
	"sync"

	"lavenderrack.example/lavenderrack/lavendpoint"
	"lavenderrack.example/lavenderrack/lavmember"
	"lavenderrack.example/lavenderrack/lavmesh"
)

// readersName is what the readers of the host list are drawn by.
const readersName = "host-list"

// sharing divides the polling of endpoints by their owners. It implements
// lavendpoint.Sharing.
type sharing struct {
	node *Node

	mu sync.Mutex
	// owned is what this host owns by view; it is worked out once for each
	// name and view.
	view  *lavmember.View
	owned map[string]bool
}

// Owns implements lavendpoint.Sharing.
func (s *sharing) Owns(endpoint string) bool {
	view := s.node.members.View()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.view != view {
		s.view, s.owned = view, make(map[string]bool)
	}
	own, known := s.owned[endpoint]
	if !known {
		owner, ok := lavmember.Owner(view, endpoint)
		own = ok && owner.Incarnation == s.node.members.Self().Incarnation
		s.owned[endpoint] = own
	}
	return own
}

// Hosts implements lavendpoint.Sharing.
func (s *sharing) Hosts() int { return len(s.node.members.View().Members) }

// Rank implements lavendpoint.Sharing.
func (s *sharing) Rank() int {
	return lavmember.RendezvousRank(s.node.members.View(), readersName, s.node.members.Self().Incarnation)
}

// Broadcast implements lavendpoint.Sharing.
func (s *sharing) Broadcast(b lavendpoint.UpdateBatch) {
	_, _ = s.node.mesh.Broadcast(lavmesh.TopicLoad, b)
}
