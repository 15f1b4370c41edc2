package lavrelay

import (
	"context"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"lavenderrack.example/lavenderrack/lavconfig"
	"lavenderrack.example/lavenderrack/lavconn"
	"lavenderrack.example/lavenderrack/lavfleet"
	"lavenderrack.example/lavenderrack/lavplan"
	"lavenderrack.example/lavenderrack/platform"

	"github.com/cockroachdb/errors"
	"github.com/phuslu/log"
	"github.com/uber-go/tally/v4"
)

// Readiness says whether this host may act on the state that it knows.
type Readiness interface {
	// Await waits until the host's state is confirmed as current. It returns an error
	// if that takes too long.
	Await(ctx context.Context) error
}

// Suspects tracks requests that are suspected of crashing the endpoints that run them.
type Suspects interface {
	// Blocked reports whether a request must not run, and what of it is blocked.
	Blocked(c *Call) (trait string, blocked bool)
	// ConnectionLost records that the connection to an endpoint broke while the endpoint
	// had the request.
	ConnectionLost(c *Call, e lavconfig.Endpoint)
	// Answered records that an endpoint ran a request that was sent at a time.
	Answered(e lavconfig.Endpoint, sentAt time.Time)
	// Completed records that an endpoint has answered a request completely.
	Completed(c *Call)
}

// Relay forwards calls to endpoints. It is safe for concurrent use.
type Relay struct {
	pool      *lavconn.Pool
	fleet     *lavfleet.Fleet
	readiness Readiness
	suspects  Suspects
	logger    *log.Logger
	draw      func() float64
	// tellLeaving tells the peers that an endpoint will leave.
	tellLeaving LeaveFunc
	metrics     metrics
	// buffers is what responses may still buffer.
	buffers byteBudget
	// reservationLease is the lease duration that is requested for reservations, in
	// nanoseconds.
	reservationLease atomic.Int64
	// background tracks slowdown queries and control orders, which may outlive their call.
	background sync.WaitGroup
}

// Wait returns once no slowdown queries and control orders are left. All of them have
// timeouts.
func (r *Relay) Wait() { r.background.Wait() }

// New returns a relay for the endpoints of a fleet. draw returns random numbers in [0, 1).
func New(pool *lavconn.Pool, fleet *lavfleet.Fleet, readiness Readiness, suspects Suspects, logger *log.Logger, scope tally.Scope, draw func() float64) *Relay {
	r := &Relay{
		pool:      pool,
		fleet:     fleet,
		readiness: readiness,
		suspects:  suspects,
		logger:    logger,
		draw:      draw,
		metrics:   newMetrics(scope),

		tellLeaving: func(lavconfig.Incarnation) {},
	}
	r.reservationLease.Store(int64(reservationLease))
	r.buffers.add(maxTotalBuffered)
	return r
}

// LimitReservationLease limits the lease of further reservations to the longest that
// endpoints grant. Zero means no limit.
func (r *Relay) LimitReservationLease(longest time.Duration) {
	lease := reservationLease
	if longest > 0 {
		lease = min(lease, longest)
	}
	r.reservationLease.Store(int64(lease))
}

// NotifyLeaving sets the function that tells the peers of endpoints that will leave. It must be
// called before the first call is served.
func (r *Relay) NotifyLeaving(tell LeaveFunc) { r.tellLeaving = tell }

// Serve answers a call. It panics with http.ErrAbortHandler to abort the connection if the
// caller has received a part of a response that can't be completed.
func (r *Relay) Serve(ctx context.Context, w http.ResponseWriter, c *Call) {
	ctx, cancel := context.WithDeadline(ctx, c.Deadline)
	defer cancel()
	r.fleet.CountRequest(c.Service)
	t := &task{relay: r, call: c, out: w, tried: make(map[lavconfig.Incarnation]bool)}
	t.events.lastID = c.LastEvent
	outcome := t.run(ctx)
	if outcome == OutcomeDone {
		r.suspects.Completed(c)
	}
	r.metrics.record(c, t, outcome)
	t.log(outcome)
	t.finish(outcome)
}

