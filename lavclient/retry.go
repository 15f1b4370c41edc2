package lavclient

import (
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"lavenderrack.example/lavenderrack/lavrequest"

	"github.com/cockroachdb/errors"
)

// Retry limits of a call.
const (
	maxAttempts   = 6
	backoffBase   = 50 * time.Millisecond
	maxRetryAfter = 10 * time.Second
	// jitterDivisor limits the random addition to a Retry-After delay to a quarter
	// of it. The jitter spreads out clients that received the same delay.
	jitterDivisor = 4
)

// attemptResult holds the properties of an attempt that decide about a retry.
type attemptResult struct {
	// answered is true if a host responded, and notSent if no connection was
	// established.
	answered   bool
	notSent    bool
	outcome    lavrequest.Outcome
	retryAfter time.Duration
	// repeatable is true if the call may be sent twice.
	repeatable bool
}

// newAttemptResult evaluates a response or error. The caller sets the field repeatable.
func newAttemptResult(response *http.Response, err error) attemptResult {
	if err != nil {
		return attemptResult{notSent: dialFailed(err)}
	}
	outcome, _ := lavrequest.ParseOutcome(response.Header.Get(lavrequest.HeaderOutcome))
	return attemptResult{answered: true, outcome: outcome, retryAfter: parseRetryAfter(response.Header)}
}

// retryDecision returns whether to send the call again, and the delay before that. It
// rules out a retry that would start after the deadline, given the time remaining, and
// a retry of a call that may have run and isn't repeatable. The backoff after a lost
// connection is random and its upper limit doubles with each attempt.
func retryDecision(r attemptResult, attempt int, remaining time.Duration) (time.Duration, bool) {
	if attempt >= maxAttempts {
		return 0, false
	}
	var wait time.Duration
	switch {
	case r.answered && (r.outcome != lavrequest.OutcomeNotRun || r.retryAfter == 0):
		return 0, false
	case r.answered:
		wait = min(r.retryAfter, maxRetryAfter)
		wait += rand.N(wait / jitterDivisor)
	case r.notSent:
		wait = 0
	case r.repeatable:
		wait = rand.N(backoffBase << attempt)
	default:
		return 0, false
	}
	return wait, wait < remaining
}

// dialFailed reports whether the connection could not be established, which means that
// no part of the request was sent.
func dialFailed(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
