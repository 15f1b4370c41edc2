package lavstep

import "context"

// FaultInjector is a test hook that Failpoint calls when a protocol reaches a
// step. If it returns an error, the step fails. It may also sleep, cancel the
// context or panic.
type FaultInjector func(ctx context.Context, step Step, peer string) error

type injectorKey struct{}

// WithFaultInjector returns a context in which each Failpoint calls inject.
func WithFaultInjector(ctx context.Context, inject FaultInjector) context.Context {
	return context.WithValue(ctx, injectorKey{}, inject)
}

// Failpoint marks that a protocol has reached step with the given peer. It
// returns an Error if the context's FaultInjector makes the step fail, and nil
// otherwise.
func Failpoint(ctx context.Context, step Step, peer string) error {
	inject, ok := ctx.Value(injectorKey{}).(FaultInjector)
	if !ok {
		return nil
	}
	return Wrap(inject(ctx, step, peer), step, peer)
}
