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

// Times of an executor.
const (
	lookEvery    = time.Second
	orderTimeout = 5 * time.Second
	// repeatAfter is when an order is given again whose effect is not seen.
	repeatAfter = 10 * time.Second
	// quiet is how long an owner waits before its first order to an engine
	// that obeys any order: until a former planner's lease has run out and the
	// last call of a former owner is over.
	quiet = LeaseTTL + orderTimeout
)

// ExecutorConfig are what an executor needs.
type ExecutorConfig struct {
	Store     lavstore.Store
	Endpoints Endpoints
	Releases  Releases
	// Owns reports whether this host gives the orders to an endpoint.
	Owns   func(endpoint string) bool
	Engine func(e *lavendpoint.Endpoint) lavengine.Engine
	Scope  tally.Scope
}

// Executor gives the orders of the plan to the engines that this host owns.
type Executor struct {
	parts ExecutorConfig

	mu   sync.Mutex
	plan *Plan
	// fenced is the highest order number that an engine has refused as old.
	fenced uint64
	states map[string]orderState
}

// orderState is what was done for one endpoint.
type orderState struct {
	// fence is the planner under which the owner began, and since when.
	fence uint64
	since time.Time
	// number is the last order given, and at when.
	number uint64
	at     time.Time
}

// NewExecutor returns an executor.
func NewExecutor(parts ExecutorConfig) *Executor {
	return &Executor{parts: parts, plan: &Plan{}, states: make(map[string]orderState)}
}

// Serve follows the plan and carries it out until the context ends.
func (x *Executor) Serve(ctx context.Context) error {
	followed := make(chan error, 1)
	go func() {
		spacing := func() time.Duration { return lookEvery }
		followed <- lavstore.Follow(ctx, x.parts.Store, planKey, spacing, x.take)
	}()
	for ctx.Err() == nil {
		x.look(ctx)
		_ = lavpause.For(ctx, lookEvery)
	}
	return <-followed
}

func (x *Executor) take(_ context.Context, entries []lavstore.Entry) error {
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

// look gives the orders that are due.
func (x *Executor) look(ctx context.Context) {
	x.mu.Lock()
	plan := x.plan
	x.mu.Unlock()
	snapshot, state := x.parts.Endpoints.Snapshot(), x.parts.Releases.State()
	var orders sync.WaitGroup
	for i := range snapshot.Endpoints {
		e := &snapshot.Endpoints[i]
		if e.Service != "" {
			continue
		}
		if !x.parts.Owns(e.Name) {
			x.forget(e.Name)
			continue
		}
		target, named := plan.target(e.Name)
		ignores := ignoresFence(state, e.Name)
		if x.due(time.Now(), plan, e, target, named, ignores) {
			orders.Go(func() { x.order(ctx, plan, e, target, ignores) })
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

func (x *Executor) forget(endpoint string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	delete(x.states, endpoint)
}

// due decides whether an order is to be given at now.
func (x *Executor) due(now time.Time, plan *Plan, e *lavendpoint.Endpoint, target Target, named, ignores bool) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	s, known := x.states[e.Name]
	if !known || s.fence != plan.Fence {
		s = orderState{fence: plan.Fence, since: now}
	}
	x.states[e.Name] = s
	number := plan.OrderNumber()
	switch {
	case !named || !e.Phase.TakesWork() || number <= x.fenced:
		return false
	case !differs(target, e):
		return false
	case s.number == number && now.Sub(s.at) < repeatAfter:
		return false
	case ignores && now.Sub(s.since) < quiet:
		return false
	}
	s.number, s.at = number, now
	x.states[e.Name] = s
	return true
}

// order gives one order. Its failure shows in the next report, and the order is
// given again.
func (x *Executor) order(ctx context.Context, plan *Plan, e *lavendpoint.Endpoint, target Target, ignores bool) {
	if ignores && !x.newest(ctx, plan) {
		return
	}
	if lavstep.Reach(ctx, lavstep.PlanOrder, e.Name) != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	_, err := x.parts.Engine(e).Order(ctx, lavengine.Order{Fence: plan.OrderNumber(), Models: target.Models, Adapters: target.Adapters})
	x.parts.Scope.Counter("orders").Inc(1)
	if errors.Is(err, lavengine.ErrFenced) {
		x.parts.Scope.Counter("orders_fenced").Inc(1)
		x.mu.Lock()
		x.fenced = max(x.fenced, plan.OrderNumber())
		x.mu.Unlock()
	}
}

// newest reports whether the plan is still the one in the store.
func (x *Executor) newest(ctx context.Context, plan *Plan) bool {
	now, _, err := readPlan(ctx, x.parts.Store)
	return err == nil && now.OrderNumber() == plan.OrderNumber()
}
