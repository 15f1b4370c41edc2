package lavgang

import (
	"context"
	"time"

	"lavenderrack.example/lavenderrack/lavengine"
	"lavenderrack.example/lavenderrack/lavqueue"
	"lavenderrack.example/lavenderrack/lavretry"
	"lavenderrack.example/lavenderrack/lavstep"
	"lavenderrack.example/lavenderrack/lavstream"

	"github.com/cockroachdb/errors"
)

// Limits for the prefill of a segment.
const (
	// maxSegmentSlowdown is the factor by which the prefill of a segment may
	// take longer than at an idle engine.
	maxSegmentSlowdown = 20
	minSegmentTimeout  = 20 * time.Second
	// maxConfirmTime is how long an engine may not answer before its part is lost.
	maxConfirmTime = 2 * time.Second
)

// prefill prefills the remaining segments except the last one, which decode
// submits.
func (r *promptRun) prefill(ctx context.Context) error {
	for r.nextSegment < len(r.segments)-1 {
		if r.cannotMeetDeadline(time.Now()) {
			// Refuses now instead of at the deadline, so that the caller learns
			// of it early and other prompts can use the memory.
			return &lavqueue.Refusal{Reason: lavqueue.ReasonDeadline}
		}
		p := r.parts[r.plan.PartIndex(r.nextSegment)]
		if err := r.checkWarm(ctx, p); err != nil {
			return err
		}
		if err := r.prefillSegment(ctx, p); err != nil {
			r.recordFailure(ctx, p)
			return err
		}
	}
	return nil
}

// checkWarm returns an error if an engine has turned cold since its part was reserved, or
// can't be asked. A part may hold more memory than the engine's cold limit allows, so the
// engine must get no more work unless it is known to be warm.
func (r *promptRun) checkWarm(ctx context.Context, p *part) error {
	report, err := r.confirm(ctx, p)
	switch {
	case err != nil:
		r.recordFailure(ctx, p)
		return markBroken(ctx, lavstep.Wrap(err, lavstep.GangSegment, p.endpoint.Name))
	case report.Cold:
		return r.abandonPart(p)
	}
	return nil
}

// confirm asks for a recent load report of an engine. It asks again for up to
// maxConfirmTime if no answer comes, because a lossy path may lose one.
func (r *promptRun) confirm(ctx context.Context, p *part) (lavengine.LoadReport, error) {
	end := time.Now().Add(maxConfirmTime)
	for {
		report, err := r.Runner.parts.Confirm(ctx, p.endpoint)
		if !errors.Is(err, context.DeadlineExceeded) || ctx.Err() != nil || time.Now().After(end) {
			return report, err
		}
	}
}

// abandonPart gives up a part at an engine that has turned cold, so that another
// engine replaces it.
func (r *promptRun) abandonPart(p *part) error {
	p.nextSegment, p.checkpoint = -1, ""
	return lavstep.Wrap(errors.Mark(errTurnedCold, lavengine.ErrRefused), lavstep.GangSegment, p.endpoint.Name)
}

// errTurnedCold means that an engine turned cold while it held a part of the
// prompt.
var errTurnedCold = errors.New("engine has turned cold")

// prefillSegment prefills the next segment at the engine of p and exports the
// state at its end.
func (r *promptRun) prefillSegment(ctx context.Context, p *part) error {
	if err := r.ensureState(ctx, p); err != nil {
		return err
	}
	text := r.segments[r.nextSegment]
	callCtx, cancel := context.WithTimeout(ctx, segmentTimeout(p))
	defer cancel()
	start := time.Now()
	name, err := p.engine.Prefill(callCtx, p.reservation.ID, p.checkpoint, text)
	r.attempts.Add(lavretry.Attempt{
		Endpoint: p.endpoint.Name, Incarnation: p.incarnation, Began: start, Ended: time.Now(), Wrote: true, Err: err,
	})
	if err != nil {
		return markBroken(ctx, err)
	}
	if err := lavstep.Failpoint(ctx, lavstep.GangCheckpoint, p.endpoint.Name); err != nil {
		return markBroken(ctx, err)
	}
	state, err := p.engine.Export(ctx, name)
	if err != nil {
		return markBroken(ctx, err)
	}
	r.nextSegment++
	r.estimator.recordSegment(segmentTokens, time.Since(r.lastProgress))
	r.lastProgress = time.Now()
	r.state, p.checkpoint, p.nextSegment = state, name, r.nextSegment
	r.Runner.parts.Scope.Counter("gang_segments").Inc(1)
	return nil
}

