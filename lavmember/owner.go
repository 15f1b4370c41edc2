package lavmember

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Owner returns the member that owns the named item, for example an endpoint.
// Ownership uses rendezvous hashing: the owner is the member with the highest
// weight among the members that are not leaving, or among all members if all are
// leaving. The second result is false only for an empty view. Hosts with the same
// view compute the same owner, and a member that joins or leaves changes the
// ownership only of its own items.
func Owner(v *View, name string) (Member, bool) {
	return highestWeight(v, name, func(*Member) bool { return true })
}

// BackupOwner returns the member that keeps a second copy of the named item. It is
// the member with the highest weight in a failure domain other than the owner's,
// or, if there is no other failure domain, the member with the highest weight after
// the owner. If a single member joins or leaves, or a whole failure domain is lost,
// at least one of the previous owner and backup owner is still one of the two
// afterwards.
func BackupOwner(v *View, name string) (Member, bool) {
	owner, ok := Owner(v, name)
	if !ok {
		return Member{}, false
	}
	backup, ok := highestWeight(v, name, func(m *Member) bool { return m.FailureDomain != owner.FailureDomain })
	if ok {
		return backup, true
	}
	return highestWeight(v, name, func(m *Member) bool { return m.Incarnation != owner.Incarnation })
}

// highestWeight returns the member with the highest rendezvous weight among the
// eligible members that are not leaving. If all eligible members are leaving, it
// chooses among those.
func highestWeight(v *View, name string, eligible func(*Member) bool) (Member, bool) {
	best, found := 0, false
	bestWeight := uint64(0)
	for _, leaving := range []bool{false, true} {
		for i := range v.Members {
			m := &v.Members[i]
			if m.Leaving != leaving || !eligible(m) {
				continue
			}
			if w := rendezvousWeight(m.Incarnation, name); !found || w > bestWeight {
				best, bestWeight, found = i, w, true
			}
		}
		if found {
			return v.Members[best], true
		}
	}
	return Member{}, false
}

// RendezvousRank returns the number of members with a higher rendezvous weight for
// name than the given incarnation, or -1 if the incarnation is not in the view.
func RendezvousRank(v *View, name, incarnation string) int {
	if _, ok := v.Member(incarnation); !ok {
		return -1
	}
	own := rendezvousWeight(incarnation, name)
	rank := 0
	for i := range v.Members {
		if rendezvousWeight(v.Members[i].Incarnation, name) > own {
			rank++
		}
	}
	return rank
}

// RanksHigher reports whether incarnation a has a higher rendezvous weight for name than b.
func RanksHigher(name, a, b string) bool {
	return rendezvousWeight(a, name) > rendezvousWeight(b, name)
}

// HighestRanked returns the n members with the highest rendezvous weights for name, the
// highest first. It returns fewer if the view has fewer members.
func HighestRanked(v *View, name string, n int) []Member {
	type ranked struct {
		weight uint64
		index  int
	}
	best := make([]ranked, 0, n+1)
	for i := range v.Members {
		next := ranked{rendezvousWeight(v.Members[i].Incarnation, name), i}
		at, _ := slices.BinarySearchFunc(best, next, func(a, b ranked) int { return cmp.Compare(b.weight, a.weight) })
		if at < n {
			best = slices.Insert(best, at, next)
			best = best[:min(len(best), n)]
		}
	}
	members := make([]Member, 0, len(best))
	for _, r := range best {
		members = append(members, v.Members[r.index])
	}
	return members
}

// rendezvousWeight mixes the hashes of an incarnation and a name. The second
// multiplication spreads the bits after the two hashes have been combined by XOR.
func rendezvousWeight(incarnation, name string) uint64 {
	h := xxhash.Sum64String(incarnation) ^ xxhash.Sum64String(name)*0x9e3779b97f4a7c15
	h ^= h >> 32
	h *= 0xd6e8feb86659fd93
	h ^= h >> 32
	return h
}
