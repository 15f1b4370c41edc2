package lavhost

import (
	"net/netip"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"lavenderrack.example/lavenderrack/lavconfig"
	"lavenderrack.example/lavenderrack/lavfleet"
	"lavenderrack.example/lavenderrack/lavmember"
	"lavenderrack.example/lavenderrack/lavmirror"
	"lavenderrack.example/lavenderrack/lavstore"
	"lavenderrack.example/lavenderrack/platform"

	"github.com/cespare/xxhash/v2"
	"github.com/phuslu/log"
)

// returnTime is how long after the store's return entries may be missing of
// endpoints that live.
const returnTime = 2200 * time.Millisecond

// knowledge is what the host makes of its copy of the store. It is safe for
// concurrent use.
type knowledge struct {
	mirror *lavmirror.Mirror
	fleet  *lavfleet.Fleet
	logger *log.Logger
	index  atomic.Pointer[lavconfig.Index]

	mu        sync.Mutex
	endpoints map[string]lavconfig.Endpoint
	// missing are endpoints whose entries went while the store was away or
	// just back, with the time at which they count as gone.
	missing map[string]time.Time
	out     map[string]bool
	members map[string]lavmember.Member
	// digests sums up the entries that matter, by key.
	digests map[string]uint64
	digest  uint64
}

func newKnowledge(mirror *lavmirror.Mirror, fleet *lavfleet.Fleet, logger *log.Logger) *knowledge {
	return &knowledge{
		mirror:    mirror,
		fleet:     fleet,
		logger:    logger,
		endpoints: make(map[string]lavconfig.Endpoint),
		missing:   make(map[string]time.Time),
		out:       make(map[string]bool),
		members:   make(map[string]lavmember.Member),
		digests:   make(map[string]uint64),
	}
}

// Index returns the desired state in force, nil before the first one.
func (k *knowledge) Index() *lavconfig.Index { return k.index.Load() }

// Digest names the entries that matter. Hosts that know the same have the same.
func (k *knowledge) Digest() uint64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.digest
}

// Members returns the members by the store.
func (k *knowledge) Members() []lavmember.Member {
	k.mu.Lock()
	defer k.mu.Unlock()
	members := make([]lavmember.Member, 0, len(k.members))
	for _, m := range k.members {
		members = append(members, m)
	}
	return members
}

// Serves reports whether an endpoint is known at an address.
func (k *knowledge) Serves(address netip.AddrPort) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, e := range k.endpoints {
		if e.Address == address {
			return true
		}
	}
	return false
}

// Entries returns the entries that matter, to be told to a peer.
func (k *knowledge) Entries() []lavmirror.Entry {
	k.mu.Lock()
	defer k.mu.Unlock()
	all := k.mirror.EntriesAfter(0)
	return slices.DeleteFunc(all, func(e lavmirror.Entry) bool {
		_, known := k.digests[e.Key]
		return !known && !e.Removed
	})
}

// apply merges entries and returns those that matter to others. Entries that go
// at a time when the store is not settled may come back.
func (k *knowledge) apply(entries []lavmirror.Entry, settled bool) []lavmirror.Entry {
	return k.take(k.mirror.Apply(entries), settled)
}

// replace merges a whole listing.
func (k *knowledge) replace(entries []lavmirror.Entry, at lavstore.Revision, settled bool) []lavmirror.Entry {
	return k.take(k.mirror.ApplySnapshot(entries, at), settled)
}

func (k *knowledge) take(news []lavmirror.Entry, settled bool) []lavmirror.Entry {
	k.mu.Lock()
	defer k.mu.Unlock()
	var matter []lavmirror.Entry
	for _, e := range news {
		if k.takeOne(e, settled) {
			matter = append(matter, e)
			k.sum(e)
		}
	}
	if len(matter) > 0 {
		k.publish()
	}
	return matter
}

// takeOne takes one entry over and reports whether it matters. The caller holds
// the lock.
func (k *knowledge) takeOne(e lavmirror.Entry, settled bool) bool {
	if id, ok := platform.EndpointID(e.Key); ok {
		return k.takeEndpoint(id, e, settled)
	}
	if id, ok := platform.MemberID(e.Key); ok {
		return k.takeMember(id, e)
	}
	if domain, ok := platform.EvacuatedDomain(e.Key); ok {
		k.takeEvacuation(domain, !e.Removed)
		return true
	}
	if e.Key == platform.KeyConfig && !e.Removed {
		k.takeConfig(e)
		return true
	}
	return false
}

