package lavnode

import (
	"context"
	"fmt"
	"slices"
	"time"

	"lavenderrack.example/lavenderrack/lavcrash"
	"lavenderrack.example/lavenderrack/lavledger"
	"lavenderrack.example/lavenderrack/lavmember"
	"lavenderrack.example/lavenderrack/lavmesh"
	"lavenderrack.example/lavenderrack/lavrequest"
	"lavenderrack.example/lavenderrack/lavretry"
	"lavenderrack.example/lavenderrack/lavstream"
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

// quarantineMessage notifies a peer of the begin or the end of a run, of the death
// of an endpoint, or of this host's records of fingerprints. Fields that are set
// together are applied in the order death, end, records, begin.
type quarantineMessage struct {
	Begin    *lavretry.Run
	End      *lavretry.Run
	Finished bool
	Death    *lavretry.Death
	Known    []lavretry.FingerprintRecord `cbor:",omitempty"`
	// Completed are traits of a run that has finished.
	Completed []lavcrash.Trait `cbor:",omitempty"`
}

func (c *calls) handleQuarantine(_ context.Context, _ string, body []byte) (any, error) {
	var request quarantineMessage
	if err := lavmesh.Decode(body, &request); err != nil {
		return nil, err
	}
	var verdict lavretry.Verdict
	if request.Death != nil {
		c.suspects.RecordReportedDeath(*request.Death)
	}
	if request.End != nil {
		c.suspects.EndLocal(*request.End, request.Finished)
	}
	c.suspects.Merge(request.Known)
	c.suspects.RecordReportedCompletion(request.Completed)
	if request.Begin != nil {
		verdict = c.suspects.BeginLocal(*request.Begin)
	}
	return verdict, nil
}

// suspectPeers implements lavretry.Peers over the mesh.
type suspectPeers struct{ *calls }

// replicasOf returns the incarnations of the hosts that keep the records of a
// fingerprint: its owner and its backup owner.
func replicasOf(view *lavmember.View, fingerprint uint64) []string {
	name := fmt.Sprint("fingerprint/", fingerprint)
	var replicas []string
	if owner, ok := lavmember.Owner(view, name); ok {
		replicas = append(replicas, owner.Incarnation)
	}
	if backup, ok := lavmember.BackupOwner(view, name); ok {
		replicas = append(replicas, backup.Incarnation)
	}
	return replicas
}

// Replicas implements lavretry.Peers.
func (p suspectPeers) Replicas(fingerprint uint64) lavretry.Replicas {
	self := p.node.members.Self().Incarnation
	replicas := replicasOf(p.node.members.View(), fingerprint)
	return lavretry.Replicas{
		Self:  slices.Contains(replicas, self),
		Peers: slices.DeleteFunc(replicas, func(replica string) bool { return replica == self }),
	}
}

// Begin implements lavretry.Peers.
func (p suspectPeers) Begin(ctx context.Context, peer string, r lavretry.Run) (lavretry.Verdict, error) {
	var verdict lavretry.Verdict
	err := p.node.mesh.Call(ctx, peer, lavmesh.TopicQuarantine, quarantineMessage{Begin: &r}, &verdict)
	return verdict, err
}

// End implements lavretry.Peers.
func (p suspectPeers) End(peer string, r lavretry.Run, finished bool) {
	p.outbox.enqueue(peerMessage{peer: peer, topic: lavmesh.TopicQuarantine, body: quarantineMessage{End: &r, Finished: finished}})
}

// ReportDeath implements lavretry.Peers. It sends the death and the end of the run
// in one message, because the outbox doesn't keep messages in order and the death
// must be recorded before the run ends.
func (p suspectPeers) ReportDeath(peer string, r lavretry.Run, d lavretry.Death) {
	p.outbox.enqueue(peerMessage{peer: peer, topic: lavmesh.TopicQuarantine, body: quarantineMessage{Death: &d, End: &r}})
}

// BroadcastDeath implements lavretry.Peers.
func (p suspectPeers) BroadcastDeath(d lavretry.Death) {
	// A peer that misses this message reads the death from the store.
	_, _ = p.node.mesh.Broadcast(lavmesh.TopicQuarantine, quarantineMessage{Death: &d})
}

// BroadcastCompletion implements lavretry.Peers.
func (p suspectPeers) BroadcastCompletion(traits []lavcrash.Trait) {
	// A peer that misses this message learns of the next completion.
	_, _ = p.node.mesh.Broadcast(lavmesh.TopicQuarantine, quarantineMessage{Completed: traits})
}

// SendRecords implements lavretry.Peers.
func (p suspectPeers) SendRecords(peer string, known []lavretry.FingerprintRecord) {
	p.outbox.enqueue(peerMessage{peer: peer, topic: lavmesh.TopicQuarantine, body: quarantineMessage{Known: known}})
}

// handOverSuspects runs at each change of the view. It sends this host's records of
// a fingerprint to hosts that have become replicas of it, if this host was a
// replica before the change.
func (c *calls) handOverSuspects(ctx context.Context) error {
	members := c.node.members
	self := members.Self().Incarnation
	before := members.View()
	for {
		changed := members.Changed()
		now := members.View()
		c.suspects.HandOver(func(fingerprint uint64) []string {
			previous := replicasOf(before, fingerprint)
			if !slices.Contains(previous, self) {
				return nil
			}
			return slices.DeleteFunc(replicasOf(now, fingerprint), func(replica string) bool { return slices.Contains(previous, replica) })
		})
		before = now
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		}
	}
}

