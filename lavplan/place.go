package lavplan

import (
	"cmp"
	"math"
	"slices"
	"time"

	"lavenderrack.example/lavenderrack/lavconfig"
)

// Candidate is an endpoint that may receive a request, with its load.
type Candidate struct {
	Load
	// Slots is the number of requests that run at a time; further ones queue.
	Slots int
	// Slowdown is the endpoint's processing time relative to its normal one, 1 for
	// normal speed.
	Slowdown float64
	// InBackoff is true for a time after the endpoint has failed. Such an endpoint
	// is chosen only if there is no other.
	InBackoff bool
}

// Plan selects the candidates that serve a request. Primary and Helpers are indexes
// into the candidates: the primary endpoint receives the request and generates the
// answer, helpers only prefill a part of the prompt.
type Plan struct {
	Primary int
	Helpers []int
	// Prefill is the time that each selected endpoint spends on its part.
	Prefill time.Duration
	// Expected is the estimated time to the first event.
	Expected time.Duration
	// Wait is true if the prompt should be delayed until the selected endpoints have
	// worked off their prefill backlog. Sent now, its parts would share an iteration
	// with that backlog and make streams late that otherwise stay in time.
	Wait bool
	// Crowds is true if the prompt would take room that more urgent ones are expected to need.
	// It should wait as long as it can.
	Crowds bool
	// Displaces is true if that is nearly the last room. A prompt that can't wait is refused.
	Displaces bool
	// Reserve is the KV cache space to reserve at the helpers, in tokens and in the
	// order of Helpers. Helpers beyond its end need no reservation.
	Reserve []int
}

const (
	// maxParts is the largest number of parts of a prompt: one on the primary
	// endpoint and one on each helper that a request may name.
	maxParts = 17
	// waitMinTokens is the prompt length above which a plan may set Wait.
	waitMinTokens = 12_000
	// kvFraction is the fraction of an engine's KV cache that plans fill. The rest
	// covers load that other hosts have placed and not yet reported.
	kvFraction = 0.92
)

// Costs in units of one late answer to a short prompt.
const (
	// backoffCost ranks endpoints in backoff behind all others.
	backoffCost = 1000
	// slotQueueCost is added for each request that must end before this one gets a
	// slot.
	slotQueueCost = 1.0
	// occupancyCost is added for each request beyond occupancyFraction of the slots.
	// The remaining slots are left to hosts whose load has not been reported yet.
	occupancyCost     = 0.12
	occupancyFraction = 0.7
	// firstStreamCost is the cost of placing a stream on an endpoint without any,
	// which can then no longer prefill long prompts without making the stream late.
	firstStreamCost = 0.5
	// affinityGain is the gain for each request of the same class on the endpoint.
	affinityGain = 0.03
	// mixedClassCost is the cost of placing a tight stream beside other streams, or
	// the reverse: prefill of the others' long prompts delays the tight streams.
	mixedClassCost = 1.0
	// reservationCost is the cost of having to reserve KV cache space at helpers.
	reservationCost = 1.0
	// backlogCost is the cost of each second of prefill backlog. It selects the less
	// loaded one of two endpoints that are equal otherwise.
	backlogCost = 0.2
	// prefillDelayCost is the cost of a second of new prefill for each second of
	// backlog. Engines prefill the newest part first, so every later part delays a
	// long prompt that is already in progress.
	prefillDelayCost = 3.0
	// helperCost is the cost of each helper: one more endpoint whose failure delays
	// the prompt.
	helperCost = 0.02
	// tieBreakSpread bounds the random cost that a host adds for each endpoint.
	tieBreakSpread = 0.12
	// unsampledCost ranks endpoints outside the random sample behind those in it.
	unsampledCost = 100
)

