package lavorder

import (
	"context"
	"encoding/json"
	"slices"

	"lavenderrack.example/lavenderrack/lavstep"
	"lavenderrack.example/lavenderrack/lavstore"

	"github.com/cockroachdb/errors"
)

// planKey is the store key of the plan.
const planKey = "plan"

// Target lists the models and adapters that one engine should hold.
type Target struct {
	Endpoint string
	Models   []string
	Adapters []string `json:",omitempty"`
}

// Plan holds the next targets of some engines. Engines without a target are left as
// they are.
type Plan struct {
	// Fence is the planner's fencing token. Number counts the planner's plans.
	Fence   uint64
	Number  uint64
	Targets []Target `json:",omitempty"`
}

// planNumberBits is the number of low bits of an order's fencing token that hold
// the plan's number. The higher bits hold the planner's fencing token.
const planNumberBits = 24

// OrderNumber returns the fencing token of the plan's orders. Every later plan has
// a higher one, whether it is written by the same planner or by a later one.
func (p *Plan) OrderNumber() uint64 {
	return p.Fence<<planNumberBits | min(p.Number, 1<<planNumberBits-1)
}

// target returns the plan's target for an endpoint.
func (p *Plan) target(endpoint string) (Target, bool) {
	i := slices.IndexFunc(p.Targets, func(t Target) bool { return t.Endpoint == endpoint })
	if i < 0 {
		return Target{}, false
	}
	return p.Targets[i], true
}

// readPlan returns the plan in the store and its revision. If there is none, it
// returns an empty plan and revision 0.
func readPlan(ctx context.Context, s lavstore.Store) (*Plan, lavstore.Revision, error) {
	e, err := s.Get(ctx, planKey)
	if errors.Is(err, lavstore.ErrNotFound) {
		return &Plan{}, 0, nil
	}
	if err != nil {
		return nil, 0, lavstep.Wrap(err, lavstep.PlanWrite, planKey)
	}
	p, err := parsePlan(e.Value)
	return p, e.Revision, err
}

func parsePlan(value []byte) (*Plan, error) {
	p := &Plan{}
	err := json.Unmarshal(value, p)
	return p, lavstep.Wrap(err, lavstep.PlanWrite, planKey)
}

// errSuperseded means that a later planner has written a plan.
var errSuperseded = errors.New("a later planner has taken over")

// writePlan replaces the plan in the store by p. It returns errSuperseded if the
// stored plan is from a later planner, or is not older than p.
func writePlan(ctx context.Context, s lavstore.Store, p *Plan) error {
	stored, revision, err := readPlan(ctx, s)
	if err != nil {
		return err
	}
	if stored.Fence > p.Fence || stored.Fence == p.Fence && stored.Number >= p.Number {
		return lavstep.Wrap(errSuperseded, lavstep.PlanWrite, planKey)
	}
	value, err := json.Marshal(p)
	if err != nil {
		return lavstep.Wrap(err, lavstep.PlanWrite, planKey)
	}
	if err := lavstep.Failpoint(ctx, lavstep.PlanWrite, planKey); err != nil {
		return err
	}
	matches := func(e lavstore.Entry) bool { return string(e.Value) == string(value) }
	_, err = lavstore.PutVerified(ctx, s, planKey, revision, value, "", matches)
	return lavstep.Wrap(err, lavstep.PlanWrite, planKey)
}
