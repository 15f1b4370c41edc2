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

// turnEvery is how often the waiting requests are looked at even if nothing
// has changed: time alone brings deadlines near and endpoints on.
const turnEvery = 25 * time.Millisecond

// retryAfterNoEndpoint is what a caller is told while no endpoint serves the
// model.
const retryAfterNoEndpoint = time.Second

// Endpoints tells what endpoints there are.
type Endpoints interface {
	Snapshot() *lavendpoint.Snapshot
	Changed() <-chan struct{}
}

// answer is what a waiting request gets.
type answer struct {
	assignment *Assignment
	err        error
}

// waiter is a request that waits.
type waiter struct {
	ask   lavroute.Ask
	since time.Time
	got   chan answer
}

// Parts are what a dispatcher is made of.
type Parts struct {
	Endpoints Endpoints
	Queue     *lavqueue.Queue
	Policy    lavroute.Policy
	Credits   lavcredit.Source
	// Site is where this host stands.
	Site lavroute.Site
	// Hosts returns the number of hosts that share the endpoints.
	Hosts func() int
	// Expect, if not nil, is told of each assignment, so that caches are known
	// before their events come.
	Expect func(a *Assignment)
	// Scope may be nil.
	Scope tally.Scope
}

// Dispatcher assigns requests to endpoints.
type Dispatcher struct {
	parts    Parts
	counters *counters

	mu      sync.Mutex
	waiting map[*lavrequest.Request]*waiter
	flight  *flight
	meter   *meter
	holds   holds
	// stuck are the asks that found no place since anything changed.
	stuck []lavroute.Ask
}

// New returns a dispatcher made of those parts.
func New(parts Parts) *Dispatcher {
	d := &Dispatcher{
		parts:    parts,
		counters: newCounters(parts.Scope),
		waiting:  make(map[*lavrequest.Request]*waiter),
		flight:   newFlight(),
		meter:    newMeter(),
		holds:    make(holds),
	}
	d.flight.lay(lavroute.NewBoard(time.Now(), parts.Endpoints.Snapshot(), parts.Site, d.meter.mix))
	return d
}

// Assign waits until r is assigned, refused, or its context ends.
func (d *Dispatcher) Assign(ctx context.Context, r *lavrequest.Request) (*Assignment, error) {
	return d.AssignWith(ctx, r, Options{})
}

// AssignWith is Assign with options that bind the request's place.
func (d *Dispatcher) AssignWith(ctx context.Context, r *lavrequest.Request, o Options) (*Assignment, error) {
	if err := lavstep.Reach(ctx, lavstep.Admit, ""); err != nil {
		return nil, err
	}
	w := &waiter{
		ask: lavroute.Ask{Request: r, Avoid: o.Avoid, Alone: o.Alone},
		got: make(chan answer, 1),
	}
	if err := d.offer(w); err != nil {
		d.counters.refused(err)
		return nil, err
	}
	select {
	case a := <-w.got:
		return d.take(ctx, a)
	case <-ctx.Done():
		d.cancel(w)
		return nil, lavstep.Wrap(ctx.Err(), lavstep.Admit, "")
	}
}

// take hands an answer to the caller, who may have gone.
func (d *Dispatcher) take(ctx context.Context, a answer) (*Assignment, error) {
	if a.err != nil {
		d.counters.refused(a.err)
		return nil, a.err
	}
	if err := lavstep.Reach(ctx, lavstep.Pick, a.assignment.Endpoint.Name); err != nil {
		a.assignment.Done()
		return nil, err
	}
	return a.assignment, nil
}

