package lavfleet

import (
	"time"

	"lavenderrack.example/lavenderrack/lavconfig"
	"lavenderrack.example/lavenderrack/lavpermit"
	"lavenderrack.example/lavenderrack/lavplan"
)

// Snapshot is the endpoints of a service that may receive a request, at one time.
type Snapshot struct {
	Service    lavconfig.Service
	Endpoints  []lavconfig.Endpoint
	Candidates []lavplan.Candidate
	// Excluded counts the endpoints that were left out.
	Excluded Exclusions
	// NextAvailable is when the first of the endpoints that want no requests for a time, or
	// only a limited number, is expected to receive one again. It is zero if there is none.
	NextAvailable time.Time
	// Hosts is the number of hosts that may send requests to the service.
	Hosts int
	// Age is the time since the last report of the peers' load.
	Age time.Duration
}

// Snapshot returns the endpoints of a service that may receive a request now, without
// those for which skip returns true. It returns false for an unknown service.
func (f *Fleet) Snapshot(name string, skip func(lavconfig.Incarnation) bool) (Snapshot, bool) {
	return f.SnapshotFor(name, nil, skip)
}

// SnapshotFor is Snapshot for a request that may have to wait for a permit. The requests that come
// before it use permits first.
func (f *Fleet) SnapshotFor(name string, w *lavpermit.Waiting, skip func(lavconfig.Incarnation) bool) (Snapshot, bool) {
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
	permits := f.permitSupplyFor(svc, w, now)
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
		case f.limitOf(s).Stated && (!permits.usable() || s.stock.Count(now) == 0):
			reason = ReasonLimited
		}
		if reason != ReasonNone {
			b.exclude(reason, f.statements[s.Incarnation()].aloneUntil, now.Add(permits.wait()))
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
	if b.Excluded[ReasonLimited] > 0 {
		f.requestPermits()
	}
	return b, true
}

// exclude counts an endpoint that was left out. It wants no requests until aloneUntil, or the
// request has no permit until permitAt, if that is the reason.
func (b *Snapshot) exclude(reason Reason, aloneUntil, permitAt time.Time) {
	b.Excluded[reason]++
	var available time.Time
	switch reason {
	case ReasonRetryAfter:
		available = aloneUntil
	case ReasonLimited:
		available = permitAt
	default:
		return
	}
	if b.NextAvailable.IsZero() || available.Before(b.NextAvailable) {
		b.NextAvailable = available
	}
}

// UntilAvailable returns the time until the first endpoint that was left out for a limited time may
// receive a request again, zero if there is none.
func (b *Snapshot) UntilAvailable() time.Duration {
	if b.NextAvailable.IsZero() {
		return 0
	}
	return time.Until(b.NextAvailable)
}

// AvailableBy reports whether an endpoint that was left out for a limited time may be available
// before a time: one that wants no requests until then, one for which a permit is expected, or one
// of which this host has used up its share, which is for a short time.
func (b *Snapshot) AvailableBy(at time.Time) bool {
	return b.Excluded[ReasonRateLimited] > 0 || !b.NextAvailable.IsZero() && b.NextAvailable.Before(at)
}
