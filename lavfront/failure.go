package lavfront

import (
	"context"
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"lavenderrack.example/lavenderrack/lavledger"
	"lavenderrack.example/lavenderrack/lavqueue"
	"lavenderrack.example/lavenderrack/lavrequest"
	"lavenderrack.example/lavenderrack/lavretry"
	"lavenderrack.example/lavenderrack/lavstream"

	"github.com/cockroachdb/errors"
)

// failure is an error response to a request. Its body has the OpenAI format.
type failure struct {
	status     int
	outcome    lavrequest.Outcome
	retryAfter time.Duration
	errorType  string
	message    string
	// param and code are sent as null if they are empty.
	param string
	code  string
}

// Error implements error.
func (f *failure) Error() string { return f.message }

type failureBody struct {
	Error failureDetail `json:"error"`
}

type failureDetail struct {
	Message string  `json:"message"`
	Type    string  `json:"type"`
	Param   *string `json:"param"`
	Code    *string `json:"code"`
}

func badRequest(message string) *failure {
	return &failure{status: http.StatusBadRequest, outcome: lavrequest.OutcomeNotRun, errorType: "invalid_request_error", message: message}
}

func unauthorized() *failure {
	return &failure{status: http.StatusUnauthorized, outcome: lavrequest.OutcomeNotRun, errorType: "authentication_error", message: "unknown customer credential"}
}

// noReleaseYet returns the failure for a request to a host that has not received a
// release and therefore knows no customers or services. If the request has an
// idempotency key, the outcome is Unknown, because an earlier attempt may have run
// through another host.
func noReleaseYet(r *http.Request) *failure {
	f := &failure{status: http.StatusServiceUnavailable, outcome: lavrequest.OutcomeNotRun, retryAfter: time.Second, errorType: "server_error", message: "this host has no release yet"}
	if r.Header.Get(lavrequest.HeaderIdempotencyKey) != "" {
		f.outcome = lavrequest.OutcomeUnknown
	}
	return f
}

func notFound(message string) *failure {
	return &failure{status: http.StatusNotFound, outcome: lavrequest.OutcomeNotRun, errorType: "not_found_error", message: message}
}

// retryAfterTransient is the Retry-After value for failures that are expected to be
// transient.
const retryAfterTransient = time.Second

// failureOf converts err into the response for the caller. It sets the given
// outcome unless err implies another one.
func failureOf(err error, outcome lavrequest.Outcome) *failure {
	var known *failure
	if errors.As(err, &known) {
		return known
	}
	f := &failure{outcome: outcome, message: err.Error(), errorType: "server_error", status: http.StatusBadGateway}
	var refusal *lavqueue.Refusal
	switch {
	case errors.As(err, &refusal):
		f.setRefusal(refusal)
	case errors.Is(err, lavledger.ErrUncertain):
		f.status, f.retryAfter, f.outcome = http.StatusServiceUnavailable, retryAfterTransient, lavrequest.OutcomeUnknown
	case errors.Is(err, lavledger.ErrNotClaimed):
		f.status, f.retryAfter = http.StatusServiceUnavailable, retryAfterTransient
	case errors.Is(err, lavledger.ErrKeyReused):
		f.status, f.errorType = http.StatusUnprocessableEntity, "invalid_request_error"
	case errors.Is(err, lavstream.ErrInvalidToken):
		f.status, f.errorType = http.StatusForbidden, "permission_error"
	case errors.Is(err, lavstream.ErrStreamLost):
		f.status = http.StatusGone
	case errors.IsAny(err, context.DeadlineExceeded, lavretry.ErrDeadline):
		f.status = http.StatusGatewayTimeout
	default:
		f.retryAfter = retryAfterTransient
	}
	return f
}

// setRefusal fills in the failure of a request that was refused at admission or at a
// later attempt.
func (f *failure) setRefusal(r *lavqueue.Refusal) {
	f.retryAfter = r.RetryAfter
	switch {
	case r.Reason == lavqueue.ReasonQuarantined:
		f.status, f.errorType = http.StatusUnprocessableEntity, "invalid_request_error"
		f.message = "this request has killed the endpoints that ran it"
	case r.RetryAfter > 0:
		f.status, f.errorType = http.StatusTooManyRequests, "rate_limit_error"
	default:
		f.status = http.StatusServiceUnavailable
	}
}

// withUnknownOutcome returns a copy of the failure whose outcome is Unknown.
func (f *failure) withUnknownOutcome() *failure {
	changed := *f
	changed.outcome = lavrequest.OutcomeUnknown
	return &changed
}

// write sends the failure as the HTTP response.
func (f *failure) write(w http.ResponseWriter) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(lavrequest.HeaderOutcome, f.outcome.String())
	if f.retryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(f.retryAfter.Seconds()))))
	}
	w.WriteHeader(f.status)
	_ = json.NewEncoder(w).Encode(f.body())
}

// body returns the response body of the failure.
func (f *failure) body() failureBody {
	return failureBody{Error: failureDetail{Message: f.message, Type: f.errorType, Param: nullIfEmpty(f.param), Code: nullIfEmpty(f.code)}}
}

func nullIfEmpty(text string) *string {
	if text == "" {
		return nil
	}
	return &text
}
