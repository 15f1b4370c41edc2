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

// Timeouts and limits of connections to an engine.
const (
	// StreamIdleTimeout is the longest time without a byte on a stream. Engines
	// send comment lines as heartbeats when they have nothing else to send. A
	// stream without data for longer has lost its connection; if the engine is
	// still alive, the stream can be resumed.
	StreamIdleTimeout = 3 * time.Second
	// silentAttempts is the number of silent connections, one after another,
	// that a request can try in the time before its deadline. minHeaderTimeout
	// is the shortest wait for a response on each of these connections: twice
	// the heartbeat interval of engines.
	silentAttempts   = 3
	minHeaderTimeout = time.Second
	// minUploadRate is the lowest rate, in bytes per second, at which a prompt
	// is expected to be transferred.
	minUploadRate = 1 << 20
)

// ErrSilent means that no data arrived on a connection within the timeout.
var ErrSilent = errors.New("no data arrived on the connection within the timeout")

// anyIncarnation is the incarnation of a call that any one may answer.
const anyIncarnation Incarnation = ""

// checkIncarnation returns ErrBroken for a success that doesn't name the incarnation of an engine, or
// another one than the one that was asked.
func checkIncarnation(response *http.Response, want Incarnation) error {
	got := Incarnation(response.Header.Get(HeaderIncarnation))
	if got == "" || want != anyIncarnation && got != want {
		return errors.Mark(errors.Newf("success names the incarnation %q", got), ErrBroken)
	}
	return nil
}

// openStream opens a stream with open and cancels it if no data arrives for too
// long. The time limit is wait until the response begins, and StreamIdleTimeout
// after that.
func (h *HTTP) openStream(ctx context.Context, step lavstep.Step, wait time.Duration, id lavrequest.ID, incarnation Incarnation, offset int, open func(ctx context.Context) (*http.Response, error)) (Stream, error) {
	wait = limitToDeadline(ctx, wait)
	ctx, cancel := context.WithCancelCause(ctx)
	timer := time.AfterFunc(wait, func() { cancel(ErrSilent) })
	response, err := open(ctx)
	if err != nil {
		timer.Stop()
		err = h.markSilent(ctx, step, err)
		cancel(nil)
		return nil, err
	}
	if err := checkIncarnation(response, incarnation); err != nil {
		timer.Stop()
		cancel(nil)
		_ = response.Body.Close()
		return nil, lavstep.Wrap(err, step, h.baseURL)
	}
	timer.Reset(StreamIdleTimeout)
	response.Body = &idleTimeoutBody{body: response.Body, timer: timer, cancel: cancel, beforeRead: func() error {
		return lavstep.Failpoint(ctx, lavstep.EngineStream, h.baseURL)
	}}
	return h.newEventStream(response, id, offset, func(err error) error {
		return h.markSilent(ctx, lavstep.EngineStream, err)
	}), nil
}

// limitToDeadline limits the wait for a response to a fraction of the time
// before the context's deadline, so that other connections can be tried in that
// time.
func limitToDeadline(ctx context.Context, wait time.Duration) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok {
		return wait
	}
	return min(wait, max(time.Until(deadline)/silentAttempts, minHeaderTimeout))
}

// markSilent returns ErrSilent if err was caused by a silent connection. It then
// also closes the idle connections, because the fault that silenced one
// connection may affect all of them.
func (h *HTTP) markSilent(ctx context.Context, step lavstep.Step, err error) error {
	if !errors.Is(context.Cause(ctx), ErrSilent) {
		return err
	}
	h.closeIdle()
	return lavstep.Wrap(errors.Mark(ErrSilent, ErrBroken), step, h.baseURL)
}

// idleTimeoutBody restarts its timer whenever data is read.
type idleTimeoutBody struct {
	body   io.ReadCloser
	timer  *time.Timer
	cancel context.CancelCauseFunc
	// beforeRead reports each read as a step.
	beforeRead func() error
}

// Read implements io.Reader.
func (b *idleTimeoutBody) Read(p []byte) (int, error) {
	if err := b.beforeRead(); err != nil {
		return 0, err
	}
	n, err := b.body.Read(p)
	if n > 0 {
		b.timer.Reset(StreamIdleTimeout)
	}
	return n, err
}

// Close implements io.Closer.
func (b *idleTimeoutBody) Close() error {
	b.timer.Stop()
	b.cancel(nil)
	return b.body.Close()
}