// ensureState imports the state at the start of the next segment into the engine
// of p if the engine doesn't have it.
func (r *promptRun) ensureState(ctx context.Context, p *part) error {
	if r.nextSegment == 0 || p.checkpoint != "" && p.nextSegment == r.nextSegment {
		return nil
	}
	callCtx, cancel := context.WithTimeout(ctx, minSegmentTimeout)
	defer cancel()
	name, err := p.engine.Import(callCtx, r.state)
	if err != nil {
		return markBroken(ctx, err)
	}
	p.checkpoint, p.nextSegment = name, r.nextSegment
	return nil
}

// segmentTimeout returns the time limit for the prefill of a segment. It allows
// for other work that the engine does first.
func segmentTimeout(p *part) time.Duration {
	rate := p.endpoint.Report.PrefillRate
	if rate <= 0 {
		return minSegmentTimeout
	}
	idleTime := time.Duration(segmentTokens / rate * float64(time.Second))
	return max(maxSegmentSlowdown*idleTime, minSegmentTimeout)
}

// recordFailure marks a part as lost and ends the run that was registered for the
// prompt. If the engine has died, it records that this prompt may have killed it.
func (r *promptRun) recordFailure(ctx context.Context, p *part) {
	p.nextSegment, p.checkpoint = -1, ""
	r.lostParts++
	if ctx.Err() != nil {
		return
	}
	r.runRegistered = false
	r.streamAt(p).EndBrokenRun(ctx, r.suspectRun, r.Runner.parts.Suspects, r.Runner.parts.Scope)
}

// streamAt returns the prompt's stream at the engine of p.
func (r *promptRun) streamAt(p *part) *lavstream.EngineStream {
	return &lavstream.EngineStream{Engine: p.engine, Endpoint: p.endpoint.Name, Incarnation: p.incarnation, ID: r.job.Request.ID}
}

// decode submits the last segment and delivers the answer.
func (r *promptRun) decode(ctx context.Context) error {
	p := r.parts[len(r.parts)-1]
	if err := r.ensureState(ctx, p); err != nil {
		r.recordFailure(ctx, p)
		return err
	}
	if err := r.checkWarm(ctx, p); err != nil {
		return err
	}
	source := r.streamAt(p)
	start := time.Now()
	stream, err := p.engine.Submit(ctx, r.submission(p))
	if err == nil {
		err = source.Deliver(ctx, stream, r.delivery, r.Runner.parts.Scope, func() {})
	}
	r.attempts.Add(lavretry.Attempt{
		Endpoint: p.endpoint.Name, Incarnation: p.incarnation, Began: start, Ended: time.Now(), Wrote: true, Err: err,
	})
	if err != nil && !r.takenOver(ctx, err) {
		r.Runner.parts.Cleanup.Do(ctx, source.Cancel)
		r.recordFailure(ctx, p)
	}
	return err
}

// takenOver reports whether the caller has resumed the stream at another host,
// or does so shortly after disconnecting from this one. In that case this host
// must not release the reservations, because the other host uses them. The sweep
// releases them when that host no longer claims the request.
func (r *promptRun) takenOver(ctx context.Context, err error) bool {
	if !lavstream.HandedOver(ctx) {
		disconnected := errors.Is(err, lavstream.ErrCallerGone) || errors.Is(ctx.Err(), context.Canceled)
		if !disconnected || !r.job.Resumable || r.delivery.Tokens == 0 {
			return false
		}
		if !r.Runner.parts.Live.AwaitHandOver(ctx, r.job.Request.ID) {
			return false
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.parts = nil
	return true
}

func (r *promptRun) submission(p *part) lavengine.Submission {
	request := r.job.Request
	return lavengine.Submission{
		ID:           request.ID,
		Model:        request.Model,
		Adapter:      request.Adapter,
		Prompt:       r.segments[len(r.segments)-1],
		MaxTokens:    request.MaxTokens,
		Priority:     int(request.Class()),
		Offset:       r.delivery.Tokens,
		AnswerPrefix: string(r.delivery.Text),
		Reservation:  p.reservation.ID,
		Checkpoint:   p.checkpoint,
		Sampling:     request.Sampling,
	}
}
