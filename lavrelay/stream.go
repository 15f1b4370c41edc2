package lavrelay

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	"lavenderrack.example/lavenderrack/lavconn"
	"lavenderrack.example/lavenderrack/lavevent"
	"lavenderrack.example/lavenderrack/platform"

	"github.com/cockroachdb/errors"
)

// streamBufferBytes is enough for several events.
const streamBufferBytes = 4 << 10

// errStreamTruncated means that a stream ended where it can't be complete, although its
// framing ended properly.
var errStreamTruncated = errors.New("stream is truncated")

// errStreamEndless means that a stream sent too much without an event.
var errStreamEndless = errors.New("stream sends bytes without end, but no event")

// errCallerDisconnected means that the caller accepts no more bytes.
var errCallerDisconnected = errors.New("caller disconnected")

// forwardStream forwards the events of a stream as they arrive.
func (t *task) forwardStream(ctx context.Context, c *placement, response *lavconn.Response, head platform.Response) (Outcome, error) {
	defer func() { response.Close(head.IdleTimeout) }()
	// A resumed stream begins with a whole event, so the old partial one is dropped.
	t.events.discardPartial()
	t.checked.Resume()
	t.countPartial()
	progress := t.newProgress(ctx, c, response)
	buffer := make([]byte, streamBufferBytes)
	if err := progress.limitSilence(); err != nil {
		return 0, err
	}
	for {
		if err := progress.awaitCaller(); errors.Is(err, errCallerDisconnected) {
			return OutcomeLeft, nil
		} else if err != nil {
			return 0, t.streamError(ctx, err)
		}
		n, err := response.Read(buffer)
		if n > 0 {
			before := t.events.count
			whole := t.events.feed(buffer[:n])
			t.checkBytes(c, buffer[:n])
			t.countPartial()
			// An event that was read counts for a resume, so that it is forwarded whatever
			// happens to the connection.
			if t.forwardBytes(ctx, response, whole) != nil {
				return OutcomeLeft, nil
			}
			if t.events.count > before {
				if err := progress.recordEvent(); err != nil {
					return 0, err
				}
			}
		}
		if t.events.endless() {
			return 0, errors.Mark(errStreamEndless, lavconn.ErrResponseLost)
		}
		t.trace.partialBytes = len(t.events.partial)
		switch {
		case errors.Is(err, io.EOF):
			return t.endStream(ctx, response, progress.begun)
		case err != nil:
			return 0, t.streamError(ctx, err)
		}
	}
}

// checkBytes records bytes of a stream that are no event.
func (t *task) checkBytes(c *placement, p []byte) {
	if _, err := t.checked.Feed(p); errors.Is(err, lavevent.ErrForeign) && t.trace.foreign == "" {
		t.trace.recordForeign(c.endpoint.ID, t.checked.LastID(), err)
		t.relay.metrics.foreign.Inc(1)
	}
}

// countPartial counts the event of which only a part has arrived.
func (t *task) countPartial() {
	if held := int64(len(t.events.partial)); held != t.partialHeld {
		t.call.Hold.Add(held - t.partialHeld)
		t.partialHeld = held
	}
}

// streamError returns the error for a stream that broke off.
func (t *task) streamError(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return errors.CombineErrors(err, ctx.Err())
	}
	return err
}

// endStream ends the response to the caller after the end of an endpoint's stream. The
// framing doesn't show that a stream is complete: a connection may end, and chunks may be
// ended, at any byte. A stream that ends inside an event, or with its connection before
// the first event, is truncated.
func (t *task) endStream(ctx context.Context, response *lavconn.Response, seenEvent bool) (Outcome, error) {
	if t.events.truncated() || !seenEvent && response.Framing == lavconn.FramingClose {
		return 0, errors.Mark(errStreamTruncated, lavconn.ErrResponseLost)
	}
	partial := t.events.partial
	t.events.discardPartial()
	if t.forwardBytes(ctx, response, partial) != nil {
		return OutcomeLeft, nil
	}
	t.sendHead(response)
	return OutcomeDone, nil
}

// sendHead sends the head of a response to the caller, once for each call.
func (t *task) sendHead(response *lavconn.Response) {
	if t.headSent {
		return
	}
	t.headSent = true
	platform.CopyResponseHeaders(t.out.Header(), response.Header)
	t.out.WriteHeader(response.Status)
}

// forwardBytes sends bytes to the caller and flushes them.
func (t *task) forwardBytes(ctx context.Context, response *lavconn.Response, p []byte) error {
	if len(p) == 0 {
		return nil
	}
	t.sendHead(response)
	t.trace.recordWrite(time.Now(), t.call.Arrived)
	if t.spool != nil {
		return t.spool.put(ctx, bytes.Clone(p))
	}
	defer func() { t.trace.recordDelivery(time.Now()) }()
	if _, err := t.out.Write(p); err != nil {
		return errors.CombineErrors(errCallerDisconnected, err)
	}
	if err := http.NewResponseController(t.out).Flush(); err != nil {
		return errors.CombineErrors(errCallerDisconnected, err)
	}
	return nil
}
