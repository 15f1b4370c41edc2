package lavpause

import (
	"context"
	"time"
)

// For waits for d. It returns the context's error if that ends first.
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

// Until waits until that time. It returns the context's error if that ends first.
func Until(ctx context.Context, at time.Time) error { return For(ctx, time.Until(at)) }
