package lavrequest

import "github.com/cockroachdb/errors"

//go:generate stringer -type=Kind -trimprefix=Kind -output=kind_string.go

// Kind says what sort of work a request is. It decides the weight of the
// request in the measures and in the fair shares.
type Kind int

// The kinds of request.
const (
	// KindInteractive has a person waiting on the answer.
	KindInteractive Kind = iota
	// KindReview may wait, within its deadline.
	KindReview
	// KindAudit reads a whole history; it may wait long but must finish.
	KindAudit
	// KindOrder is a call of a plain service that may not be repeated.
	KindOrder
	// KindLookup is an idempotent call of a plain service.
	KindLookup
)

// Kinds lists every kind in order.
func Kinds() []Kind {
	return []Kind{KindInteractive, KindReview, KindAudit, KindOrder, KindLookup}
}

// ParseKind returns the kind of that name and whether there is one.
func ParseKind(name string) (Kind, bool) {
	for _, k := range Kinds() {
		if k.String() == name {
			return k, true
		}
	}
	return 0, false
}

// Repeatable reports whether a call of this kind may be sent twice.
func (k Kind) Repeatable() bool { return k != KindOrder }

// MarshalText writes the kind's name.
func (k Kind) MarshalText() ([]byte, error) { return []byte(k.String()), nil }

// UnmarshalText reads the kind's name.
func (k *Kind) UnmarshalText(text []byte) error {
	parsed, ok := ParseKind(string(text))
	if !ok {
		return errors.Newf("unknown kind %q", text)
	}
	*k = parsed
	return nil
}

// IsPrompt reports whether requests of this kind are prompts for a model, not
// calls of a plain service.
func (k Kind) IsPrompt() bool {
	return k == KindInteractive || k == KindReview || k == KindAudit
}
