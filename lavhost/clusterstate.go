package lavhost

import (
	"net/netip"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"lavenderrack.example/lavenderrack/lavconfig"
	"lavenderrack.example/lavenderrack/lavcrash"
	"lavenderrack.example/lavenderrack/lavfleet"
	"lavenderrack.example/lavenderrack/lavmember"
	"lavenderrack.example/lavenderrack/lavmirror"
	"lavenderrack.example/lavenderrack/lavstore"
	"lavenderrack.example/lavenderrack/platform"

	"github.com/cespare/xxhash/v2"
	"github.com/phuslu/log"
)

// recoveryGrace is how long after a recovery of the store entries of live
// endpoints may be missing: entries that expired during the outage have to be
// written again.
const recoveryGrace = 2200 * time.Millisecond

// clusterState is the decoded content of the host's replica of the store: the
// desired state, the endpoints, the members and the evacuated failure domains.
// It is safe for concurrent use.
type clusterState struct {
	mirror *lavmirror.Mirror
	fleet  *lavfleet.Fleet
	logger *log.Logger
	// mergeBlock applies the entry of a block.
	mergeBlock func(t lavcrash.Trait, e lavmirror.Entry, removalsFinal bool)
	index      atomic.Pointer[lavconfig.Index]

	// order is held while entries change the mirror and are then merged, so that of two changes of
	// a key the newer one is merged last. It is locked before mu.
	order sync.Mutex
	mu    sync.Mutex
	// config is the entry of the desired state in force.
	config    lavmirror.Entry
	endpoints map[string]lavconfig.Endpoint
	// missing holds endpoints whose entries disappeared while the store was
	// unavailable or had just recovered, with the time at which they are
	// dropped.
	missing map[string]time.Time
	// evacuated holds the failure domains that are out of service.
	evacuated map[string]bool
	// lostEvacuations holds the evacuated failure domains whose entries disappeared
	// with an era, with the time at which they return to service.
	lostEvacuations map[string]time.Time
	members         map[string]lavmember.Member
	eras            eraTracker
	// entryDigests holds the hashes of the relevant entries by key, and digest
	// is the XOR of all of them.
	entryDigests map[string]uint64
	digest       uint64
}

func newClusterState(mirror *lavmirror.Mirror, fleet *lavfleet.Fleet, logger *log.Logger) *clusterState {
	return &clusterState{
		mirror:          mirror,
		mergeBlock:      func(lavcrash.Trait, lavmirror.Entry, bool) {},
		fleet:           fleet,
		logger:          logger,
		endpoints:       make(map[string]lavconfig.Endpoint),
		missing:         make(map[string]time.Time),
		evacuated:       make(map[string]bool),
		lostEvacuations: make(map[string]time.Time),
		members:         make(map[string]lavmember.Member),
		entryDigests:    make(map[string]uint64),
	}
}

// Index returns the desired state in force, nil before the first one.
func (s *clusterState) Index() *lavconfig.Index { return s.index.Load() }

// Digest returns a hash of the relevant entries. It is equal on hosts that have
// the same entries.
func (s *clusterState) Digest() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.digest
}

// Members returns the members that the store lists.
func (s *clusterState) Members() []lavmember.Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	members := make([]lavmember.Member, 0, len(s.members))
	for _, m := range s.members {
		members = append(members, m)
	}
	return members
}

// HasIncarnation reports whether an endpoint is known as this incarnation.
func (s *clusterState) HasIncarnation(life lavconfig.Incarnation) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, known := s.endpoints[life.ID]
	return known && e.Incarnation() == life
}

// HasEndpointAt reports whether a known endpoint has the address.
func (s *clusterState) HasEndpointAt(address netip.AddrPort) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range s.endpoints {
		if e.Address == address {
			return true
		}
	}
	return false
}

// RelevantEntries returns the entries to send to a peer: those that the digest
// covers, and all tombstones.
func (s *clusterState) RelevantEntries() []lavmirror.Entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := s.mirror.EntriesAfter(0)
	return slices.DeleteFunc(all, func(e lavmirror.Entry) bool {
		_, known := s.entryDigests[e.Key]
		return !known && !e.Removed
	})
}

