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

// Intervals of a planner.
const (
	planInterval    = 2 * time.Second
	acquireInterval = 5 * time.Second
	renewBefore     = LeaseTTL / 2
)

// leaseName is the name of the planner's lease.
const leaseName = "planner"

// Endpoints provides the current snapshot of the endpoints.
type Endpoints interface {
	Snapshot() *lavendpoint.Snapshot
}

// Releases provides the release state in force.
type Releases interface {
	State() *lavrelease.State
}

// PlannerConfig holds the dependencies and settings of a Planner.
type PlannerConfig struct {
	Store     lavstore.Store
	Endpoints Endpoints
	Releases  Releases
	// Holder identifies this host's incarnation in the lease.
	Holder string
	// MaxLoading is the maximum number of engines that load weights at the same
	// time.
	MaxLoading int
	// Candidate reports whether this host should try to become the planner.
	Candidate func() bool
}

// Planner writes plans while it holds the planner lease.
type Planner struct{ config PlannerConfig }

// NewPlanner returns a planner with the given configuration.
func NewPlanner(config PlannerConfig) *Planner { return &Planner{config: config} }

// Serve repeatedly tries to acquire the planner lease and, while it holds it,
// writes plans. It returns when ctx ends.
func (p *Planner) Serve(ctx context.Context) error {
	for ctx.Err() == nil {
		if p.config.Candidate() {
			p.serveTerm(ctx)
		}
		_ = lavpause.For(ctx, acquireInterval)
	}
	return ctx.Err()
}

// serveTerm acquires the planner lease and writes plans until the lease is lost or
// a later planner has taken over.
func (p *Planner) serveTerm(ctx context.Context) {
	if lavstep.Failpoint(ctx, lavstep.PlanLease, "") != nil {
		return
	}
	lease, err := lavlease.Acquire(ctx, p.config.Store, leaseName, p.config.Holder, LeaseTTL)
	if err != nil {
		return
	}
	defer p.release(ctx, lease)
	plan, err := p.initialPlan(ctx, lease.Fence())
	if err != nil {
		return
	}
	for ctx.Err() == nil && lease.Valid(time.Now()) {
		if time.Until(lease.ValidUntil()) < renewBefore && errors.Is(lease.Renew(ctx), lavlease.ErrLost) {
			return
		}
		next, err := p.updatePlan(ctx, plan)
		if errors.Is(err, errSuperseded) {
			return
		}
		if err == nil {
			plan = next
		}
		_ = lavpause.For(ctx, planInterval)
	}
}

// initialPlan returns the empty plan with which a term begins. Its fencing token is
// that of the lease, unless the store has been restored to an older state. In that
// case the stored plan or the engines have higher tokens, and the term begins one
// above the highest of them.
func (p *Planner) initialPlan(ctx context.Context, fence uint64) (*Plan, error) {
	stored, _, err := readPlan(ctx, p.config.Store)
	if err != nil {
		return nil, err
	}
	highest := max(stored.Fence, highestOrderNumber(p.config.Endpoints.Snapshot())>>planNumberBits)
	if highest >= fence {
		fence = highest + 1
	}
	return &Plan{Fence: fence}, nil
}

// highestOrderNumber returns the highest order number that an engine reports.
func highestOrderNumber(s *lavendpoint.Snapshot) uint64 {
	highest := uint64(0)
	for i := range s.Endpoints {
		highest = max(highest, s.Endpoints[i].Report.Fence)
	}
	return highest
}

func (p *Planner) release(ctx context.Context, lease *lavlease.Lease) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), time.Second)
	defer cancel()
	// If the lease can't be released, it expires on its own.
	_ = lease.Release(ctx)
}

// updatePlan writes a new plan if the targets differ from those of the last plan.
func (p *Planner) updatePlan(ctx context.Context, last *Plan) (*Plan, error) {
	if highestOrderNumber(p.config.Endpoints.Snapshot()) > last.OrderNumber() {
		return nil, errSuperseded
	}
	targets := NextTargets(p.config.Releases.State(), p.config.Endpoints.Snapshot(), p.config.MaxLoading)
	if len(targets) == 0 && len(last.Targets) == 0 || reflect.DeepEqual(targets, last.Targets) {
		return last, nil
	}
	next := &Plan{Fence: last.Fence, Number: last.Number + 1, Targets: targets}
	err := writePlan(ctx, p.config.Store, next)
	if errors.Is(err, lavstore.ErrOutcomeUnknown) {
		// The plan may have been written, so its number must not be used again.
		return &Plan{Fence: last.Fence, Number: next.Number}, nil
	}
	return next, err
}
