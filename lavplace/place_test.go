package lavplace_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"lavenderrack.example/lavenderrack/lavassert"
	"lavenderrack.example/lavenderrack/lavplace"
)

// moved returns a problem in which demand has shifted: what the engines hold
// was placed for other needs, some are closed and some hold nothing.
func moved(engines int, seed uint64) *lavplace.Problem {
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

// assertFits checks the memory of every open engine.
func assertFits(t *testing.T, p *lavplace.Problem, at lavplace.Placement) {
	t.Helper()
	for e := range at {
		used := 0
		for _, m := range at[e] {
			used += p.Models[m].Memory
		}
		lavassert.AtMost(t, "memory of "+p.Engines[e].Name, used, p.Engines[e].Memory)
	}
}

// TestSearch measures greedy against search from the same start.
func TestSearch(t *testing.T) {
	for _, c := range []struct{ engines, steps int }{{16, 4000}, {200, 4000}, {1100, 4000}} {
		t.Run(fmt.Sprint(c.engines, " engines"), func(t *testing.T) {
			for seed := range uint64(3) {
				p := moved(c.engines, seed)
				began := time.Now()
				greedy := lavplace.Greedy(p)
				between := time.Now()
				found := lavplace.Search(p, greedy, c.steps, seed)
				ended := time.Now()
				g, s := p.Cost(greedy), p.Cost(found)
				t.Logf("seed %d: greedy %.0f %+v in %v; search %.0f %+v in %v", seed,
					g.Total(), g, between.Sub(began).Round(time.Millisecond/10), s.Total(), s, ended.Sub(between).Round(time.Millisecond))
				assertFits(t, p, greedy)
				assertFits(t, p, found)
				lavassert.AtMost(t, "cost", s.Total(), g.Total())
				lavassert.Equal(t, "again by the same seed", p.Cost(lavplace.Search(p, greedy, c.steps, seed)), s)
			}
		})
	}
}

func TestNext(t *testing.T) {
	// carry plays stages until nothing changes, in which engines carry out
	// their stage in any order and some fail to.
	carry := func(t *testing.T, p *lavplace.Problem, target lavplace.Placement, seed uint64) {
		t.Helper()
		r := rand.New(rand.NewPCG(seed, 99))
		floor := make([]int, len(p.Models))
		for m := range p.Models {
			floor[m] = min(replicas(p, m), p.Models[m].Replicas)
		}
		for range 400 {
			stage := lavplace.NextStage(p, target, 4)
			changed := false
			loading := 0
			for _, e := range r.Perm(len(stage)) {
				if fmt.Sprint(stage[e]) == fmt.Sprint(p.Current()[e]) {
					continue
				}
				changed = true
				if len(stage[e]) > 0 && r.IntN(4) == 0 {
					continue
				}
				loading += loads(p.Engines[e].Loaded, stage[e])
				p.Engines[e].Loaded = stage[e]
				for m := range p.Models {
					lavassert.AtLeast(t, "replicas of "+p.Models[m].Name, replicas(p, m), floor[m])
					floor[m] = max(floor[m], min(replicas(p, m), p.Models[m].Replicas))
				}
			}
			lavassert.AtMost(t, "engines loading at a time", loading, 4)
			assertFits(t, p, p.Current())
			if !changed {
				return
			}
		}
		t.Error("the stages never end")
	}
	for seed := range uint64(6) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			p := moved(60, seed)
			carry(t, p, lavplace.Search(p, lavplace.Greedy(p), 500, seed), seed)
		})
	}
}

func replicas(p *lavplace.Problem, m int) int {
	n := 0
	for _, e := range p.Engines {
		for _, have := range e.Loaded {
			if have == m && !e.Closed {
				n++
			}
		}
	}
	return n
}

func loads(before, after []int) int {
	n := 0
	for _, m := range after {
		if !contains(before, m) {
			n++
		}
	}
	return n
}

func contains(models []int, m int) bool {
	for _, have := range models {
		if have == m {
			return true
		}
	}
	return false
}
