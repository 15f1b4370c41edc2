package lavhost

import (
	"cmp"
	"net/netip"
	"slices"
	"sync"
	"time"

	"lavenderrack.example/lavenderrack/lavfleet"
	"lavenderrack.example/lavenderrack/lavmember"
	"lavenderrack.example/lavenderrack/lavmesh"
	"lavenderrack.example/lavenderrack/lavshare"

	"github.com/phuslu/log"
)

// Timing of the exchange with peers.
const (
	// deadPeerRetention is how long a dead peer is remembered, so that it
	// doesn't count as a new member while the store still lists it.
	deadPeerRetention = 2 * memberLeaseTTL
	// announceInterval is the least time between two heartbeats of a host that
	// answers suspicions.
	announceInterval = 200 * time.Millisecond
	// divergenceTolerance is how long the digest of a peer may differ before
	// this host requests the peer's entries, and pullTimeout bounds that
	// request.
	divergenceTolerance = 500 * time.Millisecond
	pullTimeout         = 700 * time.Millisecond
)

// meshTimings makes the mesh detect a silent link within peerTimeout.
var meshTimings = lavmesh.Timing{
	Ping:         400 * time.Millisecond,
	Silence:      1300 * time.Millisecond,
	DialInterval: 250 * time.Millisecond,
	DialTimeout:  500 * time.Millisecond,
}

// peer is what this host knows about another host.
type peer struct {
	liveness
	member lavmember.Member
	// suspectedHere is true if this host itself has reported the last suspicion.
	suspectedHere bool
	// confirmed is true if the peer's replica is confirmed.
	confirmed bool
	// inContact is true if the calls of the peer to the store succeed, and contactAt
	// is when the store last answered one.
	inContact bool
	contactAt time.Time
	// settledAt is when the store last answered a call of the peer in a continuous
	// contact.
	settledAt time.Time
	// differsSince is since when the peer's digest has differed from this
	// host's, zero if they are equal.
	differsSince time.Time
}

// peers tracks the other hosts by their heartbeats and exchanges entries with
// them. It provides the mesh with the view of the members.
type peers struct {
	mesh         *lavmesh.Mesh
	crashes      *crashTracker
	fleet        *lavfleet.Fleet
	state        *clusterState
	confirmation *confirmation
	follower     *storeFollower
	logger       *log.Logger
	seeds        []netip.AddrPort
	// selfChanged wakes the membership service to write this host's member
	// entry, and announced makes this host send a heartbeat.
	selfChanged chan struct{}
	announced   chan struct{}

	mu            sync.Mutex
	self          lavmember.Member
	byIncarnation map[string]*peer
	view          *lavmember.View
	// roster is the hosts among which bounds are divided.
	roster *lavshare.Roster
	// reachedHosts is the number of hosts that are alive and have been heard of, this one included.
	reachedHosts int
	// lastSentSelf is this host's member entry in the last heartbeat that
	// carried one, and heartbeatsSinceSelf counts the heartbeats since then.
	lastSentSelf        lavmember.Member
	heartbeatsSinceSelf int
	// lastContact is when a peer was last heard of, and joinedAt when this host last
	// began to join the others.
	lastContact time.Time
	joinedAt    time.Time
	// joins counts how often it has begun to join them, and statementsSyncedFor is the count
	// for which it has last requested the statements of endpoints.
	joins, statementsSyncedFor uint64
	// mustAnnounce is true if a heartbeat is due for another reason than time.
	mustAnnounce bool
}

// Self implements lavmesh.Membership.
func (p *peers) Self() lavmember.Member {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.self
}

// View implements lavmesh.Membership.
func (p *peers) View() *lavmember.View {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.view
}

// FullView implements lavmesh.PeerObserver. Until a peer is known, the view contains
// the seeds, so that the mesh dials them.
func (p *peers) FullView() *lavmember.View {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.view.Members) > 1 {
		return p.view
	}
	members := slices.Clone(p.view.Members)
	for _, seed := range p.seeds {
		if seed != p.self.Mesh {
			members = append(members, lavmember.Member{Incarnation: "seed-" + seed.String(), Host: seed.String(), Mesh: seed})
		}
	}
	return &lavmember.View{Members: members}
}

// PeerConnected implements lavmesh.PeerObserver.
func (p *peers) PeerConnected(m lavmember.Member) {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.recordContact(now)
	if known := p.upsert(m); known != nil {
		known.lastHeartbeat = now
		p.roster.Heard(m.Host)
	}
	p.rebuildView()
}

