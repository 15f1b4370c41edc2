package lavroute

import (
	"cmp"
	"slices"
	"time"

	"lavenderrack.example/lavenderrack/lavendpoint"
	"lavenderrack.example/lavenderrack/lavrequest"

	"github.com/cespare/xxhash/v2"
)

// RoutingTable is an immutable index over an endpoint snapshot. A host builds
// one for each new snapshot. A pick then examines only the endpoints that serve
// the model and reads little memory for each.
type RoutingTable struct {
	Snapshot  *lavendpoint.Snapshot
	createdAt time.Time
	// backlogFractions estimates, by lane, how much of the pending prefill at an
	// endpoint is processed before a request.
	backlogFractions BacklogFractions
	endpointStates   []endpointState
	// byModel lists, by model, the endpoints that accept work and have the
	// model loaded.
	byModel     map[string]*candidates
	indexByName map[string]int32
}

// candidates lists the endpoints that accept work and have one model loaded.
type candidates struct {
	// byBaseCost is sorted by base cost, lowest first.
	byBaseCost []int32
	// hashRing is sorted by endpoint hash.
	hashRing []int32
}

// noCandidates is used for a model that no endpoint has loaded.
var noCandidates candidates

// endpointState holds the values of one endpoint that a pick needs. Times are
// in seconds and rates in tokens per second, as floating-point numbers, because
// a pick multiplies them for every candidate.
type endpointState struct {
	hash  uint64
	phase lavendpoint.Phase
	// shortReserve is the memory, in tokens, that requests outside the shortest
	// lane must leave free.
	shortReserve int
	// networkDelay is the delay to the endpoint's failure domain. baseCost is
	// that delay plus all other costs that do not depend on the prompt length.
	networkDelay float64
	baseCost     float64
	// prefillRate is the prefill speed, and secondsPerToken its inverse.
	prefillRate     float64
	secondsPerToken float64
	// pendingTokens is the estimate, from the last load report, of the prompt
	// tokens whose prefill was pending when the table was built.
	pendingTokens float64
	// running is the number of running requests in the last load report.
	running float64
	// evictionCost is the time to prefill again the reused cached prefixes that
	// a long prompt would evict.
	evictionCost float64
}

// fallbackPrefillRate replaces the prefill rate of an endpoint that reports
// none, in tokens per second.
const fallbackPrefillRate = 10_000

// Locality describes a host's position in the network and which endpoints it
// prefers. It determines the cost of reaching an endpoint.
type Locality struct {
	FailureDomain string
	// SameRegionDelay and OtherRegionDelay are the times added to a request to
	// another failure domain in the same region or in another one, including
	// link delay and packet loss.
	SameRegionDelay  time.Duration
	OtherRegionDelay time.Duration
	// Preferred, if not nil, reports whether this host should use the endpoint
	// before others. If the hosts divide the endpoints among themselves, two
	// hosts rarely overload the same endpoint, which they would notice only
	// when the next load report arrives.
	Preferred func(e *lavendpoint.Endpoint) bool
	// ReusedTokens, if not nil, returns the number of cached tokens at an
	// endpoint that have been reused by later prompts.
	ReusedTokens func(endpoint string) int
}

// nonPreferredCost is the time, in seconds, by which another endpoint must be
// faster than the preferred ones to be chosen.
const nonPreferredCost = 0.004

// Network delays for a Locality that sets none.
const (
	defaultSameRegionDelay  = 15 * time.Millisecond
	defaultOtherRegionDelay = 100 * time.Millisecond
)

// BacklogFractions is, by lane, the fraction of the pending prefill tokens at
// an endpoint that is processed before a request of that lane. Shorter lanes
// have higher priority and thus smaller fractions.
type BacklogFractions [lavrequest.ClassCount]float64

// DefaultBacklogFractions returns the fractions used until a host has
// measurements of its own.
func DefaultBacklogFractions() BacklogFractions { return BacklogFractions{0.02, 0.2, 0.5, 1} }

