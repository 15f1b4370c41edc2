package lavplace

import "slices"

// Model is a model to place.
type Model struct {
	Name   string
	Memory int
	// Replicas is the number of engines that must hold it.
	Replicas int
	// Fixed is true for a model that stays where it lies; its replicas are not
	// counted.
	Fixed bool
	// Demand is the work that it brings, shared among its replicas, in any one
	// unit.
	Demand float64
}

// Engine is an engine to place models on.
type Engine struct {
	Name          string
	FailureDomain string
	// Memory is what weights may take of it.
	Memory int
	// Loaded are the models that it has now, as indexes of the problem's
	// models.
	Loaded []int
	// Closed is true for an engine that takes no new models, because it is out
	// or leaving; what it holds doesn't count.
	Closed bool
}

// Problem is what is to be placed where.
type Problem struct {
	Models  []Model
	Engines []Engine
}

// Placement is the models of each engine, as sorted indexes.
type Placement [][]int

// Current is the placement as it is.
func (p *Problem) Current() Placement {
	now := make(Placement, len(p.Engines))
	for i := range p.Engines {
		now[i] = slices.Sorted(slices.Values(p.Engines[i].Loaded))
	}
	return now
}

// domains is the number of failure domains that have an open engine.
func (p *Problem) domains() int {
	seen := make(map[string]bool)
	for i := range p.Engines {
		if !p.Engines[i].Closed {
			seen[p.Engines[i].FailureDomain] = true
		}
	}
	return len(seen)
}

// used is the memory of the models on an engine, with what stands there while
// others are loaded: a model that the engine holds and that may not be dropped
// first counts too.
func (p *Problem) used(models []int) int {
	sum := 0
	for _, m := range models {
		sum += p.Models[m].Memory
	}
	return sum
}

func without(models []int, m int) []int {
	return slices.DeleteFunc(slices.Clone(models), func(have int) bool { return have == m })
}

func with(models []int, m int) []int {
	i, found := slices.BinarySearch(models, m)
	if found {
		return models
	}
	return slices.Insert(slices.Clone(models), i, m)
}