// apply merges entries and returns those that peers need. If removalsFinal is
// false, a removed entry may have expired only because the store was
// unavailable, and its endpoint stays in service for recoveryGrace.
func (s *clusterState) apply(entries []lavmirror.Entry, removalsFinal bool) []lavmirror.Entry {
	s.order.Lock()
	defer s.order.Unlock()
	return s.merge(s.mirror.Apply(s.keepNewerConfig(entries)), removalsFinal)
}

// replace merges a complete listing at a revision, and otherwise works like
// apply.
func (s *clusterState) replace(entries []lavmirror.Entry, at lavstore.Revision, removalsFinal bool) []lavmirror.Entry {
	s.order.Lock()
	defer s.order.Unlock()
	return s.merge(s.mirror.ApplySnapshot(s.keepNewerConfig(entries), at), removalsFinal)
}

// merge decodes entries that are newer than those known before and returns the
// ones that peers need. The caller holds s.order.
func (s *clusterState) merge(changed []lavmirror.Entry, removalsFinal bool) []lavmirror.Entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.recordEra(changed)
	removalsFinal = removalsFinal && s.eras.settled(time.Now())
	var relevant []lavmirror.Entry
	for _, e := range changed {
		if s.mergeEntry(e, removalsFinal) {
			relevant = append(relevant, e)
			s.updateDigest(e)
		}
	}
	if len(relevant) > 0 {
		s.updateFleet()
	}
	return relevant
}

// updateDigest updates the digest with a changed entry. The caller holds the
// lock.
func (s *clusterState) updateDigest(e lavmirror.Entry) {
	if strings.HasPrefix(e.Key, platform.PrefixMembers) {
		// Member entries are not part of the digest: members announce
		// themselves in heartbeats on the mesh.
		return
	}
	s.digest ^= s.entryDigests[e.Key]
	delete(s.entryDigests, e.Key)
	if e.Removed {
		return
	}
	hash := xxhash.New()
	_, _ = hash.WriteString(e.Key)
	_, _ = hash.Write(e.Value)
	s.entryDigests[e.Key] = hash.Sum64()
	s.digest ^= s.entryDigests[e.Key]
}

// updateFleet passes the services, endpoints and evacuated failure domains to
// the fleet. The caller holds the lock.
func (s *clusterState) updateFleet() {
	endpoints := make([]lavconfig.Endpoint, 0, len(s.endpoints))
	for _, e := range s.endpoints {
		endpoints = append(endpoints, e)
	}
	evacuated := make([]string, 0, len(s.evacuated))
	for domain := range s.evacuated {
		evacuated = append(evacuated, domain)
	}
	var services []lavconfig.Service
	if index := s.index.Load(); index != nil {
		services = index.Services()
	}
	s.fleet.Update(services, endpoints, evacuated)
}

// dropMissing drops missing endpoints and lost evacuations whose entries have not come back
// within recoveryGrace, or all missing endpoints if removals are final. While the store is
// unavailable nothing is dropped for its age.
func (s *clusterState) dropMissing(storeUnavailable, removalsFinal bool) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	removalsFinal = removalsFinal && s.eras.settled(now)
	dropped := false
	for id, until := range s.missing {
		if removalsFinal || !storeUnavailable && now.After(until) {
			delete(s.missing, id)
			delete(s.endpoints, id)
			dropped = true
			s.logger.Info().Str("Endpoint", id).Msg("endpoint has not come back")
		}
	}
	for domain, until := range s.lostEvacuations {
		if !storeUnavailable && now.After(until) {
			delete(s.lostEvacuations, domain)
			delete(s.evacuated, domain)
			dropped = true
			s.logger.Info().Str("FailureDomain", domain).Msg("evacuation has not come back")
		}
	}
	if dropped {
		s.updateFleet()
	}
}
