package lavplace_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"lavenderrack.example/lavenderrack/lavassert"
	"lavenderrack.example/lavenderrack/lavplace"
)

// shiftedProblem returns a problem whose demand has changed: the loaded models
// match earlier needs, some engines are closed and some have no model loaded.
func shiftedProblem(engines int, seed uint64) *lavplace.Problem {
	r := rand.New(rand.NewPCG(seed, seed))
	const models = 23
	p := &lavplace.Problem{}
	for i := range models {
		p.Models = append(p.Models, lavplace.Model{Name: fmt.Sprint("model-", i), Memory: 10 + r.IntN(50), Replicas: 1 + r.IntN(max(engines/4, 3))})
	}
	for i := range engines {
		p.Engines = append(p.Engines, lavplace.Engine{Name: fmt.Sprint("engine-", i), FailureDomain: fmt.Sprint("domain-", i%6), Memory: 100 + r.IntN(60)})
	}
	for e, models := range lavplace.Greedy(p) {
		p.Engines[e].Loaded = models
		p.Engines[e].Closed = r.IntN(20) == 0
		if r.IntN(10) == 0 {
			p.Engines[e].Loaded = nil
		}
	}
	for i := range p.Models {
		p.Models[i].Replicas = 1 + r.IntN(max(engines/4, 3))
		p.Models[i].Demand = float64(p.Models[i].Replicas) * (0.5 + r.Float64())
	}
	return p
}

// assertFits checks that the models of each engine fit in its memory.
func assertFits(t *testing.T, p *lavplace.Problem, placement lavplace.Placement) {
	t.Helper()
	for e := range placement {
		used := 0
		for _, m := range placement[e] {
			used += p.Models[m].Memory
		}
		lavassert.AtMost(t, "memory of "+p.Engines[e].Name, used, p.Engines[e].Memory)
	}
}

// TestSearch compares the cost and the running time of Greedy and Search from the
// same start.
func TestSearch(t *testing.T) {
	for _, c := range []struct{ engines, steps int }{{16, 4000}, {200, 4000}, {1100, 4000}} {
		t.Run(fmt.Sprint(c.engines, " engines"), func(t *testing.T) {
			for seed := range uint64(3) {
				p := shiftedProblem(c.engines, seed)
				began := time.Now()
				greedy := lavplace.Greedy(p)
				greedyDone := time.Now()
				found := lavplace.Search(p, greedy, c.steps, seed)
				searchDone := time.Now()
				g, s := p.Cost(greedy), p.Cost(found)
				t.Logf("seed %d: greedy %.0f %+v in %v; search %.0f %+v in %v", seed,
					g.Total(), g, greedyDone.Sub(began).Round(time.Millisecond/10), s.Total(), s, searchDone.Sub(greedyDone).Round(time.Millisecond))
				assertFits(t, p, greedy)
				assertFits(t, p, found)
				lavassert.AtMost(t, "cost", s.Total(), g.Total())
				lavassert.Equal(t, "cost of a second run with the same seed", p.Cost(lavplace.Search(p, greedy, c.steps, seed)), s)
			}
		})
	}
}

func TestNextStage(t *testing.T) {
	// runStages applies stages until nothing changes. In each stage the engines act
	// in random order, and some fail to act.
	runStages := func(t *testing.T, p *lavplace.Problem, target lavplace.Placement, seed uint64) {
		t.Helper()
		r := rand.New(rand.NewPCG(seed, 99))
		minReplicas := make([]int, len(p.Models))
		for m := range p.Models {
			minReplicas[m] = min(openReplicas(p, m), p.Models[m].Replicas)
		}
		for range 400 {
			stage := lavplace.NextStage(p, target, 4)
			changed := false
			loading := 0
			for _, e := range r.Perm(len(stage)) {
				if fmt.Sprint(stage[e]) == fmt.Sprint(p.CurrentPlacement()[e]) {
					continue
				}
				changed = true
				if len(stage[e]) > 0 && r.IntN(4) == 0 {
					continue
				}
				loading += countLoads(p.Engines[e].Loaded, stage[e])
				p.Engines[e].Loaded = stage[e]
				for m := range p.Models {
					lavassert.AtLeast(t, "replicas of "+p.Models[m].Name, openReplicas(p, m), minReplicas[m])
					minReplicas[m] = max(minReplicas[m], min(openReplicas(p, m), p.Models[m].Replicas))
				}
			}
			lavassert.AtMost(t, "models loading at the same time", loading, 4)
			assertFits(t, p, p.CurrentPlacement())
			if !changed {
				return
			}
		}
		t.Error("the placement did not become stable within the stage limit")
	}
	for seed := range uint64(6) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			p := shiftedProblem(60, seed)
			runStages(t, p, lavplace.Search(p, lavplace.Greedy(p), 500, seed), seed)
		})
	}
}

func openReplicas(p *lavplace.Problem, m int) int {
	n := 0
	for _, e := range p.Engines {
		for _, loaded := range e.Loaded {
			if loaded == m && !e.Closed {
				n++
			}
		}
	}
	return n
}

func countLoads(before, after []int) int {
	n := 0
	for _, m := range after {
		if !contains(before, m) {
			n++
		}
	}
	return n
}

func contains(models []int, m int) bool {
	for _, loaded := range models {
		if loaded == m {
			return true
		}
	}
	return false
}
