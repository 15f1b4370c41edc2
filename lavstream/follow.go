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

// Times and bounds of following a stream.
const (
	// redials is how often a stream is resumed in vain before it counts as
	// lost.
	redials = 2
	// maxVain is how often in a row a stream may break soon after a resume
	// that brought nothing new.
	maxVain       = 10
	vainTime      = time.Second
	redialFirst   = 20 * time.Millisecond
	redialLongest = 500 * time.Millisecond
	probeTimeout  = time.Second
	cancelTimeout = 2 * time.Second
)

// EngineStream is a stream at an engine.
type EngineStream struct {
	Engine      lavengine.Engine
	Endpoint    string
	Incarnation lavengine.Incarnation
	ID          lavrequest.ID
}

// Deliver delivers a stream to its end and resumes it where it breaks. A nil
// stream is resumed at once. First is called at each frame.
func (s *EngineStream) Deliver(ctx context.Context, stream lavengine.Stream, d *Delivery, scope tally.Scope, first func()) error {
	backoff := lavretry.Backoff{First: redialFirst, Longest: redialLongest}
	for vain := 0; ; {
		opened := time.Now()
		if stream == nil {
			var err error
			if stream, err = s.redial(ctx, d.Tokens, &backoff); err != nil {
				return err
			}
			scope.Counter("stream_resumed").Inc(1)
		}
		before := d.Tokens
		err := d.drain(stream, s.Endpoint, first)
		s.note(stream, scope)
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
			vain, backoff = 0, lavretry.Backoff{First: redialFirst, Longest: redialLongest}
		case time.Since(opened) < vainTime:
			vain++
		}
		if vain == maxVain {
			return err
		}
		stream = nil
	}
}

// note learns what only the stream knows.
func (s *EngineStream) note(stream lavengine.Stream, scope tally.Scope) {
	origin, ok := stream.(lavengine.Origin)
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

// redial resumes the stream. An engine that has lost it says so at once.
func (s *EngineStream) redial(ctx context.Context, offset int, backoff *lavretry.Backoff) (lavengine.Stream, error) {
	for try := 1; ; try++ {
		if err := backoff.Wait(ctx); err != nil {
			return nil, err
		}
		stream, err := s.Engine.Resume(ctx, s.ID, s.Incarnation, offset)
		if err == nil {
			return stream, nil
		}
		if try == redials || ctx.Err() != nil || errors.Is(err, lavengine.ErrGone) {
			return nil, err
		}
	}
}

// Died reports whether the engine has ended the life in which it had the
// stream: it answers from another one, or refuses or breaks connections. An
// engine that can't be reached is not known to have died.
func (s *EngineStream) Died(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), probeTimeout)
	defer cancel()
	report, err := s.Engine.Load(ctx)
	if err == nil {
		return s.Incarnation != "" && report.Incarnation != s.Incarnation
	}
	return ctx.Err() == nil
}

// Cancel frees what the engine holds for the stream. It works on after the
// caller has gone; what it misses the engine's owner sweeps.
func (s *EngineStream) Cancel(ctx context.Context) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), cancelTimeout)
	defer cancel()
	_ = s.Engine.Cancel(ctx, s.ID)
}