// task is the state of a call that is being served.
type task struct {
	relay *Relay
	call  *Call
	out   http.ResponseWriter
	// tried are the primary endpoints of earlier attempts.
	tried map[lavconfig.Incarnation]bool
	// arrivals is the number of attempts in which an endpoint may have received the
	// request, and runs the number of those in which it may have run it.
	arrivals, runs int
	// headSent is true once the head of a response has been sent to the caller.
	headSent bool
	events   events
	// retryAfter is the Retry-After time for a refused caller.
	retryAfter time.Duration
	// stopWatch stops the watch for an overdue first event.
	stopWatch func() bool
	trace     trace
}

// run makes attempts until one of them decides the call.
func (t *task) run(ctx context.Context) Outcome {
	for {
		if err := t.relay.readiness.Await(ctx); err != nil {
			return t.giveUp(ctx, OutcomeUnready)
		}
		if t.blocked() {
			return t.giveUp(ctx, OutcomeSuspect)
		}
		chosen, outcome := t.choose(ctx)
		if chosen == nil {
			return t.giveUp(ctx, outcome)
		}
		// The choice may have waited.
		if t.blocked() {
			chosen.run.End(lavfleet.VerdictNone)
			return t.giveUp(ctx, OutcomeSuspect)
		}
		if t.arrivals > 0 && !t.relay.fleet.SpendRetry(t.call.Service) {
			chosen.run.End(lavfleet.VerdictNone)
			return t.giveUp(ctx, OutcomeBudget)
		}
		next := t.attempt(ctx, chosen)
		if next != again {
			return next
		}
		if ctx.Err() != nil {
			return t.giveUp(ctx, OutcomeLate)
		}
	}
}

// blocked reports whether the request must not run, since it crashes endpoints.
func (t *task) blocked() bool {
	trait, blocked := t.relay.suspects.Blocked(t.call)
	t.trace.blocked = trait
	return blocked
}

// giveUp returns the outcome of a call that ends without a response: the given one, unless
// the caller has disconnected or the deadline has passed.
func (t *task) giveUp(ctx context.Context, outcome Outcome) Outcome {
	switch {
	case errors.Is(ctx.Err(), context.Canceled):
		return OutcomeLeft
	case ctx.Err() != nil:
		return OutcomeLate
	default:
		return outcome
	}
}

// placement is the endpoints of an attempt and the plan that selected them.
type placement struct {
	endpoint lavconfig.Endpoint
	helpers  []lavconfig.Endpoint
	plan     lavplan.Plan
	// engine is nil if the service is not a model engine.
	engine *lavconfig.Engine
	run    *lavfleet.Run
}

// Limits of the wait for endpoints that may receive the request.
const (
	pollInterval = 15 * time.Millisecond
	// availableWaitFraction is the fraction of the objective that a call may wait for
	// endpoints that are left out for a limited time.
	availableWaitFraction = 0.5
	// waitSlack is the time kept free in the objective for two iterations and the
	// delivery to the caller.
	waitSlack = 200 * time.Millisecond
)

// choose selects endpoints and counts the run on them. It waits for a limited time in two
// cases: if there is no plan and endpoints that are left out will soon be available, and if
// the plan asks to wait for the prefill of other prompts.
func (t *task) choose(ctx context.Context) (*placement, Outcome) {
	start := time.Now()
	availableWaitEnd := start.Add(time.Duration(float64(t.call.Route.Objective) * availableWaitFraction))
	lateWaitEnd := t.call.Arrived.Add(t.call.Prompt.AbandonAfter() / 2)
	for {
		snapshot, ok := t.relay.fleet.Snapshot(t.call.Service, func(l lavconfig.Incarnation) bool { return t.tried[l] })
		if !ok {
			return nil, OutcomeNoEndpoint
		}
		mayPoll := time.Now().Before(availableWaitEnd)
		plan, ok := t.plan(snapshot)
		t.trace.recordPlan(snapshot, plan)
		if ok && (!plan.Wait || !t.mayWait(plan, lateWaitEnd)) {
			if c := t.beginRun(snapshot, plan); c != nil {
				t.trace.waited = time.Since(start)
				return c, 0
			}
		}
		if !ok && (!mayPoll || !snapshot.AvailableBy(availableWaitEnd)) {
			t.retryAfter = lavplan.RetryAfter(snapshot.Candidates, snapshot.UntilAvailable(), t.relay.draw)
			return nil, OutcomeFull
		}
		select {
		case <-ctx.Done():
			return nil, OutcomeFull
		case <-time.After(pollInterval + time.Duration(t.relay.draw()*float64(pollInterval))):
		}
	}
}

