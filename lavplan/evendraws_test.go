package lavplan

import (
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"lavenderrack.example/lavenderrack/lavassert"
)

// TestEvenDraws guards against draws that leave gaps, or crowd, as random ones do.
func TestEvenDraws(t *testing.T) {
	for _, count := range []int{10, 40, 200, 1000} {
		t.Run(fmt.Sprint(count), func(t *testing.T) {
			d := NewEvenDraws()
			draws := make([]float64, count)
			for i := range draws {
				draws[i] = d.Draw()
			}
			slices.Sort(draws)
			lavassert.AtLeast(t, "lowest draw", draws[0], 0)
			lavassert.True(t, "the highest draw is below 1", draws[count-1] < 1)
			widest := 1 - draws[count-1] + draws[0]
			for i := range draws[1:] {
				widest = max(widest, draws[i+1]-draws[i])
			}
			lavassert.AtMost(t, "widest gap, as a multiple of the mean", widest*float64(count), 3)
			for tenth := range 10 {
				from := float64(tenth) / 10
				inside := 0
				for _, u := range draws {
					if from <= u && u < from+0.1 {
						inside++
					}
				}
				// A tenth of the draws, and at most two more or less.
				lavassert.AtMost(t, "draws in a tenth of the range", inside, count/10+2)
				lavassert.AtLeast(t, "draws in a tenth of the range", inside, count/10-2)
			}
		})
	}
	t.Run("Concurrent", func(t *testing.T) {
		d := NewEvenDraws()
		const each, drawers = 100, 8
		draws := make(chan float64, each*drawers)
		var running sync.WaitGroup
		for range drawers {
			running.Go(func() {
				for range each {
					draws <- d.Draw()
				}
			})
		}
		running.Wait()
		close(draws)
		seen := make(map[float64]bool)
		for u := range draws {
			seen[u] = true
		}
		lavassert.Equal(t, "different draws", len(seen), each*drawers)
	})
}

// TestCallersOfAnAbsenceReturnEvenly guards against callers that crowd after an absence
// because the times at which they may return are random.
func TestCallersOfAnAbsenceReturnEvenly(t *testing.T) {
	const (
		length  = 6 * time.Second
		callers = 120
		step    = 500 * time.Millisecond
	)
	d := NewEvenDraws()
	var returns [length / step]int
	for i := range callers {
		refusedAt := length * time.Duration(i) / callers
		at := refusedAt + RetryAfter(nil, Absence{Left: length - refusedAt, Length: length}, d.Draw) - length
		returns[at/step]++
	}
	for _, n := range returns {
		lavassert.AtMost(t, "callers that return in a step", n, callers/len(returns)+2)
		lavassert.AtLeast(t, "callers that return in a step", n, callers/len(returns)-2)
	}
}
