package lavcredit

import (
	"time"

	"lavenderrack.example/lavenderrack/lavendpoint"
	"lavenderrack.example/lavenderrack/lavengine"
)

// Credit allows one dispatch.
type Credit struct {
	Endpoint    string
	Incarnation lavengine.Incarnation
	Tokens      int
	// Cold is true for a cold endpoint. Expires is when such a credit may no
	// longer be used to begin work; what is too much for a warm endpoint it
	// refuses itself.
	Cold    bool
	Expires time.Time
}

// Valid reports whether work may begin under the credit at now.
func (c Credit) Valid(now time.Time) bool { return !c.Cold || now.Before(c.Expires) }

// Source gives credits. It never waits: a host that has no credit asks for
// some behind the scenes and is told later by Changed.
type Source interface {
	// Take returns a credit for that many tokens, or false if there is none
	// now.
	Take(now time.Time, e *lavendpoint.Endpoint, tokens int) (Credit, bool)
	// Available returns the tokens for which Take would give a credit now.
	Available(now time.Time, e *lavendpoint.Endpoint) int
	// Want asks for credit that Take may give later.
	Want(now time.Time, e *lavendpoint.Endpoint, tokens int)
	// Return gives a credit back as its work ends.
	Return(c Credit)
	// Suspend tells that an endpoint may have restarted.
	Suspend(now time.Time, endpoint string)
	// Changed returns a channel that is closed when credits may have come.
	Changed() <-chan struct{}
}

// signal tells any number of waiters of a change.
type signal struct{ changed chan struct{} }

func newSignal() signal { return signal{changed: make(chan struct{})} }

// raise wakes the waiters. The caller holds the lock that guards the signal.
func (s *signal) raise() {
	close(s.changed)
	s.changed = make(chan struct{})
}
