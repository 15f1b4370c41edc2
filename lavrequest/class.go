package lavrequest

//go:generate stringer -type=LengthClass -trimprefix=Class -output=class_string.go

// LengthClass groups requests by the length of their prompts.
type LengthClass int

// The length classes, shortest first.
const (
	ClassShort LengthClass = iota
	ClassMedium
	ClassLong
	ClassHuge
)

// ClassCount is the number of length classes, and of lanes.
const ClassCount = int(ClassHuge) + 1

// Upper bounds of the length classes in tokens, exclusive.
const (
	ShortLimitTokens  = 4_000
	MediumLimitTokens = 32_000
	LongLimitTokens   = 100_000
)

// Classes lists every length class, shortest first.
func Classes() []LengthClass {
	return []LengthClass{ClassShort, ClassMedium, ClassLong, ClassHuge}
}

// ClassOf returns the length class of a prompt of that many tokens.
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

// MarshalText writes the class's name.
func (c LengthClass) MarshalText() ([]byte, error) { return []byte(c.String()), nil }
