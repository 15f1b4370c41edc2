package lavrequest

import "github.com/cockroachdb/errors"

//go:generate stringer -type=Outcome -trimprefix=Outcome -output=outcome_string.go

// Outcome is the final result of a request, as far as it is known.
type Outcome int

// The outcomes of a request.
const (
	// OutcomeUnknown means that the request may have run. It is the zero value,
	// so that an outcome that was never set makes no false claim.
	OutcomeUnknown Outcome = iota
	// OutcomeDone means that the whole answer was delivered.
	OutcomeDone
	// OutcomeNotRun means that no byte of the request reached an endpoint.
	OutcomeNotRun
)

// ParseOutcome returns the outcome with the given name, and false if there is
// none.
func ParseOutcome(name string) (Outcome, bool) {
	for _, o := range []Outcome{OutcomeUnknown, OutcomeDone, OutcomeNotRun} {
		if o.String() == name {
			return o, true
		}
	}
	return OutcomeUnknown, false
}

// MarshalText implements encoding.TextMarshaler. The text is the name of the
// outcome.
func (o Outcome) MarshalText() ([]byte, error) { return []byte(o.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler for the name of an outcome.
func (o *Outcome) UnmarshalText(text []byte) error {
	parsed, ok := ParseOutcome(string(text))
	if !ok {
		return errors.Newf("unknown outcome %q", text)
	}
	*o = parsed
	return nil
}
