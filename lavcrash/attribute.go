package lavcrash

import (
	"slices"
	"time"
)

// attribute computes the blocks anew from all crashes. A block that stays keeps its end.
func (a *Attribution) attribute(now time.Time) {
	own := make(map[Trait]time.Time)
	block := func(t Trait, d time.Duration) {
		until, ok := a.own[t]
		if !ok {
			until = now.Add(d)
		}
		own[t] = until
	}
	unexplained := slices.Clone(a.crashes)
	for {
		t, ok := culprit(a.explain(unexplained))
		if !ok {
			break
		}
		if t.Kind == TraitSegment {
			block(t, SegmentBlockDuration)
		} else {
			block(t, RequestBlockDuration)
		}
		unexplained = slices.DeleteFunc(unexplained, func(c *crash) bool { return a.candidate(t, c) })
	}
	for t, crashes := range a.explain(unexplained) {
		if t.Kind == TraitRequest && len(crashes) >= RequestCrashes {
			block(t, RequestBlockDuration)
		}
	}
	for t := range a.own {
		if _, stays := own[t]; !stays {
			// Other hosts may have reported the same block for the same wrong reason.
			delete(a.reported, t)
		}
	}
	a.own = own
	for t := range own {
		a.beginProbes(now, t)
	}
}

// explain returns, for each trait, which of some crashes it may have caused, as indexes of
// crashes. Of crashes within commonCauseWindow, a trait that explains them all gets at most
// maxCountedTogether, and any other trait one.
func (a *Attribution) explain(crashes []*crash) map[Trait][]int {
	explained := make(map[Trait][]int)
	for first := 0; first < len(crashes); {
		end := first + 1
		for end < len(crashes) && crashes[end].at.Sub(crashes[first].at) < commonCauseWindow {
			end++
		}
		for t, n := range a.candidates(crashes[first:end]) {
			explained[t] = append(explained[t], first)
			for i := 1; n == end-first && i < min(n, maxCountedTogether); i++ {
				explained[t] = append(explained[t], first+i)
			}
		}
		first = end
	}
	return explained
}

// candidates returns the traits that may have caused one of some crashes, each with the number
// of them that it may have caused.
func (a *Attribution) candidates(crashes []*crash) map[Trait]int {
	found := make(map[Trait]int)
	for _, c := range crashes {
		for t := range c.traits {
			if a.candidate(t, c) {
				found[t]++
			}
		}
	}
	return found
}

// culprit returns the trait that explains the most crashes, if these are enough to block it.
// While it has a rival, it returns none, unless the crashes are so many that chance can't
// explain the tie: then the most specific of them is the culprit.
func culprit(explained map[Trait][]int) (Trait, bool) {
	var best Trait
	for t := range explained {
		if more := len(explained[t]) - len(explained[best]); more > 0 || more == 0 && compareTraits(t, best) < 0 {
			best = t
		}
	}
	crashes := explained[best]
	if len(crashes) >= sureCrashes {
		return best, true
	}
	for t := range explained {
		if t != best && isRival(explained[t], crashes) {
			return Trait{}, false
		}
	}
	return best, len(crashes) >= SegmentCrashes
}

// isRival reports whether a trait explains as many crashes as another one, and mostly the same
// ones. Two traits that explain different crashes may both cause crashes.
func isRival(crashes, most []int) bool {
	if len(crashes) < len(most) {
		return false
	}
	shared := 0
	for _, number := range crashes {
		if slices.Contains(most, number) {
			shared++
		}
	}
	return 2*shared > len(most)
}
