package lavgang

import (
	"time"

	"lavenderrack.example/lavenderrack/lavendpoint"
	"lavenderrack.example/lavenderrack/lavrequest"
)

// idleRates are the rates at which an engine without other work prefills and
// decodes, in tokens per second.
type idleRates struct{ prefill, decode float64 }

// fastestRates returns the highest prefill rate and the highest decode rate of
// the engines that serve r.
func fastestRates(s *lavendpoint.Snapshot, r *lavrequest.Request) idleRates {
	var best idleRates
	for i := range s.Endpoints {
		if e := &s.Endpoints[i]; e.Serves(r.Model, r.Adapter) {
			best.prefill = max(best.prefill, e.Report.PrefillRate)
			best.decode = max(best.decode, e.Report.DecodeRate)
		}
	}
	return best
}

func (r idleRates) known() bool { return r.prefill > 0 && r.decode > 0 }

// prefillTime and decodeTime return the time that an idle engine needs for a
// number of tokens.
func (r idleRates) prefillTime(tokens int) time.Duration {
	return time.Duration(float64(tokens) / r.prefill * float64(time.Second))
}

func (r idleRates) decodeTime(tokens int) time.Duration {
	return time.Duration(float64(tokens) / r.decode * float64(time.Second))
}

// cannotMeetDeadline reports whether the prompt would miss its deadline even if
// its engines had no other work from now on. It returns false if the rates are
// unknown.
func (r *promptRun) cannotMeetDeadline(now time.Time) bool {
	if !r.idle.known() {
		return false
	}
	remainingPrompt := max(r.job.Request.PromptTokens-r.nextSegment*segmentTokens, 0)
	decoded := r.delivery.Tokens
	needed := r.idle.prefillTime(remainingPrompt) + r.idle.decodeTime(r.job.Request.MaxTokens-decoded)
	return now.Add(needed).After(r.job.Request.Deadline)
}
