package lavfleet

import (
	"time"

	"lavenderrack.example/lavenderrack/lavconfig"
	"lavenderrack.example/lavenderrack/lavplan"
)

const (
	// slowdownTTL is how long a reported slowdown is used.
	slowdownTTL = 3 * time.Second
	// queryInterval is the minimum time between two queries for an endpoint's
	// slowdown, whichever hosts send them.
	queryInterval = 2500 * time.Millisecond
	// minSlowGaps is the number of consecutive gaps between events that must exceed
	// slowFactor times the expected gap before an endpoint is queried. Single long
	// gaps are normal: prefill causes them.
	minSlowGaps = 4
	slowFactor  = 2.5
)

// slowdown is an endpoint's processing time relative to its normal one, as reported by
// the endpoint to this host or to a peer.
type slowdown struct {
	factor     float64
	reportedAt time.Time
	// queriedAt is when any host last queried the endpoint.
	queriedAt time.Time
	// directAt is when the endpoint last reported to this host.
	directAt time.Time
	// slowGaps is the number of consecutive long gaps.
	slowGaps int
}

// publishTime is how long a host includes a slowdown that it has queried in its reports
// to peers.
const publishTime = 500 * time.Millisecond

// publishable reports whether the slowdown belongs in the reports to peers: the endpoint
// has reported it to this host within publishTime.
func (p *slowdown) publishable(now time.Time) bool {
	return !p.directAt.IsZero() && now.Sub(p.directAt) < publishTime
}

// update stores a reported factor if it is newer than the stored one.
func (p *slowdown) update(factor float64, reportedAt time.Time) {
	if factor > 0 && reportedAt.After(p.reportedAt) {
		p.factor, p.reportedAt = factor, reportedAt
	}
	if reportedAt.After(p.queriedAt) {
		p.queriedAt = reportedAt
	}
}

// current returns the slowdown factor, 1 if there is no recent report.
func (p *slowdown) current(now time.Time) float64 {
	if now.Sub(p.reportedAt) > slowdownTTL {
		return 1
	}
	return max(p.factor, 1)
}

// ClaimSlowdownQuery reports whether an endpoint's slowdown should be queried now. If so, it
// counts the endpoint as queried.
func (f *Fleet) ClaimSlowdownQuery(life lavconfig.Incarnation) bool {
	now := time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.endpoints[life]
	if s == nil || now.Sub(s.slowdown.queriedAt) < queryInterval {
		return false
	}
	s.slowdown.queriedAt = now
	return true
}

// RecordSlowdown stores the slowdown that an endpoint reported to this host.
func (f *Fleet) RecordSlowdown(life lavconfig.Incarnation, factor float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if s := f.endpoints[life]; s != nil {
		now := time.Now()
		s.slowdown.update(factor, now)
		s.slowdown.directAt = now
	}
}

// RecordGap counts the gap between two events of the run's stream and reports whether the
// primary endpoint seems to be slow.
func (r *Run) RecordGap(gap time.Duration) bool {
	r.fleet.mu.Lock()
	defer r.fleet.mu.Unlock()
	s := r.fleet.endpoints[r.allocations[0].Life]
	if s == nil {
		return false
	}
	r.observe(time.Now())
	svc := r.fleet.services[s.Service]
	if svc == nil || svc.Engine == nil {
		return false
	}
	expected := lavplan.IterationTime(svc.Engine, s.local.Plus(s.peerLoad))
	if float64(gap) < slowFactor*float64(expected) {
		s.slowdown.slowGaps = 0
		return false
	}
	s.slowdown.slowGaps++
	return s.slowdown.slowGaps >= minSlowGaps
}
