package lavplan

import (
	"slices"
	"time"

	"lavenderrack.example/lavenderrack/lavconfig"
)

// late reports whether a prompt misses its objective even if all endpoints prefill it now.
func (a Ask) late(now time.Time, e *lavconfig.Engine) bool {
	ready := now.Add(PrefillTime(e, a.Prompt.Tokens, maxParts) + IterationTime(e, Load{}))
	return a.Prompt.Late() || ready.After(a.Arrived.Add(a.Prompt.Objective))
}

// maxBacklogAhead is the prefill backlog of an endpoint above which a long prompt waits.
const maxBacklogAhead = 50 * time.Millisecond

// behindOthers reports whether a long prompt would be prefilled where others are in progress.
// Engines prefill the newest part first, so that all of them would be late.
func behindOthers(p Prompt, plan Plan, candidates []Candidate) bool {
	if p.Tokens <= waitMinTokens {
		return false
	}
	selected := append([]int{plan.Primary}, plan.Helpers...)
	return slices.ContainsFunc(selected, func(i int) bool { return candidates[i].Prefill > maxBacklogAhead })
}

// lateFullness is the fraction of the slots above which prompts wait that are late in any
// case: a slot that they take then is missed by a prompt that can still be in time.
const lateFullness = 0.9

// leavesRoom reports whether a prompt that is late in any case waits, for up to half the time
// after which its caller disconnects.
func (a Ask) leavesRoom(now time.Time, candidates []Candidate) bool {
	return a.Prompt.Late() && takenSlots(candidates) > lateFullness && now.Before(a.lateWaitEnd())
}

// takenSlots returns the fraction of the slots that are taken.
func takenSlots(candidates []Candidate) float64 {
	taken, slots := 0, 0
	for _, c := range candidates {
		taken += min(c.Requests, c.Slots)
		slots += c.Slots
	}
	return float64(taken) / float64(max(slots, 1))
}

// lateWaitEnd returns until when a prompt may wait that misses its objective.
func (a Ask) lateWaitEnd() time.Time { return a.Arrived.Add(a.Prompt.AbandonAfter() / 2) }

// mayWaitForSlot reports whether a prompt for which there is no room now can be in time if a slot
// gets free: of many endpoints, one soon does.
func (a Ask) mayWaitForSlot(now time.Time, e *lavconfig.Engine) bool {
	full := Load{Requests: e.Slots, KVTokens: e.MemoryTokens / 2}
	ready := now.Add(PrefillTime(e, a.Prompt.Tokens, 1) + 2*IterationTime(e, full))
	return a.Prompt.Tight(e) && !a.Prompt.Retried && ready.Before(a.Arrived.Add(a.Prompt.Objective))
}

// mayWaitUntried reports whether a prompt can wait without being tried now: it needs no answer yet.
func (a Ask) mayWaitUntried(now time.Time, e *lavconfig.Engine) bool {
	if a.Prompt.Tight(e) && !a.Prompt.Late() {
		return a.mayWaitForSlot(now, e)
	}
	return now.Before(a.lateWaitEnd())
}

// waitSlack is the time kept free in the objective for two iterations and the delivery to
// the caller.
const waitSlack = 200 * time.Millisecond

// MayWait reports whether a prompt can wait for the prefill of others. It can while there is
// still time to meet its objective afterwards. If it misses its objective in any case, it can
// wait for half the time after which its caller disconnects.
func (a Ask) MayWait(now time.Time, plan Plan) bool {
	due := a.Arrived.Add(a.Prompt.Objective)
	if now.Add(plan.Prefill + waitSlack).Before(due) {
		return true
	}
	late := now.Add(plan.Expected).After(due)
	return late && now.Before(a.lateWaitEnd())
}
