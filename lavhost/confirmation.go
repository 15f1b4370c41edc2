package lavhost

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

const (
	// suspendTolerance is how far the boot clock may get ahead of the monotonic
	// clock before the machine counts as having been suspended.
	suspendTolerance = 250 * time.Millisecond
	// stallTimeout is the longest time between two calls of check, which every
	// heartbeat makes. After a longer gap the process counts as having been
	// stopped.
	stallTimeout = 2 * time.Second
	// confirmTimeout is how long a request waits for the replica to be
	// confirmed.
	confirmTimeout = 800 * time.Millisecond
)

var errUnconfirmed = errors.New("state not confirmed by the store or a peer since start or resume")

// SuspendClock returns how long the machine has been suspended since it was
// booted.
type SuspendClock func() time.Duration

// SuspendedTime is the SuspendClock of a real machine: the time that the boot
// clock counts and the monotonic clock doesn't.
func SuspendedTime() time.Duration {
	var boot, monotonic unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot) != nil || unix.ClockGettime(unix.CLOCK_MONOTONIC, &monotonic) != nil {
		return 0
	}
	return time.Duration(boot.Nano() - monotonic.Nano())
}

// confirmation records whether the host may act on its replica of the store. The
// replica is confirmed once the store, or a peer whose replica is confirmed, has
// answered a query since the process started or last resumed. It is safe for
// concurrent use.
type confirmation struct {
	clock SuspendClock

	mu sync.Mutex
	// epoch is incremented each time a suspension or a stop of the process
	// makes the replica unconfirmed, since the host may have missed changes.
	epoch     uint64
	confirmed bool
	suspended time.Duration
	// lastCheck is when check was last called.
	lastCheck time.Time
	// becameConfirmed is closed and replaced each time the replica is
	// confirmed.
	becameConfirmed chan struct{}
}

func newConfirmation(clock SuspendClock) *confirmation {
	return &confirmation{clock: clock, suspended: clock(), becameConfirmed: make(chan struct{})}
}

// check detects whether the machine was suspended or the process stopped since
// the last call, and returns the current epoch and whether the replica is
// confirmed.
func (c *confirmation) check() (uint64, bool) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	suspended := c.clock()
	wasSuspended := suspended-c.suspended > suspendTolerance
	wasStopped := !c.lastCheck.IsZero() && now.Sub(c.lastCheck) > stallTimeout
	if wasSuspended || wasStopped {
		c.epoch++
		c.confirmed = false
	}
	c.suspended = max(c.suspended, suspended)
	c.lastCheck = now
	return c.epoch, c.confirmed
}

// confirm marks the replica as confirmed by the response to a query that was sent
// in the given epoch. A response to a query from an earlier epoch is ignored:
// the replica may have become stale since. The result is true if the replica
// was unconfirmed before the call.
func (c *confirmation) confirm(epoch uint64) bool {
	current, confirmed := c.check()
	c.mu.Lock()
	defer c.mu.Unlock()
	if confirmed || current != epoch || c.epoch != epoch {
		return false
	}
	c.confirmed = true
	close(c.becameConfirmed)
	c.becameConfirmed = make(chan struct{})
	return true
}

// nextConfirmation returns a channel that is closed when the replica is next
// confirmed.
func (c *confirmation) nextConfirmation() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.becameConfirmed
}

// Await returns nil once the replica is confirmed. It returns an error after
// confirmTimeout or when the context ends.
func (c *confirmation) Await(ctx context.Context) error {
	becameConfirmed := c.nextConfirmation()
	if _, confirmed := c.check(); confirmed {
		return nil
	}
	timer := time.NewTimer(confirmTimeout)
	defer timer.Stop()
	select {
	case <-becameConfirmed:
		return nil
	case <-timer.C:
		return errUnconfirmed
	case <-ctx.Done():
		return ctx.Err()
	}
}
