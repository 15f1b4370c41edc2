package lavfleet

import (
	"time"

	"lavenderrack.example/lavenderrack/lavconfig"
	"lavenderrack.example/lavenderrack/lavplan"
)

// Snapshot is the endpoints of a service that may receive a request, at one time.
type Snapshot struct {
	Service    lavconfig.Service
	Endpoints  []lavconfig.Endpoint
	Candidates []lavplan.Candidate
	// Excluded counts the endpoints that were left out.
	Excluded Exclusions
	// NextAvailable is when the first of the endpoints that want no requests for a time may
	// receive one again. It is zero if there is none.
	NextAvailable time.Time
	// Hosts is the number of hosts that may send requests to the service.
	Hosts int
	// Age is the time since the last report of the peers' load.
	Age time.Duration
}

// Snapshot returns the endpoints of a service that may receive a request now, without
// those for which skip returns true. It returns false for an unknown service.
func (f *Fleet) Snapshot(name string, skip func(lavconfig.Incarnation) bool) (Snapshot, bool) {
	now := time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.expirePeerLoads(now)
	svc := f.services[name]
	if svc == nil {
		return Snapshot{}, false
	}
	b := Snapshot{Service: svc.Service, Hosts: f.hosts, Age: now.Sub(f.peerReportAt)}
	limit := f.hostLimit(svc)
	for _, s := range svc.endpoints {
		reason := f.exclusion(s, now)
		switch {
		case reason != ReasonNone:
		case skip(s.Incarnation()):
			reason = ReasonTried
		case !s.assigned:
			reason = ReasonUnassigned
		case s.sent.count(now) >= limit:
			reason = ReasonRateLimited
		}
		if reason != ReasonNone {
			b.exclude(reason, f.statements[s.Incarnation()].aloneUntil)
			continue
		}
		b.Endpoints = append(b.Endpoints, s.Endpoint)
		load := s.local.Plus(s.peerLoad)
		load.Prefill = s.backlog(now)
		b.Candidates = append(b.Candidates, lavplan.Candidate{
			Load:      load,
			Slots:     s.Slots,
			Slowdown:  s.slowdown.current(now),
			InBackoff: s.backoff.active(now),
		})
	}
	return b, true
}

// exclude counts an endpoint that was left out. It wants no requests until aloneUntil, if that
// is the reason.
func (b *Snapshot) exclude(reason Reason, aloneUntil time.Time) {
	b.Excluded[reason]++
	if reason == ReasonRetryAfter && (b.NextAvailable.IsZero() || aloneUntil.Before(b.NextAvailable)) {
		b.NextAvailable = aloneUntil
	}
}

// UntilAvailable returns the time until the first endpoint that wants no requests may receive
// one again, zero if there is none.
func (b *Snapshot) UntilAvailable() time.Duration {
	if b.NextAvailable.IsZero() {
		return 0
	}
	return time.Until(b.NextAvailable)
}

// AvailableBy reports whether an endpoint that was left out for a limited time may be available
// before a time: one that wants no requests until then, or one of which this host has used up
// its share, which is for a short time.
func (b *Snapshot) AvailableBy(at time.Time) bool {
	return b.Excluded[ReasonRateLimited] > 0 || !b.NextAvailable.IsZero() && b.NextAvailable.Before(at)
}
