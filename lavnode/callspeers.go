package lavnode

import (
	"context"
	"fmt"
	"slices"
	"time"

	"lavenderrack.example/lavenderrack/lavledger"
	"lavenderrack.example/lavenderrack/lavmember"
	"lavenderrack.example/lavenderrack/lavmesh"
	"lavenderrack.example/lavenderrack/lavrequest"
	"lavenderrack.example/lavenderrack/lavretry"
	"lavenderrack.example/lavenderrack/lavstream"
)

// Bounds of asking peers.
const (
	askTimeout = 500 * time.Millisecond
	// maxAsked bounds the peers that are asked about one call in an outage.
	maxAsked = 32
)

// owner returns the peer that owns the thing of that name, or "" if this host
// does.
func (n *Node) owner(name string) string {
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

// everyone asks all peers at once and reports whether each one's answer holds.
func everyone(ctx context.Context, peers []string, holds func(ctx context.Context, peer string) bool) bool {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	answers := make(chan bool, len(peers))
	for _, peer := range peers {
		go func() { answers <- holds(ctx, peer) }()
	}
	all := true
	for range peers {
		all = <-answers && all
	}
	return all
}

// ledgerAsk asks for a commit, or whether a call was seen.
type ledgerAsk struct {
	Op   *lavledger.Op
	Seen *lavledger.CallKey
}

// ledgerReply is the answer to it.
type ledgerReply struct {
	Record lavledger.Record
	Seen   bool
}

func (c *calls) hearLedger(ctx context.Context, _ string, body []byte) (any, error) {
	var ask ledgerAsk
	if err := lavmesh.Decode(body, &ask); err != nil {
		return nil, err
	}
	var reply ledgerReply
	var err error
	if ask.Op != nil {
		ctx, cancel := context.WithTimeout(ctx, askTimeout)
		defer cancel()
		reply.Record, err = c.ledger.Commit(ctx, *ask.Op)
	}
	if ask.Seen != nil {
		reply.Seen = c.ledger.MayBeClaimed(*ask.Seen)
	}
	return reply, err
}

// ledgerPeers implements lavledger.Peers over the mesh.
type ledgerPeers struct{ *calls }

// Joined implements lavledger.Peers.
func (p ledgerPeers) Joined() bool { return p.node.members.Joined() }

// Owner implements lavledger.Peers.
func (p ledgerPeers) Owner(shard int) string { return p.node.owner(fmt.Sprint("ledger/", shard)) }

// Replicates implements lavledger.Peers. In a large fleet only the owner of a shard
// keeps up with it, since the others couldn't ask everyone in an outage.
func (p ledgerPeers) Replicates(shard int) bool {
	return p.Owner(shard) == "" || len(p.node.peers()) <= maxAsked
}

// Commit implements lavledger.Peers.
func (p ledgerPeers) Commit(ctx context.Context, peer string, op lavledger.Op) (lavledger.Record, error) {
	var reply ledgerReply
	err := p.node.mesh.Call(ctx, peer, lavmesh.TopicLedger, ledgerAsk{Op: &op}, &reply)
	return reply.Record, err
}

// ConfirmUnclaimed implements lavledger.Peers. It is certain only if every host that was
// a member since then is still there and says so.
func (p ledgerPeers) ConfirmUnclaimed(ctx context.Context, key lavledger.CallKey, since time.Time) bool {
	peers := p.node.peers()
	if len(peers) > maxAsked || !p.departed.noneSince(since) {
		return false
	}
	return everyone(ctx, peers, func(ctx context.Context, peer string) bool {
		var reply ledgerReply
		err := p.node.mesh.Call(ctx, peer, lavmesh.TopicLedger, ledgerAsk{Seen: &key}, &reply)
		return err == nil && !reply.Seen
	})
}

// suspectAsk tells of a run, its end, a death, or all that a keeper knows.
type suspectAsk struct {
	Begin    *lavretry.Run
	End      *lavretry.Run
	Finished bool
	Death    *lavretry.Death
	Known    []lavretry.FingerprintRecord `cbor:",omitempty"`
}

func (c *calls) hearSuspect(_ context.Context, _ string, body []byte) (any, error) {
	var ask suspectAsk
	if err := lavmesh.Decode(body, &ask); err != nil {
		return nil, err
	}
	var verdict lavretry.Verdict
	if ask.Death != nil {
		c.suspects.RecordReportedDeath(*ask.Death)
	}
	if ask.End != nil {
		c.suspects.EndLocal(*ask.End, ask.Finished)
	}
	c.suspects.Merge(ask.Known)
	if ask.Begin != nil {
		verdict = c.suspects.BeginLocal(*ask.Begin)
	}
	return verdict, nil
}

// suspectPeers implements lavretry.Peers over the mesh.
type suspectPeers struct{ *calls }

// keepersOf returns the incarnations of the hosts that keep a fingerprint.
func keepersOf(view *lavmember.View, fingerprint uint64) []string {
	name := fmt.Sprint("fingerprint/", fingerprint)
	var keepers []string
	if owner, ok := lavmember.Owner(view, name); ok {
		keepers = append(keepers, owner.Incarnation)
	}
	if deputy, ok := lavmember.BackupOwner(view, name); ok {
		keepers = append(keepers, deputy.Incarnation)
	}
	return keepers
}

// Replicas implements lavretry.Peers.
func (p suspectPeers) Replicas(fingerprint uint64) lavretry.Replicas {
	self := p.node.members.Self().Incarnation
	keepers := keepersOf(p.node.members.View(), fingerprint)
	return lavretry.Replicas{
		Self:  slices.Contains(keepers, self),
		Peers: slices.DeleteFunc(keepers, func(k string) bool { return k == self }),
	}
}

// Begin implements lavretry.Peers.
func (p suspectPeers) Begin(ctx context.Context, peer string, r lavretry.Run) (lavretry.Verdict, error) {
	var verdict lavretry.Verdict
	err := p.node.mesh.Call(ctx, peer, lavmesh.TopicQuarantine, suspectAsk{Begin: &r}, &verdict)
	return verdict, err
}

// End implements lavretry.Peers.
func (p suspectPeers) End(peer string, r lavretry.Run, finished bool) {
	p.outbox.offer(letter{peer: peer, topic: lavmesh.TopicQuarantine, body: suspectAsk{End: &r, Finished: finished}})
}

// ReportDeath implements lavretry.Peers. Both go in one message, since letters may
// overtake each other.
func (p suspectPeers) ReportDeath(peer string, r lavretry.Run, d lavretry.Death) {
	p.outbox.offer(letter{peer: peer, topic: lavmesh.TopicQuarantine, body: suspectAsk{Death: &d, End: &r}})
}

// BroadcastDeath implements lavretry.Peers.
func (p suspectPeers) BroadcastDeath(d lavretry.Death) {
	// What a peer misses here it gets from the store.
	_, _ = p.node.mesh.Broadcast(lavmesh.TopicQuarantine, suspectAsk{Death: &d})
}

// SendRecords implements lavretry.Peers.
func (p suspectPeers) SendRecords(peer string, known []lavretry.FingerprintRecord) {
	p.outbox.offer(letter{peer: peer, topic: lavmesh.TopicQuarantine, body: suspectAsk{Known: known}})
}

// handSuspectsOver tells new keepers, as the view changes, what this host knows of
// the fingerprints that it kept before.
func (c *calls) handSuspectsOver(ctx context.Context) error {
	members := c.node.members
	self := members.Self().Incarnation
	before := members.View()
	for {
		changed := members.Changed()
		now := members.View()
		c.suspects.HandOver(func(fingerprint uint64) []string {
			had := keepersOf(before, fingerprint)
			if !slices.Contains(had, self) {
				return nil
			}
			return slices.DeleteFunc(keepersOf(now, fingerprint), func(k string) bool { return slices.Contains(had, k) })
		})
		before = now
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		}
	}
}

