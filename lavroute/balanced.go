package lavroute

import (
	"cmp"
	"slices"
	"time"

	"lavenderrack.example/lavenderrack/lavendpoint"
	"lavenderrack.example/lavenderrack/lavrequest"
)

// Balanced picks the endpoint with the earliest expected first token.
type Balanced struct {
	caches *CacheIndex
}

// NewBalanced returns a Balanced policy. If caches is nil, the policy ignores
// which prefixes are cached.
func NewBalanced(caches *CacheIndex) *Balanced { return &Balanced{caches: caches} }

// Parameters of the cost estimate.
const (
	// runningRequestCost is the time, in seconds, by which each running request
	// delays the next one.
	runningRequestCost = 0.0005
	// coldCost and warmingCost are added, in seconds, for endpoints that have
	// just started, so that they receive work only if the others are slower by
	// more than that.
	coldCost    = 1.0
	warmingCost = 0.1
	// suspectCost is added, in seconds, for an endpoint that runs a request
	// suspected of crashing it, so that other requests avoid it.
	suspectCost = 30.0
	// maxLongPromptWait is the longest prefill backlog, in seconds, behind
	// which a long prompt is queued at an endpoint. Beyond it the prompt stays
	// queued at the entry host, from where it can go to whichever endpoint has
	// capacity first.
	maxLongPromptWait = 1.0
	// shortReserveDivisor determines the memory reserve for short prompts:
	// 1/shortReserveDivisor of an endpoint's memory.
	shortReserveDivisor = 16
	// tieJitterSeconds and tieJitterFraction limit the random cost that
	// distributes requests over nearly equal endpoints. Without it, all hosts
	// would pick the same endpoint, since they use the same stale load reports.
	// The first limit is a time in seconds, the second a fraction of the
	// prefill time.
	tieJitterSeconds  = 0.002
	tieJitterFraction = 0.1
	// homeCostFraction is the extra time that a request accepts to reach the
	// home endpoint of its prefix, as a fraction of the prefill time of that
	// prefix. It applies if no endpoint is known to have the prefix cached.
	homeCostFraction = 0.5
)

// cacheHitBonus is, by lane, the additional value of prefill time saved by a
// cache hit, relative to that time. The saving counts beyond the latency of the
// request itself, because the endpoint can use the time for other requests.
var cacheHitBonus = [lavrequest.ClassCount]float64{0.5, 2, 2, 2}

// estimate holds the inputs of the cost estimate that are the same for all
// candidates.
type estimate struct {
	query
	local []LocalLoad
	seed  uint64
	// elapsed is the time since the table was built, in seconds.
	elapsed      float64
	promptTokens float64
	// backlogFraction is the fraction of an endpoint's pending prefill that is
	// processed before this request.
	backlogFraction float64
}

// Pick implements Policy.
func (p *Balanced) Pick(now time.Time, table *RoutingTable, local []LocalLoad, pr *PlacementRequest) int {
	e := estimate{
		query:           newQuery(table, pr),
		local:           local,
		seed:            requestHash(pr),
		elapsed:         max(now.Sub(table.createdAt).Seconds(), 0),
		promptTokens:    float64(pr.Request.PromptTokens),
		backlogFraction: table.backlogFractions[pr.Lane],
	}
	best, bestTime := -1, 0.0
	remaining := maxScored
	for _, i := range table.candidatesFor(pr.Request.Model).byBaseCost {
		// Candidates are sorted by base cost, so no later one can be faster.
		if best >= 0 && table.endpointStates[i].baseCost >= bestTime || remaining == 0 {
			break
		}
		if !e.hasCapacity(i) {
			continue
		}
		remaining--
		if t := e.firstTokenTime(i, e.promptTokens); best < 0 || t < bestTime {
			if t += e.jitter(e.seed, i); best < 0 || t < bestTime {
				best, bestTime = int(i), t
			}
		}
	}
	if best < 0 || len(pr.Request.Prefixes) == 0 {
		return best
	}
	return p.pickByPrefix(&e, best, bestTime)
}

// pickByPrefix returns an endpoint that has part of the prompt cached, or the
// home endpoint of its prefix, if that one is better than best when the cache
// is taken into account.
func (p *Balanced) pickByPrefix(e *estimate, best int, bestTime float64) int {
	var buffer [maxHits]Hit
	var hits []Hit
	if p.caches != nil {
		hits = p.caches.Hits(e.placement.Request.Prefixes, e.seed, buffer[:0])
	}
	for _, hit := range hits {
		i, ok := e.table.indexByName[hit.Endpoint]
		if !ok || !e.serves(i) || !e.hasCapacity(i) {
			continue
		}
		// The jitter depends on the prefix instead of the request. Requests
		// thus prefer the same one of several cached copies while it is fast,
		// and the other copies can be evicted.
		cached := min(float64(lavrequest.PrefixTokens(hit.Blocks)), e.promptTokens)
		t := e.firstTokenTime(i, e.promptTokens-cached) + e.jitter(uint64(e.placement.Request.Prefixes[0]), i)
		t -= cacheHitBonus[e.placement.Lane] * cached * e.table.endpointStates[i].secondsPerToken
		if t < bestTime {
			best, bestTime = int(i), t
		}
	}
	if len(hits) > 0 {
		return best
	}
	home := e.homeEndpoint()
	prefixTokens := min(float64(lavrequest.PrefixTokens(len(e.placement.Request.Prefixes))), e.promptTokens)
	if home >= 0 && e.jitteredFirstTokenTime(home, 0) <= bestTime+homeCostFraction*prefixTokens*e.table.endpointStates[home].secondsPerToken {
		return int(home)
	}
	return best
}

