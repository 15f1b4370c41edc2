package lavplan

import (
	"cmp"
	"math"
	"time"

	"lavenderrack.example/lavenderrack/lavconfig"
)

// Priorities at an endpoint of a service without ranks. Lower values are admitted first.
const (
	tightPriority   = 3
	latePriority    = 4
	defaultPriority = 5
)

const (
	// priorityLevels is the number of priorities that an endpoint distinguishes.
	priorityLevels = 10
	// rankPriorities is the number of priorities that a rank uses, if there are enough.
	rankPriorities = defaultPriority - tightPriority + 1
)

// Ranked reports whether ranks decide: there is more than one at the service.
func (p Prompt) Ranked() bool { return p.Ranks > 1 }

// Priority returns the prompt's priority for admission at an endpoint: the rank and, within
// it, tight prompts first and late ones before the others. The engine is nil if the service is
// not a model engine.
func (p Prompt) Priority(e *lavconfig.Engine) int {
	priority := p.urgency(e)
	if !p.Ranked() {
		return priority
	}
	levels := min(max(priorityLevels/p.Ranks, 1), rankPriorities)
	within := min(priority-tightPriority, levels-1)
	return min(p.Rank*levels+within, priorityLevels-1)
}

// urgency returns the prompt's priority among those of the same rank.
func (p Prompt) urgency(e *lavconfig.Engine) int {
	switch {
	case p.Late():
		return latePriority
	case p.Tight(e):
		return tightPriority
	default:
		return defaultPriority
	}
}

// compareRanks returns a negative number if p goes before q by its rank, and zero if the rank
// doesn't decide.
func compareRanks(p, q Prompt) int {
	if !p.Ranked() || !q.Ranked() {
		return 0
	}
	return cmp.Compare(p.Rank, q.Rank)
}

// weightTokens is the prompt length that adds 1 to a prompt's weight.
const weightTokens = 10_000

const (
	// rankWeight is the weight of a very short prompt relative to that of the next rank. No
	// weight within a rank differs by more.
	rankWeight = 2
	// halfWeightTokens is the prompt length that adds a half to the weight within a rank, and
	// no length adds more than 1.
	halfWeightTokens = 50_000
)

// weight returns the cost of missing the objective, relative to that of a very short
// prompt. With ranks, the length decides only within a rank.
func (p Prompt) weight() float64 {
	if !p.Ranked() {
		return 1 + float64(p.Tokens)/weightTokens
	}
	length := 1 + float64(p.Tokens)/float64(p.Tokens+halfWeightTokens)
	return length * math.Pow(rankWeight, float64(p.Ranks-1-p.Rank))
}

// helperRisk returns the factor of helperCost. With ranks, it is the cost of missing the
// objective, which each further endpoint can cause: a short prompt gains little from helpers.
func (p Prompt) helperRisk() float64 {
	if !p.Ranked() {
		return 1
	}
	return p.weight()
}

const (
	// keptRoom is the fraction of all slots that prompts of the least urgent rank leave to more
	// urgent ones, whose demand may double while a long prompt runs. The ranks between leave a
	// part of it.
	keptRoom = 0.5
	// leastRoom is the same for prompts that can't wait any longer. It is small, so that steady
	// urgent demand doesn't starve them.
	leastRoom = 0.15
)

// freeRoom returns the fraction of all slots that are free on endpoints where a prompt begins at
// once. It is 1 without slots.
func freeRoom(candidates []Candidate) float64 {
	free, all := 0, 0
	for _, c := range candidates {
		if c.InBackoff {
			continue
		}
		all += c.Slots
		if c.Prefill <= busyBacklog {
			free += max(c.Slots-c.Requests, 0)
		}
	}
	if all == 0 {
		return 1
	}
	return float64(free) / float64(all)
}

// deference returns the part of the kept room that a prompt leaves to more urgent ones: nothing at
// the most urgent rank, and all of it at the least urgent one. Tight prompts are short, and their
// order in the slot queue does justice to their rank.
func (p Prompt) deference(e *lavconfig.Engine) float64 {
	if !p.Ranked() || p.Tight(e) {
		return 0
	}
	return float64(p.Rank) / float64(p.Ranks-1)
}

// Waits reports whether a prompt should wait before it runs according to its plan.
func (a Ask) Waits(now time.Time, plan Plan) bool {
	return (plan.Wait || plan.Crowds) && a.MayWait(now, plan)
}
