package lavmember

import (
	"net/netip"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Member is one life of an entry host.
type Member struct {
	// Incarnation differs for each start of the process.
	Incarnation   string
	Host          string
	FailureDomain string
	Entry         netip.AddrPort
	Mesh          netip.AddrPort
	// Datagrams is where the host takes single messages; it may have no such
	// place.
	Datagrams netip.AddrPort `json:",omitzero"`
	// Leaving is true once the host drains: it serves on, but callers are no
	// longer sent to it.
	Leaving bool
}

// View is the set of members at one time, ordered by incarnation. It is
// immutable.
type View struct {
	Members []Member
}

// Member returns the member of that incarnation.
func (v *View) Member(incarnation string) (Member, bool) {
	i, ok := slices.BinarySearchFunc(v.Members, incarnation, func(m Member, want string) int {
		return strings.Compare(m.Incarnation, want)
	})
	if !ok {
		return Member{}, false
	}
	return v.Members[i], true
}

func sorted(members []Member) *View {
	slices.SortFunc(members, func(a, b Member) int { return strings.Compare(a.Incarnation, b.Incarnation) })
	return &View{Members: members}
}

// Digest names the members of a view, and whether each one leaves.
func (v *View) Digest() uint64 {
	d := xxhash.New()
	for i := range v.Members {
		_, _ = d.WriteString(v.Members[i].Incarnation)
		mark := " "
		if v.Members[i].Leaving {
			mark = "-"
		}
		_, _ = d.WriteString(mark)
	}
	return d.Sum64()
}
