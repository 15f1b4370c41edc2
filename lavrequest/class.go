package lavrequest

//go:generate stringer -type=LengthClass -trimprefix=Class -output=class_string.go

// LengthClass groups requests by the lengths of their prompts.
type LengthClass int

// The length classes, from the shortest prompts to the longest.
const (
	ClassShort LengthClass = iota
	ClassMedium
	ClassLong
	ClassHuge
)

// ClassCount is the number of length classes. Each class has its own lane in
// the queue.
const ClassCount = int(ClassHuge) + 1

// Upper limits of the length classes in tokens. A prompt of exactly this length
// belongs to the next longer class.
const (
	ShortLimitTokens  = 4_000
	MediumLimitTokens = 32_000
	LongLimitTokens   = 100_000
)

// Classes returns all length classes, from the shortest prompts to the longest.
func Classes() []LengthClass {
	return []LengthClass{ClassShort, ClassMedium, ClassLong, ClassHuge}
}

// ClassOf returns the length class of a prompt with the given number of tokens.
func ClassOf(tokens int) LengthClass {
	switch {
	case tokens < ShortLimitTokens:
		return ClassShort
	case tokens < MediumLimitTokens:
		return ClassMedium
	case tokens < LongLimitTokens:
		return ClassLong
	default:
		return ClassHuge
	}
}

// MarshalText implements encoding.TextMarshaler. The text is the name of the
// class without the prefix "Class".
func (c LengthClass) MarshalText() ([]byte, error) { return []byte(c.String()), nil }
