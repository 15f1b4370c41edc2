package lavhost

import (
	"sync"
	"time"
)

const (
	// entryLapseTime is how long the store must be unavailable before entries
	// of live endpoints may expire.
	entryLapseTime = 2 * time.Second
	// maxResponseGap is the longest time between two responses of the store while a
	// host watches it without interruption.
	maxResponseGap = batchDelay + watchTimeout + callTimeout
	// contactTTL is how long after a response of the store a host counts as in contact
	// with it. A host that watches the store gets a response more often.
	contactTTL = watchTimeout + callTimeout
)

// storeContact records the contact of this host with the store. All times include those for which the
// machine was suspended. The zero value has had none.
type storeContact struct {
	mu sync.Mutex
	// lastResponse is when the store last answered. unavailableSince is when
	// calls began to fail, zero while they succeed. recoveredAt is when the
	// store last answered again after it had been unavailable for longer than
	// entryLapseTime.
	lastResponse     time.Time
	unavailableSince time.Time
	recoveredAt      time.Time
	// since is when the current series of responses began that were never
	// more than maxResponseGap apart.
	since time.Time
}

// recordFailure records a call that failed at a time. It reports whether the one before succeeded.
func (c *storeContact) recordFailure(now time.Time) (lost bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.unavailableSince.IsZero() {
		return false
	}
	c.unavailableSince = now
	return true
}

// recordResponse records a response at a time. It returns for how long calls have failed before.
//
// Up to settledAt some host has been in continuous contact. If that is so short a time ago that no entry
// can have expired since, this host continues that contact, unless its own calls have failed.
func (c *storeContact) recordResponse(now, settledAt time.Time) (away time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	failed := !c.unavailableSince.IsZero()
	if failed {
		away = now.Sub(c.unavailableSince)
	}
	if away > entryLapseTime {
		c.recoveredAt = now
	}
	if failed || now.Sub(c.lastResponse) > maxResponseGap {
		c.since = now
	}
	if !failed && now.Sub(settledAt) < entryLapseTime {
		c.since = earlier(c.since, settledAt.Add(-recoveryGrace))
	}
	c.unavailableSince = time.Time{}
	c.lastResponse = now
	return away
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// unavailable reports whether the last call failed.
func (c *storeContact) unavailable() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.unavailableSince.IsZero()
}

// stable reports whether the store has been available for long enough that
// entries of live endpoints have not expired: it has not been unavailable for
// longer than entryLapseTime, and did not recover from that within
// recoveryGrace.
func (c *storeContact) stable(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.unavailableSince.IsZero() && now.Sub(c.unavailableSince) > entryLapseTime {
		return false
	}
	return c.recoveredAt.IsZero() || now.Sub(c.recoveredAt) > recoveryGrace
}

// inContact reports whether the store answered recently.
func (c *storeContact) inContact(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.unavailableSince.IsZero() && !c.lastResponse.IsZero() && now.Sub(c.lastResponse) < contactTTL
}

// age returns how long ago the store last answered.
func (c *storeContact) age(now time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return now.Sub(c.lastResponse)
}

// continuous reports whether this host has been in contact without a gap for
// longer than recoveryGrace. Then no entry can have expired only because the
// store was unavailable.
func (c *storeContact) continuous(now time.Time) bool {
	if !c.inContact(now) || !c.stable(now) {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return now.Sub(c.since) > recoveryGrace
}

// settledAt returns the time of the last response in a continuous contact that
// goes on, or the zero time.
func (c *storeContact) settledAt(now time.Time) time.Time {
	if !c.continuous(now) {
		return time.Time{}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lastResponse
}
