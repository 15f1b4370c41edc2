package lavrelay

import (
	"context"
	"io"
	"net/http"
	"time"

	"lavenderrack.example/lavenderrack/lavconfig"
	"lavenderrack.example/lavenderrack/lavconn"
	"lavenderrack.example/lavenderrack/lavfleet"
	"lavenderrack.example/lavenderrack/platform"

	"github.com/cockroachdb/errors"
)

// attempt sends the request to the chosen endpoints and forwards the response. It returns
// again if another attempt may follow.
func (t *task) attempt(ctx context.Context, c *placement) Outcome {
	verdict := lavfleet.VerdictNone
	defer func() { c.run.End(verdict) }()
	incarnation := c.endpoint.Incarnation()
	t.tried[incarnation] = true
	t.trace.recordAttempt(c)
	silence, probe := t.silenceLimits(t.runs + 1)
	t.takeover = t.newTakeover(c, silence)
	reservations, err := t.reserve(ctx, c)
	if err != nil {
		return again
	}
	defer reservations.release()
	t.reservations = reservations
	t.stopWatch = t.watchFirstEvent(ctx, c)
	defer t.stopWatch()
	sentAt := time.Now()
	response, err := t.relay.pool.Do(ctx, c.endpoint.Address, t.request(c, reservations, probe), t.matchesCall)
	if err != nil {
		verdict = t.recordFailure(ctx, c, err)
		return t.afterNoResponse(ctx, err)
	}
	head := platform.DecodeResponse(response.Status, response.Header)
	if err := t.checkIdentity(response.Status, head); err != nil {
		response.Close(head.IdleTimeout)
		verdict = t.recordFailure(ctx, c, err)
		return t.afterNoResponse(ctx, err)
	}
	t.arrivals++
	t.trace.recordResponse(response, head)
	t.relay.recordStatements(c.endpoint, head)
	t.relay.recordNoLimit(c.endpoint, response.Status, head, sentAt)
	if head.NotRun {
		response.Discard(head.IdleTimeout)
		t.recordRefusal(c, head)
		return again
	}
	t.runs++
	// Only the expected incarnation runs a request, so that this shows it alive.
	t.relay.suspects.Answered(c.endpoint, sentAt)
	t.unread.last = 0
	outcome, err := t.forward(ctx, c, response, head)
	if err != nil && t.unread.explains(err) {
		verdict = t.recordUnread(err)
		return t.giveUp(ctx, t.afterIncompleteResponse())
	}
	if err != nil {
		verdict = t.recordFailure(ctx, c, err)
		return t.giveUp(ctx, t.afterIncompleteResponse())
	}
	verdict = lavfleet.VerdictGood
	return outcome
}

// request returns the request in the form in which the primary endpoint receives it.
func (t *task) request(c *placement, reservations *reservationSet, probe time.Duration) lavconn.Request {
	forwarded := platform.ForwardedRequest{
		Customer:  t.call.Customer,
		Left:      time.Until(t.call.Deadline),
		Endpoint:  c.endpoint.ID,
		Priority:  t.call.Prompt.Priority(c.engine),
		LastEvent: t.events.LastID(),
	}
	for i, h := range c.helpers {
		forwarded.Helpers = append(forwarded.Helpers, platform.Helper{Address: h.Address.String(), Ticket: reservations.ticket(i)})
	}
	writeTimeout := time.Duration(0)
	if t.call.Hold != nil {
		writeTimeout = endpointWriteTimeout
	}
	return lavconn.Request{
		Method:        t.call.Method,
		Target:        t.call.Target,
		HostName:      t.call.HostName,
		Header:        platform.EncodeForwardedRequest(t.call.Header, forwarded),
		Body:          t.call.Body,
		NewConnection: !t.call.Route.Repeatable() || t.call.ID == "",
		ProbeAfter:    probe,
		Silence:       t.takeover.watch(),
		WriteTimeout:  writeTimeout,
	}
}

// endpointWriteTimeout is how long an endpoint may take to read a request where what is held for
// it is bounded. A caller who could wait longer has better chances at another endpoint.
const endpointWriteTimeout = 5 * time.Second

// matchesCall reports whether a response is the one to this call. Endpoints echo the request
// ID. A response without an ID ends the wait for the right one only as the first on its connection, and
// one of unclear identity ends it in any case.
func (t *task) matchesCall(response *http.Response, fresh bool) bool {
	head := platform.DecodeResponse(response.StatusCode, response.Header)
	return head.Unclear || head.ID == t.call.ID || head.ID == "" && fresh
}

// checkIdentity returns an error for a response that says nothing about this call: one that
// doesn't name it, or a success without the endpoint's stamp. The request may have run.
func (t *task) checkIdentity(status int, head platform.Response) error {
	switch {
	case head.Unclear || head.ID != t.call.ID:
		return errors.Mark(errors.Newf("response %d names no request", status), lavconn.ErrResponseLost)
	case status < http.StatusMultipleChoices && !head.Stamped:
		return errors.Mark(errors.Newf("response %d bears no stamp", status), lavconn.ErrResponseLost)
	default:
		return nil
	}
}

// recordRefusal handles a response that states that the request was not run. It puts the
// helper that the response names into backoff, or else the primary endpoint.
func (t *task) recordRefusal(c *placement, head platform.Response) {
	t.trace.refusals++
	for _, h := range c.helpers {
		if head.FailedEndpoint == h.ID || head.FailedEndpoint == h.Address.String() {
			t.relay.fleet.BackOff(h.Incarnation())
			return
		}
	}
	t.relay.fleet.BackOff(c.endpoint.Incarnation())
}

// recordFailure handles an attempt that ended without a complete response, and returns the
// verdict on the primary endpoint.
func (t *task) recordFailure(ctx context.Context, c *placement, err error) lavfleet.Verdict {
	t.trace.recordError(err)
	if ctx.Err() != nil {
		return lavfleet.VerdictNone
	}
	if errors.Is(err, lavconn.ErrResponseLost) && !lavconn.TimedOut(err) {
		t.relay.suspects.ConnectionLost(t.call, c.endpoint)
	}
	return lavfleet.VerdictBad
}

// afterNoResponse returns the outcome of an attempt without a response, or again.
func (t *task) afterNoResponse(ctx context.Context, err error) Outcome {
	if errors.Is(err, lavconn.ErrNotSent) {
		return t.giveUp(ctx, again)
	}
	t.arrivals++
	t.runs++
	return t.giveUp(ctx, t.afterIncompleteResponse())
}

// afterIncompleteResponse returns again after a run without a complete response if the request
// may run once more, and OutcomeUnknown otherwise. Only a stream can go on at another endpoint
// once the caller has a part of the response.
func (t *task) afterIncompleteResponse() Outcome {
	route := t.call.Route
	begun := t.headSent && route.Kind != lavconfig.KindStreaming
	if begun || !route.Repeatable() || t.runs >= route.MaxAttempts {
		return OutcomeUnknown
	}
	return again
}

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
