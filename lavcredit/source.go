package lavcredit

import (
	"time"

	"lavenderrack.example/lavenderrack/lavendpoint"
	"lavenderrack.example/lavenderrack/lavengine"
)

// Credit permits the dispatch of one request to one endpoint.
type Credit struct {
	Endpoint    string
	Incarnation lavengine.Incarnation
	Tokens      int
	// Cold is true for a credit at a cold endpoint, under which no work may
	// begin at or after Expires. A credit at a warm endpoint doesn't expire,
	// since the endpoint itself refuses requests that exceed its memory.
	Cold    bool
	Expires time.Time
}

// Valid reports whether work may begin under the credit at now.
func (c Credit) Valid(now time.Time) bool { return !c.Cold || now.Before(c.Expires) }

// Source provides credits. Its methods don't wait for other hosts: if a host has
// no credit, the source asks for an allowance in the background and signals a
// change through Changed.
type Source interface {
	// Take returns a credit for a number of tokens, or false if fewer are
	// available.
	Take(now time.Time, e *lavendpoint.Endpoint, tokens int) (Credit, bool)
	// Available returns the number of tokens that Take can give a credit for.
	Available(now time.Time, e *lavendpoint.Endpoint) int
	// Want asks for tokens that a later call of Take needs.
	Want(now time.Time, e *lavendpoint.Endpoint, tokens int)
	// Return gives a credit back when its work ends.
	Return(c Credit)
	// Suspend stops giving credits for an endpoint that may have restarted,
	// until this host receives a load report after now.
	Suspend(now time.Time, endpoint string)
	// Changed returns a channel that is closed when the available credits may
	// have changed.
	Changed() <-chan struct{}
}

// signal notifies any number of waiters of a change.
type signal struct{ changed chan struct{} }

func newSignal() signal { return signal{changed: make(chan struct{})} }

// broadcast wakes all waiters. The caller must hold the lock that guards the
// signal.
func (s *signal) broadcast() {
	close(s.changed)
	s.changed = make(chan struct{})
}
