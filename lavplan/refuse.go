package lavplan

import (
	"time"

	"lavenderrack.example/lavenderrack/lavconfig"
)

// Bounds of the time after which a refused caller is asked back.
const (
	leastRetryAfter = 300 * time.Millisecond
	mostRetryAfter  = 3 * time.Second
)

// Admit reports whether a prompt should run as planned. A short stream that
// would come late takes the slots of those that could be in time, while its
// caller can come back as there is room. A long one is of use also late.
func Admit(p Prompt, plan Plan) bool {
	return !p.Strict() || plan.Expected <= p.Objective+admitSlack
}

// admitSlack is how much later than in time a first event may be expected, since
// what is known of the others' work lags.
const admitSlack = 250 * time.Millisecond

// RetryAfter returns when room is expected: as the endpoint that has least to
// read has read it.
func RetryAfter(e *lavconfig.Engine, board []Candidate) time.Duration {
	soonest := mostRetryAfter
	for _, c := range board {
		wait := c.Reading
		if e != nil {
			wait += PassTime(e, c.Load)
		}
		soonest = min(soonest, wait)
	}
	return max(soonest, leastRetryAfter)
}

// PlaceCall chooses the endpoint for a call of a service that is no model
// engine: the sound one with the fewest calls for its slots.
func PlaceCall(board []Candidate, draw func() float64) (Plan, bool) {
	best, least := -1, 0.0
	for i, c := range board {
		cost := float64(c.Requests)/float64(max(c.Slots, 1)) + draw()*callSpread
		if c.Doubtful {
			cost += doubtCost
		}
		if best < 0 || cost < least {
			best, least = i, cost
		}
	}
	return Plan{First: best}, best >= 0
}

// callSpread is how far apart hosts rate the same endpoint, in parts of its
// slots.
const callSpread = 0.1
