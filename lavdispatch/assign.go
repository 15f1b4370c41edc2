package lavdispatch

import (
	"time"

	"lavenderrack.example/lavenderrack/lavqueue"
	"lavenderrack.example/lavenderrack/lavrequest"
	"lavenderrack.example/lavenderrack/lavroute"
)

// expireAndAssign refuses expired requests, updates the routing table and the
// credits, and assigns what it can.
func (d *Dispatcher) expireAndAssign(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, r := range d.config.Queue.Expire(now) {
		d.holds.release(r)
		d.reply(r, result{err: &lavqueue.Refusal{Reason: lavqueue.ReasonDeadline}})
	}
	d.refreshTable(now)
	d.inFlight.refreshCredits(now, d.config.Credits)
	d.assignAfterChange(now)
	d.counters.waiting.Update(float64(len(d.waiting)))
	d.counters.running.Update(float64(len(d.inFlight.running)))
}

// refreshTable builds a new routing table if there is a new endpoint snapshot.
func (d *Dispatcher) refreshTable(now time.Time) {
	snapshot := d.config.Endpoints.Snapshot()
	if snapshot == d.inFlight.table.Snapshot {
		return
	}
	d.meter.sampleBacklog(d.inFlight.local)
	d.inFlight.setTable(lavroute.NewRoutingTable(now, snapshot, d.config.Locality, d.meter.backlogFractions))
	d.inFlight.refreshCredits(now, d.config.Credits)
	d.unplaceable = d.unplaceable[:0]
}

// assignAfterChange assigns waiting requests after a change that may make room
// for them.
func (d *Dispatcher) assignAfterChange(now time.Time) {
	d.unplaceable = d.unplaceable[:0]
	if len(d.waiting) > 0 {
		d.assignWaiting(now)
	}
}

// assignWaiting assigns as many waiting requests as possible.
func (d *Dispatcher) assignWaiting(now time.Time) {
	d.holds.markHeld(d.inFlight.table, d.inFlight.local)
	for {
		var assignment *Assignment
		r := d.config.Queue.Next(now, func(r *lavrequest.Request) bool {
			assignment = d.tryAssign(now, d.waiting[r])
			return assignment != nil
		})
		if r == nil {
			return
		}
		d.holds.release(r)
		d.meter.recordDequeue(now, r, d.config.Queue.HasWaiting(r.Model))
		d.counters.assigned[assignment.placement.Lane].Inc(1)
		d.counters.waitTime[assignment.placement.Lane].RecordDuration(now.Sub(d.waiting[r].queuedAt))
		d.reply(r, result{assignment: assignment})
	}
}

// tryAssign picks an endpoint for a request and takes a credit for it. It
// returns nil if the request cannot be assigned now.
func (d *Dispatcher) tryAssign(now time.Time, w *waiter) *Assignment {
	placement := &w.placement
	if d.isUnplaceable(placement) {
		return nil
	}
	placement.HeldEndpoint = d.holds.endpointOf(placement.Request)
	i := d.config.Policy.Pick(now, d.inFlight.table, d.inFlight.local, placement)
	if i < 0 {
		d.unplaceable = append(d.unplaceable, *placement)
		d.requestCredit(now, w)
		return nil
	}
	e := &d.inFlight.table.Snapshot.Endpoints[i]
	credit, ok := d.config.Credits.Take(now, e, placement.Request.TotalTokens())
	if !ok {
		d.inFlight.local[i].AvailableCredit = 0
		return nil
	}
	a := &Assignment{
		Endpoint:   *e,
		Credit:     credit,
		Priority:   d.config.Policy.Priority(now, placement),
		placement:  placement,
		startedAt:  now,
		dispatcher: d,
	}
	d.inFlight.begin(a)
	if d.config.Expect != nil {
		d.config.Expect(a)
	}
	return a
}

// isUnplaceable reports whether a request with the same constraints that needs
// no more tokens has found no endpoint since the last change. It saves the
// search for requests that cannot succeed.
func (d *Dispatcher) isUnplaceable(placement *lavroute.PlacementRequest) bool {
	if len(placement.Avoid) > 0 || placement.Alone {
		return false
	}
	for i := range d.unplaceable {
		known := &d.unplaceable[i]
		if known.Lane == placement.Lane && known.Request.Model == placement.Request.Model && known.Request.Adapter == placement.Request.Adapter &&
			known.Request.TotalTokens() <= placement.Request.TotalTokens() && len(known.Avoid) == 0 && !known.Alone && known.HeldEndpoint == "" {
			return placement.HeldEndpoint == "" && d.holds.endpointOf(placement.Request) == ""
		}
	}
	return false
}

// requestCredit requests credit at the endpoint that the request would use if
// it had capacity, and holds that endpoint for a long request that has waited
// for longer than holdDelay.
func (d *Dispatcher) requestCredit(now time.Time, w *waiter) {
	placement := w.placement
	placement.IgnoreCapacity = true
	endpoint := placement.HeldEndpoint
	if endpoint == "" {
		i := d.config.Policy.Pick(now, d.inFlight.table, d.inFlight.local, &placement)
		if i < 0 {
			return
		}
		endpoint = d.inFlight.table.Snapshot.Endpoints[i].Name
		if placement.Lane >= lavrequest.ClassLong && now.Sub(w.queuedAt) > holdDelay {
			d.holds.acquire(placement.Request, endpoint)
		}
	}
	if i := d.inFlight.table.Index(endpoint); i >= 0 {
		d.config.Credits.Want(now, &d.inFlight.table.Snapshot.Endpoints[i], placement.Request.TotalTokens())
	}
}
