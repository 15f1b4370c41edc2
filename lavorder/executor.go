package lavorder

import (
	"context"
	"sync"
	"time"

	"lavenderrack.example/lavenderrack/lavendpoint"
	"lavenderrack.example/lavenderrack/lavengine"
	"lavenderrack.example/lavenderrack/lavpause"
	"lavenderrack.example/lavenderrack/lavrelease"
	"lavenderrack.example/lavenderrack/lavstep"
	"lavenderrack.example/lavenderrack/lavstore"

	"github.com/cockroachdb/errors"
	"github.com/uber-go/tally/v4"
)

// Intervals and timeouts of an executor.
const (
	orderInterval = time.Second
	orderTimeout  = 5 * time.Second
	// reissueAfter is the time after which an order is sent again if the engine's
	// reports don't show its effect.
	reissueAfter = 10 * time.Second
	// takeoverDelay is how long an owner waits before its first order to an engine
	// that ignores fencing tokens. By then the lease of any earlier planner has
	// expired and the last order call of any earlier owner has ended.
	takeoverDelay = LeaseTTL + orderTimeout
)

// ExecutorConfig holds the dependencies of an Executor.
type ExecutorConfig struct {
	Store     lavstore.Store
	Endpoints Endpoints
	Releases  Releases
	// Owns reports whether this host sends the orders to an endpoint.
	Owns   func(endpoint string) bool
	Engine func(e *lavendpoint.Endpoint) lavengine.Engine
	Scope  tally.Scope
}

// Executor sends the orders of the plan to the engines that this host owns.
type Executor struct {
	config ExecutorConfig

	mu   sync.Mutex
	plan *Plan
	// highestRefused is the highest fencing token that an engine has rejected as
	// outdated. Orders up to this token are no longer sent.
	highestRefused uint64
	progress       map[string]orderProgress
}

// orderProgress records the orders sent to one endpoint.
type orderProgress struct {
	// planFence is the fencing token of the planner whose plan is being executed,
	// and fenceSince the time at which this host first executed a plan with it.
	planFence  uint64
	fenceSince time.Time
	// lastNumber is the fencing token of the last order, and lastIssued the time at
	// which it was sent.
	lastNumber uint64
	lastIssued time.Time
}

// NewExecutor returns an executor with the given configuration.
func NewExecutor(config ExecutorConfig) *Executor {
	return &Executor{config: config, plan: &Plan{}, progress: make(map[string]orderProgress)}
}

// Serve follows the plan and executes it until ctx ends.
func (x *Executor) Serve(ctx context.Context) error {
	followed := make(chan error, 1)
	go func() {
		interval := func() time.Duration { return orderInterval }
		followed <- lavstore.Follow(ctx, x.config.Store, planKey, interval, x.adoptPlan)
	}()
	for ctx.Err() == nil {
		x.issueDueOrders(ctx)
		_ = lavpause.For(ctx, orderInterval)
	}
	return <-followed
}

func (x *Executor) adoptPlan(_ context.Context, entries []lavstore.Entry) error {
	for _, e := range entries {
		if e.Key != planKey {
			continue
		}
		p, err := parsePlan(e.Value)
		if err != nil {
			return err
		}
		x.mu.Lock()
		if p.OrderNumber() > x.plan.OrderNumber() {
			x.plan = p
		}
		x.mu.Unlock()
	}
	return nil
}

// issueDueOrders sends all orders that are due.
func (x *Executor) issueDueOrders(ctx context.Context) {
	x.mu.Lock()
	plan := x.plan
	x.mu.Unlock()
	snapshot, state := x.config.Endpoints.Snapshot(), x.config.Releases.State()
	var orders sync.WaitGroup
	for i := range snapshot.Endpoints {
		e := &snapshot.Endpoints[i]
		if e.Service != "" {
			continue
		}
		if !x.config.Owns(e.Name) {
			x.dropProgress(e.Name)
			continue
		}
		target, named := plan.target(e.Name)
		ignoresFences := ignoresFence(state, e.Name)
		if x.due(time.Now(), plan, e, target, named, ignoresFences) {
			orders.Go(func() { x.issueOrder(ctx, plan, e, target, ignoresFences) })
		}
	}
	orders.Wait()
}

func ignoresFence(state *lavrelease.State, endpoint string) bool {
	for i := range state.Endpoints {
		if state.Endpoints[i].Name == endpoint {
			return state.Endpoints[i].IgnoresFence
		}
	}
	return true
}

func (x *Executor) dropProgress(endpoint string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	delete(x.progress, endpoint)
}

// due reports whether an order should be sent to the endpoint at time now. If so,
// it records the order as sent.
func (x *Executor) due(now time.Time, plan *Plan, e *lavendpoint.Endpoint, target Target, named, ignoresFences bool) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	progress, known := x.progress[e.Name]
	if !known || progress.planFence != plan.Fence {
		progress = orderProgress{planFence: plan.Fence, fenceSince: now}
	}
	x.progress[e.Name] = progress
	number := plan.OrderNumber()
	switch {
	case !named || !e.Phase.TakesWork() || number <= x.highestRefused:
		return false
	case !needsOrder(target, e):
		return false
	case progress.lastNumber == number && now.Sub(progress.lastIssued) < reissueAfter:
		return false
	case ignoresFences && now.Sub(progress.fenceSince) < takeoverDelay:
		return false
	}
	progress.lastNumber, progress.lastIssued = number, now
	x.progress[e.Name] = progress
	return true
}

// issueOrder sends one order. A failure needs no handling: the next report of the
// engine doesn't show the order's effect, and the order is sent again.
func (x *Executor) issueOrder(ctx context.Context, plan *Plan, e *lavendpoint.Endpoint, target Target, ignoresFences bool) {
	if ignoresFences && !x.isCurrent(ctx, plan) {
		return
	}
	if lavstep.Failpoint(ctx, lavstep.PlanOrder, e.Name) != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	_, err := x.config.Engine(e).Order(ctx, lavengine.Order{Fence: plan.OrderNumber(), Models: target.Models, Adapters: target.Adapters})
	x.config.Scope.Counter("orders").Inc(1)
	if errors.Is(err, lavengine.ErrFenced) {
		x.config.Scope.Counter("orders_fenced").Inc(1)
		x.mu.Lock()
		x.highestRefused = max(x.highestRefused, plan.OrderNumber())
		x.mu.Unlock()
	}
}

// isCurrent reports whether the plan is still the one in the store.
func (x *Executor) isCurrent(ctx context.Context, plan *Plan) bool {
	stored, _, err := readPlan(ctx, x.config.Store)
	return err == nil && stored.OrderNumber() == plan.OrderNumber()
}
