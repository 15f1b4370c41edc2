package lavretry

import (
	"time"

	"lavenderrack.example/lavenderrack/lavengine"
	"lavenderrack.example/lavenderrack/lavrequest"
)

// Attempt is one attempt to run a request at one endpoint.
type Attempt struct {
	Endpoint    string
	Incarnation lavengine.Incarnation
	Began       time.Time
	Ended       time.Time
	// Wrote is true if a byte of the request may have been sent.
	Wrote bool
	Err   error
}

// Attempts lists the attempts of one request in order.
type Attempts struct {
	list []Attempt
}

// Add appends an attempt that has ended.
func (a *Attempts) Add(t Attempt) { a.list = append(a.list, t) }

// Len returns the number of attempts.
func (a *Attempts) Len() int { return len(a.list) }

// Wrote reports whether any attempt may have sent a byte.
func (a *Attempts) Wrote() bool {
	for i := range a.list {
		if a.list[i].Wrote {
			return true
		}
	}
	return false
}

// FailureOutcome returns the outcome of a request whose attempts have all failed.
func (a *Attempts) FailureOutcome() lavrequest.Outcome {
	if a.Wrote() {
		return lavrequest.OutcomeUnknown
	}
	return lavrequest.OutcomeNotRun
}

// Endpoints returns the names of the endpoints in the order of the attempts.
// Attempts without an endpoint are left out.
func (a *Attempts) Endpoints() []string {
	names := make([]string, 0, len(a.list))
	for i := range a.list {
		if a.list[i].Endpoint != "" {
			names = append(names, a.list[i].Endpoint)
		}
	}
	return names
}
