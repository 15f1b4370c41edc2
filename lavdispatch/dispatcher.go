package lavdispatch

import (
	"context"
	"sync"
	"time"

	"lavenderrack.example/lavenderrack/lavcredit"
	"lavenderrack.example/lavenderrack/lavendpoint"
	"lavenderrack.example/lavenderrack/lavqueue"
	"lavenderrack.example/lavenderrack/lavrequest"
	"lavenderrack.example/lavenderrack/lavroute"
	"lavenderrack.example/lavenderrack/lavstep"

	"github.com/uber-go/tally/v4"
)

// reevaluateInterval is how often the waiting requests are re-evaluated if
// nothing else triggers it. Deadlines expire and estimated backlogs shrink
// merely because time passes.
const reevaluateInterval = 25 * time.Millisecond

// retryAfterNoEndpoint is the retry time returned while no endpoint serves the
// model.
const retryAfterNoEndpoint = time.Second

// EndpointSource provides endpoint snapshots. Changed returns a channel that is
// closed when the snapshot changes.
type EndpointSource interface {
	Snapshot() *lavendpoint.Snapshot
	Changed() <-chan struct{}
}

// result is the outcome for a queued request: an assignment or an error.
type result struct {
	assignment *Assignment
	err        error
}

// waiter is a queued request and the channel on which its caller waits.
type waiter struct {
	placement lavroute.PlacementRequest
	queuedAt  time.Time
	results   chan result
}

// Config holds the dependencies of a Dispatcher.
type Config struct {
	Endpoints EndpointSource
	Queue     *lavqueue.Queue
	Policy    lavroute.Policy
	Credits   lavcredit.Source
	// Locality is this host's position in the network.
	Locality lavroute.Locality
	// Hosts returns the number of hosts that share the endpoints. If nil, this
	// host is the only one.
	Hosts func() int
	// Expect, if not nil, is called for each assignment, so that the cache
	// index can include the request's prefixes before the endpoint's cache
	// events arrive.
	Expect func(a *Assignment)
	// Scope receives the metrics. It may be nil.
	Scope tally.Scope
}

// Dispatcher assigns requests to endpoints.
type Dispatcher struct {
	config   Config
	counters *counters

	mu       sync.Mutex
	waiting  map[*lavrequest.Request]*waiter
	inFlight *inFlight
	meter    *meter
	holds    holds
	// unplaceable holds the placement requests that found no endpoint since the
	// last change of load, credits or endpoints.
	unplaceable []lavroute.PlacementRequest
}

// New returns a dispatcher with the given dependencies.
func New(config Config) *Dispatcher {
	d := &Dispatcher{
		config:   config,
		counters: newCounters(config.Scope),
		waiting:  make(map[*lavrequest.Request]*waiter),
		inFlight: newInFlight(),
		meter:    newMeter(),
		holds:    make(holds),
	}
	d.inFlight.setTable(lavroute.NewRoutingTable(time.Now(), config.Endpoints.Snapshot(), config.Locality, d.meter.backlogFractions))
	return d
}

// Assign waits until r is assigned or refused, or the context ends.
func (d *Dispatcher) Assign(ctx context.Context, r *lavrequest.Request) (*Assignment, error) {
	return d.AssignWith(ctx, r, Options{})
}

// AssignWith is like Assign but restricts the endpoints by options.
func (d *Dispatcher) AssignWith(ctx context.Context, r *lavrequest.Request, o Options) (*Assignment, error) {
	if err := lavstep.Failpoint(ctx, lavstep.Admit, ""); err != nil {
		return nil, err
	}
	w := &waiter{
		placement: lavroute.PlacementRequest{Request: r, Avoid: o.Avoid, Alone: o.Alone},
		results:   make(chan result, 1),
	}
	if err := d.enqueue(w); err != nil {
		d.counters.recordRefusal(err)
		return nil, err
	}
	select {
	case res := <-w.results:
		return d.deliver(ctx, res)
	case <-ctx.Done():
		d.cancel(w)
		return nil, lavstep.Wrap(ctx.Err(), lavstep.Admit, "")
	}
}

// deliver returns a result to the caller. If a probe in the context makes the
// Pick step fail, as tests do, deliver ends the assignment and returns the
// error.
func (d *Dispatcher) deliver(ctx context.Context, res result) (*Assignment, error) {
	if res.err != nil {
		d.counters.recordRefusal(res.err)
		return nil, res.err
	}
	if err := lavstep.Failpoint(ctx, lavstep.Pick, res.assignment.Endpoint.Name); err != nil {
		res.assignment.Done()
		return nil, err
	}
	return res.assignment, nil
}

