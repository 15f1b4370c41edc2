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

// attempt sends the request to one choice of endpoints and passes the answer on.
// It returns again if another attempt may follow.
func (t *task) attempt(ctx context.Context, c *choice) Outcome {
	verdict := lavfleet.VerdictNone
	defer func() { c.run.End(verdict) }()
	life := c.endpoint.Incarnation()
	t.tried[life] = true
	t.trace.send(c)
	hold, err := t.reserve(ctx, c)
	if err != nil {
		return again
	}
	defer hold.release()
	t.stopPace = t.watchPace(ctx, c)
	defer t.stopPace()
	answer, err := t.relay.pool.Do(ctx, c.endpoint.Address, t.request(c, hold), t.mine)
	if err != nil {
		verdict = t.failed(ctx, c, err)
		return t.afterLoss(ctx, err)
	}
	t.arrivals++
	head := platform.DecodeAnswer(answer.Status, answer.Header)
	if head.NotRun {
		answer.Discard(head.KeepIdle)
		t.refused(c, head)
		return again
	}
	t.runs++
	outcome, err := t.pass(ctx, c, answer, head)
	if err != nil {
		verdict = t.failed(ctx, c, err)
		return t.given(ctx, t.afterBreak())
	}
	verdict = lavfleet.VerdictGood
	return outcome
}

// request returns the request as the chosen endpoint gets it.
func (t *task) request(c *choice, hold *hold) lavconn.Request {
	silence, check := t.patience(t.runs + 1)
	onward := platform.Onward{
		Customer:  t.call.Customer,
		Left:      time.Until(t.call.Deadline),
		Endpoint:  c.endpoint.ID,
		Priority:  t.call.Prompt.Priority(),
		LastEvent: t.events.last,
	}
	for i, h := range c.helpers {
		onward.Helpers = append(onward.Helpers, platform.Helper{Address: h.Address.String(), Ticket: hold.ticket(i)})
	}
	return lavconn.Request{
		Method:        t.call.Method,
		Target:        t.call.Target,
		HostName:      t.call.HostName,
		Header:        platform.EncodeOnward(t.call.Header, onward),
		Body:          t.call.Body,
		NewConnection: !t.call.Route.Repeatable(),
		HeaderTimeout: silence,
		ProbeAfter:    check,
	}
}

// mine reports whether an answer is to this request. Endpoints echo its ID; an
// answer without one is taken only on a connection that has had no other
// request.
func (t *task) mine(answer *http.Response, fresh bool) bool {
	id := platform.DecodeAnswer(answer.StatusCode, answer.Header).ID
	return id == t.call.ID || id == "" && fresh
}

// refused notes an answer that says that the request was not run.
func (t *task) refused(c *choice, head platform.Answer) {
	t.trace.refusals++
	for _, h := range c.helpers {
		if head.AtFault == h.ID || head.AtFault == h.Address.String() {
			t.relay.fleet.Doubt(h.Incarnation())
			return
		}
	}
	t.relay.fleet.Doubt(c.endpoint.Incarnation())
}

// failed notes an attempt that ended without a whole answer, and returns what
// that says of the endpoint.
func (t *task) failed(ctx context.Context, c *choice, err error) lavfleet.Verdict {
	t.trace.fail(err)
	if ctx.Err() != nil {
		return lavfleet.VerdictNone
	}
	if errors.Is(err, lavconn.ErrResponseLost) && !lavconn.TimedOut(err) {
		t.relay.suspects.Lost(t.call.Fingerprint, c.endpoint)
	}
	return lavfleet.VerdictBad
}

// afterLoss decides what follows an attempt that brought no answer.
func (t *task) afterLoss(ctx context.Context, err error) Outcome {
	if errors.Is(err, lavconn.ErrNotSent) {
		return t.given(ctx, again)
	}
	t.arrivals++
	t.runs++
	return t.given(ctx, t.afterBreak())
}

// afterBreak decides what follows a run that ended without a whole answer.
func (t *task) afterBreak() Outcome {
	if !t.call.Route.Repeatable() || t.runs >= t.call.Route.MaxAttempts {
		return OutcomeUnknown
	}
	return again
}

// pass passes an answer on. An error means that it broke off.
func (t *task) pass(ctx context.Context, c *choice, answer *lavconn.Response, head platform.Answer) (Outcome, error) {
	if head.Events && answer.Status < http.StatusMultipleChoices {
		return t.passStream(ctx, c, answer, head)
	}
	return t.passWhole(answer, head)
}

// maxWholeBytes bounds an answer that is read before it is passed on.
const maxWholeBytes = 8 << 20

// passWhole reads an answer to its end and passes it on, or returns again for a
// failure that another endpoint may not have.
func (t *task) passWhole(answer *lavconn.Response, head platform.Answer) (Outcome, error) {
	defer func() { answer.Close(head.KeepIdle) }()
	body, err := io.ReadAll(io.LimitReader(answer, maxWholeBytes))
	if err != nil {
		return 0, err
	}
	failed := answer.Status >= http.StatusInternalServerError
	if failed && t.afterBreak() == again && t.mayRepeat() {
		t.trace.refusals++
		return again, nil
	}
	if t.begun {
		return 0, errors.Mark(errors.Newf("status %d for the rest of a stream", answer.Status), lavconn.ErrResponseLost)
	}
	platform.CopyAnswer(t.out.Header(), answer.Header)
	t.out.WriteHeader(answer.Status)
	t.begun = true
	if _, err := t.out.Write(body); err != nil {
		return OutcomeLeft, nil
	}
	if failed {
		return OutcomePassed, nil
	}
	return OutcomeDone, nil
}

// mayRepeat reports whether there is time for one more attempt. What the
// endpoint answered is passed on otherwise.
func (t *task) mayRepeat() bool {
	return time.Until(t.call.Deadline) > t.call.Route.Objective/2 && t.call.Route.Kind != lavconfig.KindUnsafe
}
