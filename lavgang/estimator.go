package lavgang

import (
	"sync"
	"time"
)

// newestSegmentWeight is the weight of the newest segment in the moving average
// of the prefill rate.
const newestSegmentWeight = 0.1

// prefillEstimator measures the prefill rate of this host's gangs and counts the
// tokens that they still have to prefill. It measures the whole time between the
// ends of two consecutive segments of a prompt, so that waiting for memory,
// engine deaths and repeated prefill all lower the rate.
type prefillEstimator struct {
	mu sync.Mutex
	// tokensPerSecond is the average prefill rate of one gang; zero until a
	// segment has been measured.
	tokensPerSecond float64
	// pendingTokens is the number of tokens of admitted prompts that are not
	// prefilled yet.
	pendingTokens int
}

// addPrompt adds the tokens of an admitted prompt to the pending ones. When the
// prompt ends, removeTokens subtracts those that were not prefilled.
func (e *prefillEstimator) addPrompt(tokens int) { e.adjust(tokens) }

func (e *prefillEstimator) removeTokens(tokens int) { e.adjust(-tokens) }

func (e *prefillEstimator) adjust(tokens int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.pendingTokens += tokens
}

// recordSegment records that a gang prefilled tokens more tokens of its prompt
// within the time elapsed.
func (e *prefillEstimator) recordSegment(tokens int, elapsed time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.pendingTokens -= tokens
	if elapsed <= 0 {
		return
	}
	measured := float64(tokens) / elapsed.Seconds()
	if e.tokensPerSecond == 0 {
		e.tokensPerSecond = measured
		return
	}
	// The average is of the times per token, not of the rates, so that slow
	// segments have their full weight.
	e.tokensPerSecond = 1 / ((1-newestSegmentWeight)/e.tokensPerSecond + newestSegmentWeight/measured)
}

// estimateMargin is the factor by which an estimate exceeds the mean time,
// because prompts that are slower than the mean must meet their deadlines too.
const estimateMargin = 1.25

// estimate returns the time from now until the prefill of a prompt ends that
// waits behind all admitted prompts. It reports false if no rate has been
// measured.
func (e *prefillEstimator) estimate(tokens int) (time.Duration, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.tokensPerSecond == 0 {
		return 0, false
	}
	seconds := estimateMargin * (float64(e.pendingTokens)/maxConcurrentGangs + float64(tokens)) / e.tokensPerSecond
	return time.Duration(seconds * float64(time.Second)), true
}
