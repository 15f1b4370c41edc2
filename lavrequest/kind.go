package lavrequest

import "github.com/cockroachdb/errors"

//go:generate stringer -type=Kind -trimprefix=Kind -output=kind_string.go

// Kind is the kind of work that a request asks for. It determines the request's
// weight in metrics and in fair sharing between customers.
type Kind int

// The kinds of requests.
const (
	// KindInteractive is a prompt whose answer a person is waiting for.
	KindInteractive Kind = iota
	// KindReview is a prompt that may be delayed up to its deadline.
	KindReview
	// KindAudit is a prompt that contains a whole history. It may be delayed
	// for a long time but must complete.
	KindAudit
	// KindOrder is a service call that must not be repeated.
	KindOrder
	// KindLookup is an idempotent service call.
	KindLookup
)

// Kinds returns all kinds, in the order of their constants.
func Kinds() []Kind {
	return []Kind{KindInteractive, KindReview, KindAudit, KindOrder, KindLookup}
}

// ParseKind returns the kind with the given name, and false if there is none.
func ParseKind(name string) (Kind, bool) {
	for _, k := range Kinds() {
		if k.String() == name {
			return k, true
		}
	}
	return 0, false
}

// Repeatable reports whether a request of this kind may be sent more than once.
func (k Kind) Repeatable() bool { return k != KindOrder }

// MarshalText implements encoding.TextMarshaler. The text is the name of the
// kind.
func (k Kind) MarshalText() ([]byte, error) { return []byte(k.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler for the name of a kind.
func (k *Kind) UnmarshalText(text []byte) error {
	parsed, ok := ParseKind(string(text))
	if !ok {
		return errors.Newf("unknown kind %q", text)
	}
	*k = parsed
	return nil
}

// IsPrompt reports whether requests of this kind are prompts for a model rather
// than service calls.
func (k Kind) IsPrompt() bool {
	return k == KindInteractive || k == KindReview || k == KindAudit
}
