package lavrelease

import (
	"lavenderrack.example/lavenderrack/lavstore"

	"github.com/cockroachdb/errors"
)

//go:generate stringer -type=Verdict -trimprefix=Verdict -output=verdict_string.go

// Verdict is what an operator is told about a note.
type Verdict int

// The verdicts. The zero value claims nothing.
const (
	// VerdictUnknown means that the note may or may not be published; to
	// publish it again with the same ID is safe and tells.
	VerdictUnknown Verdict = iota
	// VerdictInForce means that the note is part of the history.
	VerdictInForce
	// VerdictConflict means that another release came first. The note had no
	// effect.
	VerdictConflict
	// VerdictRefused means that the note is wrong. It had no effect.
	VerdictRefused
	// VerdictFailed means that the store could not be used. The note had no
	// effect.
	VerdictFailed
)

// VerdictOf tells what the error of Publish means.
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
