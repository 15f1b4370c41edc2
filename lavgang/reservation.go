package lavgang

import (
	"context"
	"fmt"

	"lavenderrack.example/lavenderrack/lavendpoint"
	"lavenderrack.example/lavenderrack/lavengine"
	"lavenderrack.example/lavenderrack/lavpause"
	"lavenderrack.example/lavenderrack/lavstep"

	"github.com/cockroachdb/errors"
)

// part is the memory reserved at one engine of a gang.
type part struct {
	endpoint    *lavendpoint.Endpoint
	engine      lavengine.Engine
	reservation lavengine.Reservation
	incarnation lavengine.Incarnation
	// checkpoint names the state at the start of segment nextSegment at this
	// engine; it is empty if the engine doesn't have that state. A negative
	// nextSegment marks a lost part.
	checkpoint  string
	nextSegment int
}

// reserveAll reserves the memory of every part, in the order of the endpoints'
// names. If a reservation fails, it releases the earlier ones.
func (r *promptRun) reserveAll(ctx context.Context) error {
	plan, ok := choosePlan(r.Runner.parts.Endpoints.Snapshot(), r.job.Request, r.segments, nil)
	if !ok {
		return lavstep.Wrap(errNoMemory, lavstep.GangReserve, "")
	}
	r.mu.Lock()
	r.plan, r.parts = plan, nil
	r.mu.Unlock()
	for _, e := range plan.Endpoints {
		p, err := r.reservePart(ctx, e)
		if err != nil {
			r.releaseAll(ctx)
			return err
		}
		r.mu.Lock()
		r.parts = append(r.parts, p)
		r.mu.Unlock()
	}
	return nil
}

// reservePart reserves one part. If the call fails in such a way that the engine
// may have made the reservation, reservePart releases it.
func (r *promptRun) reservePart(ctx context.Context, e *lavendpoint.Endpoint) (*part, error) {
	if err := lavstep.Failpoint(ctx, lavstep.GangReserve, e.Name); err != nil {
		return nil, errors.Mark(err, lavengine.ErrRefused)
	}
	r.reservationCount++
	p := &part{
		endpoint:    e,
		engine:      r.Runner.parts.Engine(e),
		incarnation: e.Report.Incarnation,
		reservation: lavengine.Reservation{
			ID:     fmt.Sprint(r.job.Request.ID, "/", r.reservationCount),
			Owner:  r.job.Request.ID.Host(),
			Tokens: r.plan.Tokens,
		},
	}
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := p.engine.Reserve(callCtx, p.reservation); err != nil {
		if !errors.IsAny(err, lavengine.ErrNotSent, lavengine.ErrRefused) {
			r.release(ctx, p)
		}
		return nil, errors.Mark(err, lavengine.ErrRefused)
	}
	return p, nil
}

// release releases the reservations of parts. It waits for the engines at most
// until the deadline of ctx. If a call fails, the host that owns the endpoint
// releases the reservation later: see Sweeper.
func (r *promptRun) release(ctx context.Context, parts ...*part) {
	var calls []func(context.Context)
	for _, p := range parts {
		if lavstep.Failpoint(ctx, lavstep.GangRelease, p.endpoint.Name) == nil {
			calls = append(calls, func(ctx context.Context) { _ = p.engine.Release(ctx, p.reservation.ID) })
		}
	}
	r.Runner.parts.Cleanup.Do(ctx, calls...)
}

// releaseAll releases every part.
func (r *promptRun) releaseAll(ctx context.Context) {
	r.mu.Lock()
	parts := r.parts
	r.parts = nil
	r.mu.Unlock()
	r.release(ctx, parts...)
}

// renewReservations renews the reservations periodically until the context ends,
// so that they don't expire.
func (r *promptRun) renewReservations(ctx context.Context) {
	_ = lavpause.Every(ctx, renewInterval, func() {
		r.mu.Lock()
		parts := append([]*part(nil), r.parts...)
		r.mu.Unlock()
		for _, p := range parts {
			callCtx, cancel := context.WithTimeout(ctx, callTimeout)
			// Errors are ignored: the next segment or the check for lost parts
			// detects a dead engine.
			_ = p.engine.Reserve(callCtx, p.reservation)
			cancel()
		}
	})
}

// replaceLostParts reserves memory at another engine for each lost part. It
// reports false if no engine is available; the gang is then reserved anew.
func (r *promptRun) replaceLostParts(ctx context.Context) bool {
	for i := range r.parts {
		if !r.isLost(ctx, r.parts[i]) {
			continue
		}
		r.release(ctx, r.parts[i])
		p, ok := r.reserveReplacement(ctx)
		if !ok {
			return false
		}
		r.mu.Lock()
		r.parts[i] = p
		r.mu.Unlock()
	}
	return true
}

// reserveReplacement reserves a part at an engine of the same failure domain
// that has no part of this prompt.
func (r *promptRun) reserveReplacement(ctx context.Context) (*part, bool) {
	used := make(map[string]bool)
	for _, p := range r.parts {
		used[p.endpoint.Name] = true
	}
	snapshot := r.Runner.parts.Endpoints.Snapshot()
	for _, e := range enginesByDomain(snapshot, r.job.Request, isReady, freeMemory)[r.plan.FailureDomain] {
		if used[e.Name] || freeMemory(e) < r.plan.Tokens {
			continue
		}
		if p, err := r.reservePart(ctx, e); err == nil {
			return p, true
		}
	}
	return nil, false
}

// isLost reports whether an engine no longer holds its part because it has
// restarted, can't be reached, or has failed a call.
func (r *promptRun) isLost(ctx context.Context, p *part) bool {
	if p.nextSegment < 0 {
		return true
	}
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	report, err := p.engine.Load(callCtx)
	return err != nil || report.Incarnation != p.incarnation
}
