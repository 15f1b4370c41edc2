package lavengine

import (
	"context"
	"io"
	"net/http"
	"time"

	"lavenderrack.example/lavenderrack/lavrequest"
	"lavenderrack.example/lavenderrack/lavstep"

	"github.com/cockroachdb/errors"
)

// Bounds of a connection to an engine.
const (
	// SilenceBound is the longest time without a byte on a stream. Engines
	// send comment lines while they have nothing else to say; what is silent
	// for longer has lost its connection, or is found alive by a resume.
	SilenceBound = 3 * time.Second
	// silentTries is how many silent connections in a row fit into what is left
	// of a request's time, and leastSilence the shortest wait for any of them:
	// twice the time between two comment lines.
	silentTries  = 3
	leastSilence = time.Second
	// uploadRate is the slowest rate in bytes a second at which a prompt is
	// still expected to arrive.
	uploadRate = 1 << 20
)

// ErrSilent means that a connection said nothing for too long.
var ErrSilent = errors.New("connection went silent")

// stream opens a stream with open and watches it for silence.
func (h *HTTP) stream(ctx context.Context, step lavstep.Step, wait time.Duration, id lavrequest.ID, offset int, open func(ctx context.Context) (*http.Response, error)) (Stream, error) {
	wait = withinDeadline(ctx, wait)
	ctx, cancel := context.WithCancelCause(ctx)
	timer := time.AfterFunc(wait, func() { cancel(ErrSilent) })
	answer, err := open(ctx)
	if err != nil {
		timer.Stop()
		err = h.silent(ctx, step, err)
		cancel(nil)
		return nil, err
	}
	timer.Reset(SilenceBound)
	answer.Body = &watchedBody{body: answer.Body, timer: timer, cancel: cancel, reach: func() error {
		return lavstep.Reach(ctx, lavstep.EngineStream, h.base)
	}}
	return newEvents(answer, id, offset, h.base, func(err error) error {
		return h.silent(ctx, lavstep.EngineStream, err)
	}), nil
}

// withinDeadline returns how long to wait for an answer to begin, so that others
// can be tried within the context's deadline.
func withinDeadline(ctx context.Context, wait time.Duration) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok {
		return wait
	}
	return min(wait, max(time.Until(deadline)/silentTries, leastSilence))
}

// silent returns ErrSilent if that is why err came. Other idle connections are
// closed then, since what has lost track of one may have lost track of all.
func (h *HTTP) silent(ctx context.Context, step lavstep.Step, err error) error {
	if !errors.Is(context.Cause(ctx), ErrSilent) {
		return err
	}
	h.dropIdle()
	return lavstep.Wrap(errors.Mark(ErrSilent, ErrBroken), step, h.base)
}

// watchedBody puts its timer off at each byte.
type watchedBody struct {
	body   io.ReadCloser
	timer  *time.Timer
	cancel context.CancelCauseFunc
	// reach reports each read as a step.
	reach func() error
}

// Read implements io.Reader.
func (b *watchedBody) Read(p []byte) (int, error) {
	if err := b.reach(); err != nil {
		return 0, err
	}
	n, err := b.body.Read(p)
	if n > 0 {
		b.timer.Reset(SilenceBound)
	}
	return n, err
}

// Close implements io.Closer.
func (b *watchedBody) Close() error {
	b.timer.Stop()
	b.cancel(nil)
	return b.body.Close()
}
