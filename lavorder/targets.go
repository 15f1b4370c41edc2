package lavorder

import (
	"slices"

	"lavenderrack.example/lavenderrack/lavendpoint"
	"lavenderrack.example/lavenderrack/lavplace"
	"lavenderrack.example/lavenderrack/lavrelease"
)

// weightMemoryDivisor sets the part of an engine's memory that model weights may
// occupy: 1/weightMemoryDivisor.
const weightMemoryDivisor = 2

// maxSearchSteps bounds the number of steps of the placement search.
const maxSearchSteps = 2000

// placementInputs is a placement problem, along with the endpoints and adapters
// that its indexes refer to.
type placementInputs struct {
	problem   lavplace.Problem
	endpoints []*lavendpoint.Endpoint
	adapters  map[string][]string
}

// newPlacementInputs builds the placement problem. Only models for which the
// release sets a number of replicas are placed. All other models stay where
// operators have placed them.
func newPlacementInputs(state *lavrelease.State, snapshot *lavendpoint.Snapshot) *placementInputs {
	in := &placementInputs{adapters: make(map[string][]string)}
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
			Memory:        e.Report.MemoryTokens / weightMemoryDivisor,
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

// NextTargets returns the next targets of the engines that need a change, of which
// at most maxLoading load a model or adapter at the same time. A model that is not
// in the release is dropped, except if the release lists no models at all: then
// there are no targets. The result is deterministic.
func NextTargets(state *lavrelease.State, snapshot *lavendpoint.Snapshot, maxLoading int) []Target {
	if len(state.Models) == 0 {
		return nil
	}
	in := newPlacementInputs(state, snapshot)
	p := &in.problem
	target := lavplace.Greedy(p)
	if cost := p.Cost(target); cost.Missing+cost.Unspread > 0 {
		// Greedy can miss replicas when memory is tight. Search finds better
		// placements but takes more time, so it runs only in that case.
		target = lavplace.Search(p, target, maxSearchSteps, uint64(state.Version))
	}
	stage := lavplace.NextStage(p, target, maxLoading)
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
		if needsOrder(t, e) {
			targets = append(targets, t)
		}
	}
	return limitLoading(targets, snapshot, maxLoading)
}

// needsOrder reports whether the engine lacks a model or adapter of the target, or
// has loaded more models than the target lists.
func needsOrder(t Target, e *lavendpoint.Endpoint) bool {
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

// limitLoading removes the targets that would make more than maxLoading engines
// load at the same time.
func limitLoading(targets []Target, snapshot *lavendpoint.Snapshot, maxLoading int) []Target {
	return slices.DeleteFunc(targets, func(t Target) bool {
		e, _ := snapshot.Find(t.Endpoint)
		if !needsLoading(t, e) {
			return false
		}
		maxLoading--
		return maxLoading < 0
	})
}

func needsLoading(t Target, e *lavendpoint.Endpoint) bool {
	missingFrom := func(loaded []string) func(string) bool {
		return func(name string) bool { return !slices.Contains(loaded, name) }
	}
	return slices.ContainsFunc(t.Models, missingFrom(e.Report.Models)) || slices.ContainsFunc(t.Adapters, missingFrom(e.Report.Adapters))
}
