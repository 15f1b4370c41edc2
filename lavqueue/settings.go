package lavqueue

import (
	"time"

	"lavenderrack.example/lavenderrack/lavrequest"
)

// Settings configures a queue.
type Settings struct {
	// MaxWaiting limits the number of queued requests, and MaxPerCustomer that
	// of one customer.
	MaxWaiting     int
	MaxPerCustomer int
	// BurstTokens is how many tokens a customer with a share of 1 may be
	// dispatched beyond the customer with the least service. It scales with the
	// share.
	BurstTokens float64
	// ReservedShare is, by lane, the fraction of the dispatched tokens that the
	// lane receives at least while requests wait in it.
	ReservedShare [lavrequest.ClassCount]float64
	// UrgentDivisor is the divisor for the urgent period: a request is
	// preferred over others in the last 1/UrgentDivisor of the time it may
	// wait.
	UrgentDivisor int
	// Share returns a customer's weight. If nil, every customer has a weight of
	// 1.
	Share func(customer string) float64
	// Refuse, if not nil, is called before any other admission check and may
	// refuse a request, such as one that has crashed endpoints.
	Refuse func(r *lavrequest.Request) *Refusal
	// FIFO makes the queue dispatch in order of arrival, without lanes, shares
	// or wait estimates.
	FIFO bool
}

// DefaultSettings returns the settings used in production.
func DefaultSettings() Settings {
	return Settings{
		MaxWaiting:     4096,
		MaxPerCustomer: 2048,
		BurstTokens:    50_000,
		ReservedShare:  [lavrequest.ClassCount]float64{0, 0.25, 0.15, 0.25},
		UrgentDivisor:  8,
	}
}

// Retry times returned to refused callers, before jitter. retryAfterFull
// applies to a full queue; the others limit the retry time computed from the
// estimated wait.
const (
	minRetryAfter  = time.Second
	maxRetryAfter  = time.Minute
	retryAfterFull = 2 * time.Second
)

// Rates holds the measured speeds at which this host and the endpoints process
// requests for one model.
type Rates struct {
	// DrainRate is the rate at which prompt tokens leave this host's queue for
	// the model while requests wait, in tokens per second.
	DrainRate float64
	// PrefillRate and DecodeRate are the speeds of one endpoint for one
	// request, in tokens per second. Zero means unknown and is treated as
	// unlimited.
	PrefillRate float64
	DecodeRate  float64
	// PrefillSlowdown is, by lane, the ratio of the actual prefill time to the
	// prefill time on an idle endpoint. Values below 1 count as 1.
	PrefillSlowdown [lavrequest.ClassCount]float64
	// EndpointWait is, by lane, how long a prompt waits at an endpoint for
	// earlier work before its prefill begins.
	EndpointWait [lavrequest.ClassCount]time.Duration
}

// ServiceTime returns the estimated time from dispatch to the last token.
func (r *Rates) ServiceTime(req *lavrequest.Request, lane lavrequest.LengthClass) time.Duration {
	t := durationAt(float64(req.PromptTokens)*max(r.PrefillSlowdown[lane], 1), r.PrefillRate)
	return t + durationAt(float64(req.MaxTokens), r.DecodeRate)
}

// durationAt returns the time that the tokens take at a rate in tokens per
// second; zero if the rate is unknown.
func durationAt(tokens, rate float64) time.Duration {
	if rate <= 0 {
		return 0
	}
	return time.Duration(tokens / rate * float64(time.Second))
}
