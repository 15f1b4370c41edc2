package lavrelay

import (
	"context"
	"time"

	"lavenderrack.example/lavenderrack/lavconfig"
	"lavenderrack.example/lavenderrack/lavfleet"
	"lavenderrack.example/lavenderrack/lavplan"
)

// placement is the endpoints of an attempt and the plan that selected them.
type placement struct {
	endpoint lavconfig.Endpoint
	helpers  []lavconfig.Endpoint
	plan     lavplan.Plan
	// engine is nil if the service is not a model engine.
	engine *lavconfig.Engine
	// known is the load of endpoint at the choice.
	known lavplan.Candidate
	run   *lavfleet.Run
}

// Limits of the wait for endpoints that may receive the request.
const (
	pollInterval = 15 * time.Millisecond
	// availableWaitFraction is the fraction of the objective that a call may wait for
	// endpoints that are left out for a limited time.
	availableWaitFraction = 0.5
)

// choose selects endpoints and counts the run on them. This host selects by itself if no
// scheduler does.
func (t *task) choose(ctx context.Context) (*placement, Outcome) {
	if c, outcome, decided := t.chooseScheduled(ctx); decided {
		return c, outcome
	}
	t.trace.scheduler = ""
	return t.chooseHere(ctx)
}

// chooseHere selects endpoints by what this host knows. It waits for a limited time in two
// cases: if there is no plan and endpoints that are left out will soon be available, and if
// the plan asks to wait for the prefill of other prompts.
func (t *task) chooseHere(ctx context.Context) (*placement, Outcome) {
	start := time.Now()
	availableWaitEnd := start.Add(time.Duration(float64(t.call.Route.Objective) * availableWaitFraction))
	turn := t.newTurn(availableWaitEnd)
	defer turn.leave()
	for {
		snapshot, ok := t.relay.fleet.SnapshotFor(t.call.Service, turn.waiting, t.hasTried)
		if !ok {
			return nil, OutcomeNoEndpoint
		}
		mayPoll := time.Now().Before(availableWaitEnd)
		plan, ok, waits := t.decide(snapshot)
		if ok && !waits {
			if c := t.beginRun(newPlacement(snapshot, plan)); c != nil {
				t.trace.waited = time.Since(start)
				return c, 0
			}
		}
		if !ok && (!mayPoll || !snapshot.AvailableBy(availableWaitEnd)) {
			t.retryAfter = lavplan.RetryAfter(snapshot.Candidates, snapshot.Absence(), t.relay.returns.Draw)
			t.relay.metrics.countRefusal(t.call.Prompt.Rank)
			return nil, OutcomeFull
		}
		if !ok {
			turn.enter()
		}
		if t.poll(ctx, waits) != nil {
			return nil, OutcomeFull
		}
	}
}

// poll waits until it is time to look at the endpoints again, or until the call ends. forPrefill
// is true if the call waits for the prefill of others, not for an endpoint.
func (t *task) poll(ctx context.Context, forPrefill bool) error {
	start := time.Now()
	defer func() { t.trace.recordWait(forPrefill, time.Since(start)) }()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(pollInterval + time.Duration(t.relay.draw()*float64(pollInterval))):
		return nil
	}
}

// decide returns the plan for the request. It returns false if the request should not run, and
// waits if it should wait before it does.
func (t *task) decide(b lavfleet.Snapshot) (plan lavplan.Plan, ok, waits bool) {
	plan, ok = t.plan(b)
	t.trace.recordPlan(b, plan)
	waits = ok && t.ask().Waits(time.Now(), plan)
	return plan, waits || ok && !plan.Displaces, waits
}

// plan selects the endpoints for the request, or returns false if it should not run.
func (t *task) plan(b lavfleet.Snapshot) (lavplan.Plan, bool) {
	if b.Service.Engine == nil {
		return lavplan.PlaceCall(b.Candidates, t.relay.draw)
	}
	tieBreakers := lavplan.DrawTieBreakers(len(b.Candidates), b.Hosts, t.relay.draw)
	plan, ok := lavplan.Place(b.Service.Engine, t.call.Prompt, b.Candidates, tieBreakers)
	// What has begun goes on, whoever else needs the room.
	if t.arrivals > 0 || t.call.LastEvent != "" {
		plan.Crowds, plan.Displaces = false, false
	}
	return plan, ok && (t.arrivals > 0 || lavplan.Admit(b.Service.Engine, t.call.Prompt, plan, b.Candidates))
}

// newPlacement returns the endpoints that a plan selects.
func newPlacement(b lavfleet.Snapshot, plan lavplan.Plan) *placement {
	c := &placement{endpoint: b.Endpoints[plan.Primary], plan: plan, engine: b.Service.Engine, known: b.Candidates[plan.Primary]}
	for _, h := range plan.Helpers {
		c.helpers = append(c.helpers, b.Endpoints[h])
	}
	return c
}

// beginRun counts the run on the endpoints of a placement. It returns nil if the primary
// endpoint may no longer receive the request.
func (t *task) beginRun(c *placement) *placement {
	if t.takesRetry {
		c.run, t.trace.retryShare = t.relay.fleet.BeginRetry(t.allocations(c))
	} else {
		c.run = t.relay.fleet.Begin(t.allocations(c))
	}
	if c.run == nil {
		return nil
	}
	return c
}

// allocations returns the load that a placement puts on each of its endpoints.
func (t *task) allocations(c *placement) []lavfleet.Allocation {
	loads := []lavplan.Load{t.call.Prompt.Load(c.plan.Prefill, 0)}
	if c.engine != nil {
		loads = lavplan.PlanLoads(c.engine, t.call.Prompt, c.plan, len(c.helpers))
	}
	allocations := []lavfleet.Allocation{{Life: c.endpoint.Incarnation(), Load: loads[0]}}
	for i, h := range c.helpers {
		allocations = append(allocations, lavfleet.Allocation{Life: h.Incarnation(), Load: loads[i+1]})
	}
	return allocations
}
