package lavgang

import (
	"testing"
	"time"

	"lavenderrack.example/lavenderrack/lavassert"
	"lavenderrack.example/lavenderrack/lavrequest"
	"lavenderrack.example/lavenderrack/lavstream"
)

func withMargin(d time.Duration) time.Duration { return time.Duration(estimateMargin * float64(d)) }

func TestPrefillEstimator(t *testing.T) {
	t.Run("no estimate before the first measurement", func(t *testing.T) {
		_, known := new(prefillEstimator).estimate(1000)
		lavassert.Equal(t, "known", known, false)
	})
	t.Run("prompts admitted before are included", func(t *testing.T) {
		e := &prefillEstimator{}
		e.addPrompt(1000)
		e.recordSegment(1000, time.Second)
		alone, _ := e.estimate(4000)
		lavassert.Equal(t, "estimate without other prompts", alone, withMargin(4*time.Second))
		e.addPrompt(maxConcurrentGangs * 3000)
		behindOthers, _ := e.estimate(4000)
		lavassert.Equal(t, "estimate behind other prompts", behindOthers, withMargin(7*time.Second))
		e.removeTokens(maxConcurrentGangs * 3000)
		afterOthers, _ := e.estimate(4000)
		lavassert.Equal(t, "estimate after the other prompts ended", afterOthers, withMargin(4*time.Second))
	})
	t.Run("a slow segment has its full weight", func(t *testing.T) {
		e := &prefillEstimator{}
		e.addPrompt(2000)
		e.recordSegment(1000, time.Second)
		e.recordSegment(1000, 11*time.Second)
		slower, _ := e.estimate(1000)
		lavassert.Equal(t, "estimate", slower.Round(time.Millisecond), withMargin(2*time.Second))
	})
}

func TestCannotMeetDeadline(t *testing.T) {
	now := time.Now()
	request := &lavrequest.Request{PromptTokens: 4 * segmentTokens, MaxTokens: 100, Deadline: now.Add(6 * time.Second)}
	r := &promptRun{
		job:      &lavstream.Job{Request: request},
		delivery: lavstream.NewDelivery(0, nil),
		idle:     idleRates{prefill: segmentTokens, decode: 100},
	}
	t.Run("the deadline can be met without other work", func(t *testing.T) {
		lavassert.Equal(t, "cannot meet deadline", r.cannotMeetDeadline(now), false)
	})
	t.Run("too little time is left", func(t *testing.T) {
		lavassert.Equal(t, "cannot meet deadline", r.cannotMeetDeadline(now.Add(2*time.Second)), true)
	})
	t.Run("prefilled segments need no more time", func(t *testing.T) {
		r.nextSegment = 1
		lavassert.Equal(t, "cannot meet deadline", r.cannotMeetDeadline(now.Add(2*time.Second)), false)
	})
}
