package lavrelay

import (
	"context"
	"io"
	"net/http"
	"sync"
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

// Belief tells whether this host may act on what it knows.
type Belief interface {
	// Await returns once the host's knowledge is good, or an error if it
	// doesn't become so in time.
	Await(ctx context.Context) error
}

// Suspects knows the requests that kill the endpoints that run them.
type Suspects interface {
	// Refused reports whether a request must not run again.
	Refused(fingerprint uint64) bool
	// Lost tells that an endpoint's connection broke as it had the request.
	Lost(fingerprint uint64, e lavconfig.Endpoint)
}

// Relay carries requests. It is safe for concurrent use.
type Relay struct {
	pool     *lavconn.Pool
	fleet    *lavfleet.Fleet
	belief   Belief
	suspects Suspects
	logger   *log.Logger
	draw     func() float64
	counts   counts
	// holdFor is the lease of reservations.
	holdFor time.Duration
	// running counts the questions and orders that outlive their request.
	running sync.WaitGroup
}

// Wait returns once nothing that outlives its request is under way. All of it
// is bounded in time.
func (r *Relay) Wait() { r.running.Wait() }

// New returns a relay over the fleet. Draw returns numbers from 0 up to 1.
func New(pool *lavconn.Pool, fleet *lavfleet.Fleet, belief Belief, suspects Suspects, logger *log.Logger, scope tally.Scope, draw func() float64) *Relay {
	return &Relay{
		pool:     pool,
		fleet:    fleet,
		belief:   belief,
		suspects: suspects,
		logger:   logger,
		draw:     draw,
		counts:   newCounts(scope),
		holdFor:  holdFor,
	}
}

// BoundHolds keeps the lease of reservations below the longest that endpoints
// give, 0 for no bound. It is called before the first request.
func (r *Relay) BoundHolds(longest time.Duration) {
	if longest > 0 {
		r.holdFor = min(holdFor, longest)
	}
}

// Serve answers a call. It panics with http.ErrAbortHandler if an answer that
// was begun can't be completed.
func (r *Relay) Serve(ctx context.Context, w http.ResponseWriter, c *Call) {
	ctx, cancel := context.WithDeadline(ctx, c.Deadline)
	defer cancel()
	r.fleet.Request(c.Service)
	t := &task{relay: r, call: c, out: w, tried: make(map[lavconfig.Incarnation]bool)}
	t.events.last = c.LastEvent
	outcome := t.run(ctx)
	r.counts.end(c, t, outcome)
	t.log(outcome)
	t.finish(outcome)
}

// task is a call on its way.
type task struct {
	relay *Relay
	call  *Call
	out   http.ResponseWriter
	// tried are the endpoints that have had the request.
	tried map[lavconfig.Incarnation]bool
	// arrivals counts the endpoints that got the request, and runs those that
	// may have run it.
	arrivals, runs int
	// begun is true once the caller has the head of an answer.
	begun  bool
	events events
	// retryAfter is when a refused caller should come back.
	retryAfter time.Duration
	// stopPace ends the watch for an overdue first event.
	stopPace func() bool
	trace    trace
}

// run makes attempts until one ends the call.
func (t *task) run(ctx context.Context) Outcome {
	for {
		if err := t.relay.belief.Await(ctx); err != nil {
			return t.given(ctx, OutcomeUnready)
		}
		if t.relay.suspects.Refused(t.call.Fingerprint) {
			return t.given(ctx, OutcomeSuspect)
		}
		choice, outcome := t.choose(ctx)
		if choice == nil {
			return t.given(ctx, outcome)
		}
		if t.arrivals > 0 && !t.relay.fleet.SpendRepeat(t.call.Service) {
			choice.run.End(lavfleet.VerdictNone)
			return t.given(ctx, OutcomeBudget)
		}
		next := t.attempt(ctx, choice)
		if next != again {
			return next
		}
		if ctx.Err() != nil {
			return t.given(ctx, OutcomeLate)
		}
	}
}

// given returns the outcome of a call that is given up: why, unless the caller
// has left or his time is over.
func (t *task) given(ctx context.Context, why Outcome) Outcome {
	switch {
	case errors.Is(ctx.Err(), context.Canceled):
		return OutcomeLeft
	case ctx.Err() != nil:
		return OutcomeLate
	default:
		return why
	}
}

// choice is where an attempt goes.
type choice struct {
	endpoint lavconfig.Endpoint
	helpers  []lavconfig.Endpoint
	plan     lavplan.Plan
	// engine is nil if the service is no model engine.
	engine *lavconfig.Engine
	run    *lavfleet.Run
}

// Times of waiting for an endpoint that may take a request.
const (
	choosePause = 15 * time.Millisecond
	// choosePart is the part of the objective that may pass in waiting.
	choosePart = 0.5
	// waitSlack is left of an objective for two passes and the way to the
	// caller.
	waitSlack = 200 * time.Millisecond
)

// choose picks endpoints and counts the run there. While endpoints are left out
// only because they may be cold, and while the prompt had better wait for others
// to be read, it waits a little.
func (t *task) choose(ctx context.Context) (*choice, Outcome) {
	begun := time.Now()
	until := begun.Add(time.Duration(float64(t.call.Route.Objective) * choosePart))
	lateUntil := t.call.Arrived.Add(t.call.Prompt.Abandoned() / 2)
	for {
		board, ok := t.relay.fleet.Board(t.call.Service, func(l lavconfig.Incarnation) bool { return t.tried[l] })
		if !ok {
			return nil, OutcomeNoEndpoint
		}
		inTime := time.Now().Before(until)
		plan, ok := t.plan(board)
		t.trace.decide(board, plan)
		if ok && (!plan.Wait || !t.mayWait(plan, lateUntil)) {
			if c := t.begin(board, plan); c != nil {
				t.trace.held = time.Since(begun)
				return c, 0
			}
		}
		if !ok && (!board.Bound || !inTime) {
			t.retryAfter = lavplan.RetryAfter(board.Candidates, t.relay.draw)
			return nil, OutcomeFull
		}
		select {
		case <-ctx.Done():
			return nil, OutcomeFull
		case <-time.After(choosePause + time.Duration(t.relay.draw()*float64(choosePause))):
		}
	}
}

// mayWait reports whether a prompt that had better wait can: until it would come
// late, or, if it comes late anyway, for as long as its caller stays.
func (t *task) mayWait(plan lavplan.Plan, lateUntil time.Time) bool {
	now := time.Now()
	done := now.Add(plan.Reading + waitSlack)
	if done.Before(t.call.Arrived.Add(t.call.Route.Objective)) {
		return true
	}
	late := now.Add(plan.Expected).After(t.call.Arrived.Add(t.call.Route.Objective))
	return late && now.Before(lateUntil)
}

// plan decides where the request runs, or reports false if it should not.
func (t *task) plan(b lavfleet.Board) (lavplan.Plan, bool) {
	if b.Service.Engine == nil {
		return lavplan.PlaceCall(b.Candidates, t.relay.draw)
	}
	ties := lavplan.DrawTies(len(b.Candidates), b.Hosts, t.relay.draw)
	plan, ok := lavplan.Place(b.Service.Engine, t.call.Prompt, b.Candidates, ties)
	return plan, ok && (t.arrivals > 0 || lavplan.Admit(t.call.Prompt, plan, b.Candidates))
}

// begin counts the run at the endpoints of a plan. It returns nil if the first
// one may not take the request any more.
func (t *task) begin(b lavfleet.Board, plan lavplan.Plan) *choice {
	c := &choice{endpoint: b.Endpoints[plan.First], plan: plan, engine: b.Service.Engine}
	for _, h := range plan.Helpers {
		c.helpers = append(c.helpers, b.Endpoints[h])
	}
	c.run = t.relay.fleet.Begin(t.parts(c))
	if c.run == nil {
		return nil
	}
	return c
}

// parts returns what a choice puts on each of its endpoints.
func (t *task) parts(c *choice) []lavfleet.Part {
	p := t.call.Prompt
	memory := 0
	if e := c.engine; e != nil {
		memory = p.Memory(e)
	}
	parts := make([]lavfleet.Part, 1, 1+len(c.helpers))
	for i, h := range c.helpers {
		part := lavfleet.Part{Life: h.Incarnation(), Load: lavplan.Load{Reading: c.plan.Reading}}
		if i < len(c.plan.Reserve) {
			part.Load.Memory = c.plan.Reserve[i]
			memory -= c.plan.Reserve[i]
		}
		parts = append(parts, part)
	}
	first := lavplan.Load{Requests: 1, Reading: c.plan.Reading, Memory: memory}
	if p.Strict() {
		first.Strict = 1
	}
	if p.Medium() {
		first.Medium = 1
	}
	if p.Late() {
		first.Late = 1
	}
	parts[0] = lavfleet.Part{Life: c.endpoint.Incarnation(), Load: first}
	return parts
}

// finish writes the answer of a call that got none from an endpoint.
func (t *task) finish(o Outcome) {
	if o == OutcomeDone || o == OutcomePassed {
		return
	}
	if t.begun || o == OutcomeLeft {
		panic(http.ErrAbortHandler)
	}
	platform.SetRefusal(t.out.Header(), t.call.ID, t.pauseFor(o))
	t.out.WriteHeader(t.status(o))
	_, _ = io.WriteString(t.out, o.String()+"\n")
}

// status returns the status that an outcome is answered with. One that says
// that the request has not run is given only if it can't have.
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

// leastRetryAfter keeps callers from coming back before anything can change.
const leastRetryAfter = 250 * time.Millisecond

// pauseFor returns when the caller should come back, zero if it is no use.
func (t *task) pauseFor(o Outcome) time.Duration {
	if t.runs > 0 || o == OutcomeSuspect {
		return 0
	}
	return max(t.retryAfter, leastRetryAfter)
}