func (d *Dispatcher) offer(w *waiter) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	d.refresh(now)
	r := w.ask.Request
	speed := d.flight.board.Speed(now, d.flight.own, r.Model)
	switch {
	case speed.Endpoints == 0:
		return &lavqueue.Refusal{Reason: lavqueue.ReasonNoEndpoint, RetryAfter: retryAfterNoEndpoint}
	case r.TotalTokens() > speed.Memory:
		return &lavqueue.Refusal{Reason: lavqueue.ReasonTooLong}
	}
	if err := d.parts.Queue.Offer(now, r, d.meter.rates(speed, r.Model, d.hosts())); err != nil {
		return err
	}
	w.ask.Lane = d.parts.Queue.Lane(r)
	w.since = now
	d.waiting[r] = w
	d.match(now)
	return nil
}

func (d *Dispatcher) hosts() int {
	if d.parts.Hosts == nil {
		return 1
	}
	return d.parts.Hosts()
}

// cancel withdraws a request whose caller has gone. If it was assigned at the
// same moment, the assignment is ended.
func (d *Dispatcher) cancel(w *waiter) {
	d.mu.Lock()
	d.parts.Queue.Cancel(w.ask.Request)
	delete(d.waiting, w.ask.Request)
	d.holds.free(w.ask.Request)
	d.mu.Unlock()
	select {
	case a := <-w.got:
		if a.assignment != nil {
			a.assignment.Done()
		}
	default:
	}
}

func (d *Dispatcher) firstToken(a *Assignment) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if _, running := d.flight.running[a]; !running || !a.first.IsZero() {
		return
	}
	now := time.Now()
	d.flight.read(a, now)
	rate := a.Endpoint.Report.PrefillRate
	if rate > 0 {
		alone := time.Duration(float64(a.Request().PromptTokens) / rate * float64(time.Second))
		d.meter.read(a.ask.Lane, now.Sub(a.began), alone)
	}
	d.changed(now)
}

// done frees an assignment's place. The credit goes back under the lock, so that
// no other request is assigned by it while this one still counts as running.
func (d *Dispatcher) done(a *Assignment) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.parts.Credits.Return(a.Credit)
	now := time.Now()
	d.flight.end(a)
	d.flight.room(now, d.parts.Credits, a.Endpoint.Name)
	d.changed(now)
}

// Serve matches again as endpoints and credits change, until the context ends.
func (d *Dispatcher) Serve(ctx context.Context) error {
	tick := time.NewTicker(turnEvery)
	defer tick.Stop()
	for {
		endpoints, credits := d.parts.Endpoints.Changed(), d.parts.Credits.Changed()
		d.turn(time.Now())
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-endpoints:
		case <-credits:
		case <-tick.C:
		}
	}
}

func (d *Dispatcher) turn(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, r := range d.parts.Queue.Expire(now) {
		d.holds.free(r)
		d.reply(r, answer{err: &lavqueue.Refusal{Reason: lavqueue.ReasonDeadline}})
	}
	d.refresh(now)
	d.flight.rooms(now, d.parts.Credits)
	d.changed(now)
	d.counters.waiting.Update(float64(len(d.waiting)))
	d.counters.running.Update(float64(len(d.flight.running)))
}

// refresh lays out a new snapshot, if there is one.
func (d *Dispatcher) refresh(now time.Time) {
	s := d.parts.Endpoints.Snapshot()
	if s == d.flight.board.Snapshot {
		return
	}
	d.meter.unread(d.flight.own)
	d.flight.lay(lavroute.NewBoard(now, s, d.parts.Site, d.meter.mix))
	d.flight.rooms(now, d.parts.Credits)
	d.stuck = d.stuck[:0]
}

// changed matches again after something has changed.
func (d *Dispatcher) changed(now time.Time) {
	d.stuck = d.stuck[:0]
	if len(d.waiting) > 0 {
		d.match(now)
	}
}

// match assigns as many waiting requests as it can.
func (d *Dispatcher) match(now time.Time) {
	d.holds.lay(d.flight.board, d.flight.own)
	for {
		var made *Assignment
		r := d.parts.Queue.Next(now, func(r *lavrequest.Request) bool {
			made = d.try(now, d.waiting[r])
			return made != nil
		})
		if r == nil {
			return
		}
		d.holds.free(r)
		d.meter.left(now, r, d.parts.Queue.Waits(r.Model))
		d.counters.assigned[made.ask.Lane].Inc(1)
		d.counters.waited[made.ask.Lane].RecordDuration(now.Sub(d.waiting[r].since))
		d.reply(r, answer{assignment: made})
	}
}

