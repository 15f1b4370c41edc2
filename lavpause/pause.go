package lavpause

import (
	"context"
	"time"
)

// For sleeps for the duration d. If the context ends first, it returns the error of the
// context. A duration that is not positive returns that error or nil immediately.
func For(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}

// Until sleeps until the time deadline. If the context ends first, it returns the error
// of the context.
func Until(ctx context.Context, deadline time.Time) error { return For(ctx, time.Until(deadline)) }

// Every calls do once per interval until the context ends, and returns the error of the
// context. The first call comes after one interval. A call that takes longer than the
// interval delays the next ones.
func Every(ctx context.Context, interval time.Duration, do func()) error {
	tick := time.NewTicker(interval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
			do()
		}
	}
}