// recordContact records that a peer was heard of. The caller holds the lock.
func (p *peers) recordContact(now time.Time) {
	if now.Sub(p.lastContact) > isolationTimeout {
		p.rejoin(now)
	}
	p.lastContact = now
}

// rejoin announces a host that has been without any peer, after its start or because it was
// cut off. The peers that it could not reach then are taken for alive again: a broadcast
// doesn't reach hosts that follow this one on the ring unless it has a link to the next one,
// and it dials only those that it takes for alive. The caller holds the lock.
func (p *peers) rejoin(now time.Time) {
	p.joinedAt = now
	p.joins++
	p.announce()
	for _, known := range p.byIncarnation {
		if known.suspectedHere {
			known.suspectedAt = time.Time{}
		}
	}
}

// upsert stores the member entry of a peer and returns the peer, or nil for
// this host itself. The caller holds the lock.
func (p *peers) upsert(m lavmember.Member) *peer {
	if m.Incarnation == p.self.Incarnation {
		return nil
	}
	known := p.byIncarnation[m.Incarnation]
	if known == nil {
		known = &peer{liveness: liveness{firstSeen: time.Now()}}
		p.byIncarnation[m.Incarnation] = known
	}
	known.member = m
	return known
}

// rebuildView sets the view to the live members, forgets peers that have been
// dead for deadPeerRetention, and passes this host's shares to the fleet. The
// caller holds the lock.
func (p *peers) rebuildView() {
	now := time.Now()
	members := []lavmember.Member{p.self}
	for id, known := range p.byIncarnation {
		if known.alive(now, len(p.view.Members)) {
			members = append(members, known.member)
		} else if now.Sub(known.firstSeen) > deadPeerRetention && now.Sub(known.lastHeartbeat) > deadPeerRetention {
			delete(p.byIncarnation, id)
		}
	}
	slices.SortFunc(members, func(a, b lavmember.Member) int { return cmp.Compare(a.Incarnation, b.Incarnation) })
	if !slices.Equal(members, p.view.Members) {
		// An unchanged view is kept, since others derive data from it and keep that
		// until the view changes.
		p.view = &lavmember.View{Members: members}
	}
	p.countReached(now)
	p.updateShares(p.shareTime())
}

// setSeeds replaces the addresses that are dialled while no peer is known.
func (p *peers) setSeeds(seeds []netip.AddrPort) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.seeds = seeds
}

// Leave announces that this host is draining.
func (p *peers) Leave() {
	p.mu.Lock()
	p.self.Leaving = true
	p.rebuildView()
	p.mu.Unlock()
	select {
	case p.selfChanged <- struct{}{}:
	default:
	}
	p.announce()
}

// reachableShare returns the share of the hosts that this host reaches, of those that may use a share.
// A host that hands out what all may take together hands out only this share of it, so that parts of
// the fleet which are cut off from each other stay within the whole. It returns false for a host that
// has joined the others too lately to hand out anything.
func (p *peers) reachableShare() (share float64, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.joinedAt.IsZero() && time.Since(p.joinedAt) < holderDelay {
		return 0, false
	}
	return float64(p.reachedHosts) / float64(max(p.roster.Hosts(), p.reachedHosts)), true
}

// countReached counts the hosts that are alive and have been heard of. One that has started again counts
// once, and one that only the store lists doesn't count. The caller holds the lock.
func (p *peers) countReached(now time.Time) {
	reached := map[string]bool{p.self.Host: true}
	for _, known := range p.byIncarnation {
		if known.heard() && known.alive(now, len(p.view.Members)) {
			reached[known.member.Host] = true
		}
	}
	p.reachedHosts = len(reached)
}

// addStoreMembers adds the members that the store lists. It doesn't overwrite
// the member entry of a peer that has sent heartbeats.
func (p *peers) addStoreMembers() {
	members := p.state.Members()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, m := range members {
		if known := p.byIncarnation[m.Incarnation]; known == nil || !known.heard() {
			p.upsert(m)
		}
	}
	p.rebuildView()
}

// Alive returns the members to which callers may be directed: those that are
// alive, have been heard of, and are not draining. The store may still list a
// member that is dead.
func (p *peers) Alive() []lavmember.Member {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	var alive []lavmember.Member
	for _, known := range p.byIncarnation {
		if known.heard() && known.alive(now, len(p.view.Members)) && !known.member.Leaving && known.member.Entry.IsValid() {
			alive = append(alive, known.member)
		}
	}
	if !p.self.Leaving {
		alive = append(alive, p.self)
	}
	return alive
}
