package lavrelay

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"lavenderrack.example/lavenderrack/lavconfig"
	"lavenderrack.example/lavenderrack/lavconn"
	"lavenderrack.example/lavenderrack/lavevent"
	"lavenderrack.example/lavenderrack/lavfleet"
	"lavenderrack.example/lavenderrack/lavplan"
	"lavenderrack.example/lavenderrack/lavresponse"
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
	// Probe reports whether a blocked request may run once all the same, as a probe of whether
	// the block is wrong. The request must then be sent to no more than one endpoint.
	Probe(ctx context.Context, c *Call) bool
	// ConnectionLost records that the connection to an endpoint broke while the endpoint
	// had the request, and whether the request had survived there.
	ConnectionLost(c *Call, e lavconfig.Endpoint, survived bool)
	// Survived records that an endpoint has run a request for lavcrash.SurvivalTime.
	Survived(c *Call)
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
	// returns spreads the Retry-After times of refused callers.
	returns   *lavplan.EvenDraws
	peers     Peers
	scheduler Scheduler
	departure Departure
	metrics   metrics
	// buffers is what responses may still buffer.
	buffers *lavresponse.Budget
	// unknownNames are the names of statements that this version doesn't know.
	unknownNames sync.Map
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
		returns:   lavplan.NewEvenDraws(),
		peers:     noPeers{},
		scheduler: noScheduler{},
		departure: noDeparture{},
		metrics:   newMetrics(scope),
		buffers:   lavresponse.NewBudget(maxTotalBuffered),
	}
	r.reservationLease.Store(int64(reservationLease))
	return r
}

// LimitReservationLease limits the lease of further reservations to the longest that
// endpoints grant, and so that none outlasts its request by more than leftover, also if the
// request ends with its endpoint right after a renewal. Zero means no limit.
func (r *Relay) LimitReservationLease(longest, leftover time.Duration) {
	lease := reservationLease
	if longest > 0 {
		lease = min(lease, longest)
	}
	if leftover > 0 {
		lease = min(lease, max(leftover-renewInterval-reportTimeout, renewInterval))
	}
	r.reservationLease.Store(int64(lease))
}

// SetPeers sets the peers that are told what endpoints state. It must be called before the first
// call is served.
func (r *Relay) SetPeers(p Peers) { r.peers = p }

// SetScheduler sets the scheduler that places the prompts of all hosts. It must be called before
// the first call is served.
func (r *Relay) SetScheduler(s Scheduler) { r.scheduler = s }

// Serve answers a call. It panics with http.ErrAbortHandler to abort the connection if the
// caller has received a part of a response that can't be completed.
func (r *Relay) Serve(ctx context.Context, w http.ResponseWriter, c *Call) {
	ctx, cancel := context.WithDeadline(ctx, c.Deadline)
	defer cancel()
	ctx, stop := r.untilLeft(ctx)
	defer stop()
	r.fleet.CountRequest(c.Service)
	t := &task{
		relay:  r,
		call:   c,
		out:    w,
		tried:  make(map[lavconfig.Incarnation]bool),
		events: lavevent.New(c.LastEvent, platform.FieldWeightVersion),
	}
	if c.Hold != nil {
		t.spool = newSpool(w, c)
	}
	outcome := t.drain(t.run(ctx))
	if outcome == OutcomeDone {
		r.suspects.Completed(c)
	}
	miss := t.miss(outcome)
	r.metrics.record(c, t, outcome, miss)
	t.log(outcome, miss)
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
	// events reads the streams of all attempts, which are one stream to the caller.
	events *lavevent.Reader
	// partialHeld is how much of a partial event is counted as held.
	partialHeld int64
	// retryAfter is the Retry-After time for a refused caller.
	retryAfter time.Duration
	// reservations are those of the attempt that is being made.
	reservations *reservationSet
	// takeover is that of the last attempt, and takesRetry is true for the asker of one, whose runs
	// take a retry.
	takeover   *takeover
	takesRetry bool
	// stopWatch stops the watch for an overdue first event.
	stopWatch func() bool
	// probes is true for a blocked request that may run once, and survived is true once an
	// endpoint has run the request of the current attempt for lavcrash.SurvivalTime.
	probes, survived bool
	// spool holds what the caller has not accepted yet. It is nil where that isn't bounded.
	spool *spool
	// unread is when the endpoint's answer was left unread.
	unread unreadPause
	trace  trace
}

