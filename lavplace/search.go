package lavplace

import (
	"cmp"
	"math/rand/v2"
	"slices"
)

// neighbourhoodSize is the number of engines that one step of Search clears.
const neighbourhoodSize = 3

// Search improves a placement by large-neighbourhood search, based on Mehta,
// O'Sullivan and Simonis, "Comparing Solution Methods for the Machine Reassignment
// Problem": each step removes the replicas from a few engines, places them again,
// and keeps the result if its cost is not higher. Unlike the paper, which reinserts
// by constraint solving, Search reinserts greedily in a random order, and it
// chooses one of the engines from the most loaded ones. The parameter steps bounds
// the running time.
func Search(p *Problem, start Placement, steps int, seed uint64) Placement {
	s := &search{problem: p, random: rand.New(rand.NewPCG(seed, seed)), tracker: newCostTracker(p, clonePlacement(start))}
	for e := range p.Engines {
		if !p.Engines[e].Closed {
			s.openEngines = append(s.openEngines, e)
		}
	}
	if len(s.openEngines) < neighbourhoodSize {
		return s.tracker.placement
	}
	cost := s.tracker.cost().Total()
	for range steps {
		engines := s.selectEngines()
		before := make([][]int, len(engines))
		for i, e := range engines {
			before[i] = s.tracker.placement[e]
		}
		s.refill(engines)
		next := s.tracker.cost().Total()
		if next <= cost && s.transitionFits(engines) {
			cost = next
			continue
		}
		for i, e := range engines {
			s.setModels(e, before[i])
		}
	}
	return s.tracker.placement
}

func clonePlacement(placement Placement) Placement {
	copied := make(Placement, len(placement))
	for e := range placement {
		copied[e] = slices.Clone(placement[e])
	}
	return copied
}

// search is the state of one run of Search.
type search struct {
	problem     *Problem
	tracker     *costTracker
	random      *rand.Rand
	openEngines []int
}

// selectEngines returns the engines for one step: the engine with the highest
// demand in a small random sample, and other random engines.
func (s *search) selectEngines() []int {
	mostLoaded := s.randomEngine()
	for range neighbourhoodSize {
		if e := s.randomEngine(); s.tracker.demandOn(e) > s.tracker.demandOn(mostLoaded) {
			mostLoaded = e
		}
	}
	engines := []int{mostLoaded}
	for len(engines) < neighbourhoodSize {
		if e := s.randomEngine(); !slices.Contains(engines, e) {
			engines = append(engines, e)
		}
	}
	return engines
}

func (s *search) randomEngine() int { return s.openEngines[s.random.IntN(len(s.openEngines))] }

// refill clears the engines and places their models again, along with models that
// lack replicas.
func (s *search) refill(engines []int) {
	var freed []int
	for _, e := range engines {
		var fixed []int
		for _, m := range s.tracker.placement[e] {
			if s.problem.Models[m].Fixed {
				fixed = append(fixed, m)
			} else {
				freed = append(freed, m)
			}
		}
		s.setModels(e, fixed)
	}
	for m := range s.problem.Models {
		if s.problem.Models[m].Fixed {
			continue
		}
		for range max(s.problem.Models[m].Replicas-s.tracker.replicas[m]-countModel(freed, m), 0) {
			freed = append(freed, m)
		}
	}
	s.sortByNoisySize(freed)
	for _, m := range freed {
		if e := s.chooseEngine(engines, m); e >= 0 {
			s.tracker.placement[e] = withModel(s.tracker.placement[e], m)
			s.tracker.adjust(e, m, 1)
		}
	}
}

// sortByNoisySize sorts replicas by descending size, because large models are the
// hardest to place. Random noise varies the order between steps.
func (s *search) sortByNoisySize(replicas []int) {
	s.random.Shuffle(len(replicas), func(i, j int) { replicas[i], replicas[j] = replicas[j], replicas[i] })
	noisySize := make(map[int]float64, len(replicas))
	for _, m := range replicas {
		noisySize[m] = float64(s.problem.Models[m].Memory) * (0.5 + s.random.Float64())
	}
	slices.SortStableFunc(replicas, func(a, b int) int { return cmp.Compare(noisySize[b], noisySize[a]) })
}

func countModel(models []int, m int) int {
	n := 0
	for _, listed := range models {
		if listed == m {
			n++
		}
	}
	return n
}

// chooseEngine returns the engine for a freed replica, or -1 if it fits on none. It
// prefers an engine in a failure domain without a replica of the model, then an
// engine that has the model loaded now, then an engine with low demand. The latter
// two preferences are randomized.
func (s *search) chooseEngine(engines []int, m int) int {
	chosen, chosenScore := -1, 0.0
	for _, e := range engines {
		engine := &s.problem.Engines[e]
		if contains(s.tracker.placement[e], m) || s.problem.totalMemory(s.tracker.placement[e])+s.problem.Models[m].Memory > engine.Memory {
			continue
		}
		score := 1 / (1 + s.tracker.demandOn(e)) * s.random.Float64()
		if s.tracker.domains[m][engine.FailureDomain] == 0 {
			score += 2
		}
		if contains(engine.Loaded, m) {
			score += 2 * s.random.Float64()
		}
		if chosen < 0 || score > chosenScore {
			chosen, chosenScore = e, score
		}
	}
	return chosen
}

// transitionFits reports whether each engine has enough memory for the transition
// from its loaded models to its planned ones.
func (s *search) transitionFits(engines []int) bool {
	for _, e := range engines {
		if s.problem.transitionMemory(e, s.tracker.placement[e]) > s.problem.Engines[e].Memory {
			return false
		}
	}
	return true
}

// transitionMemory returns the memory that engine e needs while it changes from its
// loaded models to next. Both sets are in memory at the same time, except for
// surplus replicas, which can be dropped first.
func (p *Problem) transitionMemory(e int, next []int) int {
	sum := p.totalMemory(next)
	for _, m := range p.Engines[e].Loaded {
		if !contains(next, m) && (p.Models[m].Fixed || p.loadedReplicas(m) <= p.Models[m].Replicas) {
			sum += p.Models[m].Memory
		}
	}
	return sum
}

// loadedReplicas returns the number of engines that have a model loaded and are not
// closed.
func (p *Problem) loadedReplicas(m int) int {
	n := 0
	for e := range p.Engines {
		if !p.Engines[e].Closed && contains(p.Engines[e].Loaded, m) {
			n++
		}
	}
	return n
}

// setModels replaces the models of an engine.
func (s *search) setModels(e int, models []int) {
	for _, m := range s.tracker.placement[e] {
		s.tracker.adjust(e, m, -1)
	}
	s.tracker.placement[e] = models
	for _, m := range models {
		s.tracker.adjust(e, m, 1)
	}
}
