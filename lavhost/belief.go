package lavhost

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

const (
	// freezeBound is how far the boot clock may run ahead of the steady clock
	// before the host counts as having been frozen.
	freezeBound = 250 * time.Millisecond
	// stallBound is how long nothing in the process may look at its belief, which
	// each beat does, before the process counts as having been stopped.
	stallBound = 2 * time.Second
	// awaitTime is how long a request waits for the host to know what holds.
	awaitTime = 800 * time.Millisecond
)

var errUnsure = errors.New("host has not heard what holds since it started or woke")

// Clock returns how long the host has been suspended since it was booted.
type Clock func() time.Duration

// SuspendedTime is the Clock of a real host: the time that the boot clock
// counts and the steady clock doesn't.
func SuspendedTime() time.Duration {
	var boot, steady unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot) != nil || unix.ClockGettime(unix.CLOCK_MONOTONIC, &steady) != nil {
		return 0
	}
	return time.Duration(boot.Nano() - steady.Nano())
}

// belief says whether the host may act on what it knows. It is safe for
// concurrent use.
type belief struct {
	clock Clock

	mu sync.Mutex
	// era counts the times at which the host had to doubt what it knows.
	era       uint64
	good      bool
	suspended time.Duration
	// looked is when the belief was last looked at.
	looked  time.Time
	changed chan struct{}
}

func newBelief(clock Clock) *belief {
	return &belief{clock: clock, suspended: clock(), changed: make(chan struct{})}
}

// check notices that the host was frozen or the process stopped, and returns
// the era and whether the belief is good.
func (b *belief) check() (uint64, bool) {
	now := time.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	suspended := b.clock()
	frozen := suspended-b.suspended > freezeBound
	stopped := !b.looked.IsZero() && now.Sub(b.looked) > stallBound
	if frozen || stopped {
		b.era++
		b.good = false
	}
	b.suspended = max(b.suspended, suspended)
	b.looked = now
	return b.era, b.good
}

// confirm makes the belief good if what was asked for in an era has come in the
// same one. It reports whether that is news.
func (b *belief) confirm(era uint64) bool {
	now, good := b.check()
	b.mu.Lock()
	defer b.mu.Unlock()
	if good || now != era || b.era != era {
		return false
	}
	b.good = true
	close(b.changed)
	b.changed = make(chan struct{})
	return true
}

func (b *belief) wait() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.changed
}

// Await returns once the belief is good, or an error after a short time.
func (b *belief) Await(ctx context.Context) error {
	changed := b.wait()
	if _, good := b.check(); good {
		return nil
	}
	timer := time.NewTimer(awaitTime)
	defer timer.Stop()
	select {
	case <-changed:
		return nil
	case <-timer.C:
		return errUnsure
	case <-ctx.Done():
		return ctx.Err()
	}
}
