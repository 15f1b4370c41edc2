package lavnode

import (
	"context"
	"fmt"
	"slices"

	"lavenderrack.example/lavenderrack/lavcrash"
	"lavenderrack.example/lavenderrack/lavmember"
	"lavenderrack.example/lavenderrack/lavmesh"
	"lavenderrack.example/lavenderrack/lavretry"
)

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
