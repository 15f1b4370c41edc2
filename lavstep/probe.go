package lavstep

import "context"

// FaultInjector is called by failure tests as a protocol reaches a step. An error
// makes the step fail; a probe may also sleep, cancel or panic.
type FaultInjector func(ctx context.Context, step Step, peer string) error

type probeKey struct{}

// WithFaultInjector returns a context whose steps are reported to probe.
func WithFaultInjector(ctx context.Context, probe FaultInjector) context.Context {
	return context.WithValue(ctx, probeKey{}, probe)
}

// Failpoint reports that a protocol has reached step with that peer. It returns
// an Error if a probe makes the step fail, and nil otherwise.
func Failpoint(ctx context.Context, step Step, peer string) error {
	probe, ok := ctx.Value(probeKey{}).(FaultInjector)
	if !ok {
		return nil
	}
	return Wrap(probe(ctx, step, peer), step, peer)
}
