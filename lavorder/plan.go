package lavorder

import (
	"context"
	"encoding/json"
	"slices"

	"lavenderrack.example/lavenderrack/lavstep"
	"lavenderrack.example/lavenderrack/lavstore"

	"github.com/cockroachdb/errors"
)

// planKey is where the plan is kept.
const planKey = "plan"

// Target is what one engine should hold.
type Target struct {
	Endpoint string
	Models   []string
	Adapters []string `json:",omitempty"`
}

// Plan is what some engines should hold next. Engines that it doesn't name are
// left as they are.
type Plan struct {
	// Fence is the planner's fencing number, and Number counts its plans.
	Fence   uint64
	Number  uint64
	Targets []Target `json:",omitempty"`
}

// planBits is the part of an order's number that counts a planner's plans.
const planBits = 24

// OrderNumber is the fencing number of the plan's orders. It is higher for each
// later plan, of the same planner or another.
func (p *Plan) OrderNumber() uint64 { return p.Fence<<planBits | min(p.Number, 1<<planBits-1) }

// target returns what the plan says of an endpoint.
func (p *Plan) target(endpoint string) (Target, bool) {
	i := slices.IndexFunc(p.Targets, func(t Target) bool { return t.Endpoint == endpoint })
	if i < 0 {
		return Target{}, false
	}
	return p.Targets[i], true
}

// readPlan returns the plan in the store and its revision, or the empty plan.
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

// writePlan writes the next plan in the place of the one at revision, unless a
// later planner has written.
func writePlan(ctx context.Context, s lavstore.Store, p *Plan) error {
	old, revision, err := readPlan(ctx, s)
	if err != nil {
		return err
	}
	if old.Fence > p.Fence || old.Fence == p.Fence && old.Number >= p.Number {
		return lavstep.Wrap(errSuperseded, lavstep.PlanWrite, planKey)
	}
	value, err := json.Marshal(p)
	if err != nil {
		return lavstep.Wrap(err, lavstep.PlanWrite, planKey)
	}
	if err := lavstep.Reach(ctx, lavstep.PlanWrite, planKey); err != nil {
		return err
	}
	same := func(e lavstore.Entry) bool { return string(e.Value) == string(value) }
	_, err = lavstore.PutVerified(ctx, s, planKey, revision, value, "", same)
	return lavstep.Wrap(err, lavstep.PlanWrite, planKey)
}
