package lavstep

import (
	"fmt"

	"github.com/cockroachdb/errors"
)

// Error wraps an error with the step and the peer at which it occurred.
type Error struct {
	Step Step
	// Peer is the name or address of the remote side. It is empty if the step
	// involves no remote side.
	Peer string
	Err  error
}

// Wrap returns err wrapped in an Error with the given step and peer, or nil if
// err is nil.
func Wrap(err error, step Step, peer string) error {
	if err == nil {
		return nil
	}
	return &Error{Step: step, Peer: peer, Err: err}
}

// Errorf returns a new Error with the given step, peer and formatted message.
func Errorf(step Step, peer, format string, args ...any) error {
	return &Error{Step: step, Peer: peer, Err: errors.Newf(format, args...)}
}

// Error returns the step, the peer if there is one, and the cause.
func (e *Error) Error() string {
	if e.Peer == "" {
		return fmt.Sprintf("%v: %v", e.Step, e.Err)
	}
	return fmt.Sprintf("%v %s: %v", e.Step, e.Peer, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// InnermostStep returns the step of the innermost Error in err's chain, or None
// if the chain contains no Error.
func InnermostStep(err error) Step {
	step := None
	var e *Error
	for errors.As(err, &e) {
		step = e.Step
		err = e.Err
	}
	return step
}
