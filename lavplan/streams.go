package lavplan

import (
	"math"
	"time"

	"lavenderrack.example/lavenderrack/lavconfig"
)

// StreamGroup is the streams of an endpoint whose callers accept equally long pauses.
type StreamGroup struct {
	// Pause is the longest gap between two events with which an answer is in time.
	Pause time.Duration
	Count int
	// Weight is the cost of making all streams of the group late, in weightUnit.
	Weight int
}

// weightUnit is the unit of StreamGroup.Weight, in late answers to a very short prompt.
const weightUnit = 0.1

// maxStreamGroups is the number of groups that a load keeps apart. It is more than the
// different pauses that the routes to one service usually declare.
const maxStreamGroups = 4

// Streams are the streams of an endpoint in groups, ordered by pause and followed by empty
// groups. If there are more pauses than groups, neighbours share the one with the shorter
// pause.
type Streams [maxStreamGroups]StreamGroup

// NewStreams returns the streams of the given groups.
func NewStreams(groups ...StreamGroup) Streams {
	var s Streams
	for _, g := range groups {
		if g != (StreamGroup{Pause: g.Pause}) {
			s = s.with(g)
		}
	}
	return s
}

// newStreams returns one stream.
func newStreams(pause time.Duration, weight float64) Streams {
	if pause <= 0 {
		return Streams{}
	}
	return Streams{{Pause: pause, Count: 1, Weight: int(math.Round(weight / weightUnit))}}
}

// plus returns the streams of both.
func (s Streams) plus(t Streams) Streams {
	for _, group := range t {
		if group != (StreamGroup{}) {
			s = s.with(group)
		}
	}
	if s.count() == 0 {
		// What is left after streams of merged groups have ended.
		return Streams{}
	}
	return s
}

// count returns the number of streams.
func (s Streams) count() int {
	n := 0
	for _, group := range s {
		n += group.Count
	}
	return n
}

// minus returns the streams without t.
func (s Streams) minus(t Streams) Streams {
	for i := range t {
		t[i].Count, t[i].Weight = -t[i].Count, -t[i].Weight
	}
	return s.plus(t)
}

// with adds a group. Its counts may be negative.
func (s Streams) with(added StreamGroup) Streams {
	all := make([]StreamGroup, 0, maxStreamGroups+1)
	for _, group := range s {
		if group == (StreamGroup{}) {
			break
		}
		if added.Pause > 0 && added.Pause <= group.Pause {
			all = appendGroup(all, added)
			added = StreamGroup{}
		}
		all = appendGroup(all, group)
	}
	if added.Pause > 0 {
		all = appendGroup(all, added)
	}
	return mergeGroups(all)
}

// appendGroup appends a group, or adds it to the last one if that has the same pause.
// Groups that become empty are removed.
func appendGroup(all []StreamGroup, g StreamGroup) []StreamGroup {
	if n := len(all); n > 0 && all[n-1].Pause == g.Pause {
		all[n-1].Count += g.Count
		all[n-1].Weight += g.Weight
		if all[n-1].Count == 0 && all[n-1].Weight == 0 {
			return all[:n-1]
		}
		return all
	}
	return append(all, g)
}

// mergeGroups returns up to maxStreamGroups groups. Of more, it merges the two neighbours
// whose pauses differ least.
func mergeGroups(all []StreamGroup) Streams {
	for len(all) > maxStreamGroups {
		closest := 1
		for i := 2; i < len(all); i++ {
			if all[i].Pause-all[i-1].Pause < all[closest].Pause-all[closest-1].Pause {
				closest = i
			}
		}
		all[closest-1].Count += all[closest].Count
		all[closest-1].Weight += all[closest].Weight
		all = append(all[:closest], all[closest+1:]...)
	}
	var s Streams
	copy(s[:], all)
	return s
}

// tight returns the number of streams that a full prefill iteration of the engine would make
// late.
func (s Streams) tight(e *lavconfig.Engine) int {
	n := 0
	for _, group := range s {
		if isTight(e, group.Pause) {
			n += group.Count
		}
	}
	return max(n, 0)
}

// lateCost returns the cost of the answers that an iteration of the given duration makes
// late, or may make late together with prefill that this host doesn't know of yet.
func (s Streams) lateCost(iteration time.Duration) float64 {
	cost := 0.0
	for _, group := range s {
		if group.Pause > 0 {
			cost += float64(max(group.Weight, 0)) * weightUnit * lateRisk(iteration, group.Pause)
		}
	}
	return cost
}

const (
	// deliveryFraction is the fraction of a pause that is left for the delivery to the caller.
	deliveryFraction = 0.06
	// safePause is the fraction of a pause up to which an iteration is sure to be in time.
	safePause = 0.75
)

// lateRisk returns how likely an iteration makes a stream late: it rises evenly from safePause
// to the longest iteration with which the stream is in time.
func lateRisk(iteration, pause time.Duration) float64 {
	ratio := iteration.Seconds() / pause.Seconds()
	return min(max((ratio-safePause)/(1-deliveryFraction-safePause), 0), 1)
}

// iterationLimit returns the longest iteration with which streams with a pause are in time.
func iterationLimit(pause time.Duration) time.Duration {
	return time.Duration((1 - deliveryFraction) * float64(pause))
}

// fullIteration returns the duration of an iteration in which the engine prefills a chunk in
// each step, at the beginning of a prompt, where attention takes no time.
func fullIteration(e *lavconfig.Engine) time.Duration {
	chunks := float64(e.StepsPerIteration * e.PrefillChunkTokens)
	return IterationTime(e, Load{}) + time.Duration(chunks/max(e.PrefillTokensPerSecond, 1)*float64(time.Second))
}

// isTight reports whether a full prefill iteration makes streams with a pause late. Such
// streams and the prefill of long prompts don't go together on an endpoint.
func isTight(e *lavconfig.Engine, pause time.Duration) bool {
	return e != nil && pause > 0 && iterationLimit(pause) < fullIteration(e)
}
