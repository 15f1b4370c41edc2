package lavrelay

import (
	"context"
	"time"

	"lavenderrack.example/lavenderrack/lavconfig"
	"lavenderrack.example/lavenderrack/lavfleet"

	"github.com/cockroachdb/errors"
)

// Departure is a planned stop of this host. It decides alone which calls still begin.
type Departure interface {
	// MayBegin reports whether a call to a route may be sent to an endpoint now: this host isn't
	// leaving, or the call can end before it has left.
	MayBegin(r *lavconfig.Route, deadline time.Time) bool
	// Refusing ends when MayBegin becomes false for calls to a route that can't end in time.
	Refusing(r *lavconfig.Route) context.Context
	// Left ends when all calls must end, since this host is about to exit.
	Left() context.Context
}

// errHostLeaves is the cause of a context that ends since this host leaves.
var errHostLeaves = errors.New("host is leaving")

// noDeparture is the Departure of a host that stays.
type noDeparture struct{}

func (noDeparture) MayBegin(*lavconfig.Route, time.Time) bool { return true }
func (noDeparture) Refusing(*lavconfig.Route) context.Context { return context.Background() }
func (noDeparture) Left() context.Context                     { return context.Background() }

// SetDeparture sets the planned stop of this host. It must be called before the first call is served.
func (r *Relay) SetDeparture(d Departure) { r.departure = d }

// untilLeft returns a context that also ends when all calls of this host must end.
func (r *Relay) untilLeft(ctx context.Context) (context.Context, func()) {
	return endWith(ctx, r.departure.Left(), func() bool { return true })
}

// chooseInTime selects endpoints and counts the run on them, as long as the call may begin.
func (t *task) chooseInTime(ctx context.Context) (*placement, Outcome) {
	ctx, stop := t.whileMayBegin(ctx)
	defer stop()
	chosen, outcome := t.choose(ctx)
	if chosen == nil {
		return nil, t.giveUp(ctx, outcome)
	}
	// The choice may have waited.
	if !t.mayBegin() {
		chosen.run.End(lavfleet.VerdictNone)
		return nil, OutcomeLeaving
	}
	return chosen, 0
}

// whileMayBegin returns a context that also ends once a call that hasn't run may no longer begin.
// A caller who learns that early has more time to ask another host.
func (t *task) whileMayBegin(ctx context.Context) (context.Context, func()) {
	if t.runs > 0 {
		return ctx, func() {}
	}
	d, route, deadline := t.relay.departure, t.call.Route, t.call.Deadline
	return endWith(ctx, d.Refusing(route), func() bool { return !d.MayBegin(route, deadline) })
}

// mayBegin reports whether another attempt may begin. What may have run goes on as long as this host
// does: to break it off sooner would help nobody.
func (t *task) mayBegin() bool {
	return t.runs > 0 || t.relay.departure.MayBegin(t.call.Route, t.call.Deadline)
}

// endWith returns a context that also ends with another one, if that applies then. Its cause is then
// errHostLeaves.
func endWith(ctx, other context.Context, applies func() bool) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	stop := context.AfterFunc(other, func() {
		if applies() {
			cancel(errHostLeaves)
		}
	})
	return ctx, func() {
		stop()
		cancel(nil)
	}
}
