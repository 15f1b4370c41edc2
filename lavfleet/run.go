package lavfleet

import (
	"time"

	"lavenderrack.example/lavenderrack/lavconfig"
	"lavenderrack.example/lavenderrack/lavplan"
)

// Part is what a run puts on one endpoint.
type Part struct {
	Life lavconfig.Incarnation
	Load lavplan.Load
}

// Run is one request at its endpoints, from before it is sent to its end. Its
// methods are called by one goroutine at a time.
type Run struct {
	fleet *Fleet
	parts []Part
	// readings are the parts of the prompt, in the order of parts, until the
	// prompt has been read.
	readings []*reading
}

// Begin counts a run. The first part is the endpoint that gets the request.
// It returns nil if that endpoint may not take it any more.
func (f *Fleet) Begin(parts []Part) *Run {
	now := time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	first := f.endpoints[parts[0].Life]
	if first == nil || !f.serves(first) {
		return nil
	}
	if svc := f.services[first.Service]; svc != nil && !f.mayBegin(svc, first, now) {
		return nil
	}
	first.sent.add(now)
	r := &Run{fleet: f, parts: parts}
	for _, p := range parts {
		r.begin(now, p)
	}
	r.changed()
	return r
}

// mayBegin reports whether this host may send one more request to an endpoint
// now. The caller holds the lock.
func (f *Fleet) mayBegin(svc *service, s *state, now time.Time) bool {
	return s.near && s.sent.count(now) < f.coldShare(svc)
}

// begin counts one part. The caller holds the fleet's lock, as for the others.
func (r *Run) begin(now time.Time, p Part) {
	var reads *reading
	if s := r.fleet.endpoints[p.Life]; s != nil {
		reads = s.read(now, p.Load.Reading)
		p.Load.Reading = 0
		s.own = s.own.Plus(p.Load)
	}
	r.readings = append(r.readings, reads)
}

// changed tells peers of the run, unless the service is no model engine: its
// calls are short and even.
func (r *Run) changed() {
	if r.parts[0].Load.Memory > 0 {
		r.fleet.change()
	}
}

// Started tells that the prompt has been read: the first event came.
func (r *Run) Started() {
	r.fleet.mu.Lock()
	defer r.fleet.mu.Unlock()
	r.endWaiting()
	if r.endReading() {
		r.changed()
	}
}

// endWaiting counts a late run off the queue of its first endpoint.
func (r *Run) endWaiting() {
	first := &r.parts[0]
	if s := r.fleet.endpoints[first.Life]; s != nil {
		s.own.Late -= first.Load.Late
	}
	first.Load.Late = 0
}

// endReading takes the readings away and reports whether there were any.
func (r *Run) endReading() bool {
	if r.readings == nil {
		return false
	}
	for i, p := range r.parts {
		if s := r.fleet.endpoints[p.Life]; s != nil {
			s.hasRead(r.readings[i])
		}
	}
	r.readings = nil
	return true
}

// End counts the run off, with what it tells of its first endpoint.
func (r *Run) End(v Verdict) {
	now := time.Now()
	r.fleet.mu.Lock()
	defer r.fleet.mu.Unlock()
	r.endReading()
	r.changed()
	for _, p := range r.parts {
		if s := r.fleet.endpoints[p.Life]; s != nil {
			p.Load.Reading = 0
			s.own = s.own.Minus(p.Load)
		}
	}
	s := r.fleet.endpoints[r.parts[0].Life]
	if s == nil {
		return
	}
	switch v {
	case VerdictGood:
		s.doubt.clear()
	case VerdictBad:
		s.doubt.fail(now)
	case VerdictNone:
	}
}

// Doubt passes an endpoint over for a while.
func (f *Fleet) Doubt(life lavconfig.Incarnation) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if s := f.endpoints[life]; s != nil {
		s.doubt.fail(time.Now())
	}
}

//go:generate stringer -type=Verdict -trimprefix=Verdict -output=verdict_string.go

// Verdict is what a run tells of its endpoint.
type Verdict int

// The verdicts.
const (
	// VerdictNone tells nothing, as when the caller left.
	VerdictNone Verdict = iota
	// VerdictGood means that the endpoint answered.
	VerdictGood
	// VerdictBad means that the endpoint failed or fell silent.
	VerdictBad
)
