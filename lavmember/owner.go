package lavmember

import "github.com/cespare/xxhash/v2"

// Owner returns the member that owns the thing of that name, such as an
// endpoint. It is the one with the highest rendezvous weight among the members
// that don't leave, or among all if every one leaves; it is false only for an
// empty view. Two hosts with the same view name the same owner, and a member
// that comes or goes moves only what it owns itself.
func Owner(v *View, name string) (Member, bool) {
	return first(v, name, func(*Member) bool { return true })
}

// BackupOwner returns the member that keeps the thing of that name beside its owner.
// It is the next one by weight in another failure domain, or the next one of all
// if there is no other failure domain. Whichever single member comes or goes, and
// whichever failure domain is lost, one of the two before is one of the two after.
func BackupOwner(v *View, name string) (Member, bool) {
	owner, ok := Owner(v, name)
	if !ok {
		return Member{}, false
	}
	deputy, ok := first(v, name, func(m *Member) bool { return m.FailureDomain != owner.FailureDomain })
	if ok {
		return deputy, true
	}
	return first(v, name, func(m *Member) bool { return m.Incarnation != owner.Incarnation })
}

// first returns the member with the highest weight among those that may be
// chosen and don't leave, or among all that may be if each of them leaves.
func first(v *View, name string, may func(*Member) bool) (Member, bool) {
	best, found := 0, false
	top := uint64(0)
	for _, leaving := range []bool{false, true} {
		for i := range v.Members {
			m := &v.Members[i]
			if m.Leaving != leaving || !may(m) {
				continue
			}
			if w := weight(m.Incarnation, name); !found || w > top {
				best, top, found = i, w, true
			}
		}
		if found {
			return v.Members[best], true
		}
	}
	return Member{}, false
}

// RendezvousRank returns how many members come before the one of that incarnation in the
// order of rendezvous weight for name, or -1 if it is not in the view.
func RendezvousRank(v *View, name, incarnation string) int {
	if _, ok := v.Member(incarnation); !ok {
		return -1
	}
	own := weight(incarnation, name)
	rank := 0
	for i := range v.Members {
		if weight(v.Members[i].Incarnation, name) > own {
			rank++
		}
	}
	return rank
}

// weight mixes the hashes of a member and a name. The multiplication spreads
// the bits that the exclusive or has joined.
func weight(incarnation, name string) uint64 {
	h := xxhash.Sum64String(incarnation) ^ xxhash.Sum64String(name)*0x9e3779b97f4a7c15
	h ^= h >> 32
	h *= 0xd6e8feb86659fd93
	h ^= h >> 32
	return h
}
