package lavmember_test

import (
	"fmt"
	"slices"
	"testing"

	"lavenderrack.example/lavenderrack/lavassert"
	"lavenderrack.example/lavenderrack/lavmember"
)

func viewOf(n int) *lavmember.View {
	v := &lavmember.View{}
	for i := range n {
		v.Members = append(v.Members, lavmember.Member{Incarnation: fmt.Sprintf("entry-%03d-a", i)})
	}
	return v
}

// owners returns the incarnation of the owner of each of count names.
func owners(t *testing.T, v *lavmember.View, count int) []string {
	t.Helper()
	var names []string
	for i := range count {
		m, ok := lavmember.Owner(v, fmt.Sprintf("engine-%d", i))
		lavassert.True(t, "an owner exists", ok)
		names = append(names, m.Incarnation)
	}
	return names
}

func TestOwner(t *testing.T) {
	t.Run("an empty view has no owner", func(t *testing.T) {
		_, ok := lavmember.Owner(&lavmember.View{}, "engine")
		lavassert.True(t, "there is no owner", !ok)
	})
	t.Run("ownership is evenly distributed", func(t *testing.T) {
		counts := make(map[string]int)
		for _, o := range owners(t, viewOf(6), 1100) {
			counts[o]++
		}
		for _, n := range counts {
			lavassert.AtMost(t, "endpoints of one member", n, 1100/6*5/4)
			lavassert.AtLeast(t, "endpoints of one member", n, 1100/6*3/4)
		}
	})
	t.Run("a leaving member moves only its own items", func(t *testing.T) {
		v := viewOf(7)
		before := owners(t, v, 500)
		leaving := v.Members[3].Incarnation
		v.Members[3].Leaving = true
		for i, o := range owners(t, v, 500) {
			lavassert.True(t, "the leaving member owns nothing", o != leaving)
			lavassert.True(t, "items of other members don't move", o == before[i] || before[i] == leaving)
		}
	})
	t.Run("if all members are leaving, one still owns each item", func(t *testing.T) {
		v := viewOf(2)
		v.Members[0].Leaving, v.Members[1].Leaving = true, true
		owners(t, v, 1)
	})
	t.Run("ranks are distinct", func(t *testing.T) {
		v := viewOf(5)
		seen := make(map[int]bool)
		for _, m := range v.Members {
			seen[lavmember.RendezvousRank(v, "watch", m.Incarnation)] = true
		}
		lavassert.Equal(t, "distinct ranks", len(seen), 5)
		lavassert.Equal(t, "rank of an unknown incarnation", lavmember.RendezvousRank(v, "watch", "unknown"), -1)
	})
}

// ownerAndBackup returns the owner and the backup owner of name.
func ownerAndBackup(t *testing.T, v *lavmember.View, name string) [2]lavmember.Member {
	t.Helper()
	owner, ok := lavmember.Owner(v, name)
	lavassert.True(t, "an owner exists", ok)
	deputy, ok := lavmember.BackupOwner(v, name)
	lavassert.True(t, "a backup owner exists", ok)
	return [2]lavmember.Member{owner, deputy}
}

// viewInDomains returns a view of n members, assigned to the failure domains in
// round-robin order.
func viewInDomains(n, domains int) *lavmember.View {
	v := viewOf(n)
	for i := range v.Members {
		v.Members[i].FailureDomain = fmt.Sprint("domain-", i%domains)
	}
	return v
}

// viewWithout returns a copy of the view without the member at index removed.
func viewWithout(v *lavmember.View, removed int) *lavmember.View {
	return &lavmember.View{Members: slices.Delete(slices.Clone(v.Members), removed, removed+1)}
}

func TestBackupOwner(t *testing.T) {
	t.Run("the backup owner is in another failure domain, if there is one", func(t *testing.T) {
		for i := range 200 {
			name := fmt.Sprint("thing-", i)
			pair := ownerAndBackup(t, viewInDomains(6, 3), name)
			lavassert.True(t, "the two failure domains differ", pair[0].FailureDomain != pair[1].FailureDomain)
			pair = ownerAndBackup(t, viewInDomains(6, 1), name)
			lavassert.True(t, "the two members differ", pair[0].Incarnation != pair[1].Incarnation)
		}
	})
	t.Run("a view of one member has no backup owner", func(t *testing.T) {
		_, ok := lavmember.BackupOwner(viewOf(1), "thing")
		lavassert.True(t, "there is no backup owner", !ok)
	})
	// State that is kept by the owner and the backup owner is lost if one
	// membership change replaces both.
	t.Run("one of the two remains when a member joins or leaves", func(t *testing.T) {
		for _, domains := range []int{1, 2, 3, 7} {
			v := viewInDomains(7, domains)
			for i := range 200 {
				name := fmt.Sprint("thing-", i)
				before := ownerAndBackup(t, v, name)
				for removed := range v.Members {
					after := ownerAndBackup(t, viewWithout(v, removed), name)
					kept := slices.ContainsFunc(before[:], func(m lavmember.Member) bool { return slices.Contains(after[:], m) })
					lavassert.True(t, fmt.Sprintf("one of the two keeps %s without member %d of %d failure domains", name, removed, domains), kept)
				}
			}
		}
	})
}

// TestHighestRanked compares the selection of the highest ranks with the rank of each member.
func TestHighestRanked(t *testing.T) {
	v := &lavmember.View{}
	for i := range 50 {
		v.Members = append(v.Members, lavmember.Member{Incarnation: fmt.Sprintf("host-%02d", i)})
	}
	for _, n := range []int{0, 1, 2, 7, 50, 60} {
		got := lavmember.HighestRanked(v, "item", n)
		lavassert.Equal(t, "members", len(got), min(n, 50))
		for rank, m := range got {
			lavassert.Equal(t, "rank of "+m.Incarnation, lavmember.RendezvousRank(v, "item", m.Incarnation), rank)
		}
	}
}
