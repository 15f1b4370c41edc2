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
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	watchers := 0
	for id, known := range p.byIncarnation {
		if known.inContact && now.Sub(known.lastHeartbeat) < peerTimeout && lavmember.RanksHigher(watcherRankKey, id, self) {
			watchers++
		}
	}
	return watchers < watcherCount
}

// reliesOnWatchers reports whether this host doesn't watch the store and has the
// same entries as a peer in contact with it.
func (p *peers) reliesOnWatchers() bool { return !p.watches() && p.hasSyncedPeer() }

// contactReportTTL is how long after a heartbeat the continuous contact that it
// reported is relied on.
const contactReportTTL = time.Second

// anyContinuousContact reports whether this host or a peer has been in
// continuous contact with the store. If so, a removed entry is gone and has not
// merely expired during an outage of the store.
func (p *peers) anyContinuousContact() bool {
	if p.follower.continuousContact() {
		return true
	}
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, known := range p.byIncarnation {
		if known.continuousContact && now.Sub(known.lastHeartbeat) < contactReportTTL {
			return true
		}
	}
	return false
}

// hasSyncedPeer reports whether a live peer that is in contact with the store
// has the same entries as this host.
func (p *peers) hasSyncedPeer() bool {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, known := range p.byIncarnation {
		if known.confirmed && known.inContact && known.differsSince.IsZero() && now.Sub(known.lastHeartbeat) < peerTimeout {
			return true
		}
	}
	return false
}
