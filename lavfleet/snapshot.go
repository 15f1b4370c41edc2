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
	// Barred are those of them that other hosts may use.
	Barred []lavconfig.Incarnation
	// LimitedBy describes the limit of one of the endpoints that were left out for want of a
	// permit. Its life is empty if there is none. What an endpoint accepts while it is cold is
	// described only if the request found no endpoint.
	LimitedBy BlockingLimit
	// NextAvailable is when the first of the endpoints that want no requests for a time, or
	// only a limited number, is expected to receive one again. It is zero if there is none.
	NextAvailable time.Time
	// nextIsLimited is true if that endpoint wants a limited number.
	nextIsLimited bool
	// absentSince is since when callers add up if all endpoints want no requests: since the first
	// has said so, but not before the latest run began that was answered.
	absentSince time.Time
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
	permits := f.permitSupplyFor(svc, w, now)
	for _, s := range svc.endpoints {
		reason := f.reason(svc, s, permits, skip, now)
		if reason == ReasonLimited {
			b.LimitedBy = f.blockingLimit(s)
		}
		if reason != ReasonNone {
			b.exclude(reason, f.statements[s.Incarnation()], now.Add(permits.wait()))
			if !reason.shared() {
				b.Barred = append(b.Barred, s.Incarnation())
			}
			continue
		}
		b.add(s, now)
	}
	if svc.answeredFrom.After(b.absentSince) {
		b.absentSince = svc.answeredFrom
	}
	if len(b.Endpoints) == 0 && b.lacksShare() {
		f.recordPress(svc, &b, now)
	}
	if b.Excluded[ReasonLimited] > 0 {
		f.requestPermits()
	}
	return b, true
}

// add adds an endpoint with its load on all hosts.
func (b *Snapshot) add(s *endpointState, now time.Time) {
	b.Endpoints = append(b.Endpoints, s.Endpoint)
	b.Candidates = append(b.Candidates, s.candidate(now))
}

// candidate returns the endpoint with its load on all hosts.
func (s *endpointState) candidate(now time.Time) lavplan.Candidate {
	load := s.local.Plus(s.peerLoad)
	load.Prefill = s.backlog(now)
	return lavplan.Candidate{
		Load:      load,
		Slots:     s.Slots,
		Slowdown:  s.slowdown.current(now),
		InBackoff: s.backoff.active(now),
	}
}

// reason returns why an endpoint may not receive a request now, or ReasonNone. The caller holds the
// lock.
func (f *Fleet) reason(svc *service, s *endpointState, permits permitSupply, skip func(lavconfig.Incarnation) bool, now time.Time) Reason {
	if reason := f.exclusion(s, now); reason != ReasonNone {
		return reason
	}
	if skip(s.Incarnation()) {
		return ReasonTried
	}
	if reason := f.coldReason(svc, s, now); reason != ReasonNone {
		return reason
	}
	if f.limitOf(s).Stated && (!permits.usable() || s.stock.Count(now) == 0) {
		return ReasonLimited
	}
	return ReasonNone
}

// exclude counts an endpoint that was left out. If the reason is that it lacks a permit, one is
// expected at permitAt.
func (b *Snapshot) exclude(reason Reason, stated statement, permitAt time.Time) {
	b.Excluded[reason]++
	switch reason {
	case ReasonRetryAfter:
		if b.absentSince.IsZero() || stated.aloneSince.Before(b.absentSince) {
			b.absentSince = stated.aloneSince
		}
		b.expect(stated.aloneUntil, false)
	case ReasonLimited:
		b.expect(permitAt, true)
	}
}

// expect records when an endpoint that was left out is expected to receive a request again.
func (b *Snapshot) expect(at time.Time, limited bool) {
	if b.NextAvailable.IsZero() || at.Before(b.NextAvailable) {
		b.NextAvailable, b.nextIsLimited = at, limited
	}
}

// Absence returns the time for which no endpoint that was left out may receive a request. Its length
// is zero if callers don't add up meanwhile, as some are served all the time.
func (b *Snapshot) Absence() lavplan.Absence {
	if b.NextAvailable.IsZero() {
		return lavplan.Absence{}
	}
	a := lavplan.Absence{Left: time.Until(b.NextAvailable)}
	if !b.nextIsLimited {
		a.Length = b.NextAvailable.Sub(b.absentSince)
	}
	return a
}

// lacksShare reports whether an endpoint was left out since this host has no share left of what the
// endpoint accepts while it is cold.
func (b *Snapshot) lacksShare() bool {
	return b.Excluded[ReasonUnassigned]+b.Excluded[ReasonRateLimited] > 0
}

// AvailableBy reports whether an endpoint that was left out for a limited time may be available
// before a time: one that wants no requests until then, one for which a permit is expected, or one
// of which this host has no share left, for which a permit may be had soon.
func (b *Snapshot) AvailableBy(at time.Time) bool {
	return b.lacksShare() || !b.NextAvailable.IsZero() && b.NextAvailable.Before(at)
}
