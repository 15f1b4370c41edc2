package lavplan

import (
	"time"

	"lavenderrack.example/lavenderrack/lavconfig"
)

// Prompt describes a request to a model engine.
type Prompt struct {
	Tokens int
	// MaxOutputTokens is the maximum length of the answer.
	MaxOutputTokens int
	// HintTokens is the length of the answer that the caller expects, zero if it states none.
	HintTokens int
	// Objective is the longest time to the first event that counts as in time.
	Objective time.Duration
	// PauseObjective is the longest gap between two events that counts as in time.
	PauseObjective time.Duration
	// Retried is true if the caller was refused before and has sent the request
	// again.
	Retried bool
	// Rank is 0 for the most urgent prompts of the service, and Ranks the number of its ranks.
	// They decide nothing unless there is more than one.
	Rank, Ranks int
}

// A caller abandons a stream that is silent for the longest of a fixed time, a
// multiple of the first-event objective and a multiple of the gap objective.
const (
	abandonFloor      = 2 * time.Second
	abandonObjectives = 4
	abandonPauses     = 8
)

// AbandonAfter returns the duration of silence after which the caller disconnects.
func (p Prompt) AbandonAfter() time.Duration {
	return max(abandonFloor, abandonObjectives*p.Objective, abandonPauses*p.PauseObjective)
}

// KVTokens returns the KV cache space, in tokens, that the prompt and its answer are
// expected to take once the answer is complete. It counts the answer that the caller expects,
// or else a mean one, since most are far below their maximum.
func (p Prompt) KVTokens(e *lavconfig.Engine) int {
	if p.HintTokens > 0 {
		return p.Tokens + min(p.MaxOutputTokens, p.HintTokens)
	}
	if e.MeanOutputTokens <= 0 {
		return p.Tokens + p.MaxOutputTokens
	}
	return p.Tokens + min(p.MaxOutputTokens, int(e.MeanOutputTokens))
}

// Tight reports whether a full prefill iteration of the engine would make the stream late.
func (p Prompt) Tight(e *lavconfig.Engine) bool { return isTight(e, p.PauseObjective) }

// Late reports whether the prompt misses its objective on any endpoint, because its caller
// was refused before and told to come back later than that. It must not delay prompts that
// can meet theirs.
func (p Prompt) Late() bool {
	return p.Retried && p.PauseObjective > 0 && p.Objective <= minRetryAfter
}

// Load returns the load of the prompt on the endpoint that generates its answer, with the KV
// cache space that it takes there.
func (p Prompt) Load(prefill time.Duration, kvTokens int) Load {
	l := Load{Requests: 1, Streams: newStreams(p.PauseObjective, p.weight()), Prefill: prefill, KVTokens: kvTokens}
	if p.Late() {
		l.Late = 1
	}
	return l
}

// safeFraction is the fraction of the objective below which an expected wait is certain
// to meet it, given the loads that this host knows.
const safeFraction = 0.6

// waitCost is the cost of an expected wait as long as the objective. A shorter wait also
// has a lower cost because it frees the endpoints earlier for the next prompt.
const waitCost = 0.5

// lateness returns the cost of an expected wait. It rises slowly up to safeFraction of
// the objective, steeply from there to the objective, and slowly beyond. Without an objective
// it is the wait in seconds.
func lateness(wait, objective time.Duration) float64 {
	if objective <= 0 {
		return wait.Seconds()
	}
	ratio := wait.Seconds() / objective.Seconds()
	return waitCost*ratio + min(max((ratio-safeFraction)/(1-safeFraction), 0), 1)
}
