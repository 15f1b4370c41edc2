package lavorder

import (
	"slices"

	"lavenderrack.example/lavenderrack/lavendpoint"
	"lavenderrack.example/lavenderrack/lavplace"
	"lavenderrack.example/lavenderrack/lavrelease"
)

// weightShare is the part of an engine's memory that weights may take: one over
// this.
const weightShare = 2

// searchSteps bounds the search for a better placement.
const searchSteps = 2000

// inputs are the problem of placement with the names that its indexes stand
// for.
type inputs struct {
	problem   lavplace.Problem
	endpoints []*lavendpoint.Endpoint
	adapters  map[string][]string
}

// inputsOf states the problem of placement. Only models whose release names a
// number of replicas are placed; the others stay where operators have put them.
func inputsOf(state *lavrelease.State, snapshot *lavendpoint.Snapshot) *inputs {
	in := &inputs{adapters: make(map[string][]string)}
	index := make(map[string]int)
	for _, m := range state.Models {
		index[m.Name] = len(in.problem.Models)
		in.problem.Models = append(in.problem.Models, lavplace.Model{
			Name: m.Name, Memory: m.MemoryTokens, Replicas: m.Replicas, Fixed: m.Replicas == 0, Demand: float64(m.Replicas),
		})
	}
	for _, a := range state.Adapters {
		in.adapters[a.Model] = append(in.adapters[a.Model], a.Name)
	}
	for i := range snapshot.Endpoints {
		e := &snapshot.Endpoints[i]
		if e.Service != "" || e.Heard.IsZero() {
			continue
		}
		engine := lavplace.Engine{
			Name:          e.Name,
			FailureDomain: e.FailureDomain,
			Memory:        e.Report.MemoryTokens / weightShare,
			Closed:        !e.Phase.TakesWork(),
		}
		for _, name := range e.Report.Models {
			if m, known := index[name]; known {
				engine.Loaded = append(engine.Loaded, m)
			}
		}
		slices.Sort(engine.Loaded)
		in.problem.Engines = append(in.problem.Engines, engine)
		in.endpoints = append(in.endpoints, e)
	}
	return in
}

// Stage returns what some engines should hold next, with at most loads of them
// loading at a time. An engine that needs no change is not named. A model that
// the release doesn't have is dropped, but for a release without any models,
// which says nothing of them. The same inputs give the same stage.
func Stage(state *lavrelease.State, snapshot *lavendpoint.Snapshot, loads int) []Target {
	if len(state.Models) == 0 {
		return nil
	}
	in := inputsOf(state, snapshot)
	p := &in.problem
	target := lavplace.Greedy(p)
	if cost := p.Cost(target); cost.Missing+cost.Unspread > 0 {
		// Greedy falls short where memory is tight; search costs more.
		target = lavplace.Search(p, target, searchSteps, uint64(state.Version))
	}
	stage := lavplace.NextStage(p, target, loads)
	var targets []Target
	for i, e := range in.endpoints {
		if p.Engines[i].Closed {
			continue
		}
		t := Target{Endpoint: e.Name}
		for _, m := range stage[i] {
			t.Models = append(t.Models, p.Models[m].Name)
			t.Adapters = append(t.Adapters, in.adapters[p.Models[m].Name]...)
		}
		if differs(t, e) {
			targets = append(targets, t)
		}
	}
	return bound(targets, snapshot, loads)
}

// differs reports whether an engine lacks something of a target, or holds a
// model of the release that it should drop.
func differs(t Target, e *lavendpoint.Endpoint) bool {
	for _, m := range t.Models {
		if !slices.Contains(e.Report.Models, m) {
			return true
		}
	}
	for _, a := range t.Adapters {
		if !slices.Contains(e.Report.Adapters, a) {
			return true
		}
	}
	return len(t.Models) < len(e.Report.Models)
}

// bound leaves out engines beyond the number that may load at a time.
func bound(targets []Target, snapshot *lavendpoint.Snapshot, loads int) []Target {
	return slices.DeleteFunc(targets, func(t Target) bool {
		e, _ := snapshot.Find(t.Endpoint)
		if !loadsAny(t, e) {
			return false
		}
		loads--
		return loads < 0
	})
}

func loadsAny(t Target, e *lavendpoint.Endpoint) bool {
	lacks := func(have []string) func(string) bool {
		return func(name string) bool { return !slices.Contains(have, name) }
	}
	return slices.ContainsFunc(t.Models, lacks(e.Report.Models)) || slices.ContainsFunc(t.Adapters, lacks(e.Report.Adapters))
}
