package lavrelay

import (
	"context"
	"io"
	"net/http"
	"time"

	"lavenderrack.example/lavenderrack/lavconfig"
	"lavenderrack.example/lavenderrack/lavconn"
	"lavenderrack.example/lavenderrack/platform"

	"github.com/cockroachdb/errors"
)

// errUnstatedPromise means that callers would take a status for a promise that the endpoint doesn't make.
var errUnstatedPromise = errors.New("refusal does not state that the request was not run")

// forward forwards a response to the caller. An error means that the response is incomplete.
func (t *task) forward(ctx context.Context, c *placement, response *lavconn.Response, head platform.Response) (Outcome, error) {
	isStream := t.call.Route.Kind == lavconfig.KindStreaming
	switch {
	case head.UnstatedPromise && !t.call.Route.Repeatable():
		response.Close(head.IdleTimeout)
		return again, errors.Mark(errUnstatedPromise, lavconn.ErrResponseLost)
	case !isStream || response.Status >= http.StatusMultipleChoices:
		return t.forwardWhole(ctx, response, head)
	case !head.Events || response.Status != http.StatusOK:
		response.Close(head.IdleTimeout)
		return again, errors.Mark(errNoStream, lavconn.ErrResponseLost)
	default:
		return t.forwardStream(ctx, c, response, head)
	}
}

// forwardWhole forwards a response that is not a stream. It returns again for a server error
// if the request may be retried on another endpoint.
func (t *task) forwardWhole(ctx context.Context, response *lavconn.Response, head platform.Response) (Outcome, error) {
	defer func() { response.Close(head.IdleTimeout) }()
	read := t.relay.readBuffered
	if t.call.Hold != nil {
		read = t.bufferResponse
	}
	body, release, err := read(response)
	defer release()
	if err != nil {
		return 0, err
	}
	failed := response.Status >= http.StatusInternalServerError
	if failed && t.afterIncompleteResponse() == again && t.canRetry() {
		t.trace.refusals++
		return again, nil
	}
	if t.headSent {
		return 0, errors.Mark(errors.Newf("status %d instead of the rest of the stream", response.Status), lavconn.ErrResponseLost)
	}
	t.sendHead(response)
	if err := t.forwardBody(ctx, response, body, release); errors.Is(err, lavconn.ErrResponseLost) {
		return 0, err
	} else if ctx.Err() != nil {
		return 0, ctx.Err()
	} else if err != nil {
		return OutcomeLeft, nil
	}
	if failed {
		return OutcomePassed, nil
	}
	return OutcomeDone, nil
}

// smallAnswerBytes is the size up to which the server buffers an answer by itself, so that writing it
// doesn't block.
const smallAnswerBytes = 2 << 10

// forwardBody forwards the part of a response that was read, and then the rest of it.
func (t *task) forwardBody(ctx context.Context, response *lavconn.Response, read []byte, release func()) error {
	if t.spool != nil {
		release()
		return t.spoolBody(ctx, response, read)
	}
	if _, err := t.out.Write(read); err != nil {
		return err
	}
	_, err := io.Copy(t.out, response)
	return err
}

// spoolBody queues the part of a response that was read, and then the rest of it as far as the
// caller is not behind.
func (t *task) spoolBody(ctx context.Context, response *lavconn.Response, read []byte) error {
	if len(read) < smallAnswerBytes {
		// It is whole, since the first block is larger.
		_, err := t.out.Write(read)
		return err
	}
	for {
		if err := t.spool.put(ctx, read); err != nil {
			return err
		}
		if err := t.awaitCaller(ctx, response); err != nil {
			return err
		}
		read = make([]byte, spoolWriteBytes)
		n, err := response.Read(read)
		read = read[:n]
		if errors.Is(err, io.EOF) {
			return t.spool.put(ctx, read)
		}
		if err != nil {
			return err
		}
	}
}

// canRetry reports whether a server error may be followed by another attempt: the route is
// not unsafe, and at least half of its objective is left until the deadline. If not, the
// error is forwarded.
func (t *task) canRetry() bool {
	return time.Until(t.call.Deadline) > t.call.Route.Objective/2 && t.call.Route.Kind != lavconfig.KindUnsafe
}
