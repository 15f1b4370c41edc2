package lavfleet

import (
	"fmt"
	"maps"
	"strings"
	"time"

	"lavenderrack.example/lavenderrack/lavconfig"
	"lavenderrack.example/lavenderrack/lavplan"
)

//go:generate stringer -type=Reason -trimprefix=Reason -output=reason_string.go

// Reason is why this host sends no new requests to an endpoint.
type Reason int

// The reasons. Of several, the first one is named.
const (
	// ReasonNone means that the endpoint may receive requests.
	ReasonNone Reason = iota
	// ReasonDraining means that the endpoint's entry says that it is draining.
	ReasonDraining
	// ReasonEvacuated means that the failure domain is out of service.
	ReasonEvacuated
	// ReasonLeaving means that the endpoint has stated in a response that it will leave.
	ReasonLeaving
	// ReasonRetryAfter means that the endpoint has asked this host to send nothing for a
	// time that isn't over.
	ReasonRetryAfter
	// ReasonTried means that the request has been at the endpoint.
	ReasonTried
	// ReasonUnassigned means that this host has neither a share of the requests that the endpoint
	// accepts while it is cold, nor a permit.
	ReasonUnassigned
	// ReasonRateLimited means that this host has used up or lent its share of these requests, and
	// has no permit.
	ReasonRateLimited
	// ReasonLimited means that the endpoint has stated a limit, and this host has no permit
	// for a request.
	ReasonLimited
	reasonEnd
)

// Exclusions counts the endpoints that may not receive a request, by reason.
type Exclusions [reasonEnd]int

// String returns the reasons that occurred with their counts, such as "Leaving 2, Tried 1".
func (e Exclusions) String() string {
	var parts []string
	for reason, n := range e {
		if n > 0 {
			parts = append(parts, fmt.Sprint(Reason(reason), " ", n))
		}
	}
	return strings.Join(parts, ", ")
}

// Bounds of what is kept of endpoints' statements.
const (
	// maxRetryAfter bounds the time for which an endpoint may ask for no requests.
	maxRetryAfter = 24 * time.Hour
	// statementTTL is how long the statement of an endpoint that the store doesn't list is
	// kept. Its entry may be missing for a time.
	statementTTL = 10 * time.Minute
)

// statement is what an endpoint has stated about itself in its responses. It holds for one
// incarnation, also while the endpoint is not listed.
type statement struct {
	at time.Time
	// leaving is true once the endpoint has stated that it will leave. Nothing but its end
	// revokes that.
	leaving bool
	// aloneSince and aloneUntil limit the last time for which this host must send it nothing.
	aloneSince, aloneUntil time.Time
	limit                  Limit
}

// RecordLeaving records that an endpoint has stated that it will leave. It returns false if
// that was known.
func (f *Fleet) RecordLeaving(life lavconfig.Incarnation) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.statements[life]
	known := s.leaving
	s.leaving = true
	f.putStatement(life, s)
	return !known
}

// RecordRetryAfter records that an endpoint has asked this host to send nothing for a time.
// A later request doesn't shorten the time of an earlier one.
func (f *Fleet) RecordRetryAfter(life lavconfig.Incarnation, d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.statements[life]
	now := time.Now()
	if now.After(s.aloneUntil) {
		s.aloneSince = now
	}
	if until := now.Add(min(d, maxRetryAfter)); until.After(s.aloneUntil) {
		s.aloneUntil = until
	}
	f.putStatement(life, s)
}

// putStatement stores a statement, and drops those of endpoints that are gone. The caller holds the
// lock.
func (f *Fleet) putStatement(life lavconfig.Incarnation, s statement) {
	now := time.Now()
	s.at = now
	f.statements[life] = s
	maps.DeleteFunc(f.statements, func(other lavconfig.Incarnation, s statement) bool {
		return f.endpoints[other] == nil && now.Sub(s.at) > statementTTL && now.After(s.aloneUntil)
	})
	f.limits = 0
	for _, s := range f.statements {
		if s.limit.Stated {
			f.limits++
		}
	}
}

// minAbsent is how many endpoints must have asked for no requests, without an answer of another, until
// all are taken to do so.
const minAbsent = 3

// ExpectedAbsence returns the time for which the endpoints of a service seem to want no requests, also
// those that this host has not asked: no run has been answered that began since several have said so.
// It returns false if there is no sign of that.
func (f *Fleet) ExpectedAbsence(name string) (lavplan.Absence, bool) {
	now := time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	svc := f.services[name]
	if svc == nil {
		return lavplan.Absence{}, false
	}
	absent := 0
	var since, until time.Time
	for _, s := range svc.endpoints {
		stated := f.statements[s.Incarnation()]
		if !now.Before(stated.aloneUntil) || !stated.aloneSince.After(svc.answeredFrom) {
			continue
		}
		if absent == 0 || stated.aloneSince.Before(since) {
			since = stated.aloneSince
		}
		if absent == 0 || stated.aloneUntil.Before(until) {
			until = stated.aloneUntil
		}
		absent++
	}
	if absent < minAbsent {
		return lavplan.Absence{}, false
	}
	return lavplan.Absence{Left: until.Sub(now), Length: until.Sub(since)}, true
}

// exclusion returns why an endpoint may receive no new request of any kind, or ReasonNone. The
// caller holds the lock.
func (f *Fleet) exclusion(s *endpointState, now time.Time) Reason {
	stated := f.statements[s.Incarnation()]
	switch {
	case s.Leaving:
		return ReasonDraining
	case f.outOfService[s.FailureDomain]:
		return ReasonEvacuated
	case stated.leaving:
		return ReasonLeaving
	case now.Before(stated.aloneUntil):
		return ReasonRetryAfter
	default:
		return ReasonNone
	}
}
