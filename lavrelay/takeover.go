package lavrelay

import (
	"context"
	"fmt"
	"time"

	"lavenderrack.example/lavenderrack/lavconfig"
	"lavenderrack.example/lavenderrack/lavconn"
	"lavenderrack.example/lavenderrack/lavfleet"
)

//go:generate stringer -type=keepReason -trimprefix=keep -output=keepreason_string.go

// keepReason is why a silent run is not given up.
type keepReason int

// The reasons.
const (
	// keepNone means that it may be given up.
	keepNone keepReason = iota
	// keepNoRetry means that the retry budget has no retry for it.
	keepNoRetry
	// keepNoRoom means that no other endpoint has room for it.
	keepNoRoom
	// keepUnready means that this host may not act on the state that it knows.
	keepUnready
	// keepSuspect means that the request must not run again, since it crashes endpoints.
	keepSuspect
)

// takeover looks for a place where a run can go on whose endpoint is silent, and reserves it with a
// retry before the run is given up. An endpoint that is merely slow goes on by itself, so that a run
// without another place is better kept.
type takeover struct {
	// asker is the call as another attempt at it would begin. It shares with its task only what
	// doesn't change during an attempt, since it looks for endpoints beside that.
	asker *task
	// endpoint is the one that may be silent.
	endpoint lavconfig.Incarnation
	// silence is the time after which the run may be given up.
	silence time.Duration
	// reserved is the place, once there is one.
	reserved *placement
	// kept is why the run was kept at the last of a number of questions.
	kept  keepReason
	asked int
}

// newTakeover returns the takeover of an attempt that is about to begin.
func (t *task) newTakeover(c *placement, silence time.Duration) *takeover {
	asker := &task{relay: t.relay, call: t.call, tried: t.tried, arrivals: t.arrivals + 1, takesRetry: true}
	return &takeover{asker: asker, endpoint: c.endpoint.Incarnation(), silence: silence}
}

// watch returns the silence after which the run may be given up.
func (o *takeover) watch() lavconn.Silence {
	return lavconn.Silence{After: o.silence, MayEnd: o.reserve}
}

// reserve reports whether the run may be given up, since another place is reserved for it.
func (o *takeover) reserve(ctx context.Context) bool {
	place, kept := o.asker.reserveElsewhere(ctx, time.Now().Add(-o.silence))
	if ctx.Err() != nil {
		// The silence has ended, or the call has.
		if place != nil {
			place.run.Cancel()
		}
		return false
	}
	o.asked++
	o.reserved, o.kept = place, kept
	if place == nil && o.asked == 1 {
		// Others should rather go elsewhere. A run that is given up says so by its verdict.
		o.asker.relay.fleet.BackOff(o.endpoint)
	}
	return place != nil
}

// reserveElsewhere reserves another place with a retry for a run that has been silent since a time, or
// returns why there is none.
func (t *task) reserveElsewhere(ctx context.Context, silentSince time.Time) (*placement, keepReason) {
	// Questions to schedulers are wasted without a retry.
	t.trace.retryShare = t.relay.fleet.RetryShare(t.call.Service)
	if t.trace.retryShare.Exhausted() {
		return nil, keepNoRetry
	}
	if t.relay.readiness.Await(ctx) != nil {
		return nil, keepUnready
	}
	if t.isBlocked() {
		return nil, keepSuspect
	}
	t.trace.lastEvent = silentSince
	c := t.chooseNow(ctx)
	switch {
	case c != nil:
		return c, keepNone
	case t.trace.retryShare.Exhausted():
		return nil, keepNoRetry
	default:
		return nil, keepNoRoom
	}
}

// chooseNow is choose without a wait, for a place where the request can begin at once. It returns nil
// if there is none.
func (t *task) chooseNow(ctx context.Context) *placement {
	if c, _, decided := t.chooseScheduled(ctx); decided {
		return c
	}
	t.trace.scheduler = ""
	turn := t.newTurn(time.Now())
	snapshot, ok := t.relay.fleet.SnapshotFor(t.call.Service, turn.waiting, t.hasTried)
	if !ok {
		return nil
	}
	plan, ok, waits := t.decide(snapshot)
	if !ok || waits {
		return nil
	}
	return t.beginRun(newPlacement(snapshot, plan))
}

// takeReserved returns the place that was reserved for the call during the last attempt, or nil.
func (t *task) takeReserved() *placement {
	if t.takeover == nil || t.takeover.reserved == nil {
		return nil
	}
	c := t.takeover.reserved
	t.takeover.reserved = nil
	t.trace.adoptChoice(&t.takeover.asker.trace)
	if t.arrivals == 0 {
		// The request reached no endpoint, so that this is no retry.
		c.run.ReturnRetry()
	} else {
		t.relay.metrics.countRetry(t.call.Service, t.trace.retryShare, true)
	}
	return c
}

// cancelReserved gives back what was reserved for the call and isn't needed any more.
func (t *task) cancelReserved() {
	if t.takeover != nil && t.takeover.reserved != nil {
		t.takeover.reserved.run.Cancel()
		t.takeover.reserved = nil
	}
}

// recordKept records that the run of the last attempt was kept, if it was.
func (t *task) recordKept() {
	o := t.takeover
	if o.kept == keepNone {
		return
	}
	t.trace.kept = fmt.Sprintf("%v, asked %d times", o.kept, o.asked)
	if o.kept == keepNoRetry {
		t.trace.retryShare = o.asker.trace.retryShare
	}
}

// adoptChoice takes over the state on which a choice was based.
func (t *trace) adoptChoice(from *trace) {
	t.candidates, t.inBackoff, t.excluded = from.candidates, from.inBackoff, from.excluded
	t.backlog, t.expected, t.loadAge = from.backlog, from.expected, from.loadAge
	t.waited, t.scheduler = 0, from.scheduler
	t.asked += from.asked
	t.retryShare = from.retryShare
	if from.limitedBy != (lavfleet.BlockingLimit{}) {
		t.limitedBy = from.limitedBy
	}
}
