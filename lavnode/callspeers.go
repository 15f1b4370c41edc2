package lavnode

import (
	"context"
	"time"

	"lavenderrack.example/lavenderrack/lavmember"
)

// Limits of requests to peers.
const (
	// peerTimeout is the maximum time for one peer to answer.
	peerTimeout = 500 * time.Millisecond
	// maxQueriedPeers is the largest number of peers that a host asks about one
	// call during a store outage. In a larger fleet it asks none.
	maxQueriedPeers = 32
)

// remoteOwner returns the incarnation of the peer that owns the named item, or ""
// if this host owns it or there is no owner.
func (n *Node) remoteOwner(name string) string {
	m, ok := lavmember.Owner(n.members.View(), name)
	if !ok || m.Incarnation == n.members.Self().Incarnation {
		return ""
	}
	return m.Incarnation
}

// peers returns the incarnations of the other members.
func (n *Node) peers() []string {
	self := n.members.Self().Incarnation
	var found []string
	for _, m := range n.members.View().Members {
		if m.Incarnation != self {
			found = append(found, m.Incarnation)
		}
	}
	return found
}

// allPeers calls check for all peers concurrently, within peerTimeout, and reports
// whether it returned true for every peer.
func allPeers(ctx context.Context, peers []string, check func(ctx context.Context, peer string) bool) bool {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	results := make(chan bool, len(peers))
	for _, peer := range peers {
		go func() { results <- check(ctx, peer) }()
	}
	result := true
	for range peers {
		result = <-results && result
	}
	return result
}
