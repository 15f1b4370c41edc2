package lavplace

import "slices"

// Model is a model to be placed.
type Model struct {
	Name   string
	Memory int
	// Replicas is the number of engines that should hold the model.
	Replicas int
	// Fixed is true for a model that must stay where it is. Its number of replicas
	// is not enforced.
	Fixed bool
	// Demand is the load caused by the model, divided equally among its replicas.
	// All models use the same unit, which can be any.
	Demand float64
}

// Engine is an engine on which models can be placed.
type Engine struct {
	Name          string
	FailureDomain string
	// Memory is the part of the engine's memory that is available to model weights.
	Memory int
	// Loaded lists the models that the engine has loaded, as indexes into
	// Problem.Models.
	Loaded []int
	// Closed is true for an engine that can't be given new models because it is out
	// or leaving. Its loaded models don't count as replicas.
	Closed bool
}

// Problem is the input of a placement: the models and the engines.
type Problem struct {
	Models  []Model
	Engines []Engine
}

// Placement lists the models of each engine, as sorted indexes into Problem.Models.
type Placement [][]int

// CurrentPlacement returns the placement of the models that are loaded now.
func (p *Problem) CurrentPlacement() Placement {
	placement := make(Placement, len(p.Engines))
	for i := range p.Engines {
		placement[i] = slices.Sorted(slices.Values(p.Engines[i].Loaded))
	}
	return placement
}

// openDomains returns the number of failure domains that have an engine that is not
// closed.
func (p *Problem) openDomains() int {
	seen := make(map[string]bool)
	for i := range p.Engines {
		if !p.Engines[i].Closed {
			seen[p.Engines[i].FailureDomain] = true
		}
	}
	return len(seen)
}

// totalMemory returns the total memory of the given models.
func (p *Problem) totalMemory(models []int) int {
	sum := 0
	for _, m := range models {
		sum += p.Models[m].Memory
	}
	return sum
}

func withoutModel(models []int, m int) []int {
	return slices.DeleteFunc(slices.Clone(models), func(placed int) bool { return placed == m })
}

func withModel(models []int, m int) []int {
	i, found := slices.BinarySearch(models, m)
	if found {
		return models
	}
	return slices.Insert(slices.Clone(models), i, m)
}
