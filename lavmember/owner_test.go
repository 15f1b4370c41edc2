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

// owners returns the owner's incarnation for each of count names.
func owners(t *testing.T, v *lavmember.View, count int) []string {
	t.Helper()
	var names []string
	for i := range count {
		m, ok := lavmember.Owner(v, fmt.Sprintf("engine-%d", i))
		lavassert.True(t, "an owner is found", ok)
		names = append(names, m.Incarnation)
	}
	return names
}

func TestOwner(t *testing.T) {
	t.Run("an empty view has none", func(t *testing.T) {
		_, ok := lavmember.Owner(&lavmember.View{}, "engine")
		lavassert.True(t, "no owner", !ok)
	})
	t.Run("ownership is even", func(t *testing.T) {
		counts := make(map[string]int)
		for _, o := range owners(t, viewOf(6), 1100) {
			counts[o]++
		}
		for _, n := range counts {
			lavassert.AtMost(t, "endpoints of one owner", n, 1100/6*5/4)
			lavassert.AtLeast(t, "endpoints of one owner", n, 1100/6*3/4)
		}
	})
	t.Run("a member that goes moves only its own", func(t *testing.T) {
		v := viewOf(7)
		before := owners(t, v, 500)
		gone := v.Members[3].Incarnation
		v.Members[3].Leaving = true
		for i, o := range owners(t, v, 500) {
			lavassert.True(t, "nobody leaving owns", o != gone)
			lavassert.True(t, "others keep theirs", o == before[i] || before[i] == gone)
		}
	})
	t.Run("if all leave one still owns", func(t *testing.T) {
		v := viewOf(2)
		v.Members[0].Leaving, v.Members[1].Leaving = true, true
		owners(t, v, 1)
	})
	t.Run("ranks are a permutation", func(t *testing.T) {
		v := viewOf(5)
		seen := make(map[int]bool)
		for _, m := range v.Members {
			seen[lavmember.RendezvousRank(v, "watch", m.Incarnation)] = true
		}
		lavassert.Equal(t, "ranks", len(seen), 5)
		lavassert.Equal(t, "a stranger's rank", lavmember.RendezvousRank(v, "watch", "nobody"), -1)
	})
}

// pairOf returns the owner and the deputy of a thing.
func pairOf(t *testing.T, v *lavmember.View, name string) [2]lavmember.Member {
	t.Helper()
	owner, ok := lavmember.Owner(v, name)
	lavassert.True(t, "an owner is found", ok)
	deputy, ok := lavmember.BackupOwner(v, name)
	lavassert.True(t, "a deputy is found", ok)
	return [2]lavmember.Member{owner, deputy}
}

// viewIn returns n members, in that many failure domains by turns.
func viewIn(n, domains int) *lavmember.View {
	v := viewOf(n)
	for i := range v.Members {
		v.Members[i].FailureDomain = fmt.Sprint("domain-", i%domains)
	}
	return v
}

// without returns the view without one member.
func without(v *lavmember.View, gone int) *lavmember.View {
	return &lavmember.View{Members: slices.Delete(slices.Clone(v.Members), gone, gone+1)}
}

func TestDeputy(t *testing.T) {
	t.Run("is in another failure domain, if there is one", func(t *testing.T) {
		for i := range 200 {
			name := fmt.Sprint("thing-", i)
			pair := pairOf(t, viewIn(6, 3), name)
			lavassert.True(t, "another failure domain", pair[0].FailureDomain != pair[1].FailureDomain)
			pair = pairOf(t, viewIn(6, 1), name)
			lavassert.True(t, "another member", pair[0].Incarnation != pair[1].Incarnation)
		}
	})
	t.Run("a lone member has none", func(t *testing.T) {
		_, ok := lavmember.BackupOwner(viewOf(1), "thing")
		lavassert.True(t, "no deputy", !ok)
	})
	// What the two know is lost only if both are replaced at one time.
	t.Run("one of the two stays as a member comes or goes", func(t *testing.T) {
		for _, domains := range []int{1, 2, 3, 7} {
			v := viewIn(7, domains)
			for i := range 200 {
				name := fmt.Sprint("thing-", i)
				with := pairOf(t, v, name)
				for gone := range v.Members {
					after := pairOf(t, without(v, gone), name)
					stays := slices.ContainsFunc(with[:], func(m lavmember.Member) bool { return slices.Contains(after[:], m) })
					lavassert.True(t, fmt.Sprintf("%s without %d in %d failure domains", name, gone, domains), stays)
				}
			}
		}
	})
}
