package lavnode

import (
	"sync"

	"lavenderrack.example/lavenderrack/lavendpoint"
	"lavenderrack.example/lavenderrack/lavmember"
	"lavenderrack.example/lavenderrack/lavmesh"
)

// readerRankKey is the name under which hosts are ranked by rendezvous hashing to
// select the readers of the host list.
const readerRankKey = "host-list"

// sharing implements lavendpoint.Sharing: each endpoint is polled by the host that
// owns it.
type sharing struct {
	node *Node

	mu sync.Mutex
	// view is the view to which owned applies. owned caches, by endpoint name,
	// whether this host owns the endpoint in that view. It is reset when the view
	// changes.
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
	return lavmember.RendezvousRank(s.node.members.View(), readerRankKey, s.node.members.Self().Incarnation)
}

// Broadcast implements lavendpoint.Sharing.
func (s *sharing) Broadcast(b lavendpoint.UpdateBatch) {
	_, _ = s.node.mesh.Broadcast(lavmesh.TopicLoad, b)
}
