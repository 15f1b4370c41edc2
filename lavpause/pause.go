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