// In a fleet of more than sampleHosts, many prompts are placed between two load
// reports. If every host chose the best endpoint that it knows of, all would choose
// the same one. Each host therefore chooses the primary endpoint from a random
// sample, drawn for each prompt. The sample shrinks as the number of hosts grows.
const (
	sampleHosts = 16
	// sampleFraction is the fraction of the endpoints in the sample at sampleHosts,
	// and minSample the smallest size of a sample.
	sampleFraction = 0.3
	minSample      = 3
)

// TieBreakers are random costs, one for each endpoint, that make hosts with the same
// view of the fleet choose different endpoints.
type TieBreakers struct {
	// Prefill is added for every selected endpoint, Primary for the primary one only.
	Prefill, Primary []float64
}

// DrawTieBreakers draws the costs for one prompt in a fleet with the given number of
// hosts. draw returns random numbers in [0, 1). In a fleet of more than sampleHosts,
// endpoints outside the sample get unsampledCost as primary endpoints.
func DrawTieBreakers(endpoints, hosts int, draw func() float64) TieBreakers {
	t := TieBreakers{Prefill: make([]float64, endpoints), Primary: make([]float64, endpoints)}
	for i := range t.Prefill {
		t.Prefill[i] = draw() * tieBreakSpread
	}
	if hosts <= sampleHosts {
		return t
	}
	fraction := sampleFraction * sampleHosts / float64(hosts)
	sample := max(int(fraction*float64(endpoints)), minSample)
	sorted := slices.Sorted(slices.Values(t.Prefill))
	for i := range t.Primary {
		if sample < endpoints && t.Prefill[i] >= sorted[sample] {
			t.Primary[i] += unsampledCost
		}
	}
	return t
}

// Place chooses the endpoints for a prompt, or returns false if none has enough KV
// cache space.
//
// For each number of parts it selects the endpoints on which a part costs least. Of
// these selections it returns the one with the lowest total cost, which includes the
// answers that longer iterations make late, the delay of the prompt itself, and the
// tie-breaking costs.
func Place(e *lavconfig.Engine, p Prompt, candidates []Candidate, tieBreakers TieBreakers) (Plan, bool) {
	fewest, most := partsFor(e, p, candidates)
	lowest := math.Inf(1)
	best := Plan{}
	for parts := fewest; parts <= most; parts++ {
		plan, cost, ok := placeParts(e, p, candidates, tieBreakers, parts)
		if ok && cost < lowest {
			best, lowest = plan, cost
		}
	}
	room, deference := freeRoom(candidates), p.deference(e)
	best.Crowds, best.Displaces = room < keptRoom*deference, room < leastRoom*deference
	return best, !math.IsInf(lowest, 1)
}

// Limits for prompts whose prefill occupies the whole fleet for a long time.
const (
	// bulkThreshold is the prefill time, split over the largest number of parts,
	// from which a prompt counts as bulk. Without a limit on its parts, other
	// prompts would wait too long for the endpoints that it occupies.
	bulkThreshold = 330 * time.Millisecond
	// bulkFraction is the fraction of the endpoints that a bulk prompt may use. It
	// uses more if its prefill would otherwise take longer than bulkMaxPrefill.
	bulkFraction   = 0.25
	bulkMaxPrefill = 8500 * time.Millisecond
)

// partsFor returns the range of the number of parts that a prompt may be split into.
func partsFor(e *lavconfig.Engine, p Prompt, candidates []Candidate) (fewest, most int) {
	most = min(maxParts, len(candidates))
	if PrefillTime(e, p.Tokens, most) < bulkThreshold || !Busy(candidates) {
		return 1, most
	}
	whole := PrefillTime(e, p.Tokens, 1)
	fewest = int(whole/bulkMaxPrefill) + 1
	bulk := max(fewest, int(bulkFraction*float64(len(candidates))))
	return min(fewest, most), min(bulk, most)
}

// busyBacklog is the mean prefill backlog above which a fleet counts as busy.
const busyBacklog = 150 * time.Millisecond

