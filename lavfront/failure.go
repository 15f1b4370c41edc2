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

// failure is the error of a request in the OpenAI shape.
type failure struct {
	status     int
	outcome    lavrequest.Outcome
	retryAfter time.Duration
	kind       string
	message    string
	// param and code are empty where the interface has null.
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
	return &failure{status: http.StatusBadRequest, outcome: lavrequest.OutcomeNotRun, kind: "invalid_request_error", message: message}
}

func unauthorized() *failure {
	return &failure{status: http.StatusUnauthorized, outcome: lavrequest.OutcomeNotRun, kind: "authentication_error", message: "unknown customer credential"}
}

// notYet refuses a request at a host that has no release yet, and so knows
// neither customers nor services. A call with an idempotency key may have run
// at another host before: of that this one knows nothing.
func notYet(r *http.Request) *failure {
	f := &failure{status: http.StatusServiceUnavailable, outcome: lavrequest.OutcomeNotRun, retryAfter: time.Second, kind: "server_error", message: "this host has no release yet"}
	if r.Header.Get(lavrequest.HeaderIdempotencyKey) != "" {
		f.outcome = lavrequest.OutcomeUnknown
	}
	return f
}

func notFound(message string) *failure {
	return &failure{status: http.StatusNotFound, outcome: lavrequest.OutcomeNotRun, kind: "not_found_error", message: message}
}

// retryAfterFault is what a caller is told after a passing fault.
const retryAfterFault = time.Second

// failureOf says what the caller is told of err; failed is the outcome.
func failureOf(err error, failed lavrequest.Outcome) *failure {
	var known *failure
	if errors.As(err, &known) {
		return known
	}
	f := &failure{outcome: failed, message: err.Error(), kind: "server_error", status: http.StatusBadGateway}
	var refusal *lavqueue.Refusal
	switch {
	case errors.As(err, &refusal):
		f.refuse(refusal)
	case errors.Is(err, lavledger.ErrUncertain):
		f.status, f.retryAfter, f.outcome = http.StatusServiceUnavailable, retryAfterFault, lavrequest.OutcomeUnknown
	case errors.Is(err, lavledger.ErrNotClaimed):
		f.status, f.retryAfter = http.StatusServiceUnavailable, retryAfterFault
	case errors.Is(err, lavledger.ErrKeyReused):
		f.status, f.kind = http.StatusUnprocessableEntity, "invalid_request_error"
	case errors.Is(err, lavstream.ErrInvalidToken):
		f.status, f.kind = http.StatusForbidden, "permission_error"
	case errors.Is(err, lavstream.ErrStreamLost):
		f.status = http.StatusGone
	case errors.IsAny(err, context.DeadlineExceeded, lavretry.ErrDeadline):
		f.status = http.StatusGatewayTimeout
	default:
		f.retryAfter = retryAfterFault
	}
	return f
}

// refuse tells of a request that was not taken in, or not taken on.
func (f *failure) refuse(r *lavqueue.Refusal) {
	f.retryAfter = r.RetryAfter
	switch {
	case r.Reason == lavqueue.ReasonQuarantined:
		f.status, f.kind = http.StatusUnprocessableEntity, "invalid_request_error"
		f.message = "this request has killed the endpoints that ran it"
	case r.RetryAfter > 0:
		f.status, f.kind = http.StatusTooManyRequests, "rate_limit_error"
	default:
		f.status = http.StatusServiceUnavailable
	}
}

// unknown returns the failure with an unknown outcome.
func (f *failure) unknown() *failure {
	changed := *f
	changed.outcome = lavrequest.OutcomeUnknown
	return &changed
}

// write answers with the failure.
func (f *failure) write(w http.ResponseWriter) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(lavrequest.HeaderOutcome, f.outcome.String())
	if f.retryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(f.retryAfter.Seconds()))))
	}
	w.WriteHeader(f.status)
	_ = json.NewEncoder(w).Encode(f.body())
}

func (f *failure) body() failureBody {
	return failureBody{Error: failureDetail{Message: f.message, Type: f.kind, Param: orNull(f.param), Code: orNull(f.code)}}
}

func orNull(text string) *string {
	if text == "" {
		return nil
	}
	return &text
}
