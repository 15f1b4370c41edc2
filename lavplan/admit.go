package lavplan

import (
	"time"

	"lavenderrack.example/lavenderrack/lavconfig"
)

// admitFraction is the fraction of the objective within which the first event must be
// expected. The margin covers load of other hosts that is not yet reported.
const admitFraction = 0.85

// retriedFraction is the fraction of the time until the caller disconnects within which
// the first event of a retried prompt must be expected.
const retriedFraction = 0.6

// Admit reports whether a prompt should run according to its plan. A prompt that would
// miss its objective is refused: it would use capacity that others need to meet theirs,
// and its caller can retry when load is lower. Two kinds of prompts are also admitted if
// they are late: retried ones, and those that aren't tight while the fleet is not busy.
func Admit(e *lavconfig.Engine, p Prompt, plan Plan, candidates []Candidate) bool {
	switch {
	case plan.Expected <= time.Duration(admitFraction*float64(p.Objective)):
		return true
	case p.Retried:
		return plan.Expected < time.Duration(retriedFraction*float64(p.AbandonAfter()))
	default:
		return !p.Tight(e) && !Busy(candidates)
	}
}

// HasRoom reports whether a request with a load can begin at a candidate at once. The engine is nil
// for services that aren't model engines.
func HasRoom(e *lavconfig.Engine, c Candidate, l Load) bool {
	if c.Slots > 0 && c.Requests >= c.Slots {
		return false
	}
	return e == nil || c.KVTokens+l.KVTokens <= kvLimit(e)
}

// Bounds of the Retry-After time that a refused caller is given.
const (
	minRetryAfter = 1200 * time.Millisecond
	// maxBacklogRetryAfter bounds the time for a backlog, which may end sooner than expected.
	maxBacklogRetryAfter = 5 * time.Second
	// retryJitter is the largest random extension, as a fraction of the time. It keeps
	// callers that are refused together from retrying together.
	retryJitter = 0.5
)

// maxReturnSpread bounds the time over which the callers return who were refused while no endpoint
// was available.
const maxReturnSpread = 30 * time.Second

// Absence is a time in which no endpoint takes a request.
type Absence struct {
	// Left is the time until the first endpoint is expected to take one, zero if that isn't known.
	Left time.Duration
	// Length is the whole time, during which refused callers add up. It is zero if some are
	// served meanwhile.
	Length time.Duration
}

// RetryAfter returns when capacity is expected: once the mean prefill backlog has been worked off,
// or, without a candidate, when the first endpoint takes a request again. Callers who add up during
// an absence return spread over a time as long, so that twice as many as usual come then.
func RetryAfter(candidates []Candidate, absence Absence, draw func() float64) time.Duration {
	if len(candidates) == 0 && absence.Length > 0 {
		return absence.Left + time.Duration(draw()*float64(min(absence.Length, maxReturnSpread)))
	}
	wait := min(max(Backlog(candidates), minRetryAfter), maxBacklogRetryAfter)
	if len(candidates) == 0 {
		wait = max(wait, absence.Left)
	}
	wait += time.Duration(retryJitter * draw() * float64(wait))
	return min(wait, max(maxBacklogRetryAfter, 2*absence.Left))
}

// PlaceCall chooses the endpoint for a call to a service that is not a model engine: the
// one with the lowest utilization of its slots among those that are not in backoff.
func PlaceCall(candidates []Candidate, draw func() float64) (Plan, bool) {
	best, lowest := -1, 0.0
	for i, c := range candidates {
		cost := float64(c.Requests)/float64(max(c.Slots, 1)) + draw()*callTieBreakSpread
		if c.InBackoff {
			cost += backoffCost
		}
		if best < 0 || cost < lowest {
			best, lowest = i, cost
		}
	}
	return Plan{Primary: best}, best >= 0
}

// callTieBreakSpread bounds the random tie-breaking cost of an endpoint, as a fraction of
// its slots.
const callTieBreakSpread = 0.1
