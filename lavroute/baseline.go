package lavroute

import (
	"sync/atomic"
	"time"
)

// equalPriority implements the Priority method of the baseline policies, which
// give every request the same priority.
type equalPriority struct{}

// Priority implements Policy.
func (equalPriority) Priority(time.Time, *PlacementRequest) int { return 0 }

// Random picks a random endpoint among those that may take the request.
type Random struct{ equalPriority }

// Pick implements Policy.
func (Random) Pick(_ time.Time, t *RoutingTable, local []LocalLoad, pr *PlacementRequest) int {
	seed := requestHash(pr)
	return t.highestRanked(local, pr, func(i int32) uint64 { return mixHashes(seed, t.endpointStates[i].hash) })
}

// PrefixHash picks an endpoint by the hash of the first prefix block, so that
// prompts with the same beginning go to the same endpoint (rendezvous hashing).
type PrefixHash struct{ equalPriority }

// Pick implements Policy.
func (PrefixHash) Pick(_ time.Time, t *RoutingTable, local []LocalLoad, pr *PlacementRequest) int {
	seed := requestHash(pr)
	if len(pr.Request.Prefixes) > 0 {
		seed = uint64(pr.Request.Prefixes[0])
	}
	return t.highestRanked(local, pr, func(i int32) uint64 { return mixHashes(seed, t.endpointStates[i].hash) })
}

// highestRanked returns the index of the endpoint with the highest rank among
// those that may take the request, or -1.
func (t *RoutingTable) highestRanked(local []LocalLoad, pr *PlacementRequest, rank func(i int32) uint64) int {
	q := newQuery(t, pr)
	best, highestRank := -1, uint64(0)
	for _, i := range t.candidatesFor(pr.Request.Model).byBaseCost {
		if !q.accepts(i, &local[i]) {
			continue
		}
		if r := rank(i); best < 0 || r > highestRank {
			best, highestRank = int(i), r
		}
	}
	return best
}

// RoundRobin picks the endpoints in rotation.
type RoundRobin struct {
	equalPriority
	next atomic.Uint64
}

// Pick implements Policy.
func (p *RoundRobin) Pick(_ time.Time, t *RoutingTable, local []LocalLoad, pr *PlacementRequest) int {
	q := newQuery(t, pr)
	candidates := t.candidatesFor(pr.Request.Model).byBaseCost
	n := uint64(len(candidates))
	start := p.next.Load()
	for step := range n {
		i := candidates[(start+step)%n]
		if q.accepts(i, &local[i]) {
			p.next.Store(start + step + 1)
			return int(i)
		}
	}
	return -1
}

// LeastOutstanding picks the endpoint with the fewest unfinished requests of
// this host.
type LeastOutstanding struct{ equalPriority }

// Pick implements Policy.
func (LeastOutstanding) Pick(_ time.Time, t *RoutingTable, local []LocalLoad, pr *PlacementRequest) int {
	q := newQuery(t, pr)
	candidates := t.candidatesFor(pr.Request.Model).byBaseCost
	n := len(candidates)
	if n == 0 {
		return -1
	}
	// The scan starts at a position derived from the request, so that ties do
	// not always go to the first endpoint.
	start := int(requestHash(pr) % uint64(n))
	best, fewest := -1, 0
	for step := range n {
		i := candidates[(start+step)%n]
		if !q.accepts(i, &local[i]) {
			continue
		}
		if outstanding := local[i].Requests; best < 0 || outstanding < fewest {
			best, fewest = int(i), outstanding
		}
	}
	return best
}