// CountInBackoff returns the number of candidates that are in backoff.
func CountInBackoff(candidates []Candidate) int {
	n := 0
	for _, c := range candidates {
		if c.InBackoff {
			n++
		}
	}
	return n
}

// Busy reports whether the mean prefill backlog exceeds busyBacklog.
func Busy(candidates []Candidate) bool { return Backlog(candidates) > busyBacklog }

// Backlog returns the mean prefill backlog of the candidates.
func Backlog(candidates []Candidate) time.Duration {
	var sum time.Duration
	for _, c := range candidates {
		sum += c.Prefill
	}
	return sum / time.Duration(max(len(candidates), 1))
}

// placeParts selects endpoints for a prompt that is split into the given number of
// parts. It returns the plan and its total cost.
func placeParts(e *lavconfig.Engine, p Prompt, candidates []Candidate, tieBreakers TieBreakers, parts int) (Plan, float64, bool) {
	part := PrefillTime(e, p.Tokens, parts)
	costs := make([]float64, len(candidates))
	order := make([]int, len(candidates))
	for i, c := range candidates {
		costs[i] = prefillCost(e, c, part) + tieBreakers.Prefill[i]
		order[i] = i
	}
	primary, total, ok := choosePrimary(e, p, candidates, costs, tieBreakers.Primary, parts == 1)
	if !ok {
		return Plan{}, 0, false
	}
	plan := Plan{Primary: primary, Prefill: part}
	slowest := iterationWith(e, candidates[primary], part)
	overlap := overlapCost(e, candidates[primary], part)
	slices.SortFunc(order, func(a, b int) int { return cmp.Compare(costs[a], costs[b]) })
	for _, i := range order {
		if len(plan.Helpers) == parts-1 {
			break
		}
		if i == primary {
			continue
		}
		plan.Helpers = append(plan.Helpers, i)
		total += costs[i] + helperCost*p.helperRisk()
		slowest = max(slowest, iterationWith(e, candidates[i], part))
		overlap += overlapCost(e, candidates[i], part)
	}
	wait := slowest + candidates[primary].slowed(IterationTime(e, candidates[primary].Load)/2+slotWait(e, p, candidates[primary]))
	total += p.weight() * lateness(wait, p.Objective)
	plan.Expected = wait
	plan.Wait = overlap > 0 && p.Tokens > waitMinTokens
	plan.Reserve, ok = planReservations(e, p, candidates, plan)
	return plan, total, ok
}

// iterationWith returns the duration of the iteration in which an endpoint prefills
// its backlog and one more part.
func iterationWith(e *lavconfig.Engine, c Candidate, part time.Duration) time.Duration {
	return c.slowed(IterationTime(e, c.Load) + c.Prefill + part)
}

// slowed scales a normal duration by the endpoint's slowdown.
func (c Candidate) slowed(d time.Duration) time.Duration {
	return time.Duration(float64(d) * max(c.Slowdown, 1))
}

// overlapCost returns how much less a part costs in late answers if the endpoint works
// off its prefill backlog before it starts the part.
func overlapCost(e *lavconfig.Engine, c Candidate, part time.Duration) float64 {
	decode := IterationTime(e, c.Load)
	now := c.Streams.lateCost(c.slowed(decode+c.Prefill+part)) - c.Streams.lateCost(c.slowed(decode+c.Prefill))
	return now - (c.Streams.lateCost(c.slowed(decode+part)) - c.Streams.lateCost(c.slowed(decode)))
}

// prefillCost returns the cost of prefilling a part on an endpoint.
func prefillCost(e *lavconfig.Engine, c Candidate, part time.Duration) float64 {
	before, after := iterationWith(e, c, 0), iterationWith(e, c, part)
	ahead := c.Prefill.Seconds()
	cost := c.Streams.lateCost(after) - c.Streams.lateCost(before) + backlogCost*ahead + prefillDelayCost*part.Seconds()*ahead
	if c.InBackoff {
		cost += backoffCost
	}
	return cost
}

