package lavhost

import (
	"cmp"
	"context"
	"net/netip"
	"slices"
	"sync"
	"time"

	"lavenderrack.example/lavenderrack/lavfleet"
	"lavenderrack.example/lavenderrack/lavmember"
	"lavenderrack.example/lavenderrack/lavmesh"
	"lavenderrack.example/lavenderrack/lavmirror"
	"lavenderrack.example/lavenderrack/lavpause"

	"github.com/phuslu/log"
)

// Times of the peers.
const (
	// beatTime is the time between two beats of a fleet of up to beatHosts. It
	// grows with the fleet, so that what a host hears in a second doesn't.
	beatTime  = 100 * time.Millisecond
	beatHosts = 8
	// mostBeat keeps several beats within aliveTime.
	mostBeat = 600 * time.Millisecond
	// aliveTime is how long a peer counts as alive without a beat.
	aliveTime = 2 * time.Second
	// newTime is how long a member of whom no beat was heard yet is believed
	// to live because the store says so.
	newTime = 1500 * time.Millisecond
	// forgetTime is how long a peer is remembered that no longer lives, so that
	// the store's word alone doesn't bring it back.
	forgetTime = 30 * time.Second
	// differTime is how long a peer may know other things before it is asked.
	differTime = 500 * time.Millisecond
	pullTime   = 700 * time.Millisecond
	// spareHosts may be added to those that are known at any time.
	spareHosts = 2
	// leastHosts are assumed to exist, also while few are known.
	leastHosts = 9
)

// meshPace lets a silent link be noticed within the times above.
var meshPace = lavmesh.Timing{
	Ping:         400 * time.Millisecond,
	Silence:      1300 * time.Millisecond,
	DialInterval: 250 * time.Millisecond,
	DialTimeout:  500 * time.Millisecond,
}

// beat is what a host tells its peers all the time.
type beat struct {
	// Member is the host's entry. It is left out of most beats: peers know it
	// already.
	Member *lavmember.Member `cbor:"1,keyasint,omitempty"`
	// Digest names what the host knows, and Good says that it may act on it.
	Digest uint64 `cbor:"2,keyasint"`
	Good   bool   `cbor:"3,keyasint"`
	// Fresh says that the host hears the store.
	Fresh bool `cbor:"4,keyasint,omitempty"`
	// Sure says that the store has not been away lately.
	Sure bool `cbor:"5,keyasint,omitempty"`
	// Incarnation names the host.
	Incarnation string `cbor:"6,keyasint"`
}

// entryBeats is how many beats there are to one that carries the host's entry.
const entryBeats = 3

// news are entries that have changed.
type news struct {
	// Packed are the entries as lavmirror packs them.
	Packed []byte `cbor:"1,keyasint"`
	// Settled says that entries that went are gone.
	Settled bool `cbor:"2,keyasint"`
}

// peer is what is known of a peer.
type peer struct {
	member lavmember.Member
	heard  time.Time
	// seen is when the peer was first known.
	seen time.Time
	good bool
	// fresh says that the peer hears the store.
	fresh bool
	// sure says that the peer is sure of the store.
	sure bool
	// differs is since when the peer has known other things than this host.
	differs time.Time
}

// peers knows the other hosts, tells them of this one and hears of them. It is
// the mesh's view of the members.
type peers struct {
	mesh      *lavmesh.Mesh
	fleet     *lavfleet.Fleet
	knowledge *knowledge
	belief    *belief
	control   *control
	logger    *log.Logger
	seeds     []netip.AddrPort
	// changedSelf wakes the keeper of this host's entry.
	changedSelf chan struct{}

	mu   sync.Mutex
	self lavmember.Member
	all  map[string]*peer
	view *lavmember.View
	// toldSelf is the entry that the last beats told, and beats how many have gone
	// since one carried it.
	toldSelf lavmember.Member
	beats    int
}

// Self implements lavmesh.Views.
func (p *peers) Self() lavmember.Member {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.self
}

// View implements lavmesh.Views.
func (p *peers) View() *lavmember.View {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.view
}

// FullView implements lavmesh.Introducer: until a peer is known the seeds are tried.
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

// PeerConnected implements lavmesh.Introducer.
func (p *peers) PeerConnected(m lavmember.Member) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.know(m)
	p.rebuild()
}

// PeerUnreachable implements lavmesh.Introducer. Beats tell who lives.
func (p *peers) PeerUnreachable(string) {}

// know returns the entry of a peer. One that has restarted at an address takes
// the place of its former life. The caller holds the lock.
func (p *peers) know(m lavmember.Member) *peer {
	if m.Incarnation == p.self.Incarnation {
		return nil
	}
	known := p.all[m.Incarnation]
	if known == nil {
		known = &peer{seen: time.Now()}
		p.all[m.Incarnation] = known
	}
	known.member = m
	return known
}

// rebuild makes the view anew. The caller holds the lock.
func (p *peers) rebuild() {
	now := time.Now()
	members := []lavmember.Member{p.self}
	for id, known := range p.all {
		if p.lives(known, now) {
			members = append(members, known.member)
		} else if now.Sub(known.seen) > forgetTime && now.Sub(known.heard) > forgetTime {
			delete(p.all, id)
		}
	}
	slices.SortFunc(members, func(a, b lavmember.Member) int { return cmp.Compare(a.Incarnation, b.Incarnation) })
	p.view = &lavmember.View{Members: members}
	place := slices.IndexFunc(members, func(m lavmember.Member) bool { return m.Incarnation == p.self.Incarnation })
	p.fleet.SetHosts(max(len(members)+spareHosts, leastHosts), place)
}