// ownerAsk asks a host to hand a stream over, or which streams it claims.
type ownerAsk struct {
	HandOver lavrequest.ID
	Claims   []lavrequest.ID
}

// ownerReply lists the streams that the host claims.
type ownerReply struct {
	Claimed []lavrequest.ID
}

func (c *calls) hearOwner(_ context.Context, _ string, body []byte) (any, error) {
	var ask ownerAsk
	if err := lavmesh.Decode(body, &ask); err != nil {
		return nil, err
	}
	if ask.HandOver != "" {
		c.live.HandOver(ask.HandOver)
	}
	var reply ownerReply
	for _, id := range ask.Claims {
		if c.live.Contains(id) {
			reply.Claimed = append(reply.Claimed, id)
		}
	}
	return reply, nil
}

// handOver asks the host that relays a stream to let go of it. A host that is
// gone can't cancel the stream any more.
func (c *calls) handOver(ctx context.Context, t *lavstream.Token) {
	if t.Host == c.node.members.Self().Incarnation {
		c.live.HandOver(t.Request)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	var reply ownerReply
	_ = c.node.mesh.Call(ctx, t.Host, lavmesh.TopicOwner, ownerAsk{HandOver: t.Request}, &reply)
}

// liveClaims implements lavgang.Claims over the mesh.
type liveClaims struct{ *calls }

// Claimed implements lavgang.Claims. The host that made the ID is asked first;
// if it says no or has gone, the stream may have been taken over by any other.
func (l liveClaims) Claimed(ctx context.Context, id lavrequest.ID) (claimed, known bool) {
	if l.live.Contains(id) {
		return true, true
	}
	if _, ok := l.node.members.View().Member(id.Host()); ok && id.Host() != l.node.members.Self().Incarnation {
		claimed, known = l.ask(ctx, id.Host(), id)
		if claimed || !known {
			return claimed, known
		}
	}
	free := everyone(ctx, l.node.peers(), func(ctx context.Context, peer string) bool {
		claimed, known := l.ask(ctx, peer, id)
		return known && !claimed
	})
	// Whether one claims it or one didn't answer, it stays.
	return false, free
}

func (l liveClaims) ask(ctx context.Context, peer string, id lavrequest.ID) (claimed, known bool) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	var reply ownerReply
	err := l.node.mesh.Call(ctx, peer, lavmesh.TopicOwner, ownerAsk{Claims: []lavrequest.ID{id}}, &reply)
	return len(reply.Claimed) > 0, err == nil
}
