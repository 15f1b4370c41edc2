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

// TestFor guards against a pause that ends early, late, or not with its context.
func TestFor(t *testing.T) {
	cases := []struct {
		name  string
		pause time.Duration
		ends  time.Duration
		want  time.Duration
		err   error
	}{
		{name: "whole", pause: 2 * time.Second, ends: 3 * time.Second, want: 2 * time.Second},
		{name: "cut short", pause: 2 * time.Second, ends: time.Second, want: time.Second, err: context.DeadlineExceeded},
		{name: "of no length", ends: time.Second},
		{name: "that is over", pause: -time.Second, ends: time.Second},
		{name: "of no length after the end", err: context.DeadlineExceeded},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				began := time.Now()
				ctx, cancel := context.WithTimeout(t.Context(), c.ends)
				defer cancel()
				lavassert.ErrorIs(t, lavpause.For(ctx, c.pause), c.err)
				lavassert.Equal(t, "waited", time.Since(began), c.want)
				lavassert.ErrorIs(t, lavpause.Until(ctx, began.Add(c.pause)), c.err)
			})
		})
	}
}

// TestManyOfNoLength guards against the crash of the race detector that many
// expired timers at one time bring about.
func TestManyOfNoLength(t *testing.T) {
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
