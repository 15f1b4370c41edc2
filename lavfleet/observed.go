package lavfleet

import "time"

// observed is what was known of a run's primary endpoint at its last events.
type observed struct {
	// prefill is the outstanding prefill time at the last event, and prefillBefore at the one
	// before.
	prefill, prefillBefore time.Duration
	slowdown               float64
}

// observe notes what is known of the primary endpoint at an event. The caller holds the fleet's
// lock.
func (r *Run) observe(now time.Time) {
	s := r.fleet.endpoints[r.allocations[0].Life]
	if s == nil {
		return
	}
	r.observed.prefillBefore = r.observed.prefill
	r.observed.prefill = s.backlog(now)
	r.observed.slowdown = s.slowdown.current(now)
}

// PrefillBeforeEvent returns the prefill time of other runs that was known at the primary endpoint
// at some time between the last two events, as it was at the one or the other.
func (r *Run) PrefillBeforeEvent() time.Duration {
	return max(r.observed.prefillBefore, r.observed.prefill)
}

// Slowdown returns the slowdown of the primary endpoint that was known at the last event, zero
// before the first one.
func (r *Run) Slowdown() float64 { return r.observed.slowdown }