// mayWait reports whether a prompt can wait for the prefill of others. It can while there
// is still time to meet its objective afterwards. If it misses its objective in any case, it can wait until
// lateWaitEnd.
func (t *task) mayWait(plan lavplan.Plan, lateWaitEnd time.Time) bool {
	now := time.Now()
	done := now.Add(plan.Prefill + waitSlack)
	if done.Before(t.call.Arrived.Add(t.call.Route.Objective)) {
		return true
	}
	late := now.Add(plan.Expected).After(t.call.Arrived.Add(t.call.Route.Objective))
	return late && now.Before(lateWaitEnd)
}

// plan selects the endpoints for the request, or returns false if it should not run.
func (t *task) plan(b lavfleet.Snapshot) (lavplan.Plan, bool) {
	if b.Service.Engine == nil {
		return lavplan.PlaceCall(b.Candidates, t.relay.draw)
	}
	tieBreakers := lavplan.DrawTieBreakers(len(b.Candidates), b.Hosts, t.relay.draw)
	plan, ok := lavplan.Place(b.Service.Engine, t.call.Prompt, b.Candidates, tieBreakers)
	return plan, ok && (t.arrivals > 0 || lavplan.Admit(t.call.Prompt, plan, b.Candidates))
}

// beginRun counts the run on the endpoints of a plan. It returns nil if the primary endpoint
// may no longer receive the request.
func (t *task) beginRun(b lavfleet.Snapshot, plan lavplan.Plan) *placement {
	c := &placement{endpoint: b.Endpoints[plan.Primary], plan: plan, engine: b.Service.Engine}
	for _, h := range plan.Helpers {
		c.helpers = append(c.helpers, b.Endpoints[h])
	}
	c.run = t.relay.fleet.Begin(t.allocations(c))
	if c.run == nil {
		return nil
	}
	return c
}

// allocations returns the load that a placement puts on each of its endpoints.
func (t *task) allocations(c *placement) []lavfleet.Allocation {
	p := t.call.Prompt
	kvTokens := 0
	if e := c.engine; e != nil {
		kvTokens = p.KVTokens(e)
	}
	allocations := make([]lavfleet.Allocation, 1, 1+len(c.helpers))
	for i, h := range c.helpers {
		allocation := lavfleet.Allocation{Life: h.Incarnation(), Load: lavplan.Load{Prefill: c.plan.Prefill}}
		if i < len(c.plan.Reserve) {
			allocation.Load.KVTokens = c.plan.Reserve[i]
			kvTokens -= c.plan.Reserve[i]
		}
		allocations = append(allocations, allocation)
	}
	primary := lavplan.Load{Requests: 1, Prefill: c.plan.Prefill, KVTokens: kvTokens}
	if p.Strict() {
		primary.Strict = 1
	}
	if p.Medium() {
		primary.Medium = 1
	}
	if p.Late() {
		primary.Late = 1
	}
	allocations[0] = lavfleet.Allocation{Life: c.endpoint.Incarnation(), Load: primary}
	return allocations
}

// finish writes the response to a call for which no endpoint's response was forwarded.
func (t *task) finish(o Outcome) {
	if o == OutcomeDone || o == OutcomePassed {
		return
	}
	if t.headSent || o == OutcomeLeft {
		abort(t.out, t.call.FramedByClose)
	}
	platform.SetRefusalHeaders(t.out.Header(), t.call.ID, t.retryAfterFor(o))
	t.out.WriteHeader(t.status(o))
	_, _ = io.WriteString(t.out, o.String()+"\n")
}

// status returns the HTTP status for an outcome. Callers take 503 to mean that the request
// has not run, so it is returned only if that is certain.
func (t *task) status(o Outcome) int {
	switch {
	case t.runs == 0:
		return http.StatusServiceUnavailable
	case o == OutcomeLate:
		return http.StatusGatewayTimeout
	default:
		return http.StatusBadGateway
	}
}

// minRetryAfter keeps callers from retrying before the load can have changed.
const minRetryAfter = 250 * time.Millisecond

// retryAfterFor returns the Retry-After time for an outcome, zero if the caller
// should not retry.
func (t *task) retryAfterFor(o Outcome) time.Duration {
	if t.runs > 0 || o == OutcomeSuspect {
		return 0
	}
	return max(t.retryAfter, minRetryAfter)
}
