package lavfleet

import (
	"time"

	"lavenderrack.example/lavenderrack/lavconfig"
	"lavenderrack.example/lavenderrack/lavplan"
)

// Allocation is the load that a run places on one endpoint.
type Allocation struct {
	Life lavconfig.Incarnation
	Load lavplan.Load
}

// Run is one request on its endpoints, from before it is sent until it ends. Calls to its
// methods must not be concurrent.
type Run struct {
	fleet       *Fleet
	allocations []Allocation
	// prefills are the parts of the prompt, in the order of allocations. It is nil once
	// the prompt's prefill has ended.
	prefills []*prefill
	observed observed
	begunAt  time.Time
	// permits are those that the run has used up.
	permits []takenPermit
	// tookRetry is true if the run has taken a retry from the budget of its service at begunAt.
	tookRetry bool
}

// Begin counts a run on its endpoints. The first allocation is for the primary endpoint,
// which receives the request. Begin returns nil if that endpoint may no longer receive it, or
// if a permit for one of the endpoints is missing: a part of a prompt needs one like a request.
func (f *Fleet) Begin(allocations []Allocation) *Run {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.begin(allocations, time.Now())
}

// begin is Begin at a time. The caller holds the lock.
func (f *Fleet) begin(allocations []Allocation, now time.Time) *Run {
	primary := f.endpoints[allocations[0].Life]
	if primary == nil || f.exclusion(primary, now) != ReasonNone {
		return nil
	}
	svc := f.services[primary.Service]
	if svc != nil && f.coldReason(svc, primary, now) != ReasonNone {
		return nil
	}
	permits, ok := f.takePermits(allocations, now)
	if !ok {
		return nil
	}
	f.countSent(svc, primary, now)
	r := &Run{fleet: f, allocations: allocations, begunAt: now, permits: permits}
	for _, p := range allocations {
		r.addAllocation(now, p)
	}
	r.notifyPeers()
	return r
}

// BeginRetry is Begin for a run that needs room at its primary endpoint and a retry from the budget of
// its service. It counts both or neither, and returns the share from which the retry was to be taken.
func (f *Fleet) BeginRetry(allocations []Allocation) (*Run, RetryShare) {
	now := time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	primary := f.endpoints[allocations[0].Life]
	svc := f.serviceOf(allocations[0].Life)
	if svc == nil {
		return nil, RetryShare{}
	}
	share := svc.budget.share(now, f.bounds.Retry, f.burst)
	if share.Exhausted() || f.retriesHandedOver || !lavplan.HasRoom(svc.Engine, primary.candidate(now), allocations[0].Load) {
		return nil, share
	}
	r := f.begin(allocations, now)
	if r != nil {
		svc.budget.retries.add(now)
		r.tookRetry = true
	}
	return r, share
}

// serviceOf returns the service of an endpoint, or nil. The caller holds the lock.
func (f *Fleet) serviceOf(life lavconfig.Incarnation) *service {
	s := f.endpoints[life]
	if s == nil {
		return nil
	}
	return f.services[s.Service]
}

// Cancel ends a run whose request was not sent anywhere, and gives back what it has used up.
func (r *Run) Cancel() {
	r.ReturnRetry()
	r.End(VerdictNone)
	r.fleet.mu.Lock()
	defer r.fleet.mu.Unlock()
	for _, p := range r.permits {
		p.endpoint.stock.Return(p.expires)
	}
	if s := r.fleet.endpoints[r.allocations[0].Life]; s != nil {
		s.uncountSent(r.begunAt)
	}
}

// ReturnRetry gives back the retry that the run has taken, if it has. No other run may have been sent
// for it. It counts in no window then, so that the bound holds.
func (r *Run) ReturnRetry() {
	r.fleet.mu.Lock()
	defer r.fleet.mu.Unlock()
	svc := r.fleet.serviceOf(r.allocations[0].Life)
	if r.tookRetry && svc != nil {
		svc.budget.retries.remove(r.begunAt)
	}
	r.tookRetry = false
}

// addAllocation counts one allocation. The caller holds the fleet's lock.
func (r *Run) addAllocation(now time.Time, p Allocation) {
	var added *prefill
	if s := r.fleet.endpoints[p.Life]; s != nil {
		added = s.addPrefill(now, p.Load.Prefill)
		p.Load.Prefill = 0
		s.local = s.local.Plus(p.Load)
	}
	r.prefills = append(r.prefills, added)
}

// notifyPeers signals that peers should learn of the run at once. Calls to services other
// than model engines are short and similar, and are left to the periodic reports.
func (r *Run) notifyPeers() {
	if r.allocations[0].Load.KVTokens > 0 {
		r.fleet.notifyChange()
	}
}

// RecordFirstEvent records that the prefill has ended, as the first event shows.
func (r *Run) RecordFirstEvent() {
	r.fleet.mu.Lock()
	defer r.fleet.mu.Unlock()
	r.endQueueing()
	r.recordAnswer()
	if r.endPrefill() {
		r.notifyPeers()
	}
	r.observe(time.Now())
}

// recordAnswer records that the primary endpoint has answered. The caller holds the fleet's lock.
func (r *Run) recordAnswer() {
	s := r.fleet.endpoints[r.allocations[0].Life]
	if s == nil {
		return
	}
	if svc := r.fleet.services[s.Service]; svc != nil && r.begunAt.After(svc.answeredFrom) {
		svc.answeredFrom = r.begunAt
	}
}

// endQueueing removes the run from the late requests of its primary endpoint.
func (r *Run) endQueueing() {
	primary := &r.allocations[0]
	if s := r.fleet.endpoints[primary.Life]; s != nil {
		s.local.Late -= primary.Load.Late
	}
	primary.Load.Late = 0
}

// endPrefill removes the run's parts and reports whether there were any.
func (r *Run) endPrefill() bool {
	if r.prefills == nil {
		return false
	}
	for i, p := range r.allocations {
		if s := r.fleet.endpoints[p.Life]; s != nil {
			s.removePrefill(r.prefills[i])
		}
	}
	r.prefills = nil
	return true
}

// End removes the run's load and applies its verdict to the primary endpoint.
func (r *Run) End(v Verdict) {
	now := time.Now()
	r.fleet.mu.Lock()
	defer r.fleet.mu.Unlock()
	r.endPrefill()
	r.notifyPeers()
	for _, p := range r.allocations {
		if s := r.fleet.endpoints[p.Life]; s != nil {
			p.Load.Prefill = 0
			s.local = s.local.Minus(p.Load)
		}
	}
	s := r.fleet.endpoints[r.allocations[0].Life]
	if s == nil {
		return
	}
	switch v {
	case VerdictGood:
		s.backoff.reset()
		r.recordAnswer()
	case VerdictBad:
		s.backoff.recordFailure(now)
	case VerdictNone:
	}
}

// BackOff makes an endpoint the last choice for a time, as after a failed run.
func (f *Fleet) BackOff(life lavconfig.Incarnation) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if s := f.endpoints[life]; s != nil {
		s.backoff.recordFailure(time.Now())
	}
}

//go:generate stringer -type=Verdict -trimprefix=Verdict -output=verdict_string.go

// Verdict is what the result of a run says about its primary endpoint.
type Verdict int

// The verdicts.
const (
	// VerdictNone says nothing, as when the caller disconnected.
	VerdictNone Verdict = iota
	// VerdictGood means that the endpoint answered.
	VerdictGood
	// VerdictBad means that the endpoint failed or stopped responding.
	VerdictBad
)