func (k *knowledge) takeConfig(e lavmirror.Entry) {
	state, err := platform.DecodeConfig(e.Value)
	if err != nil {
		k.logger.Error().Err(err).Uint64("Revision", uint64(e.Revision)).Msg("desired state can't be read")
		return
	}
	if had := k.index.Load(); had != nil && had.Version() >= state.Version {
		return
	}
	k.index.Store(lavconfig.NewIndex(state))
	k.logger.Info().Uint64("Version", uint64(state.Version)).Uint64("Revision", uint64(e.Revision)).
		Int("Routes", len(state.Routes)).Msg("desired state in force")
}

func (k *knowledge) takeEvacuation(domain string, out bool) {
	if out {
		k.out[domain] = true
	} else {
		delete(k.out, domain)
	}
	k.logger.Info().Str("FailureDomain", domain).Bool("Out", out).Msg("failure domain")
}

func (k *knowledge) takeEndpoint(id string, e lavmirror.Entry, settled bool) bool {
	if e.Removed {
		return k.removeEndpoint(id, settled)
	}
	next, err := platform.DecodeEndpoint(id, e.Value)
	if err != nil {
		// An entry by another writer names no endpoint.
		k.logger.Warn().Err(err).Msg("endpoint entry is passed over")
		return k.removeEndpoint(id, true)
	}
	_, was := k.missing[id]
	delete(k.missing, id)
	had, known := k.endpoints[id]
	k.endpoints[id] = next
	// How long it stays cold changes with each heartbeat and is no news.
	had.ColdFor = next.ColdFor
	if known && had == next && !was {
		return false
	}
	k.logger.Info().Str("Endpoint", id).Str("Service", next.Service).Bool("Leaving", next.Leaving).
		Dur("ColdFor", next.ColdFor).Uint64("Revision", uint64(e.Revision)).Msg("endpoint")
	return true
}

func (k *knowledge) removeEndpoint(id string, settled bool) bool {
	if _, known := k.endpoints[id]; !known {
		return false
	}
	if settled {
		delete(k.endpoints, id)
		delete(k.missing, id)
	} else if _, waits := k.missing[id]; !waits {
		k.missing[id] = time.Now().Add(returnTime)
	}
	k.logger.Info().Str("Endpoint", id).Bool("Settled", settled).Msg("endpoint gone")
	return true
}

func (k *knowledge) takeMember(id string, e lavmirror.Entry) bool {
	if e.Removed {
		_, known := k.members[id]
		delete(k.members, id)
		return known
	}
	m, err := decodeMember(e.Value)
	if err != nil {
		k.logger.Warn().Err(err).Str("Member", id).Msg("member entry is passed over")
		return false
	}
	had, known := k.members[id]
	k.members[id] = m
	return !known || had != m
}

// sum keeps the digest. The caller holds the lock.
func (k *knowledge) sum(e lavmirror.Entry) {
	if strings.HasPrefix(e.Key, platform.PrefixMembers) {
		// Members tell of themselves on the mesh.
		return
	}
	k.digest ^= k.digests[e.Key]
	delete(k.digests, e.Key)
	if e.Removed {
		return
	}
	d := xxhash.New()
	_, _ = d.WriteString(e.Key)
	_, _ = d.Write(e.Value)
	k.digests[e.Key] = d.Sum64()
	k.digest ^= k.digests[e.Key]
}

// publish tells the fleet what is in service. The caller holds the lock.
func (k *knowledge) publish() {
	endpoints := make([]lavconfig.Endpoint, 0, len(k.endpoints))
	for _, e := range k.endpoints {
		endpoints = append(endpoints, e)
	}
	out := make([]string, 0, len(k.out))
	for domain := range k.out {
		out = append(out, domain)
	}
	var services []lavconfig.Service
	if x := k.index.Load(); x != nil {
		services = x.Services()
	}
	k.fleet.Update(services, endpoints, out)
}

// tick drops endpoints that have been missing for too long since the store came
// back, or at once if it has not been away. While it is away the last list holds.
func (k *knowledge) tick(away, sure bool) {
	now := time.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	dropped := false
	for id, until := range k.missing {
		if sure || !away && now.After(until) {
			delete(k.missing, id)
			delete(k.endpoints, id)
			dropped = true
			k.logger.Info().Str("Endpoint", id).Msg("endpoint has not come back")
		}
	}
	if dropped {
		k.publish()
	}
}
