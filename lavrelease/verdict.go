package lavrelease

import (
	"lavenderrack.example/lavenderrack/lavstore"

	"github.com/cockroachdb/errors"
)

//go:generate stringer -type=Verdict -trimprefix=Verdict -output=verdict_string.go

// Verdict is the result of publishing a note, as reported to the operator.
type Verdict int

// The verdicts on a note. The zero value makes no claim about the outcome.
const (
	// VerdictUnknown means that the note may or may not have been published.
	// Publishing it again with the same ID is safe and gives a definite answer.
	VerdictUnknown Verdict = iota
	// VerdictInForce means that the note is part of the release history.
	VerdictInForce
	// VerdictConflict means that another release was published first. The note
	// had no effect.
	VerdictConflict
	// VerdictRefused means that the note is invalid. It had no effect.
	VerdictRefused
	// VerdictFailed means that the store could not be used. The note had no
	// effect.
	VerdictFailed
)

// VerdictOf returns the verdict that an error returned by Publish stands for.
func VerdictOf(err error) Verdict {
	var refused *RefusedError
	switch {
	case err == nil:
		return VerdictInForce
	case errors.Is(err, ErrConflict):
		return VerdictConflict
	case errors.As(err, &refused):
		return VerdictRefused
	case errors.Is(err, lavstore.ErrOutcomeUnknown):
		return VerdictUnknown
	default:
		return VerdictFailed
	}
}
