package lavhost

import (
	"context"
	"time"

	"lavenderrack.example/lavenderrack/lavmember"
	"lavenderrack.example/lavenderrack/lavmesh"
)

// heartbeat is the message that a host sends to all peers at regular intervals.
type heartbeat struct {
	// Member is the sender's member entry. Most heartbeats omit it, since the
	// peers know it already.
	Member *lavmember.Member `cbor:"1,keyasint,omitempty"`
	// Digest is the hash of the sender's entries. Good is true if the sender's
	// replica is confirmed, so that the sender acts on it.
	Digest uint64 `cbor:"2,keyasint"`
	Good   bool   `cbor:"3,keyasint"`
	// InContact is true if the store has answered the sender recently.
	InContact bool `cbor:"4,keyasint,omitempty"`
	// ContinuousContact is true if the sender has been in continuous contact
	// with the store.
	ContinuousContact bool `cbor:"5,keyasint,omitempty"`
	// Incarnation identifies the sender.
	Incarnation string `cbor:"6,keyasint"`
	// SendsStatus is true if the sender's next heartbeat follows so soon that
	// receivers may rely on the fields about its replica and the store.
	SendsStatus bool `cbor:"7,keyasint,omitempty"`
	// Hosts is the number of hosts that the sender counts among those that may use a share of
	// what all may take together.
	Hosts int `cbor:"8,keyasint,omitempty"`
	// Divides is the number of hosts by which the sender divides that, and HeldMs for how long, in
	// milliseconds, it has used no share of a division by fewer.
	Divides int `cbor:"9,keyasint,omitempty"`
	HeldMs  int `cbor:"10,keyasint,omitempty"`
	// ContactAgeMs is how long ago the store last answered the sender, in milliseconds, if it
	// is in contact.
	ContactAgeMs int `cbor:"11,keyasint,omitempty"`
}

// heartbeatsPerMember is how many heartbeats a host of a small fleet sends for each one that
// carries its unchanged member entry. In a larger fleet every heartbeat carries it, since the
// next one is seconds away.
const heartbeatsPerMember = 3

func (p *peers) sendHeartbeat() {
	_, confirmed := p.confirmation.check()
	b := heartbeat{
		Incarnation:       p.Self().Incarnation,
		Member:            p.selfForHeartbeat(),
		Digest:            p.state.Digest(),
		Good:              confirmed,
		InContact:         p.follower.inContact(),
		ContinuousContact: p.follower.continuousContact(),
		SendsStatus:       p.sendsStatus(),
	}
	if b.InContact {
		b.ContactAgeMs = int(p.follower.contact.age(p.follower.now()).Milliseconds())
	}
	p.describeShares(&b)
	if _, err := p.mesh.Broadcast(lavmesh.TopicBeat, b); err != nil {
		p.logger.Warn().Err(err).Msg("failed to send heartbeat")
	}
}

// selfForHeartbeat returns this host's member entry if the next heartbeat must
// carry it, and nil otherwise. The entry is sent when it has changed, and
// regularly for peers that have joined since.
func (p *peers) selfForHeartbeat() *lavmember.Member {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.heartbeatsSinceSelf++
	if isSmallFleet(len(p.view.Members)) && p.self == p.lastSentSelf && p.heartbeatsSinceSelf < heartbeatsPerMember {
		return nil
	}
	p.lastSentSelf, p.heartbeatsSinceSelf = p.self, 0
	self := p.self
	return &self
}

// handleHeartbeat handles a heartbeat from a peer. A heartbeat without a member
// entry is ignored if its sender is unknown.
func (p *peers) handleHeartbeat(_ context.Context, _ string, body []byte) (any, error) {
	var b heartbeat
	if err := lavmesh.Decode(body, &b); err != nil {
		return nil, err
	}
	digest := p.state.Digest()
	now, shareTime := time.Now(), p.shareTime()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.recordContact(now)
	known := p.byIncarnation[b.Incarnation]
	if b.Member != nil {
		known = p.upsert(*b.Member)
	}
	if known == nil {
		return nil, nil
	}
	known.lastHeartbeat = now
	known.updateStatus(b, digest)
	known.updateContact(b, shareTime)
	p.recordShares(known.member.Host, b)
	return nil, nil
}

// updateStatus stores the status in a heartbeat. Digest is that of this host's
// entries.
func (known *peer) updateStatus(b heartbeat, digest uint64) {
	known.confirmed = b.Good
	switch {
	case !b.SendsStatus || b.Digest == digest:
		known.differsSince = time.Time{}
	case known.differsSince.IsZero():
		known.differsSince = known.lastHeartbeat
	}
}

// updateContact stores what a heartbeat that arrives now states about the sender's
// contact with the store.
func (known *peer) updateContact(b heartbeat, now time.Time) {
	known.inContact = b.InContact && b.SendsStatus
	if !known.inContact {
		return
	}
	known.contactAt = now.Add(-time.Duration(max(b.ContactAgeMs, 0)) * time.Millisecond)
	if b.ContinuousContact && b.Good {
		known.settledAt = known.contactAt
	}
}

// contactFresh reports whether the peer is in contact with the store, as far as this
// host has heard.
func (known *peer) contactFresh(now time.Time) bool {
	return known.inContact && now.Sub(known.contactAt) < contactTTL
}
