package lavburn

import (
	"time"

	"lavenderrack.example/lavenderrack/lavrelease"
	"lavenderrack.example/lavenderrack/lavrequest"
)

// Sample describes one completed request.
type Sample struct {
	Customer string
	Kind     lavrequest.Kind
	Class    lavrequest.LengthClass
	// Answered is true if the whole answer was delivered before the deadline.
	Answered bool
	// FirstToken is the time from the arrival of the request to the first byte of
	// the answer.
	FirstToken time.Duration
}

// good reports whether the request is good in terms of the objective: it was answered,
// with the first token within the objective's limit, if it has one.
func (s Sample) good(o lavrelease.Objective) bool {
	return s.Answered && (o.FirstToken == 0 || s.FirstToken <= time.Duration(o.FirstToken))
}
