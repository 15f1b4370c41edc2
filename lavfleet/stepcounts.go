package lavfleet

import "time"

// stepCounts counts events in steps of equal length, over a fixed number of the last steps.
type stepCounts struct {
	start time.Time
	step  time.Duration
	// totals are the numbers of events up to the end of each step, in a ring. They are set up to
	// the step last.
	totals []int
	last   int
}

// newStepCounts returns counts that start now and reach back over a number of steps.
func newStepCounts(now time.Time, step time.Duration, steps int) stepCounts {
	return stepCounts{start: now, step: step, totals: make([]int, steps+1)}
}

// stepOf returns the number of the step that contains a time. The first one is step 0.
func (c *stepCounts) stepOf(now time.Time) int { return int(now.Sub(c.start) / c.step) }

func (c *stepCounts) add(now time.Time) {
	c.advance(max(c.stepOf(now), c.last))
	c.totals[c.last%len(c.totals)]++
}

// remove takes back an event that was added at a time. It does nothing if the counts no longer reach
// back to that.
func (c *stepCounts) remove(at time.Time) {
	step := c.stepOf(at)
	if c.last-step >= len(c.totals) {
		return
	}
	for i := step; i <= c.last; i++ {
		c.totals[i%len(c.totals)]--
	}
}

// advance sets the totals of the steps up to one.
func (c *stepCounts) advance(step int) {
	total := c.totals[c.last%len(c.totals)]
	for i := max(c.last, step-len(c.totals)) + 1; i <= step; i++ {
		c.totals[i%len(c.totals)] = total
	}
	c.last = max(c.last, step)
}

// sum returns the number of events in the steps from first to last, which must be among those that
// the counts reach back over.
func (c *stepCounts) sum(first, last int) int {
	if last < first {
		return 0
	}
	c.advance(last)
	return c.total(last) - c.total(first-1)
}

// total returns the number of events up to the end of a step.
func (c *stepCounts) total(step int) int {
	if step < 0 {
		return 0
	}
	return c.totals[step%len(c.totals)]
}
