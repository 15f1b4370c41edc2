package lavscenario

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"lavenderrack.example/lavenderrack/lavrelease"
)

// Bounds of the duration of a random fault.
const (
	minFaultDuration = 2 * time.Second
	maxFaultDuration = 15 * time.Second
)

// WithRandomFaults returns a copy of the scenario with RandomFaults additional
// faults of random kinds at random times. Faults may overlap, and the same fault
// may occur more than once. However, faults of the same kind, and faults of
// different kinds that both affect the store or both affect entry hosts, do not
// overlap, since the end of the first would also end the second.
func (s *Scenario) WithRandomFaults(seed uint64) *Scenario {
	random := rand.New(rand.NewPCG(seed, 2))
	extended := *s
	extended.Faults = slices.Clone(s.Faults)
	for len(extended.Faults) < len(s.Faults)+s.RandomFaults {
		f := s.randomFault(random)
		if !slices.ContainsFunc(extended.Faults, f.conflictsWith) {
			extended.Faults = append(extended.Faults, f)
		}
	}
	slices.SortFunc(extended.Faults, func(a, b Fault) int { return cmp.Compare(a.At, b.At) })
	return &extended
}

// randomFault returns a fault with a random kind, time, duration and target.
func (s *Scenario) randomFault(random *rand.Rand) Fault {
	durationRange := maxFaultDuration - minFaultDuration
	f := Fault{
		Kind:   FaultKind(random.IntN(int(faultEnd))),
		At:     lavrelease.Duration(random.Int64N(int64(s.Duration))),
		For:    lavrelease.Duration(minFaultDuration + time.Duration(random.Int64N(int64(durationRange)))),
		Target: strconv.Itoa(random.IntN(max(s.Fleet.Engines, 1))),
	}
	if f.Kind == FaultDomainOut {
		f.Target = s.Fleet.FailureDomains[random.IntN(len(s.Fleet.FailureDomains))]
	}
	return f
}

// conflictsWith reports whether f and g affect the same part of the system and
// are less than maxFaultDuration apart.
func (f Fault) conflictsWith(g Fault) bool {
	disjoint := f.At > g.At+g.For+lavrelease.Duration(maxFaultDuration) || g.At > f.At+f.For+lavrelease.Duration(maxFaultDuration)
	return !disjoint && f.Kind.conflictGroup() == g.Kind.conflictGroup()
}

// conflictGroup returns a kind that represents all kinds that affect the same
// part of the system.
func (k FaultKind) conflictGroup() FaultKind {
	switch k {
	case FaultStoreSlow, FaultRepliesLost:
		return FaultStoreDown
	case FaultEntryRestarts:
		return FaultEntryDies
	default:
		return k
	}
}

// CrashRequests returns the number of faults of kind FaultCrashRequest. Each
// corresponds to one prompt that crashes engines.
func (s *Scenario) CrashRequests() int {
	n := 0
	for _, f := range s.Faults {
		if f.Kind == FaultCrashRequest {
			n++
		}
	}
	return n
}
