package lavplan

import (
	"testing"
	"time"

	"lavenderrack.example/lavenderrack/lavassert"
)

// TestRetriedPromptsQueueLast simulates an overload followed by a longer period of
// lower load. Prompts refused in the overload miss their objective when they are
// retried. They must neither delay the prompts that arrive later, nor remain
// unanswered.
func TestRetriedPromptsQueueLast(t *testing.T) {
	const engines, seeds = 8, 6
	const floodEnd, end = 3 * time.Second, 12 * time.Second
	for _, c := range []struct {
		name string
		// rate is the caption rate after the overload, relative to the normal rate of a
		// site with twice as many engines. inTime and answered are the least fractions
		// of these captions that are answered in time, and at all.
		rate, inTime, answered float64
	}{
		{"calm", 1.4, 0.7, 0.97},
		{"full", 1.7, 0.5, 0.95},
		{"overloaded", 2.4, 0.25, 0.7},
	} {
		t.Run(c.name, func(t *testing.T) {
			var inTime, answered float64
			for seed := range uint64(seeds) {
				flood := captions.scaled(3).between(0, floodEnd)
				after := captions.scaled(c.rate).between(floodEnd, end)
				after.name = "after"
				streams := simulate(seed, engines, end, Place, flood, after)
				inTime += share(streams, after.name, (*stream).inTime) / seeds
				answered += share(streams, after.name, func(s *stream) bool { return s.done }) / seeds
			}
			lavassert.AtLeast(t, "fraction in time", inTime, c.inTime)
			lavassert.AtLeast(t, "fraction answered", answered, c.answered)
		})
	}
}
