package lavqueue

import (
	"time"

	"lavenderrack.example/lavenderrack/lavrequest"
)

// Settings bound and weigh a queue.
type Settings struct {
	// MaxWaiting bounds the requests that wait, and MaxPerCustomer those of
	// one customer.
	MaxWaiting     int
	MaxPerCustomer int
	// BurstTokens is how far a customer may run ahead of one who is behind,
	// in tokens for a share of one.
	BurstTokens float64
	// Reserved is the part of the tokens that each lane gets at least while
	// it waits.
	Reserved [lavrequest.ClassCount]float64
	// UrgentPart is the last part of a request's time to wait, one in so many,
	// in which it goes before others.
	UrgentPart int
	// Share returns a customer's weight; nil gives all the same.
	Share func(customer string) float64
	// Refuse, if not nil, may refuse a request before all else, such as one
	// that has killed endpoints.
	Refuse func(r *lavrequest.Request) *Refusal
	// Single makes one queue in order of arrival, without lanes and shares.
	Single bool
}

// DefaultSettings returns the settings that hosts run.
func DefaultSettings() Settings {
	return Settings{
		MaxWaiting:     4096,
		MaxPerCustomer: 2048,
		BurstTokens:    50_000,
		Reserved:       [lavrequest.ClassCount]float64{0, 0.25, 0.15, 0.25},
		UrgentPart:     8,
	}
}

// Times that refused callers are told.
const (
	minRetryAfter  = time.Second
	maxRetryAfter  = time.Minute
	retryAfterFull = 2 * time.Second
)

// Rates are measured speeds of the endpoints that serve one model.
type Rates struct {
	// Drain is the prompt tokens a second that leave this host's queue for the
	// model while requests wait.
	Drain float64
	// Prefill and Decode are the speeds of one endpoint for one request, in
	// tokens a second. Zero is unknown and taken for unlimited.
	Prefill float64
	Decode  float64
	// Stretch is how much longer a prompt of each lane takes to read than it
	// would alone; below 1 counts as 1.
	Stretch [lavrequest.ClassCount]float64
	// Ahead is the work at the endpoints that a prompt of each lane waits for.
	Ahead [lavrequest.ClassCount]time.Duration
}

// Service returns the time from dispatch to the last token.
func (r *Rates) Service(q *lavrequest.Request, lane lavrequest.LengthClass) time.Duration {
	t := over(float64(q.PromptTokens)*max(r.Stretch[lane], 1), r.Prefill)
	return t + over(float64(q.MaxTokens), r.Decode)
}

// over returns the time that tokens take at a speed.
func over(tokens, rate float64) time.Duration {
	if rate <= 0 {
		return 0
	}
	return time.Duration(tokens / rate * float64(time.Second))
}
