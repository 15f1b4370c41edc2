package lavdemo

import (
	"sync"

	"lavenderrack.example/lavenderrack/lavload"
	"lavenderrack.example/lavenderrack/lavrequest"
)

// reportCollector accumulates the results of a run. It is safe for concurrent
// use.
type reportCollector struct {
	mu              sync.Mutex
	report          Report
	firstTokenTimes map[lavrequest.LengthClass]*lavload.Histogram
}

func newReportCollector(seed uint64) *reportCollector {
	c := &reportCollector{
		report:          Report{Seed: seed, FirstToken: make(map[string]lavload.Quantiles), Unanswered: make(map[string]int)},
		firstTokenTimes: make(map[lavrequest.LengthClass]*lavload.Histogram),
	}
	for _, class := range lavrequest.Classes() {
		c.firstTokenTimes[class] = lavload.NewHistogram()
	}
	return c
}

// update changes the report under the lock.
func (c *reportCollector) update(change func(*Report)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	change(&c.report)
}

// add counts the result of one request.
func (c *reportCollector) add(result lavload.Result) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if result.Why != "" {
		c.report.Unanswered[result.Why]++
	}
	if result.Verdict == lavload.VerdictRefused {
		c.report.Refused++
		return
	}
	c.report.Admitted++
	switch result.Verdict {
	case lavload.VerdictAnswered:
		c.report.Answered++
	case lavload.VerdictLate:
		c.report.Late++
	case lavload.VerdictIncomplete:
		c.report.Incomplete++
	case lavload.VerdictMisdelivered:
		c.report.Misdelivered++
	default:
		c.report.FailedInTime++
	}
	if result.FirstToken > 0 {
		c.firstTokenTimes[result.Class].Add(result.FirstToken)
	}
}

// progress returns the numbers of requests that have ended so far.
func (c *reportCollector) progress() (admitted, answered, refused int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.report.Admitted, c.report.Answered, c.report.Refused
}

// finish computes the quantiles and the broken guarantees, and returns the
// report.
func (c *reportCollector) finish() *Report {
	c.mu.Lock()
	defer c.mu.Unlock()
	for class, h := range c.firstTokenTimes {
		c.report.FirstToken[class.String()] = h.Quantiles()
	}
	c.report.listBroken()
	return &c.report
}
