package lavstream_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"lavenderrack.example/lavenderrack/lavassert"
	"lavenderrack.example/lavenderrack/lavstream"
)

// takes returns a call that takes the given time, unless its context ends first.
// It stores in elapsed how long it took.
func takes(d time.Duration, elapsed *time.Duration) func(ctx context.Context) {
	return func(ctx context.Context) {
		began := time.Now()
		select {
		case <-time.After(d):
		case <-ctx.Done():
		}
		*elapsed = time.Since(began)
	}
}

func TestCleanup(t *testing.T) {
	const forever = time.Hour
	cases := []struct {
		name string
		// timeout is the caller's; zero if it has none. With gone, the caller has
		// disconnected.
		timeout      time.Duration
		gone         bool
		call         time.Duration
		wantDo       time.Duration
		wantDuration time.Duration
	}{
		{"a call that ends in time", time.Minute, false, time.Second, time.Second, time.Second},
		{"a call that takes too long", time.Minute, false, forever, 2 * time.Second, 2 * time.Second},
		{"a call that goes on past the deadline", 500 * time.Millisecond, false, time.Second, 500 * time.Millisecond, time.Second},
		{"a call that begins after the deadline", -time.Second, false, time.Second, 0, time.Second},
		{"a caller that has disconnected", time.Minute, true, time.Second, time.Second, time.Second},
		{"a caller without a deadline", 0, false, forever, 2 * time.Second, 2 * time.Second},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				if c.timeout != 0 {
					ctx, cancel = context.WithTimeout(ctx, c.timeout)
					defer cancel()
				}
				if c.gone {
					cancel()
				}
				cleanup := lavstream.NewCleanup()
				began := time.Now()
				// Several calls take no longer than one.
				durations := make([]time.Duration, 3)
				cleanup.Do(ctx, takes(c.call, &durations[0]), takes(c.call, &durations[1]), takes(c.call, &durations[2]))
				lavassert.Equal(t, "duration of Do", time.Since(began), c.wantDo)
				cleanup.Wait(t.Context())
				lavassert.Equal(t, "time until all calls have ended", time.Since(began), c.wantDuration)
				for _, d := range durations {
					lavassert.Equal(t, "duration of a call", d, c.wantDuration)
				}
			})
		})
	}
}
