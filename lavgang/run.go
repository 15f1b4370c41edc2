package lavgang

import (
	"context"
	"fmt"
	"sync"
	"time"

	"lavenderrack.example/lavenderrack/lavendpoint"
	"lavenderrack.example/lavenderrack/lavengine"
	"lavenderrack.example/lavenderrack/lavpause"
	"lavenderrack.example/lavenderrack/lavqueue"
	"lavenderrack.example/lavenderrack/lavretry"
	"lavenderrack.example/lavenderrack/lavstep"
	"lavenderrack.example/lavenderrack/lavstream"

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

// promptRun is the run of one prompt on a gang, with its progress.
type promptRun struct {
	*Runner
	job      *lavstream.Job
	segments []string
	// nextSegment is the first segment that is not prefilled yet, and state the
	// exported KV cache state at the end of the segment before it.
	nextSegment int
	state       []byte
	delivery    *lavstream.Delivery
	attempts    lavretry.Attempts
	// lostParts is the number of parts that failed. reservationCount is the
	// number of reservations made; it makes their IDs unique.
	lostParts        int
	reservationCount int
	// idle holds the highest prefill and decode rates of idle engines.
	idle idleRates
	// lastProgress is the time when the last segment was prefilled or, before
	// the first one, when the run started.
	lastProgress time.Time
	// suspectRun is the run as registered with the hosts that track which
	// requests kill engines. runRegistered is false once that run has ended.
	suspectRun    lavretry.Run
	runRegistered bool

	mu    sync.Mutex
	plan  Plan
	parts []*part
}

// remainingTokens returns the number of tokens in the segments that are not
// prefilled yet.
func (r *promptRun) remainingTokens() int { return (len(r.segments) - r.nextSegment) * segmentTokens }

// execute makes attempts until one succeeds or fails with an error that is not
// retryable. Each attempt continues from the last exported state.
func (r *promptRun) execute(ctx context.Context) error {
	backoff := lavretry.Backoff{First: minRetryDelay, Longest: maxRetryDelay}
	for {
		err := r.attempt(ctx)
		if err == nil || ctx.Err() != nil || !retryable(err) || r.lostParts > maxLostParts {
			return err
		}
		if waitErr := backoff.Wait(ctx); waitErr != nil {
			return errors.Mark(err, waitErr)
		}
	}
}

// retryable reports whether another attempt may succeed after err.
func retryable(err error) bool {
	return errors.IsAny(err, errNoMemory, errBusy,
		lavengine.ErrNotSent, lavengine.ErrRefused, lavengine.ErrBroken, lavengine.ErrGone)
}

// attempt reserves a gang, prefills and decodes. It replaces lost parts, and
// fails if no engine is available for one of them.
func (r *promptRun) attempt(ctx context.Context) error {
	if err := r.beginSuspectRun(ctx); err != nil {
		return err
	}
	if err := r.reserveAll(ctx); err != nil {
		return err
	}
	renewCtx, stop := context.WithCancel(ctx)
	renewDone := make(chan struct{})
	go func() {
		defer close(renewDone)
		r.renewReservations(renewCtx)
	}()
	defer func() {
		stop()
		<-renewDone
	}()
	for {
		err := r.prefill(ctx)
		if err == nil && !r.replaceLostParts(ctx) {
			err = lavstep.Wrap(lavengine.ErrBroken, lavstep.GangCheckpoint, "")
		}
		if err == nil {
			err = r.decode(ctx)
		}
		if err == nil || ctx.Err() != nil || !retryable(err) || r.lostParts > maxLostParts {
			return err
		}
		if err := r.beginSuspectRun(ctx); err != nil {
			r.releaseAll(ctx)
			return err
		}
		if !r.replaceLostParts(ctx) {
			r.releaseAll(ctx)
			return err
		}
	}
}

// errBusy means that the prompt is suspected of killing engines and that another
// run of it has not ended yet.
var errBusy = errors.New("another run of a suspect request must end first")

// beginSuspectRun asks whether the prompt may run, because long prompts can kill
// engines too. Only one run at a time is allowed of a prompt that is suspected
// of killing engines.
func (r *promptRun) beginSuspectRun(ctx context.Context) error {
	r.suspectRun = lavretry.Run{
		ID:          fmt.Sprint(r.job.Request.ID, "-", r.lostParts),
		Fingerprint: r.job.Request.Fingerprint,
		Traits:      lavretry.TraitsOf(r.job.Request),
		Endpoint:    fmt.Sprint("gang of ", r.job.Request.ID.Host()),
		Until:       time.Now().Add(suspectRunTimeout),
	}
	r.runRegistered = true
	verdict := r.Runner.parts.Suspects.Begin(ctx, r.suspectRun)
	switch verdict.Action {
	case lavretry.ActionRefuse:
		return quarantineRefusal(verdict)
	case lavretry.ActionWait:
		return lavstep.Wrap(errBusy, lavstep.SuspectBegin, "")
	}
	return nil
}

// quarantineRefusal returns the refusal of a prompt that has killed engines and
// is quarantined.
func quarantineRefusal(v lavretry.Verdict) error {
	return &lavqueue.Refusal{Reason: lavqueue.ReasonQuarantined, RetryAfter: time.Until(v.Until)}
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

// finish releases the remaining parts and ends the registered run, if it has not
// ended yet, with its result.
func (r *promptRun) finish(ctx context.Context, err error) {
	r.releaseAll(ctx)
	if r.runRegistered {
		r.Runner.parts.Suspects.End(r.suspectRun, err == nil)
	}
}
