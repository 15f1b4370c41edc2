package lavfleet

import (
	"time"

	"lavenderrack.example/lavenderrack/lavconfig"
	"lavenderrack.example/lavenderrack/lavplan"
)

// SharedSnapshot returns the endpoints of a service that hosts may send requests to, also those
// that only this host may not use now.
func (f *Fleet) SharedSnapshot(name string) (Snapshot, bool) {
	now := time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.expirePeerLoads(now)
	svc := f.services[name]
	if svc == nil {
		return Snapshot{}, false
	}
	b := Snapshot{Service: svc.Service, Hosts: f.hosts, Age: now.Sub(f.peerReportAt)}
	for _, s := range svc.endpoints {
		if reason := f.exclusion(s, now); reason.shared() {
			b.Excluded[reason]++
			continue
		}
		b.add(s, now)
	}
	return b, true
}

// shared reports whether a reason holds for all hosts. None doesn't.
func (r Reason) shared() bool {
	return r == ReasonDraining || r == ReasonEvacuated || r == ReasonLeaving
}

// Endpoint returns the endpoint with an incarnation, or false if this host doesn't know it.
func (f *Fleet) Endpoint(life lavconfig.Incarnation) (lavconfig.Endpoint, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.endpoints[life]
	if s == nil {
		return lavconfig.Endpoint{}, false
	}
	return s.Endpoint, true
}

// CountEndpoints returns how many endpoints a service has.
func (f *Fleet) CountEndpoints(service string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	if svc := f.services[service]; svc != nil {
		return len(svc.endpoints)
	}
	return 0
}

// Candidate returns an endpoint's candidate, or an empty one if it is not in the snapshot.
func (b *Snapshot) Candidate(life lavconfig.Incarnation) lavplan.Candidate {
	for i := range b.Endpoints {
		if b.Endpoints[i].Incarnation() == life {
			return b.Candidates[i]
		}
	}
	return lavplan.Candidate{}
}
