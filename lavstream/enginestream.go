package lavstream

import (
	"context"
	"time"

	"lavenderrack.example/lavenderrack/lavengine"
	"lavenderrack.example/lavenderrack/lavrequest"
	"lavenderrack.example/lavenderrack/lavretry"

	"github.com/cockroachdb/errors"
	"github.com/uber-go/tally/v4"
)

// Limits of resuming a stream at its engine.
const (
	// maxResumeAttempts is the number of failed attempts to resume a stream
	// after which the stream counts as lost.
	maxResumeAttempts = 2
	// maxBreaksWithoutProgress is the number of consecutive breaks after which
	// a stream is given up. Only breaks within quickBreakDuration after the
	// stream was opened, and without a new token, count.
	maxBreaksWithoutProgress = 10
	quickBreakDuration       = time.Second
	initialResumeDelay       = 20 * time.Millisecond
	maxResumeDelay           = 500 * time.Millisecond
	probeTimeout             = time.Second
)

// EngineStream identifies a stream at an engine.
type EngineStream struct {
	Engine      lavengine.Engine
	Endpoint    string
	Incarnation lavengine.Incarnation
	ID          lavrequest.ID
}

// Deliver delivers the frames of the stream until its end. It resumes the
// stream where it breaks, and opens it by resuming if stream is nil. It calls
// onFrame before each frame.
func (s *EngineStream) Deliver(ctx context.Context, stream lavengine.Stream, d *Delivery, scope tally.Scope, onFrame func()) error {
	backoff := lavretry.Backoff{First: initialResumeDelay, Longest: maxResumeDelay}
	for breaksWithoutProgress := 0; ; {
		opened := time.Now()
		if stream == nil {
			var err error
			if stream, err = s.resume(ctx, d.Tokens, &backoff); err != nil {
				return err
			}
			scope.Counter("stream_resumed").Inc(1)
		}
		before := d.Tokens
		err := d.deliverAll(stream, s.Endpoint, onFrame)
		s.recordOrigin(stream, scope)
		_ = stream.Close()
		if err == nil || ctx.Err() != nil || !errors.Is(err, lavengine.ErrBroken) {
			return err
		}
		scope.Counter("stream_broken").Inc(1)
		if errors.Is(err, lavengine.ErrSilent) {
			scope.Counter("stream_silent").Inc(1)
		}
		switch {
		case d.Tokens > before:
			breaksWithoutProgress, backoff = 0, lavretry.Backoff{First: initialResumeDelay, Longest: maxResumeDelay}
		case time.Since(opened) < quickBreakDuration:
			breaksWithoutProgress++
		}
		if breaksWithoutProgress == maxBreaksWithoutProgress {
			return err
		}
		stream = nil
	}
}

// recordOrigin takes over the engine's incarnation and the count of dropped
// frames, which only the open stream knows.
func (s *EngineStream) recordOrigin(stream lavengine.Stream, scope tally.Scope) {
	origin, ok := stream.(lavengine.StreamInfo)
	if !ok {
		return
	}
	if dropped := origin.Dropped(); dropped > 0 {
		scope.Counter("frames_dropped").Inc(int64(dropped))
	}
	if incarnation := origin.Incarnation(); incarnation != "" {
		s.Incarnation = incarnation
	}
}

// resume opens the stream again at an offset in tokens. It returns without a
// further attempt if the engine answers that it no longer has the stream.
func (s *EngineStream) resume(ctx context.Context, offset int, backoff *lavretry.Backoff) (lavengine.Stream, error) {
	for attempt := 1; ; attempt++ {
		if err := backoff.Wait(ctx); err != nil {
			return nil, err
		}
		stream, err := s.Engine.Resume(ctx, s.ID, s.Incarnation, offset)
		if err == nil {
			return stream, nil
		}
		if attempt == maxResumeAttempts || ctx.Err() != nil || errors.Is(err, lavengine.ErrGone) {
			return nil, err
		}
	}
}

// Cancel cancels the stream at the engine, which frees its memory. If the call
// fails, the host that owns the engine later releases the memory.
func (s *EngineStream) Cancel(ctx context.Context) { _ = s.Engine.Cancel(ctx, s.ID) }
