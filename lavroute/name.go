package lavroute

//go:generate stringer -type=Name -trimprefix=Name -output=name_string.go

// Name identifies a policy.
type Name int

// Policies. The zero value is the one used in production.
const (
	NameBalanced Name = iota
	NameRandom
	NameRoundRobin
	NameLeastOutstanding
	NamePrefixHash
	nameEnd
)

// Names lists every policy, starting with the one used in production.
func Names() []Name {
	names := make([]Name, 0, nameEnd)
	for n := range nameEnd {
		names = append(names, n)
	}
	return names
}

// NewPolicy returns a new policy of the given kind. Policies that take the
// prefix cache into account use the index.
func NewPolicy(n Name, caches *CacheIndex) Policy {
	switch n {
	case NameRandom:
		return Random{}
	case NameRoundRobin:
		return &RoundRobin{}
	case NameLeastOutstanding:
		return LeastOutstanding{}
	case NamePrefixHash:
		return PrefixHash{}
	default:
		return NewBalanced(caches)
	}
}

// ParseName returns the policy with that name and whether the name is known.
func ParseName(text string) (Name, bool) {
	for _, n := range Names() {
		if n.String() == text {
			return n, true
		}
	}
	return NameBalanced, false
}