// try picks an endpoint for a request and takes a credit for it.
func (d *Dispatcher) try(now time.Time, w *waiter) *Assignment {
	ask := &w.ask
	if d.isStuck(ask) {
		return nil
	}
	ask.Hold = d.holds.of(ask.Request)
	i := d.parts.Policy.Pick(now, d.flight.board, d.flight.own, ask)
	if i < 0 {
		d.stuck = append(d.stuck, *ask)
		d.want(now, w)
		return nil
	}
	e := &d.flight.board.Snapshot.Endpoints[i]
	credit, ok := d.parts.Credits.Take(now, e, ask.Request.TotalTokens())
	if !ok {
		d.flight.own[i].Room = 0
		return nil
	}
	a := &Assignment{
		Endpoint: *e,
		Credit:   credit,
		Priority: d.parts.Policy.Priority(now, ask),
		ask:      ask,
		began:    now,
		from:     d,
	}
	d.flight.begin(a)
	if d.parts.Expect != nil {
		d.parts.Expect(a)
	}
	return a
}

// isStuck reports whether one like it, and no larger, has found no place since
// anything changed.
func (d *Dispatcher) isStuck(ask *lavroute.Ask) bool {
	if len(ask.Avoid) > 0 || ask.Alone {
		return false
	}
	for i := range d.stuck {
		s := &d.stuck[i]
		if s.Lane == ask.Lane && s.Request.Model == ask.Request.Model && s.Request.Adapter == ask.Request.Adapter &&
			s.Request.TotalTokens() <= ask.Request.TotalTokens() && len(s.Avoid) == 0 && !s.Alone && s.Hold == "" {
			return ask.Hold == "" && d.holds.of(ask.Request) == ""
		}
	}
	return false
}

// want asks for credit at the endpoint where a request would go if there were
// room, and keeps the endpoint for a long request that has waited for long.
func (d *Dispatcher) want(now time.Time, w *waiter) {
	ask := w.ask
	ask.AnyRoom = true
	endpoint := ask.Hold
	if endpoint == "" {
		i := d.parts.Policy.Pick(now, d.flight.board, d.flight.own, &ask)
		if i < 0 {
			return
		}
		endpoint = d.flight.board.Snapshot.Endpoints[i].Name
		if ask.Lane >= lavrequest.ClassLong && now.Sub(w.since) > holdAfter {
			d.holds.keep(ask.Request, endpoint)
		}
	}
	if i := d.flight.board.Index(endpoint); i >= 0 {
		d.parts.Credits.Want(now, &d.flight.board.Snapshot.Endpoints[i], ask.Request.TotalTokens())
	}
}

func (d *Dispatcher) reply(r *lavrequest.Request, a answer) {
	d.waiting[r].got <- a
	delete(d.waiting, r)
}

// Estimate returns how long a request would take from now to its last token if
// it were queued. Those who run requests by other ways admit by it too.
func (d *Dispatcher) Estimate(r *lavrequest.Request) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	d.refresh(now)
	rates := d.meter.rates(d.flight.board.Speed(now, d.flight.own, r.Model), r.Model, d.hosts())
	return d.parts.Queue.Wait(r, &rates) + rates.Service(r, d.parts.Queue.Lane(r))
}

// Load is what a dispatcher has on its hands.
type Load struct {
	Waiting int
	Running int
	Borders lavqueue.Borders
}

// Load returns what the dispatcher has on its hands now.
func (d *Dispatcher) Load() Load {
	d.mu.Lock()
	defer d.mu.Unlock()
	return Load{Waiting: len(d.waiting), Running: len(d.flight.running), Borders: d.parts.Queue.Borders()}
}
