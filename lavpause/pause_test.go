package lavpause_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"lavenderrack.example/lavenderrack/lavassert"
	"lavenderrack.example/lavenderrack/lavpause"
)

// TestFor checks that a pause lasts exactly for its duration, and ends early if its
// context ends.
func TestFor(t *testing.T) {
	cases := []struct {
		name    string
		pause   time.Duration
		timeout time.Duration
		want    time.Duration
		err     error
	}{
		{name: "full duration", pause: 2 * time.Second, timeout: 3 * time.Second, want: 2 * time.Second},
		{name: "context ends first", pause: 2 * time.Second, timeout: time.Second, want: time.Second, err: context.DeadlineExceeded},
		{name: "zero duration", timeout: time.Second},
		{name: "negative duration", pause: -time.Second, timeout: time.Second},
		{name: "zero duration after the context has ended", err: context.DeadlineExceeded},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				start := time.Now()
				ctx, cancel := context.WithTimeout(t.Context(), c.timeout)
				defer cancel()
				lavassert.ErrorIs(t, lavpause.For(ctx, c.pause), c.err)
				lavassert.Equal(t, "duration of the pause", time.Since(start), c.want)
				lavassert.ErrorIs(t, lavpause.Until(ctx, start.Add(c.pause)), c.err)
			})
		})
	}
}

// TestConcurrentZeroDurations guards against a crash of the race detector that occurs if
// many goroutines of a synctest bubble run expired timers at the same time. Pauses of
// zero duration must therefore not create timers.
func TestConcurrentZeroDurations(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var pauses sync.WaitGroup
		for range 16 {
			pauses.Go(func() {
				for range 20_000 {
					_ = lavpause.For(t.Context(), 0)
				}
			})
		}
		pauses.Wait()
	})
}

// TestEvery checks that the calls come once per interval and end with the context.
func TestEvery(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), 3500*time.Millisecond)
		defer cancel()
		calls := 0
		lavassert.ErrorIs(t, lavpause.Every(ctx, time.Second, func() { calls++ }), context.DeadlineExceeded)
		lavassert.Equal(t, "calls", calls, 3)
	})
}