// run makes attempts until one of them decides the call.
func (t *task) run(ctx context.Context) Outcome {
	defer t.cancelReserved()
	for {
		chosen, outcome := t.nextPlacement(ctx)
		if chosen == nil {
			return t.giveUp(ctx, outcome)
		}
		next := t.attempt(ctx, chosen)
		t.recordKept()
		if next != again {
			return next
		}
		// A caller who doesn't read needs no further endpoint yet.
		if t.takeover.reserved == nil && t.spool.heldBack() && t.spool.awaitRoom(ctx) != nil {
			return t.giveUp(ctx, OutcomeLeft)
		}
		if ctx.Err() != nil {
			return t.giveUp(ctx, OutcomeLate)
		}
	}
}

// nextPlacement returns where the next attempt is made, with the run counted there and the retry
// taken. Without a placement, it returns the outcome of the call.
func (t *task) nextPlacement(ctx context.Context) (*placement, Outcome) {
	if c := t.takeReserved(); c != nil && t.mayBegin() {
		return c, 0
	} else if c != nil {
		c.run.Cancel()
		return nil, OutcomeLeaving
	}
	if err := t.relay.readiness.Await(ctx); err != nil {
		return nil, OutcomeUnready
	}
	if t.mustNotRun(ctx) {
		return nil, OutcomeSuspect
	}
	chosen, outcome := t.chooseInTime(ctx)
	if chosen == nil {
		return nil, outcome
	}
	// The choice may have waited.
	if t.mustNotRun(ctx) {
		chosen.run.End(lavfleet.VerdictNone)
		return nil, OutcomeSuspect
	}
	if t.arrivals > 0 && !t.spendRetry() {
		chosen.run.End(lavfleet.VerdictNone)
		return nil, OutcomeBudget
	}
	return chosen, 0
}

// spendRetry takes a retry from the service's budget, or reports false if that is exhausted.
func (t *task) spendRetry() bool {
	share, ok := t.relay.fleet.SpendRetry(t.call.Service)
	t.trace.retryShare = share
	t.relay.metrics.countRetry(t.call.Service, share, ok)
	return ok
}

// hasTried reports whether an endpoint was the primary one of an earlier attempt.
func (t *task) hasTried(life lavconfig.Incarnation) bool { return t.tried[life] }

// mustNotRun reports whether the request is blocked, and isn't let through as a probe. A probe may run once.
func (t *task) mustNotRun(ctx context.Context) bool {
	if !t.isBlocked() {
		return false
	}
	if t.arrivals > 0 {
		return true
	}
	t.probes = t.probes || t.relay.suspects.Probe(ctx, t.call)
	return !t.probes
}

// isBlocked reports whether the request is blocked, since it crashes endpoints.
func (t *task) isBlocked() bool {
	trait, blocked := t.relay.suspects.Blocked(t.call)
	t.trace.blocked = trait
	return blocked
}

// giveUp returns the outcome of a call that ends without a response: the given one, unless
// the caller has disconnected, the deadline has passed or this host leaves.
func (t *task) giveUp(ctx context.Context, outcome Outcome) Outcome {
	switch {
	case errors.Is(context.Cause(ctx), errHostLeaves):
		return OutcomeLeaving
	case errors.Is(ctx.Err(), context.Canceled):
		return OutcomeLeft
	case ctx.Err() != nil:
		return OutcomeLate
	default:
		return outcome
	}
}