// NewRoutingTable builds the table for a snapshot, with costs as seen from a
// host at the given locality.
func NewRoutingTable(now time.Time, snapshot *lavendpoint.Snapshot, locality Locality, backlogFractions BacklogFractions) *RoutingTable {
	t := &RoutingTable{
		Snapshot:         snapshot,
		backlogFractions: backlogFractions,
		createdAt:        now,
		endpointStates:   make([]endpointState, len(snapshot.Endpoints)),
		byModel:          make(map[string]*candidates),
		indexByName:      make(map[string]int32, len(snapshot.Endpoints)),
	}
	region := locality.region(snapshot)
	for i := range snapshot.Endpoints {
		e := &snapshot.Endpoints[i]
		t.indexByName[e.Name] = int32(i)
		t.endpointStates[i] = newEndpointState(now, e, locality.networkDelay(e, region))
		if locality.Preferred != nil && !locality.Preferred(e) {
			t.endpointStates[i].baseCost += nonPreferredCost
		}
		if locality.ReusedTokens != nil {
			t.endpointStates[i].evictionCost = float64(locality.ReusedTokens(e.Name)) * t.endpointStates[i].secondsPerToken
		}
		if e.Service != "" || !e.Phase.TakesWork() {
			continue
		}
		for _, model := range e.Report.Models {
			c := t.byModel[model]
			if c == nil {
				c = &candidates{}
				t.byModel[model] = c
			}
			c.byBaseCost = append(c.byBaseCost, int32(i))
		}
	}
	for _, c := range t.byModel {
		c.hashRing = slices.Clone(c.byBaseCost)
		slices.SortStableFunc(c.byBaseCost, func(x, y int32) int { return cmp.Compare(t.endpointStates[x].baseCost, t.endpointStates[y].baseCost) })
		slices.SortFunc(c.hashRing, func(x, y int32) int { return cmp.Compare(t.endpointStates[x].hash, t.endpointStates[y].hash) })
	}
	return t
}

// candidatesFor returns the candidates for a model.
func (t *RoutingTable) candidatesFor(model string) *candidates {
	if c := t.byModel[model]; c != nil {
		return c
	}
	return &noCandidates
}

// newEndpointState derives the state of an endpoint from its last load report.
// It subtracts the prefill that the endpoint has presumably done since the
// report was taken.
func newEndpointState(now time.Time, e *lavendpoint.Endpoint, networkDelay time.Duration) endpointState {
	state := endpointState{
		hash:         xxhash.Sum64String(e.Name),
		phase:        e.Phase,
		shortReserve: e.Report.MemoryTokens / shortReserveDivisor,
		networkDelay: networkDelay.Seconds(),
		prefillRate:  e.Report.PrefillRate,
		running:      float64(e.Report.Running),
	}
	if state.prefillRate <= 0 {
		state.prefillRate = fallbackPrefillRate
	}
	state.secondsPerToken = 1 / state.prefillRate
	state.pendingTokens = float64(e.Report.WaitingTokens)
	if !e.Report.Taken.IsZero() {
		state.pendingTokens = max(state.pendingTokens-state.prefillRate*max(now.Sub(e.Report.Taken).Seconds(), 0), 0)
	}
	state.baseCost = state.networkDelay + runningRequestCost*state.running
	switch e.Phase {
	case lavendpoint.PhaseCold:
		state.baseCost += coldCost
	case lavendpoint.PhaseWarming:
		state.baseCost += warmingCost
	default:
	}
	return state
}

// region returns the host's region, which is that of any endpoint in its
// failure domain, or an empty string if there is none.
func (l Locality) region(snapshot *lavendpoint.Snapshot) string {
	for i := range snapshot.Endpoints {
		if e := &snapshot.Endpoints[i]; e.FailureDomain == l.FailureDomain {
			return e.Region
		}
	}
	return ""
}

// networkDelay returns the delay from a host in the given region to the
// endpoint.
func (l Locality) networkDelay(e *lavendpoint.Endpoint, region string) time.Duration {
	switch {
	case e.FailureDomain == l.FailureDomain:
		return 0
	case e.Region == region || e.Region == "" || region == "":
		return orDefault(l.SameRegionDelay, defaultSameRegionDelay)
	default:
		return orDefault(l.OtherRegionDelay, defaultOtherRegionDelay)
	}
}

func orDefault(d, fallback time.Duration) time.Duration {
	if d <= 0 {
		return fallback
	}
	return d
}

// Index returns the index of the endpoint with the given name, or -1.
func (t *RoutingTable) Index(name string) int {
	i, ok := t.indexByName[name]
	if !ok {
		return -1
	}
	return int(i)
}

// Serves reports whether any endpoint that accepts work has the model loaded.
func (t *RoutingTable) Serves(model string) bool { return len(t.candidatesFor(model).byBaseCost) > 0 }
