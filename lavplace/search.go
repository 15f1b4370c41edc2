package lavplace

import (
	"cmp"
	"math/rand/v2"
	"slices"
)

// neighbourhood is the number of engines that one step of Search empties.
const neighbourhood = 3

// Search improves a placement by large-neighbourhood search, in the manner of
// Mehta, O'Sullivan and Simonis, "Comparing Solution Methods for the Machine
// Reassignment Problem": each step frees the replicas on a few machines, places
// them again and keeps the result if it costs less. Here the reinsertion is
// greedy in a random order rather than by constraint solving, and one of the
// engines is drawn from the most loaded. The steps bound the work.
func Search(p *Problem, from Placement, steps int, seed uint64) Placement {
	s := &search{p: p, random: rand.New(rand.NewPCG(seed, seed)), t: newTally(p, clone(from))}
	for e := range p.Engines {
		if !p.Engines[e].Closed {
			s.open = append(s.open, e)
		}
	}
	if len(s.open) < neighbourhood {
		return s.t.at
	}
	cost := s.t.cost().Total()
	for range steps {
		engines := s.draw()
		before := make([][]int, len(engines))
		for i, e := range engines {
			before[i] = s.t.at[e]
		}
		s.refill(engines)
		next := s.t.cost().Total()
		if next <= cost && s.safe(engines) {
			cost = next
			continue
		}
		for i, e := range engines {
			s.set(e, before[i])
		}
	}
	return s.t.at
}

func clone(at Placement) Placement {
	next := make(Placement, len(at))
	for e := range at {
		next[e] = slices.Clone(at[e])
	}
	return next
}

type search struct {
	p      *Problem
	t      *tally
	random *rand.Rand
	open   []int
}

// draw picks the engines of a step: the most loaded of a few, and others.
func (s *search) draw() []int {
	first := s.pick()
	for range neighbourhood {
		if e := s.pick(); s.t.load(e) > s.t.load(first) {
			first = e
		}
	}
	engines := []int{first}
	for len(engines) < neighbourhood {
		if e := s.pick(); !slices.Contains(engines, e) {
			engines = append(engines, e)
		}
	}
	return engines
}

func (s *search) pick() int { return s.open[s.random.IntN(len(s.open))] }

// refill empties engines and places their models, and those that lack
// replicas, again.
func (s *search) refill(engines []int) {
	var freed []int
	for _, e := range engines {
		var fixed []int
		for _, m := range s.t.at[e] {
			if s.p.Models[m].Fixed {
				fixed = append(fixed, m)
			} else {
				freed = append(freed, m)
			}
		}
		s.set(e, fixed)
	}
	for m := range s.p.Models {
		if s.p.Models[m].Fixed {
			continue
		}
		for range max(s.p.Models[m].Replicas-s.t.count[m]-count(freed, m), 0) {
			freed = append(freed, m)
		}
	}
	s.sort(freed)
	for _, m := range freed {
		if e := s.home(engines, m); e >= 0 {
			s.t.at[e] = with(s.t.at[e], m)
			s.t.add(e, m, 1)
		}
	}
}

// sort orders replicas from large to small, with some noise, since the large
// ones are the hardest to place.
func (s *search) sort(replicas []int) {
	s.random.Shuffle(len(replicas), func(i, j int) { replicas[i], replicas[j] = replicas[j], replicas[i] })
	noise := make(map[int]float64, len(replicas))
	for _, m := range replicas {
		noise[m] = float64(s.p.Models[m].Memory) * (0.5 + s.random.Float64())
	}
	slices.SortStableFunc(replicas, func(a, b int) int { return cmp.Compare(noise[b], noise[a]) })
}

func count(models []int, m int) int {
	n := 0
	for _, have := range models {
		if have == m {
			n++
		}
	}
	return n
}

// home picks the engine for a freed replica: mostly one that spreads it, then
// one that holds it now, then the least loaded.
func (s *search) home(engines []int, m int) int {
	best, score := -1, 0.0
	for _, e := range engines {
		engine := &s.p.Engines[e]
		if holds(s.t.at[e], m) || s.p.used(s.t.at[e])+s.p.Models[m].Memory > engine.Memory {
			continue
		}
		points := 1 / (1 + s.t.load(e)) * s.random.Float64()
		if s.t.domains[m][engine.FailureDomain] == 0 {
			points += 2
		}
		if holds(engine.Loaded, m) {
			points += 2 * s.random.Float64()
		}
		if best < 0 || points > score {
			best, score = e, points
		}
	}
	return best
}

// safe reports whether the engines can get from what they hold to what is
// planned: what is new must fit beside what can't be dropped first.
func (s *search) safe(engines []int) bool {
	for _, e := range engines {
		if s.p.transient(e, s.t.at[e]) > s.p.Engines[e].Memory {
			return false
		}
	}
	return true
}

// transient is the memory that an engine needs while it changes from what it
// holds to next: both stand side by side, but for surplus replicas, which go
// first.
func (p *Problem) transient(e int, next []int) int {
	sum := p.used(next)
	for _, m := range p.Engines[e].Loaded {
		if !holds(next, m) && (p.Models[m].Fixed || p.held(m) <= p.Models[m].Replicas) {
			sum += p.Models[m].Memory
		}
	}
	return sum
}

// held is the number of open engines that hold a model now.
func (p *Problem) held(m int) int {
	n := 0
	for e := range p.Engines {
		if !p.Engines[e].Closed && holds(p.Engines[e].Loaded, m) {
			n++
		}
	}
	return n
}

// set replaces the models of an engine.
func (s *search) set(e int, models []int) {
	for _, m := range s.t.at[e] {
		s.t.add(e, m, -1)
	}
	s.t.at[e] = models
	for _, m := range models {
		s.t.add(e, m, 1)
	}
}
