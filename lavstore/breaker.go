package lavstore

import "time"

//go:generate stringer -type=BreakerPhase -trimprefix=Breaker -output=breakerphase_string.go

// BreakerPhase is the state of a circuit breaker, which decides the calls that
// it admits.
type BreakerPhase int

// The phases of a breaker.
const (
	// BreakerClosed admits every call.
	BreakerClosed BreakerPhase = iota
	// BreakerOpen rejects every call.
	BreakerOpen
	// BreakerProbing (half-open) admits a single probe. The result of the probe
	// closes or reopens the breaker.
	BreakerProbing
)

// Failure threshold and backoff limits of a breaker.
const (
	openAfterFailures = 3
	initialBackoff    = 250 * time.Millisecond
	minBackoffCap     = 2 * time.Second
	// maxReconnectsPerSecond is the rate at which the hosts of a fleet may
	// resume calls after an outage. The maximum backoff grows with the number of
	// hosts to keep to this rate.
	maxReconnectsPerSecond = 100
)

// Breaker is a circuit breaker that stops calls to a failing store. It is a pure
// state machine: the caller passes in the current time and the jitter.
type Breaker struct {
	phase    BreakerPhase
	failures int
	backoff  time.Duration
	retryAt  time.Time
}

// Phase returns the current phase.
func (b *Breaker) Phase() BreakerPhase { return b.phase }

// Allow reports whether a call may be made at the time now. A call that is
// allowed must be followed by Record.
func (b *Breaker) Allow(now time.Time) bool {
	switch b.phase {
	case BreakerClosed:
		return true
	case BreakerOpen:
		if now.Before(b.retryAt) {
			return false
		}
		b.phase = BreakerProbing
		return true
	default:
		return false
	}
}

// Record takes the result of a call that ended at the time now. The jitter is a
// random number between 0 and 1, and hosts is the number of hosts in the fleet.
func (b *Breaker) Record(now time.Time, ok bool, jitter float64, hosts int) {
	if ok {
		*b = Breaker{}
		return
	}
	b.failures++
	if b.phase == BreakerClosed && b.failures < openAfterFailures {
		return
	}
	if b.phase == BreakerOpen {
		// The call was made before the breaker opened.
		return
	}
	backoffCap := max(minBackoffCap, time.Duration(hosts)*time.Second/maxReconnectsPerSecond)
	b.backoff = min(max(2*b.backoff, initialBackoff), backoffCap)
	b.phase = BreakerOpen
	// The delay is 0.5 to 1.5 times the backoff. The jitter prevents hosts that
	// saw the outage begin at the same moment from retrying at the same moment.
	b.retryAt = now.Add(b.backoff/2 + time.Duration(jitter*float64(b.backoff)))
}