// ownerRequest asks a host to hand over the stream of the request HandOver, to
// report which of the streams in Claims it still serves, or both.
type ownerRequest struct {
	HandOver lavrequest.ID
	Claims   []lavrequest.ID
}

// ownerResponse lists the requested streams that the host still serves.
type ownerResponse struct {
	Claimed []lavrequest.ID
}

func (c *calls) handleOwner(_ context.Context, _ string, body []byte) (any, error) {
	var request ownerRequest
	if err := lavmesh.Decode(body, &request); err != nil {
		return nil, err
	}
	if request.HandOver != "" {
		c.activeStreams.HandOver(request.HandOver)
	}
	var response ownerResponse
	for _, id := range request.Claims {
		if c.activeStreams.Contains(id) {
			response.Claimed = append(response.Claimed, id)
		}
	}
	return response, nil
}

// handOver asks the host that relays a stream to stop relaying it without
// cancelling it at its engine. An error is ignored: a host that has died can't
// cancel the stream.
func (c *calls) handOver(ctx context.Context, t *lavstream.Token) {
	if t.Host == c.node.members.Self().Incarnation {
		c.activeStreams.HandOver(t.Request)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	var response ownerResponse
	_ = c.node.mesh.Call(ctx, t.Host, lavmesh.TopicOwner, ownerRequest{HandOver: t.Request}, &response)
}

// activeStreamClaims implements lavgang.Claims over the mesh.
type activeStreamClaims struct{ *calls }

// Claimed implements lavgang.Claims. It asks the host that created the ID first. If
// that host doesn't serve the stream or is no longer a member, any other host may
// have taken the stream over, so that all peers are asked.
func (l activeStreamClaims) Claimed(ctx context.Context, id lavrequest.ID) (claimed, known bool) {
	if l.activeStreams.Contains(id) {
		return true, true
	}
	if _, ok := l.node.members.View().Member(id.Host()); ok && id.Host() != l.node.members.Self().Incarnation {
		claimed, known = l.query(ctx, id.Host(), id)
		if claimed || !known {
			return claimed, known
		}
	}
	unclaimed := allPeers(ctx, l.node.peers(), func(ctx context.Context, peer string) bool {
		claimed, known := l.query(ctx, peer, id)
		return known && !claimed
	})
	// If a peer claims the stream or doesn't answer, the result is unknown and
	// the stream is not released.
	return false, unclaimed
}

func (l activeStreamClaims) query(ctx context.Context, peer string, id lavrequest.ID) (claimed, known bool) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	var response ownerResponse
	err := l.node.mesh.Call(ctx, peer, lavmesh.TopicOwner, ownerRequest{Claims: []lavrequest.ID{id}}, &response)
	return len(response.Claimed) > 0, err == nil
}
