package lavorder

import (
	"context"
	"reflect"
	"time"

	"lavenderrack.example/lavenderrack/lavendpoint"
	"lavenderrack.example/lavenderrack/lavlease"
	"lavenderrack.example/lavenderrack/lavpause"
	"lavenderrack.example/lavenderrack/lavrelease"
	"lavenderrack.example/lavenderrack/lavstep"
	"lavenderrack.example/lavenderrack/lavstore"

	"github.com/cockroachdb/errors"
)

// LeaseTTL is the time to live of the planner's lease.
const LeaseTTL = 15 * time.Second

// Times of a planner.
const (
	planEvery = 2 * time.Second
	tryEvery  = 5 * time.Second
	renewAt   = LeaseTTL / 2
)

// leaseName is the planner's lease.
const leaseName = "planner"

// Endpoints tells what endpoints there are.
type Endpoints interface {
	Snapshot() *lavendpoint.Snapshot
}

// Releases tells which state is in force.
type Releases interface {
	State() *lavrelease.State
}

// PlannerConfig are what a planner needs.
type PlannerConfig struct {
	Store     lavstore.Store
	Endpoints Endpoints
	Releases  Releases
	// Holder names this host's incarnation.
	Holder string
	// MaxLoading is the number of engines that may load weights at a time.
	MaxLoading int
	// Candidate reports whether this host should try to become the planner.
	Candidate func() bool
}

// Planner plans while it holds the lease.
type Planner struct{ parts PlannerConfig }

// NewPlanner returns a planner.
func NewPlanner(parts PlannerConfig) *Planner { return &Planner{parts: parts} }

// Serve tries to become the planner, and plans, until the context ends.
func (p *Planner) Serve(ctx context.Context) error {
	for ctx.Err() == nil {
		if p.parts.Candidate() {
			p.term(ctx)
		}
		_ = lavpause.For(ctx, tryEvery)
	}
	return ctx.Err()
}

// term plans for as long as this host holds the lease.
func (p *Planner) term(ctx context.Context) {
	if lavstep.Reach(ctx, lavstep.PlanLease, "") != nil {
		return
	}
	lease, err := lavlease.Acquire(ctx, p.parts.Store, leaseName, p.parts.Holder, LeaseTTL)
	if err != nil {
		return
	}
	defer p.release(ctx, lease)
	plan, err := p.first(ctx, lease.Fence())
	if err != nil {
		return
	}
	for ctx.Err() == nil && lease.Valid(time.Now()) {
		if time.Until(lease.ValidUntil()) < renewAt && errors.Is(lease.Renew(ctx), lavlease.ErrLost) {
			return
		}
		next, err := p.turn(ctx, plan)
		if errors.Is(err, errSuperseded) {
			return
		}
		if err == nil {
			plan = next
		}
		_ = lavpause.For(ctx, planEvery)
	}
}

// first returns the empty plan of a new term. Its fencing number is that of the
// lease, unless the store came back older than it was: then the plan and the
// engines know higher numbers, and the term begins above them.
func (p *Planner) first(ctx context.Context, fence uint64) (*Plan, error) {
	old, _, err := readPlan(ctx, p.parts.Store)
	if err != nil {
		return nil, err
	}
	known := max(old.Fence, highestSeen(p.parts.Endpoints.Snapshot())>>planBits)
	if known >= fence {
		fence = known + 1
	}
	return &Plan{Fence: fence}, nil
}

// highestSeen is the highest order number that an engine reports.
func highestSeen(s *lavendpoint.Snapshot) uint64 {
	seen := uint64(0)
	for i := range s.Endpoints {
		seen = max(seen, s.Endpoints[i].Report.Fence)
	}
	return seen
}

func (p *Planner) release(ctx context.Context, lease *lavlease.Lease) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), time.Second)
	defer cancel()
	// A lease that can't be released lapses.
	_ = lease.Release(ctx)
}

// turn writes the next plan if it differs from the last one.
func (p *Planner) turn(ctx context.Context, last *Plan) (*Plan, error) {
	if highestSeen(p.parts.Endpoints.Snapshot()) > last.OrderNumber() {
		return nil, errSuperseded
	}
	targets := Stage(p.parts.Releases.State(), p.parts.Endpoints.Snapshot(), p.parts.MaxLoading)
	if len(targets) == 0 && len(last.Targets) == 0 || reflect.DeepEqual(targets, last.Targets) {
		return last, nil
	}
	next := &Plan{Fence: last.Fence, Number: last.Number + 1, Targets: targets}
	err := writePlan(ctx, p.parts.Store, next)
	if errors.Is(err, lavstore.ErrOutcomeUnknown) {
		// It may stand there; the number is used up.
		return &Plan{Fence: last.Fence, Number: next.Number}, nil
	}
	return next, err
}
