package lavnode

import (
	"context"
	"fmt"
	"time"

	"lavenderrack.example/lavenderrack/lavledger"
	"lavenderrack.example/lavenderrack/lavmesh"
)

// ledgerRequest asks a peer to commit an operation, to report whether it has seen
// a call, or both.
type ledgerRequest struct {
	Op   *lavledger.Op
	Seen *lavledger.CallKey
}

// ledgerResponse is the response to a ledgerRequest.
type ledgerResponse struct {
	Record lavledger.Record
	Seen   bool
}

func (c *calls) handleLedger(ctx context.Context, _ string, body []byte) (any, error) {
	var request ledgerRequest
	if err := lavmesh.Decode(body, &request); err != nil {
		return nil, err
	}
	var response ledgerResponse
	var err error
	if request.Op != nil {
		ctx, cancel := context.WithTimeout(ctx, peerTimeout)
		defer cancel()
		response.Record, err = c.ledger.Commit(ctx, *request.Op)
	}
	if request.Seen != nil {
		response.Seen = c.ledger.MayBeClaimed(*request.Seen)
	}
	return response, err
}

// ledgerPeers implements lavledger.Peers over the mesh.
type ledgerPeers struct{ *calls }

// Joined implements lavledger.Peers.
func (p ledgerPeers) Joined() bool { return p.node.members.Joined() }

// Owner implements lavledger.Peers.
func (p ledgerPeers) Owner(shard int) string { return p.node.remoteOwner(fmt.Sprint("ledger/", shard)) }

// Replicates implements lavledger.Peers. In a fleet with more than maxQueriedPeers
// peers, only the owner of a shard follows it: the other hosts couldn't use their
// copy during a store outage, because they can't ask all peers about a call.
func (p ledgerPeers) Replicates(shard int) bool {
	return p.Owner(shard) == "" || len(p.node.peers()) <= maxQueriedPeers
}

// Commit implements lavledger.Peers.
func (p ledgerPeers) Commit(ctx context.Context, peer string, op lavledger.Op) (lavledger.Record, error) {
	var response ledgerResponse
	err := p.node.mesh.Call(ctx, peer, lavmesh.TopicLedger, ledgerRequest{Op: &op}, &response)
	return response.Record, err
}

// ConfirmUnclaimed implements lavledger.Peers. It returns true only if no member has
// departed since the given time and every peer answers that it has not seen the
// call.
func (p ledgerPeers) ConfirmUnclaimed(ctx context.Context, key lavledger.CallKey, since time.Time) bool {
	peers := p.node.peers()
	if len(peers) > maxQueriedPeers || !p.departures.noneSince(since) {
		return false
	}
	return allPeers(ctx, peers, func(ctx context.Context, peer string) bool {
		var response ledgerResponse
		err := p.node.mesh.Call(ctx, peer, lavmesh.TopicLedger, ledgerRequest{Seen: &key}, &response)
		return err == nil && !response.Seen
	})
}
