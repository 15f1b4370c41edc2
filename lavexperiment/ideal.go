package lavexperiment

import (
	"slices"

	"lavenderrack.example/lavenderrack/lavscenario"
)

// idealWeight returns an upper bound of the total weight of the arrivals that
// any policy can serve with a capacity of the given number of prompt tokens. It
// solves the fractional knapsack problem: arrivals are taken by descending
// weight per token. It is an upper bound because it ignores arrival times.
func idealWeight(arrivals []lavscenario.Arrival, tokens float64) float64 {
	sorted := slices.Clone(arrivals)
	weightPerToken := func(a lavscenario.Arrival) float64 { return a.Weight / float64(a.PromptTokens+1) }
	slices.SortFunc(sorted, func(a, b lavscenario.Arrival) int {
		switch {
		case weightPerToken(a) > weightPerToken(b):
			return -1
		case weightPerToken(a) < weightPerToken(b):
			return 1
		default:
			return a.Number - b.Number
		}
	})
	weight := 0.0
	for _, a := range sorted {
		need := float64(a.PromptTokens)
		if need > tokens {
			return weight + a.Weight*tokens/need
		}
		tokens -= need
		weight += a.Weight
	}
	return weight
}

// maxMinFairTokens divides tokens among customers by weighted max-min fairness.
// No customer is allocated more tokens than offered, and the unused part of a
// share is divided among the other customers.
func maxMinFairTokens(offered, share map[string]float64, tokens float64) map[string]float64 {
	fair := make(map[string]float64)
	unsatisfied := make(map[string]bool)
	for name := range offered {
		unsatisfied[name] = true
	}
	for len(unsatisfied) > 0 {
		sum := 0.0
		for name := range unsatisfied {
			sum += share[name]
		}
		satisfied := ""
		for _, name := range sortedNames(unsatisfied) {
			if offered[name] <= tokens*share[name]/sum {
				satisfied = name
				break
			}
		}
		if satisfied == "" {
			for name := range unsatisfied {
				fair[name] = tokens * share[name] / sum
			}
			return fair
		}
		fair[satisfied] = offered[satisfied]
		tokens -= offered[satisfied]
		delete(unsatisfied, satisfied)
	}
	return fair
}

// sortedNames returns the sorted keys of a map.
func sortedNames[V any](m map[string]V) []string {
	names := make([]string, 0, len(m))
	for name := range m {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
