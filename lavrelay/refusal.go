package lavrelay

import (
	"io"
	"net/http"
	"strconv"
	"time"

	"lavenderrack.example/lavenderrack/lavplan"
	"lavenderrack.example/lavenderrack/platform"
)

// finish writes the response to a call for which no endpoint's response was forwarded.
func (t *task) finish(o Outcome) {
	if o == OutcomeDone || o == OutcomePassed {
		return
	}
	if t.headSent || o == OutcomeLeft {
		abort(t.out, t.call.FramedByClose)
	}
	if o == OutcomeLeaving {
		platform.SetClose(t.out.Header())
	}
	platform.SetRefusalHeaders(t.out.Header(), t.call.ID, t.retryAfterFor(o))
	t.out.WriteHeader(t.status(o))
	_, _ = io.WriteString(t.out, o.String()+"\n")
}

// status returns the HTTP status for an outcome. Callers take 503 to mean that the request
// has not run, so it is returned only if that is certain.
func (t *task) status(o Outcome) int {
	switch {
	case t.runs == 0:
		return http.StatusServiceUnavailable
	case o == OutcomeLate:
		return http.StatusGatewayTimeout
	default:
		return http.StatusBadGateway
	}
}

// countRefusal counts a call that was refused for want of room, by its rank.
func (c *metrics) countRefusal(rank int) {
	c.scope.Tagged(map[string]string{"rank": strconv.Itoa(rank)}).Counter("refused").Inc(1)
}

// minRetryAfter keeps callers from retrying before the load can have changed.
const minRetryAfter = 250 * time.Millisecond

// retryAfterFor returns the Retry-After time for an outcome, zero if the caller
// should not retry.
func (t *task) retryAfterFor(o Outcome) time.Duration {
	if t.runs > 0 || o == OutcomeSuspect {
		return 0
	}
	if absence, ok := t.relay.fleet.ExpectedAbsence(t.call.Service); ok && t.retryAfter == 0 {
		return lavplan.RetryAfter(nil, absence, t.relay.returns.Draw)
	}
	return max(t.retryAfter, minRetryAfter)
}
