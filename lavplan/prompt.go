package lavplan

import (
	"time"

	"lavenderrack.example/lavenderrack/lavconfig"
)

// Prompt is a request to a model engine.
type Prompt struct {
	Tokens int
	// Answer is the most tokens that are written.
	Answer int
	// Objective is the time to the first event that is in time.
	Objective time.Duration
	// Pause is the longest pause between events that is in time.
	Pause time.Duration
	// Returned is true if the caller was refused and has come back.
	Returned bool
}

// Callers leave a stream after the longest of these silences: a time, so many
// objectives, so many pause objectives.
const (
	abandonFloor      = 2 * time.Second
	abandonObjectives = 4
	abandonPauses     = 8
)

// Abandoned returns the silence after which the caller leaves.
func (p Prompt) Abandoned() time.Duration {
	return max(abandonFloor, abandonObjectives*p.Objective, abandonPauses*p.Pause)
}

// Memory returns the tokens that the prompt and its answer are expected to take.
// Most answers stay far below the longest that is allowed.
func (p Prompt) Memory(e *lavconfig.Engine) int {
	if e.MeanOutputTokens <= 0 {
		return p.Tokens + p.Answer
	}
	return p.Tokens + min(p.Answer, int(e.MeanOutputTokens))
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

// Late reports whether a short prompt comes late wherever it runs, since its
// caller has been refused before. It must not make others late.
func (p Prompt) Late() bool { return p.Returned && p.Strict() }

// Orders of admission at an endpoint, 0 first.
const (
	strictPriority = 3
	latePriority   = 4
	usualPriority  = 5
)

// Priority returns the order of admission at an endpoint.
func (p Prompt) Priority() int {
	switch {
	case p.Late():
		return latePriority
	case p.Strict():
		return strictPriority
	default:
		return usualPriority
	}
}

// weightTokens is the length of prompt that counts as much as its answer alone.
const weightTokens = 10_000

// weight is how much an answer in time counts against that to a short prompt.
func (p Prompt) weight() float64 { return 1 + float64(p.Tokens)/weightTokens }

// easyPart is the part of the objective up to which a first event is in time
// for certain, as far as this host knows.
const easyPart = 0.6

// slowCost is what a wait as long as the objective costs even if it is in time:
// the endpoints that a prompt leaves sooner serve the next one sooner.
const slowCost = 0.5

// lateness grows slowly with an expected wait, faster as it nears the
// objective, and slowly again beyond it.
func lateness(wait, objective time.Duration) float64 {
	if objective <= 0 {
		return wait.Seconds()
	}
	share := wait.Seconds() / objective.Seconds()
	return slowCost*share + min(max((share-easyPart)/(1-easyPart), 0), 1)
}
