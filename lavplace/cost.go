package lavplace

// Weights of the parts of a cost. A missing replica outweighs a missing failure
// domain, which outweighs imbalance, which outweighs moved memory.
const (
	missingWeight = 1000.0
	spreadWeight  = 200.0
	balanceWeight = 100.0
	moveWeight    = 10.0
)

// Cost measures the shortcomings of a placement. Lower is better.
type Cost struct {
	// Missing is the number of replicas that models lack. Unspread is the number of
	// failure domains that lack a replica of a model that should have one there.
	Missing  int
	Unspread int
	// Imbalance is the mean of the squared engine demands divided by the square of
	// the mean demand, minus 1. It is 0 if all engines have equal demand.
	Imbalance float64
	// Moved is the total memory of the models that must be loaded, divided by the
	// mean memory of a model.
	Moved float64
}

// Total returns the weighted sum of the parts.
func (c Cost) Total() float64 {
	return missingWeight*float64(c.Missing) + spreadWeight*float64(c.Unspread) + balanceWeight*c.Imbalance + moveWeight*c.Moved
}

// Cost returns the cost of a placement.
func (p *Problem) Cost(placement Placement) Cost {
	tracker := newCostTracker(p, placement)
	return tracker.cost()
}

// costTracker maintains the counts from which the cost of a placement is computed.
type costTracker struct {
	problem      *Problem
	placement    Placement
	replicas     []int
	domains      []map[string]int
	openDomains  int
	loadedMemory int
	meanMemory   float64
}

func newCostTracker(p *Problem, placement Placement) *costTracker {
	tracker := &costTracker{problem: p, placement: placement, replicas: make([]int, len(p.Models)), domains: make([]map[string]int, len(p.Models)), openDomains: p.openDomains()}
	for m := range p.Models {
		tracker.domains[m] = make(map[string]int)
		tracker.meanMemory += float64(p.Models[m].Memory) / float64(len(p.Models))
	}
	for e := range placement {
		for _, m := range placement[e] {
			tracker.adjust(e, m, 1)
		}
	}
	return tracker
}

// adjust updates the counts after model m was added to engine e (change is 1) or
// removed from it (change is -1).
func (t *costTracker) adjust(e, m, change int) {
	engine := &t.problem.Engines[e]
	if engine.Closed {
		return
	}
	t.replicas[m] += change
	t.domains[m][engine.FailureDomain] += change
	if t.domains[m][engine.FailureDomain] == 0 {
		delete(t.domains[m], engine.FailureDomain)
	}
	if !contains(engine.Loaded, m) {
		t.loadedMemory += change * t.problem.Models[m].Memory
	}
}

func contains(models []int, m int) bool {
	for _, loaded := range models {
		if loaded == m {
			return true
		}
	}
	return false
}

func (t *costTracker) cost() Cost {
	var c Cost
	for m := range t.problem.Models {
		if t.problem.Models[m].Fixed {
			continue
		}
		needed := t.problem.Models[m].Replicas
		c.Missing += max(needed-t.replicas[m], 0)
		c.Unspread += max(min(needed, t.openDomains)-len(t.domains[m]), 0)
	}
	c.Imbalance = t.imbalance()
	if t.meanMemory > 0 {
		c.Moved = float64(t.loadedMemory) / t.meanMemory
	}
	return c
}

func (t *costTracker) imbalance() float64 {
	sum, squares, openEngines := 0.0, 0.0, 0
	for e := range t.placement {
		if t.problem.Engines[e].Closed {
			continue
		}
		demand := t.demandOn(e)
		sum += demand
		squares += demand * demand
		openEngines++
	}
	if sum == 0 {
		return 0
	}
	return squares*float64(openEngines)/(sum*sum) - 1
}

// demandOn returns the total demand on engine e: each model's demand is divided
// equally among its replicas.
func (t *costTracker) demandOn(e int) float64 {
	demand := 0.0
	for _, m := range t.placement[e] {
		demand += t.problem.Models[m].Demand / float64(max(t.replicas[m], 1))
	}
	return demand
}
