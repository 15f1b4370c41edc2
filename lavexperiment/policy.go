package lavexperiment

import (
	"lavenderrack.example/lavenderrack/lavqueue"
	"lavenderrack.example/lavenderrack/lavroute"

	"github.com/cockroachdb/errors"
)

//go:generate stringer -type=Policy -trimprefix=Policy -output=policy_string.go

// Policy is a combination of a queueing and a routing policy.
type Policy int

// Policies that an experiment can run. PolicyOurs is the default of the entry
// hosts; the others are baselines for comparison.
const (
	PolicyOurs Policy = iota
	PolicyLeastOutstanding
	PolicyRandom
	PolicyRoundRobin
	PolicyPrefixHash
	// PolicySingleQueue routes like PolicyLeastOutstanding and uses a single
	// FIFO queue in place of the queue with lanes.
	PolicySingleQueue
	policyEnd
)

// Policies returns all policies.
func Policies() []Policy {
	var all []Policy
	for p := range policyEnd {
		all = append(all, p)
	}
	return all
}

// Routing returns the routing policy, or nil for the default of lavnode.
func (p Policy) Routing() lavroute.Policy {
	switch p {
	case PolicyOurs:
		return nil
	case PolicyRandom:
		return lavroute.Random{}
	case PolicyRoundRobin:
		return &lavroute.RoundRobin{}
	case PolicyPrefixHash:
		return lavroute.PrefixHash{}
	default:
		return lavroute.LeastOutstanding{}
	}
}

// Queue returns a new queue for waiting requests, or nil for the default of
// lavnode.
func (p Policy) Queue() *lavqueue.Queue {
	if p == PolicySingleQueue {
		return lavqueue.NewFIFO()
	}
	return nil
}

// MarshalText returns the name of the policy.
func (p Policy) MarshalText() ([]byte, error) { return []byte(p.String()), nil }

// UnmarshalText sets the policy from its name.
func (p *Policy) UnmarshalText(text []byte) error {
	for _, policy := range Policies() {
		if policy.String() == string(text) {
			*p = policy
			return nil
		}
	}
	return errors.Newf("unknown policy %q", text)
}
