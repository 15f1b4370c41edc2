package lavrelay

import (
	"context"
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
	t.survived = false
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
		t.relay.metrics.unproven.Inc(1)
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
		t.relay.suspects.ConnectionLost(t.call, c.endpoint, t.survived)
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
