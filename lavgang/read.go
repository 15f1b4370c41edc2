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

// Bounds of reading a segment.
const (
	// segmentShare is how much slower than alone a segment may be read.
	segmentShare = 20
	segmentLeast = 20 * time.Second
)

// read reads the segments that are left, all but the last.
func (r *run) read(ctx context.Context) error {
	for r.next < len(r.segments)-1 {
		if r.hopeless(time.Now()) {
			// The caller is told at once, and the memory serves others.
			return &lavqueue.Refusal{Reason: lavqueue.ReasonDeadline}
		}
		p := r.parts[r.plan.Part(r.next)]
		if r.cooled(ctx, p) {
			return r.leave(p)
		}
		if err := r.segment(ctx, p); err != nil {
			r.fail(ctx, p)
			return err
		}
	}
	return nil
}

// cooled reports whether an engine has turned cold since the part was reserved.
// The memory that it holds may be more than it bears now, so that no work may
// follow. One that can't be asked shows that at the work itself.
func (r *run) cooled(ctx context.Context, p *part) bool {
	report, err := r.Runner.parts.Confirm(ctx, p.endpoint)
	return err == nil && report.Cold
}

// leave gives a part at an engine that has turned cold up, so that another
// takes its place.
func (r *run) leave(p *part) error {
	p.next, p.checkpoint = -1, ""
	return lavstep.Wrap(errors.Mark(errCooled, lavengine.ErrRefused), lavstep.GangSegment, p.endpoint.Name)
}

// errCooled means that an engine turned cold under its part of a prompt.
var errCooled = errors.New("engine has turned cold")

// segment reads the next segment at the engine that holds it and exports the
// state at its end.
func (r *run) segment(ctx context.Context, p *part) error {
	if err := r.load(ctx, p); err != nil {
		return err
	}
	text := r.segments[r.next]
	ask, cancel := context.WithTimeout(ctx, segmentTime(p))
	defer cancel()
	began := time.Now()
	name, err := p.engine.Prefill(ask, p.reservation.ID, p.checkpoint, text)
	r.attempts.Add(lavretry.Attempt{
		Endpoint: p.endpoint.Name, Incarnation: p.incarnation, Began: began, Ended: time.Now(), Wrote: true, Err: err,
	})
	if err != nil {
		return broken(ctx, err)
	}
	if err := lavstep.Reach(ctx, lavstep.GangCheckpoint, p.endpoint.Name); err != nil {
		return broken(ctx, err)
	}
	state, err := p.engine.Export(ctx, name)
	if err != nil {
		return broken(ctx, err)
	}
	r.next++
	r.pace.read(segmentTokens, time.Since(r.marked))
	r.marked = time.Now()
	r.state, p.checkpoint, p.next = state, name, r.next
	r.Runner.parts.Scope.Counter("gang_segments").Inc(1)
	return nil
}

// load makes sure that the engine has the state before the next segment.
func (r *run) load(ctx context.Context, p *part) error {
	if r.next == 0 || p.checkpoint != "" && p.next == r.next {
		return nil
	}
	ask, cancel := context.WithTimeout(ctx, segmentLeast)
	defer cancel()
	name, err := p.engine.Import(ask, r.state)
	if err != nil {
		return broken(ctx, err)
	}
	p.checkpoint, p.next = name, r.next
	return nil
}

// segmentTime bounds the time of a segment at an engine that does other work
// first.
func segmentTime(p *part) time.Duration {
	rate := p.endpoint.Report.PrefillRate
	if rate <= 0 {
		return segmentLeast
	}
	alone := time.Duration(segmentTokens / rate * float64(time.Second))
	return max(segmentShare*alone, segmentLeast)
}

// fail marks a part as lost, and finds out whether its engine died of it.
func (r *run) fail(ctx context.Context, p *part) {
	p.next, p.checkpoint = -1, ""
	r.lost++
	if ctx.Err() != nil {
		return
	}
	source := &lavstream.EngineStream{Engine: p.engine, Endpoint: p.endpoint.Name, Incarnation: p.incarnation, ID: r.job.Request.ID}
	if source.Died(ctx) {
		r.Runner.parts.Scope.Counter("endpoint_deaths").Inc(1)
		r.Runner.parts.Suspects.RecordDeath(ctx, r.suspect, lavretry.Death{
			Fingerprint: r.suspect.Fingerprint, Endpoint: p.endpoint.Name, Incarnation: p.incarnation, At: time.Now(),
		})
		return
	}
	r.Runner.parts.Suspects.End(r.suspect, false)
}

// decode submits what is left of the prompt and delivers the answer.
func (r *run) decode(ctx context.Context) error {
	p := r.parts[len(r.parts)-1]
	if err := r.load(ctx, p); err != nil {
		r.fail(ctx, p)
		return err
	}
	if r.cooled(ctx, p) {
		return r.leave(p)
	}
	source := &lavstream.EngineStream{Engine: p.engine, Endpoint: p.endpoint.Name, Incarnation: p.incarnation, ID: r.job.Request.ID}
	began := time.Now()
	stream, err := p.engine.Submit(ctx, r.submission(p))
	if err == nil {
		err = source.Deliver(ctx, stream, r.delivery, r.Runner.parts.Scope, func() {})
	}
	r.attempts.Add(lavretry.Attempt{
		Endpoint: p.endpoint.Name, Incarnation: p.incarnation, Began: began, Ended: time.Now(), Wrote: true, Err: err,
	})
	if err != nil && !r.handsOver(ctx, err) {
		source.Cancel(ctx)
		r.fail(ctx, p)
	}
	return err
}

// handsOver reports whether the caller has taken his stream to another host,
// or does so soon after he has gone here. The memory is that host's then; as
// its claim ends, the sweep releases it.
func (r *run) handsOver(ctx context.Context, err error) bool {
	if !lavstream.HandedOver(ctx) {
		gone := errors.Is(err, lavstream.ErrCallerGone) || errors.Is(ctx.Err(), context.Canceled)
		if !gone || !r.job.Resumable || r.delivery.Tokens == 0 {
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

func (r *run) submission(p *part) lavengine.Submission {
	request := r.job.Request
	return lavengine.Submission{
		ID:          request.ID,
		Model:       request.Model,
		Adapter:     request.Adapter,
		Prompt:      r.segments[len(r.segments)-1],
		MaxTokens:   request.MaxTokens,
		Priority:    int(request.Class()),
		Offset:      r.delivery.Tokens,
		Given:       string(r.delivery.Text),
		Reservation: p.reservation.ID,
		Checkpoint:  p.checkpoint,
		Sampling:    request.Sampling,
	}
}