// enqueue offers a request to the queue and tries to assign it.
func (d *Dispatcher) enqueue(w *waiter) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	d.refreshTable(now)
	r := w.placement.Request
	capacity := d.inFlight.table.Capacity(now, d.inFlight.local, r.Model)
	switch {
	case capacity.Endpoints == 0:
		return &lavqueue.Refusal{Reason: lavqueue.ReasonNoEndpoint, RetryAfter: retryAfterNoEndpoint}
	case r.TotalTokens() > capacity.MaxMemoryTokens:
		return &lavqueue.Refusal{Reason: lavqueue.ReasonTooLong}
	}
	if err := d.config.Queue.Offer(now, r, d.meter.rates(capacity, r.Model, d.hostCount())); err != nil {
		return err
	}
	w.placement.Lane = d.config.Queue.Lane(r)
	w.queuedAt = now
	d.waiting[r] = w
	d.assignWaiting(now)
	return nil
}

func (d *Dispatcher) hostCount() int {
	if d.config.Hosts == nil {
		return 1
	}
	return d.config.Hosts()
}

// cancel removes a request whose caller has disconnected. If the request was
// assigned at the same moment, cancel ends the assignment.
func (d *Dispatcher) cancel(w *waiter) {
	d.mu.Lock()
	d.config.Queue.Cancel(w.placement.Request)
	delete(d.waiting, w.placement.Request)
	d.holds.release(w.placement.Request)
	d.mu.Unlock()
	select {
	case res := <-w.results:
		if res.assignment != nil {
			res.assignment.Done()
		}
	default:
	}
}

func (d *Dispatcher) firstToken(a *Assignment) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if _, running := d.inFlight.running[a]; !running || !a.firstTokenAt.IsZero() {
		return
	}
	now := time.Now()
	d.inFlight.markPrefilled(a, now)
	rate := a.Endpoint.Report.PrefillRate
	if rate > 0 {
		idlePrefillTime := time.Duration(float64(a.Request().PromptTokens) / rate * float64(time.Second))
		d.meter.recordPrefill(a.placement.Lane, now.Sub(a.startedAt), idlePrefillTime)
	}
	d.assignAfterChange(now)
}

// done ends an assignment. It returns the credit under the lock, so that the
// credit cannot be used for another request while this one still counts as
// running.
func (d *Dispatcher) done(a *Assignment) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.config.Credits.Return(a.Credit)
	now := time.Now()
	d.inFlight.end(a)
	d.inFlight.refreshCredit(now, d.config.Credits, a.Endpoint.Name)
	d.assignAfterChange(now)
}

// Serve re-evaluates the waiting requests whenever endpoints or credits change,
// until the context ends.
func (d *Dispatcher) Serve(ctx context.Context) error {
	ticker := time.NewTicker(reevaluateInterval)
	defer ticker.Stop()
	for {
		endpoints, credits := d.config.Endpoints.Changed(), d.config.Credits.Changed()
		d.expireAndAssign(time.Now())
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-endpoints:
		case <-credits:
		case <-ticker.C:
		}
	}
}

func (d *Dispatcher) reply(r *lavrequest.Request, res result) {
	d.waiting[r].results <- res
	delete(d.waiting, r)
}

// Estimate returns the expected time from now to the last token of a request if
// it were queued now. Callers that run requests without the queue use it for
// admission.
func (d *Dispatcher) Estimate(r *lavrequest.Request) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	d.refreshTable(now)
	rates := d.meter.rates(d.inFlight.table.Capacity(now, d.inFlight.local, r.Model), r.Model, d.hostCount())
	return d.config.Queue.EstimateWait(r, &rates) + rates.ServiceTime(r, d.config.Queue.Lane(r))
}

// Load is the current load of a dispatcher.
type Load struct {
	Waiting        int
	Running        int
	LaneBoundaries lavqueue.LaneBoundaries
}

// Load returns the current load.
func (d *Dispatcher) Load() Load {
	d.mu.Lock()
	defer d.mu.Unlock()
	return Load{Waiting: len(d.waiting), Running: len(d.inFlight.running), LaneBoundaries: d.config.Queue.LaneBoundaries()}
}