// lives reports whether a peer may be alive.
func (p *peers) lives(known *peer, now time.Time) bool {
	if known.heard.IsZero() {
		return now.Sub(known.seen) < newTime
	}
	return now.Sub(known.heard) < aliveTime
}

// setSeeds replaces the addresses that are tried while no peer is known.
func (p *peers) setSeeds(seeds []netip.AddrPort) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.seeds = seeds
}

// watcherName is what the hosts that follow the store closely are ranked for.
const watcherName = "watcher of the store"

// told reports whether this host is no watcher of the store and hears of changes
// from one.
func (p *peers) told() bool {
	if lavmember.RendezvousRank(p.View(), watcherName, p.Self().Incarnation) < watchers {
		return false
	}
	return p.informed()
}

// Leave tells the others that this host drains.
func (p *peers) Leave() {
	p.mu.Lock()
	p.self.Leaving = true
	p.rebuild()
	p.mu.Unlock()
	select {
	case p.changedSelf <- struct{}{}:
	default:
	}
}

// Serve implements suture.Service: it tells the peers of this host and looks
// after what the store says of them.
func (p *peers) Serve(ctx context.Context) error {
	for ctx.Err() == nil {
		_ = lavpause.For(ctx, p.beatTime())
		p.listed()
		p.knowledge.tick(p.control.away(), p.sureOfStore())
		p.sendBeat()
		p.compare(ctx)
	}
	return ctx.Err()
}

// beatTime returns the time between two beats.
func (p *peers) beatTime() time.Duration {
	hosts := time.Duration(len(p.View().Members))
	return min(beatTime*max(hosts, beatHosts)/beatHosts, mostBeat)
}

// listed takes over the members that the store names.
func (p *peers) listed() {
	members := p.knowledge.Members()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, m := range members {
		if known := p.all[m.Incarnation]; known == nil || known.heard.IsZero() {
			p.know(m)
		}
	}
	p.rebuild()
}

func (p *peers) sendBeat() {
	_, good := p.belief.check()
	b := beat{
		Incarnation: p.Self().Incarnation,
		Member:      p.entryToTell(),
		Digest:      p.knowledge.Digest(),
		Good:        good,
		Fresh:       p.control.fresh(),
		Sure:        p.control.sure(),
	}
	if _, err := p.mesh.Broadcast(lavmesh.TopicBeat, b); err != nil {
		p.logger.Warn().Err(err).Msg("beat not sent")
	}
}

// entryToTell returns this host's entry for a beat: if it has changed, and now
// and then for those that are new. It is nil for all other beats.
func (p *peers) entryToTell() *lavmember.Member {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.beats++
	if p.self == p.toldSelf && p.beats < entryBeats {
		return nil
	}
	p.toldSelf, p.beats = p.self, 0
	entry := p.self
	return &entry
}

// hearBeat is the mesh's handler of beats.
func (p *peers) hearBeat(_ context.Context, _ string, body []byte) (any, error) {
	var b beat
	if err := lavmesh.Decode(body, &b); err != nil {
		return nil, err
	}
	digest := p.knowledge.Digest()
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	known := p.all[b.Incarnation]
	if b.Member != nil {
		known = p.know(*b.Member)
	}
	if known == nil {
		return nil, nil
	}
	known.heard, known.good, known.fresh, known.sure = now, b.Good, b.Fresh, b.Sure
	if b.Digest == digest {
		known.differs = time.Time{}
	} else if known.differs.IsZero() {
		known.differs = now
	}
	return nil, nil
}

// hearNews is the mesh's handler of changed entries.
func (p *peers) hearNews(_ context.Context, _ string, body []byte) (any, error) {
	var n news
	if err := lavmesh.Decode(body, &n); err != nil {
		return nil, err
	}
	changed, err := lavmirror.Decompress(n.Packed)
	if err != nil {
		return nil, err
	}
	p.knowledge.apply(changed, n.Settled || p.sureOfStore())
	return nil, nil
}

// tell spreads entries that have changed.
func (p *peers) tell(changed []lavmirror.Entry, settled bool) {
	packed, err := lavmirror.Compress(changed)
	if err != nil {
		p.logger.Error().Err(err).Msg("news not packed")
		return
	}
	if _, err := p.mesh.Broadcast(lavmesh.TopicNews, news{Packed: packed, Settled: settled}); err != nil {
		p.logger.Warn().Err(err).Msg("news not spread")
	}
}

// sureTime is how long it holds that a peer is sure of the store.
const sureTime = time.Second

// sureOfStore reports whether this host or a peer is sure that the store has not
// been away lately, so that an entry that goes is gone.
func (p *peers) sureOfStore() bool {
	if p.control.sure() {
		return true
	}
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, known := range p.all {
		if known.sure && now.Sub(known.heard) < sureTime {
			return true
		}
	}
	return false
}

// informed reports whether a peer that hears the store knows what this host
// knows.
func (p *peers) informed() bool {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, known := range p.all {
		if known.good && known.fresh && known.differs.IsZero() && now.Sub(known.heard) < aliveTime {
			return true
		}
	}
	return false
}

// Alive returns the members to which callers may be sent.
func (p *peers) Alive() []lavmember.Member {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	var alive []lavmember.Member
	for _, known := range p.all {
		if p.lives(known, now) && !known.member.Leaving && known.member.Entry.IsValid() {
			alive = append(alive, known.member)
		}
	}
	if !p.self.Leaving {
		alive = append(alive, p.self)
	}
	return alive
}
