package lavhost

import (
	"time"

	"lavenderrack.example/lavenderrack/lavmember"
)

// In a fleet, a few hosts watch the store and send what changes to the others. Which ones
// they are follows from the members and from who reports contact with the store.

// watcherRankKey is the key of the rendezvous hash that selects the watchers of
// the store. All hosts of a fleet must use the same text.
const watcherRankKey = "watcher of the store"

// watches reports whether this host watches the store for others: it has one of
// the highest ranks, or it is in contact with the store while too few peers of
// higher rank are.
func (p *peers) watches() bool {
	view, self := p.View(), p.Self().Incarnation
	if lavmember.RendezvousRank(view, watcherRankKey, self) < watcherCount {
		return true
	}
	if !p.follower.inContact() {
		return false
	}
	now := p.shareTime()
	p.mu.Lock()
	defer p.mu.Unlock()
	watchers := 0
	for id, known := range p.byIncarnation {
		if known.contactFresh(now) && lavmember.RanksHigher(watcherRankKey, id, self) {
			watchers++
		}
	}
	return watchers < watcherCount
}

const (
	// successorCount is how many hosts that follow the watchers in rank ask the
	// store as soon as no watcher is in contact with it.
	successorCount = 9
	// successorTime is how long after them the other hosts ask it, unless a
	// successor is in contact with it by then.
	successorTime = 500 * time.Millisecond
)

// reliesOnWatchers reports whether this host doesn't watch the store and learns of
// changes from a peer that does. If all watchers are lost, the hosts that follow them in
// rank take their place, so that not the whole fleet asks the store.
func (p *peers) reliesOnWatchers() bool {
	if p.watches() {
		return false
	}
	w := p.knownWatchers()
	switch {
	case w.synced:
		return true
	case w.inContact:
		// No peer in contact has the same entries as this host.
		return false
	default:
		return !p.isSuccessor() && p.shareTime().Sub(w.lastContact) < contactTTL+successorTime
	}
}

// isSuccessor reports whether this host is among the first to take the place of the
// watchers.
func (p *peers) isSuccessor() bool {
	return lavmember.RendezvousRank(p.View(), watcherRankKey, p.Self().Incarnation) < watcherCount+successorCount
}

// knownWatchers describes the contact of the peers with the store.
type knownWatchers struct {
	// inContact is true if a confirmed peer is in contact, and synced if such a peer
	// has the same entries as this host.
	inContact, synced bool
	// lastContact is when the store last answered a confirmed peer, zero if that
	// isn't known.
	lastContact time.Time
}

func (p *peers) knownWatchers() knownWatchers {
	now := p.shareTime()
	p.mu.Lock()
	defer p.mu.Unlock()
	var w knownWatchers
	for _, known := range p.byIncarnation {
		if !known.confirmed {
			continue
		}
		if known.contactAt.After(w.lastContact) {
			w.lastContact = known.contactAt
		}
		fresh := known.contactFresh(now)
		w.inContact = w.inContact || fresh
		w.synced = w.synced || fresh && known.differsSince.IsZero()
	}
	return w
}

// announceContact makes this host send a heartbeat soon if it watches the store, so that
// the others needn't ask it.
func (p *peers) announceContact() {
	if p.watches() {
		p.announce()
	}
}

// hasSyncedPeer reports whether a live peer that is in contact with the store
// has the same entries as this host.
func (p *peers) hasSyncedPeer() bool { return p.knownWatchers().synced }

// settledAt returns the latest time at which a peer is known to have been in
// continuous contact with the store, or the zero time.
func (p *peers) settledAt() time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	var latest time.Time
	for _, known := range p.byIncarnation {
		if known.settledAt.After(latest) {
			latest = known.settledAt
		}
	}
	return latest
}
