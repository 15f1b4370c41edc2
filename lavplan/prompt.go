package lavplan

import "time"

// Prompt is a request to a model engine.
type Prompt struct {
	Tokens int
	// Answer is the most tokens that are written.
	Answer int
	// Objective is the time to the first event that is in time.
	Objective time.Duration
	// Pause is the longest pause between events that is in time.
	Pause time.Duration
}

// Streams fall into classes by the pauses that they bear. One pass that is
// longer makes the answer late.
const (
	strictPause = 300 * time.Millisecond
	mediumPause = 600 * time.Millisecond
)

// Strict reports whether the stream bears only short passes.
func (p Prompt) Strict() bool { return p.Pause > 0 && p.Pause <= strictPause }

// Medium reports whether the stream bears passes of middle length.
func (p Prompt) Medium() bool { return p.Pause > strictPause && p.Pause <= mediumPause }

// Orders of admission at an endpoint, 0 first.
const (
	strictPriority = 3
	usualPriority  = 5
)

// Priority returns the order of admission at an endpoint.
func (p Prompt) Priority() int {
	if p.Strict() {
		return strictPriority
	}
	return usualPriority
}

// weightTokens is the length of prompt that counts as much as its answer alone.
const weightTokens = 10_000

// weight is how much an answer in time counts against that to a short prompt.
func (p Prompt) weight() float64 { return 1 + float64(p.Tokens)/weightTokens }

// easyPart is the part of the objective up to which a first event is in time
// for certain, as far as this host knows.
const easyPart = 0.6

// lateness grows from 0 to 1 as an expected wait nears the objective, and on
// more slowly beyond it.
func lateness(wait, objective time.Duration) float64 {
	if objective <= 0 {
		return wait.Seconds()
	}
	over := (wait.Seconds()/objective.Seconds() - easyPart) / (1 - easyPart)
	switch {
	case over <= 0:
		return 0
	case over <= 1:
		return over
	default:
		return 1 + (over-1)/10
	}
}
