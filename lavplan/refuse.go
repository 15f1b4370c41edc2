package lavplan

import "time"

// admitPart is the part of its objective within which a first event must be
// expected, since what is known of the others' work lags.
const admitPart = 0.85

// returnedLimit is the part of the time after which callers leave within which
// a first event must be expected for one who has come back.
const returnedLimit = 0.6

// Admit reports whether a prompt should run as planned. One that would come late
// takes the room of those that could be in time, while its caller can come back
// as there is room. One who has come back is served also late, and so are long
// prompts while the fleet has room.
func Admit(p Prompt, plan Plan, board []Candidate) bool {
	switch {
	case plan.Expected <= time.Duration(admitPart*float64(p.Objective)):
		return true
	case p.Retried:
		return plan.Expected < time.Duration(returnedLimit*float64(p.AbandonAfter()))
	default:
		return !p.Strict() && !Busy(board)
	}
}

// Bounds of the time after which a refused caller is asked back.
const (
	leastRetryAfter = 1200 * time.Millisecond
	mostRetryAfter  = 5 * time.Second
	// retrySpread keeps those who are refused together from coming back so, in
	// parts of the time.
	retrySpread = 0.5
)

// RetryAfter returns when room is expected: as what is to be read has been read.
func RetryAfter(board []Candidate, draw func() float64) time.Duration {
	wait := max(Backlog(board), leastRetryAfter)
	wait += time.Duration(retrySpread * draw() * float64(wait))
	return min(wait, mostRetryAfter)
}

// PlaceCall chooses the endpoint for a call of a service that is no model
// engine: the sound one with the fewest calls for its slots.
func PlaceCall(board []Candidate, draw func() float64) (Plan, bool) {
	best, least := -1, 0.0
	for i, c := range board {
		cost := float64(c.Requests)/float64(max(c.Slots, 1)) + draw()*callSpread
		if c.InBackoff {
			cost += doubtCost
		}
		if best < 0 || cost < least {
			best, least = i, cost
		}
	}
	return Plan{Primary: best}, best >= 0
}

// callSpread is how far apart hosts rate the same endpoint, in parts of its
// slots.
const callSpread = 0.1
