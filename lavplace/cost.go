package lavplace

// Weights of the parts of a cost. A missing replica outweighs a model that is
// not spread, and that a move.
const (
	missingWeight = 1000.0
	spreadWeight  = 200.0
	balanceWeight = 100.0
	moveWeight    = 10.0
)

// Cost is what is wrong with a placement; less is better.
type Cost struct {
	// Missing counts the replicas that models lack, and Unspread the failure
	// domains in which they should be and aren't.
	Missing  int
	Unspread int
	// Imbalance is the mean square of the engines' loads over the square of
	// their mean, less 1: 0 is even.
	Imbalance float64
	// Moved is the memory that is loaded anew, over the mean memory of a
	// model.
	Moved float64
}

// Total weighs the parts.
func (c Cost) Total() float64 {
	return missingWeight*float64(c.Missing) + spreadWeight*float64(c.Unspread) + balanceWeight*c.Imbalance + moveWeight*c.Moved
}

// Cost returns the cost of a placement.
func (p *Problem) Cost(at Placement) Cost {
	t := newTally(p, at)
	return t.cost()
}

// tally keeps the counts that a cost is made of.
type tally struct {
	p       *Problem
	at      Placement
	count   []int
	domains []map[string]int
	spread  int
	moved   int
	mean    float64
}

func newTally(p *Problem, at Placement) *tally {
	t := &tally{p: p, at: at, count: make([]int, len(p.Models)), domains: make([]map[string]int, len(p.Models)), spread: p.domains()}
	for m := range p.Models {
		t.domains[m] = make(map[string]int)
		t.mean += float64(p.Models[m].Memory) / float64(len(p.Models))
	}
	for e := range at {
		for _, m := range at[e] {
			t.add(e, m, 1)
		}
	}
	return t
}

// add notes that a model comes to an engine, or goes if by is -1.
func (t *tally) add(e, m, by int) {
	engine := &t.p.Engines[e]
	if engine.Closed {
		return
	}
	t.count[m] += by
	t.domains[m][engine.FailureDomain] += by
	if t.domains[m][engine.FailureDomain] == 0 {
		delete(t.domains[m], engine.FailureDomain)
	}
	if !holds(engine.Loaded, m) {
		t.moved += by * t.p.Models[m].Memory
	}
}

func holds(models []int, m int) bool {
	for _, have := range models {
		if have == m {
			return true
		}
	}
	return false
}

func (t *tally) cost() Cost {
	var c Cost
	for m := range t.p.Models {
		if t.p.Models[m].Fixed {
			continue
		}
		need := t.p.Models[m].Replicas
		c.Missing += max(need-t.count[m], 0)
		c.Unspread += max(min(need, t.spread)-len(t.domains[m]), 0)
	}
	c.Imbalance = t.imbalance()
	if t.mean > 0 {
		c.Moved = float64(t.moved) / t.mean
	}
	return c
}

func (t *tally) imbalance() float64 {
	sum, squares, open := 0.0, 0.0, 0
	for e := range t.at {
		if t.p.Engines[e].Closed {
			continue
		}
		load := t.load(e)
		sum += load
		squares += load * load
		open++
	}
	if sum == 0 {
		return 0
	}
	return squares*float64(open)/(sum*sum) - 1
}

// load is the demand that an engine has from its models.
func (t *tally) load(e int) float64 {
	load := 0.0
	for _, m := range t.at[e] {
		load += t.p.Models[m].Demand / float64(max(t.count[m], 1))
	}
	return load
}