// homeEndpoint returns the endpoint for requests whose prefix is not known to
// be cached anywhere, so that they reach one endpoint and share its cache. It
// is the first endpoint on the hash ring that may take the request and has no
// large prefill backlog, because long prompts would evict the prefix. Hosts
// with consistent load reports choose the same endpoint. It returns -1 if there
// is none.
func (e *estimate) homeEndpoint() int32 {
	hashRing := e.table.candidatesFor(e.placement.Request.Model).hashRing
	seed := mixHashes(uint64(e.placement.Request.Prefixes[0]), prefixHashSeed)
	start, _ := slices.BinarySearchFunc(hashRing, seed, func(i int32, want uint64) int {
		return cmp.Compare(e.table.endpointStates[i].hash, want)
	})
	for step := range min(len(hashRing), maxHomeProbes) {
		i := hashRing[(start+step)%len(hashRing)]
		if state := &e.table.endpointStates[i]; e.hasCapacity(i) && state.pendingTokens*state.secondsPerToken < maxLongPromptWait {
			return i
		}
	}
	return -1
}

// Limits of one decision.
const (
	// maxScored limits the eligible endpoints whose costs are compared.
	maxScored = 384
	// maxHomeProbes limits the endpoints tried on the hash ring.
	maxHomeProbes = 8
	// prefixHashSeed makes the hashes of prefixes independent of those of
	// endpoint names.
	prefixHashSeed = 0x9e3779b97f4a7c15
)

// serves reports whether an endpoint of the snapshot accepts work and has the
// model loaded.
func (e *estimate) serves(i int32) bool {
	endpoint := &e.table.Snapshot.Endpoints[i]
	return endpoint.Phase.TakesWork() && endpoint.Serves(e.placement.Request.Model, "")
}

// hasCapacity reports whether the endpoint may take the request now. Requests
// outside the shortest lane must leave the memory reserve for short prompts
// free. Long ones are also not queued behind a large prefill backlog.
func (e *estimate) hasCapacity(i int32) bool {
	local := &e.local[i]
	if !e.accepts(i, local) {
		return false
	}
	if e.placement.Lane == lavrequest.ClassShort || e.placement.IgnoreCapacity {
		return true
	}
	state := &e.table.endpointStates[i]
	if state.phase == lavendpoint.PhaseReady && local.Requests > 0 && local.AvailableCredit < e.requiredCredit+state.shortReserve {
		return false
	}
	return e.placement.Lane < lavrequest.ClassLong || e.tokensAhead(i)*state.secondsPerToken <= maxLongPromptWait
}

// tokensAhead estimates the prompt tokens that the endpoint processes before
// this prompt. The result is at least the pending tokens of this host in the
// same and in shorter lanes.
func (e *estimate) tokensAhead(i int32) float64 {
	state, local := &e.table.endpointStates[i], &e.local[i]
	pending := state.pendingTokens - state.prefillRate*e.elapsed
	if pending < 0 {
		pending = 0
	}
	pending = e.backlogFraction * (pending + float64(local.PendingPrefillSinceReport))
	localTokens := local.PendingPrefill[0]
	for lane := lavrequest.ClassMedium; lane <= e.placement.Lane; lane++ {
		localTokens += local.PendingPrefill[lane]
	}
	if float64(localTokens) > pending {
		return float64(localTokens)
	}
	return pending
}

// firstTokenTime returns the expected time to the first token, in seconds, if
// the given number of prompt tokens is not cached.
func (e *estimate) firstTokenTime(i int32, uncached float64) float64 {
	state, local := &e.table.endpointStates[i], &e.local[i]
	t := state.baseCost + (e.tokensAhead(i)+uncached)*state.secondsPerToken + runningRequestCost*float64(local.RequestsSinceReport)
	if e.placement.Lane >= lavrequest.ClassLong {
		t += state.evictionCost
	}
	if local.Alone > 0 {
		t += suspectCost
	}
	// A suspect request is charged one second for each request that runs at the
	// endpoint, because a crash would fail all of them.
	if e.placement.Alone {
		t += float64(local.Requests) + state.running
	}
	return t
}

// jitter returns a pseudo-random cost, in seconds, that distributes requests
// over nearly equal endpoints.
func (e *estimate) jitter(seed uint64, i int32) float64 {
	state := &e.table.endpointStates[i]
	fraction := float64(mixHashes(seed, state.hash)>>40) / (1 << 24)
	return fraction * (tieJitterSeconds + tieJitterFraction*e.promptTokens*state.secondsPerToken)
}

// jitteredFirstTokenTime returns the expected time to the first token, in
// seconds, plus jitter, if the endpoint has the given number of prompt tokens
// cached.
func (e *estimate) jitteredFirstTokenTime(i int32, cached int) float64 {
	return e.firstTokenTime(i, max(e.promptTokens-float64(cached), 0)) + e.jitter(e.seed, i)
}

// Request priorities at the endpoints, derived from the lane; lower values are
// scheduled first. A request in the last 1/nearDeadlineDivisor of its allowed
// time goes before all lanes but the shortest.
const (
	priorityStep         = 10
	priorityNearDeadline = 5
	nearDeadlineDivisor  = 4
)

// Priority implements Policy.
func (p *Balanced) Priority(now time.Time, pr *PlacementRequest) int {
	priority := int(pr.Lane) * priorityStep
	allowed := pr.Request.Deadline.Sub(pr.Request.Arrived)
	if remaining := pr.Request.Deadline.Sub(now); remaining < allowed/nearDeadlineDivisor {
		priority = min(priority, priorityNearDeadline)
	}
	return priority
}
