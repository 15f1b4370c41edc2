package lavexperiment

import (
	"lavenderrack.example/lavenderrack/lavload"
	"lavenderrack.example/lavenderrack/lavrequest"
)

// Violations counts violations of the system's guarantees, as observed by
// callers and fakes.
type Violations struct {
	// Late is the number of calls that ended after their deadline.
	Late int
	// Incomplete is the number of truncated answers that were marked as complete.
	Incomplete int
	// Misdelivered is the number of answers that don't match their request.
	Misdelivered int
	// OrdersRunMoreThanOnce is the number of orders that ran more than once.
	OrdersRunMoreThanOnce int
	// FalseNotRun is the number of orders that ran although all of their calls
	// got the outcome NotRun.
	FalseNotRun int
	// ColdOverloads is the number of avoidable overloads of cold engines.
	ColdOverloads int
	// LeakedStreams is the number of streams that held memory at the end.
	LeakedStreams int
	// CrashDeaths is the number of engine crashes beyond the two that are
	// allowed for each crashing prompt.
	CrashDeaths int
}

// Total returns the total number of violations.
func (p Violations) Total() int {
	return p.Late + p.Incomplete + p.Misdelivered + p.OrdersRunMoreThanOnce + p.FalseNotRun + p.ColdOverloads + p.LeakedStreams + p.CrashDeaths
}

// maxCrashesPerPrompt is the number of engines that one prompt may crash.
const maxCrashesPerPrompt = 2

// countViolations counts the violations over the whole run, including the
// warm-up.
func countViolations(t *Trace) Violations {
	var p Violations
	notRun := make(map[string]bool)
	for _, results := range [][]Result{t.Results, t.Resent} {
		for i := range results {
			r := &results[i]
			if r.Late() {
				p.Late++
			}
			if r.Verdict == lavload.VerdictIncomplete {
				p.Incomplete++
			}
			if r.Verdict == lavload.VerdictMisdelivered {
				p.Misdelivered++
			}
			if r.Arrival.Kind == lavrequest.KindOrder && r.Outcome == lavrequest.OutcomeNotRun {
				notRun[orderBody(r.Arrival)] = true
			}
		}
	}
	p.FalseNotRun = falseNotRun(t, notRun)
	for _, n := range t.Runs {
		if n > 1 {
			p.OrdersRunMoreThanOnce++
		}
	}
	crashes := 0
	for _, e := range t.Engines {
		p.ColdOverloads += e.ColdOverloads
		crashes += e.Crashes
	}
	p.ColdOverloads -= t.UnavoidableOverloads
	p.CrashDeaths = max(crashes-maxCrashesPerPrompt*t.CrashRequests, 0)
	p.LeakedStreams = t.Held
	return p
}

// falseNotRun returns the number of orders that ran although all of their calls
// got the outcome NotRun. notRun is the set of orders with at least one such
// call; falseNotRun removes the orders with any other outcome.
func falseNotRun(t *Trace, notRun map[string]bool) int {
	for _, results := range [][]Result{t.Results, t.Resent} {
		for _, r := range results {
			if r.Arrival.Kind == lavrequest.KindOrder && r.Outcome != lavrequest.OutcomeNotRun {
				delete(notRun, orderBody(r.Arrival))
			}
		}
	}
	count := 0
	for order := range notRun {
		if t.Runs[order] > 0 {
			count++
		}
	}
	return count
}
