package lavqueue

import (
	"fmt"
	"time"
)

//go:generate stringer -type=Reason -trimprefix=Reason -output=reason_string.go

// Reason is the reason for refusing a request.
type Reason int

// Reasons for refusing a request.
const (
	ReasonNone Reason = iota
	// ReasonFull means that the queue, or the customer's part of it, has
	// reached its limit.
	ReasonFull
	// ReasonDeadline means that the request cannot finish before its deadline.
	ReasonDeadline
	// ReasonNoEndpoint means that no endpoint can serve the request.
	ReasonNoEndpoint
	// ReasonQuarantined means that the request is suspected of having crashed
	// endpoints.
	ReasonQuarantined
	// ReasonLeaving means that this host is draining.
	ReasonLeaving
	// ReasonTooLong means that the request exceeds the memory of every
	// endpoint.
	ReasonTooLong
)

// Refusal is the error for a refused request. The request has not run.
type Refusal struct {
	Reason Reason
	// RetryAfter is the time after which a retry may succeed; zero if a retry
	// will not help.
	RetryAfter time.Duration
}

// Error implements error.
func (r *Refusal) Error() string { return fmt.Sprintf("request refused: %v", r.Reason) }
