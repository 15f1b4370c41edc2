package lavrelay

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	"lavenderrack.example/lavenderrack/lavconfig"
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

// errNoStream means that an endpoint answered with a success that is no stream of events.
var errNoStream = errors.New("success is no stream of events")

// errCallerDisconnected means that the caller accepts no more bytes.
var errCallerDisconnected = errors.New("caller disconnected")

// forwardStream forwards the events of a stream as they arrive.
func (t *task) forwardStream(ctx context.Context, c *placement, response *lavconn.Response, head platform.Response) (Outcome, error) {
	defer func() { response.Close(head.IdleTimeout) }()
	// A resumed stream begins with a whole event, so the old partial one is dropped.
	t.events.Resume()
	t.countPartial()
	progress := t.newProgress(ctx, c, response)
	buffer := make([]byte, streamBufferBytes)
	response.RestartSilence()
	for {
		if err := progress.awaitCaller(); errors.Is(err, errCallerDisconnected) {
			return OutcomeLeft, nil
		} else if err != nil {
			return 0, t.streamError(ctx, err)
		}
		n, err := response.Read(buffer)
		if outcome, err := t.forwardEvents(ctx, progress, buffer[:n]); outcome != again || err != nil {
			return outcome, err
		}
		t.trace.partialBytes = len(t.events.Partial())
		switch {
		case errors.Is(err, io.EOF):
			return t.endStream(response, progress.begun)
		case err != nil:
			return 0, t.streamError(ctx, err)
		}
	}
}

// forwardEvents forwards the events that are complete with the next bytes of a stream. It returns again
// if the stream may go on.
func (t *task) forwardEvents(ctx context.Context, p *progress, received []byte) (Outcome, error) {
	if len(received) == 0 {
		return again, nil
	}
	before := t.events.Count()
	whole, invalid := t.events.Feed(received)
	t.countPartial()
	// An event that was read counts for a resume, so that it is forwarded whatever happens to the
	// connection.
	if t.forwardBytes(ctx, p.response, whole) != nil {
		return OutcomeLeft, nil
	}
	if t.events.Count() > before {
		p.recordEvent()
	}
	if invalid != nil {
		return again, t.recordInvalid(p.placement, invalid)
	}
	return again, nil
}

// recordInvalid records that an endpoint sent bytes that are no event of its stream, or no event for
// too long, and returns the error for its answer.
func (t *task) recordInvalid(c *placement, err error) error {
	if errors.Is(err, lavevent.ErrForeign) {
		t.trace.recordForeign(c.endpoint.ID, t.events.LastID(), err)
		t.relay.metrics.foreign.Inc(1)
	}
	return errors.Mark(err, lavconn.ErrResponseLost)
}

// countPartial counts the event of which only a part has arrived.
func (t *task) countPartial() {
	if held := int64(len(t.events.Partial())); held != t.partialHeld {
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
// ended, at any byte. A stream that ends inside an event is truncated, and so is one without an
// event, unless it is resumed after what may be the last one.
func (t *task) endStream(response *lavconn.Response, seenEvent bool) (Outcome, error) {
	mayBeEmpty := response.Framing != lavconn.FramingClose
	if !t.events.MayEnd() || !seenEvent && !mayBeEmpty {
		return 0, errors.Mark(errStreamTruncated, lavconn.ErrResponseLost)
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
	if t.call.Route.Kind == lavconfig.KindStreaming && response.Status == http.StatusOK {
		// A stream that goes on at another endpoint has another length.
		platform.RemoveLength(t.out.Header())
	}
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
