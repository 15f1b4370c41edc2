package lavfleet

import (
	"slices"
	"time"
)

// prefill is a part of a prompt that an endpoint is to prefill. Endpoints prefill one part
// at a time, so the remaining work can be estimated from the time that has passed.
type prefill struct {
	// start is when the endpoint is expected to begin with the part.
	start    time.Time
	duration time.Duration
}

const (
	// prefillFraction is the fraction of its time that an endpoint spends on prefill.
	// The rest is decode.
	prefillFraction = 0.85
	// minRemainingFraction is the fraction of a part's time that remains counted until
	// the request's first event, even if the part should have ended by then.
	minRemainingFraction = 0.25
)

// remaining estimates how long the endpoint still has to work on the part.
func (r *prefill) remaining(now time.Time) time.Duration {
	processed := time.Duration(prefillFraction * float64(max(now.Sub(r.start), 0)))
	return max(r.duration-processed, time.Duration(minRemainingFraction*float64(r.duration)))
}

// backlog returns the outstanding prefill time of an endpoint, for all hosts.
func (s *endpointState) backlog(now time.Time) time.Duration {
	return s.localPrefill(now) + max(s.peerLoad.Prefill-now.Sub(s.peerLoadAt), 0)
}

// localPrefill returns the outstanding prefill time of this host's runs.
func (s *endpointState) localPrefill(now time.Time) time.Duration {
	var sum time.Duration
	for _, r := range s.prefills {
		sum += r.remaining(now)
	}
	return sum
}

// addPrefill appends a part to the endpoint's prefill backlog.
func (s *endpointState) addPrefill(now time.Time, duration time.Duration) *prefill {
	r := &prefill{start: now.Add(s.backlog(now)), duration: duration}
	s.prefills = append(s.prefills, r)
	return r
}

// removePrefill removes a part, whether or not its prefill has ended.
func (s *endpointState) removePrefill(r *prefill) {
	s.prefills = slices.DeleteFunc(s.prefills, func(other *prefill) bool { return other == r })
}
