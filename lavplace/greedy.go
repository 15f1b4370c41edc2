package lavplace

import (
	"cmp"
	"slices"
)

// Greedy keeps the loaded models and adds replicas until each model has enough of
// them in enough failure domains, largest models first. Each replica goes to an
// engine that has room, preferably in a failure domain without a replica of the
// model, and among those to the engine with the least demand. Surplus replicas of
// other models are removed to make room.
func Greedy(p *Problem) Placement {
	placement := p.CurrentPlacement()
	tracker := newCostTracker(p, placement)
	order := make([]int, len(p.Models))
	for m := range order {
		order[m] = m
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(p.Models[b].Memory, p.Models[a].Memory) })
	for _, m := range order {
		if p.Models[m].Fixed {
			continue
		}
		for tracker.replicas[m] < p.Models[m].Replicas || len(tracker.domains[m]) < min(p.Models[m].Replicas, tracker.openDomains) {
			e := tracker.bestEngine(m)
			if e < 0 {
				break
			}
			tracker.place(e, m)
		}
	}
	return placement
}

// bestEngine returns the engine on which to place another replica of model m, or -1
// if there is none.
func (t *costTracker) bestEngine(m int) int {
	chosen, chosenAddsDomain, chosenDemand := -1, false, 0.0
	needed := t.replicas[m] < t.problem.Models[m].Replicas
	for e := range t.problem.Engines {
		engine := &t.problem.Engines[e]
		if engine.Closed || contains(t.placement[e], m) || !t.fitsWithoutSurplus(e, m) {
			continue
		}
		addsDomain := t.domains[m][engine.FailureDomain] == 0
		if !addsDomain && !needed {
			continue
		}
		demand := t.demandOn(e)
		if chosen < 0 || addsDomain && !chosenAddsDomain || addsDomain == chosenAddsDomain && demand < chosenDemand {
			chosen, chosenAddsDomain, chosenDemand = e, addsDomain, demand
		}
	}
	return chosen
}

// fitsWithoutSurplus reports whether model m fits on engine e after removal of the
// engine's surplus replicas.
func (t *costTracker) fitsWithoutSurplus(e, m int) bool {
	free := t.problem.Engines[e].Memory - t.problem.totalMemory(t.placement[e]) - t.problem.Models[m].Memory
	for _, placed := range t.placement[e] {
		if free >= 0 {
			return true
		}
		if t.hasSurplus(placed) {
			free += t.problem.Models[placed].Memory
		}
	}
	return free >= 0
}

// hasSurplus reports whether a model has more replicas than it needs.
func (t *costTracker) hasSurplus(m int) bool {
	return !t.problem.Models[m].Fixed && t.replicas[m] > t.problem.Models[m].Replicas
}

// place adds model m to engine e and removes surplus replicas there until it fits.
func (t *costTracker) place(e, m int) {
	for t.problem.totalMemory(t.placement[e])+t.problem.Models[m].Memory > t.problem.Engines[e].Memory {
		i := slices.IndexFunc(t.placement[e], t.hasSurplus)
		if i < 0 {
			return
		}
		t.remove(e, t.placement[e][i])
	}
	t.placement[e] = withModel(t.placement[e], m)
	t.adjust(e, m, 1)
}

func (t *costTracker) remove(e, m int) {
	t.placement[e] = withoutModel(t.placement[e], m)
	t.adjust(e, m, -1)
}
