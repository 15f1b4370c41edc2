package lavmember

import (
	"net/netip"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Member is one incarnation of an entry host.
type Member struct {
	// Incarnation is unique to each start of the process.
	Incarnation   string
	Host          string
	FailureDomain string
	Entry         netip.AddrPort
	Mesh          netip.AddrPort
	// Datagrams is the address at which the host receives datagrams. It is the zero
	// value if the host receives none.
	Datagrams netip.AddrPort `json:",omitzero"`
	// Leaving is true once the host is draining: it still serves requests, but new
	// callers are no longer directed to it.
	Leaving bool
}

// View is the set of members at one time, sorted by incarnation. It is immutable.
type View struct {
	Members []Member
}

// Member returns the member with the given incarnation.
func (v *View) Member(incarnation string) (Member, bool) {
	i, ok := slices.BinarySearchFunc(v.Members, incarnation, func(m Member, want string) int {
		return strings.Compare(m.Incarnation, want)
	})
	if !ok {
		return Member{}, false
	}
	return v.Members[i], true
}

func newView(members []Member) *View {
	slices.SortFunc(members, func(a, b Member) int { return strings.Compare(a.Incarnation, b.Incarnation) })
	return &View{Members: members}
}

// Digest returns a hash of the members' incarnations and their Leaving flags.
func (v *View) Digest() uint64 {
	d := xxhash.New()
	for i := range v.Members {
		_, _ = d.WriteString(v.Members[i].Incarnation)
		leavingMark := " "
		if v.Members[i].Leaving {
			leavingMark = "-"
		}
		_, _ = d.WriteString(leavingMark)
	}
	return d.Sum64()
}
