package lavexperiment

import (
	"lavenderrack.example/lavenderrack/lavqueue"
	"lavenderrack.example/lavenderrack/lavroute"

	"github.com/cockroachdb/errors"
)

//go:generate stringer -type=Policy -trimprefix=Policy -output=policy_string.go

// Policy is a way to queue and to route that an experiment runs.
type Policy int

// The policies. The first is ours, the others are baselines.
const (
	PolicyOurs Policy = iota
	PolicyLeastOutstanding
	PolicyRandom
	PolicyRoundRobin
	PolicyPrefixHash
	// PolicySingleQueue is least outstanding with one queue in place of lanes.
	PolicySingleQueue
	policyEnd
)

// Policies lists every policy.
func Policies() []Policy {
	var all []Policy
	for p := range policyEnd {
		all = append(all, p)
	}
	return all
}

// Routing returns how the policy picks endpoints; nil is the node's own way.
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

// Queue returns the queue in which the policy lets requests wait; nil is the
// node's own.
func (p Policy) Queue() *lavqueue.Queue {
	if p == PolicySingleQueue {
		return lavqueue.NewFIFO()
	}
	return nil
}

// MarshalText writes the policy's name.
func (p Policy) MarshalText() ([]byte, error) { return []byte(p.String()), nil }

// UnmarshalText reads the policy's name.
func (p *Policy) UnmarshalText(text []byte) error {
	for _, have := range Policies() {
		if have.String() == string(text) {
			*p = have
			return nil
		}
	}
	return errors.Newf("unknown policy %q", text)
}