// choosePrimary selects the endpoint that generates the answer, by the cost of its
// part there, its free slots and KV cache space, and the classes of its streams.
func choosePrimary(e *lavconfig.Engine, p Prompt, candidates []Candidate, costs, tieBreakers []float64, unsplit bool) (int, float64, bool) {
	best, lowest := -1, math.Inf(1)
	for i, c := range candidates {
		if unsplit && c.KVTokens+p.KVTokens(e) > kvLimit(e) {
			continue
		}
		cost := costs[i] + tieBreakers[i] + slotCost(e, p, c) + float64(c.KVTokens)/float64(max(e.MemoryTokens, 1))
		cost += affinityCost(e, p, c)
		if c.KVTokens+p.KVTokens(e) > kvLimit(e) {
			cost += reservationCost
		}
		if cost < lowest {
			best, lowest = i, cost
		}
	}
	return best, lowest, best >= 0
}

// requestsAhead returns how many requests of a candidate hold a slot or get one before
// the prompt. A tight prompt that is not late itself passes the late requests in the
// slot queue.
func (c Candidate) requestsAhead(e *lavconfig.Engine, p Prompt) int {
	if !p.Tight(e) || p.Late() {
		return c.Requests
	}
	waiting := max(c.Requests-c.Slots, 0)
	return c.Requests - min(waiting, c.Late)
}

// slotCost returns the cost of waiting for a slot, or else of using one of the last
// free slots.
func slotCost(e *lavconfig.Engine, p Prompt, c Candidate) float64 {
	if ahead := c.requestsAhead(e, p); ahead >= c.Slots {
		return slotQueueCost * float64(ahead-c.Slots+1)
	}
	return occupancyCost * max(float64(c.Requests)-occupancyFraction*float64(c.Slots), 0)
}

// affinityCost returns the cost of a stream by the classes of the streams on the
// endpoint. Grouping streams leaves other endpoints without any, where prefill may
// take long iterations.
func affinityCost(e *lavconfig.Engine, p Prompt, c Candidate) float64 {
	sameClass := c.Streams.tight(e)
	others := c.Requests - sameClass
	if !p.Tight(e) {
		sameClass, others = others, sameClass
	}
	switch {
	case c.Requests == 0:
		return firstStreamCost
	case others > 0:
		return mixedClassCost - affinityGain*float64(sameClass)
	default:
		return -affinityGain * float64(sameClass)
	}
}

// slotWait estimates how long a prompt queues for a slot. It assumes that the running
// streams end at even intervals.
func slotWait(e *lavconfig.Engine, p Prompt, c Candidate) time.Duration {
	ahead := c.requestsAhead(e, p) - c.Slots + 1
	if ahead <= 0 || c.Slots <= 0 {
		return 0
	}
	iterations := e.MeanOutputTokens / float64(max(e.StepsPerIteration, 1))
	streamTime := time.Duration(iterations * float64(IterationTime(e, c.Load)))
	return time.Duration(ahead) * streamTime / time.Duration(c.Slots)
}

// kvLimit returns the KV cache space, in tokens, that plans may fill on an endpoint.
func kvLimit(e *lavconfig.Engine) int { return int(float64(e.MemoryTokens) * kvFraction) }

// planReservations returns the KV cache space, in tokens, to reserve at the helpers
// for the part of a prompt that does not fit on the primary endpoint. It returns
// false if the helpers lack the space.
func planReservations(e *lavconfig.Engine, p Prompt, candidates []Candidate, plan Plan) ([]int, bool) {
	remaining := p.KVTokens(e) - (kvLimit(e) - candidates[plan.Primary].KVTokens)
	var reserved []int
	for _, i := range plan.Helpers {
		if remaining <= 0 {
			break
		}
		part := min(remaining, kvLimit(e)-candidates[i].KVTokens)
		if part <= 0 {
			return nil, false
		}
		reserved = append(reserved, part)
		remaining -= part
	}
	return reserved, remaining <= 0
}
