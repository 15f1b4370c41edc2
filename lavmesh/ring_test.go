package lavmesh

import (
	"fmt"
	"testing"
	"time"

	"lavenderrack.example/lavenderrack/lavassert"
	"lavenderrack.example/lavenderrack/lavmember"
)

func viewOf(n int) *lavmember.View {
	v := &lavmember.View{}
	for i := range n {
		v.Members = append(v.Members, lavmember.Member{Incarnation: fmt.Sprintf("entry-%04d", i)})
	}
	return v
}

// deliver simulates a broadcast from the first member over bidirectional links.
// It returns how often each member received the message, and the maximum number
// of hops. Members in down receive nothing.
func deliver(v *lavmember.View, down map[position]bool) (times map[position]int, hops int) {
	return deliverOver(v, linksOf(v), down)
}

// linksOf returns the links of all members.
func linksOf(v *lavmember.View) map[position]map[position]bool {
	links := make(map[position]map[position]bool)
	add := func(a, b position) {
		if links[a] == nil {
			links[a] = make(map[position]bool)
		}
		links[a][b] = true
	}
	for _, m := range v.Members {
		for _, peer := range neighbours(m.Incarnation, v) {
			add(positionOf(m.Incarnation), positionOf(peer.Incarnation))
			add(positionOf(peer.Incarnation), positionOf(m.Incarnation))
		}
	}
	return links
}

// deliverOver is like deliver, over the given links.
func deliverOver(v *lavmember.View, links map[position]map[position]bool, down map[position]bool) (times map[position]int, hops int) {
	origin := positionOf(v.Members[0].Incarnation)
	times = make(map[position]int)
	var pass func(at, limit position, depth int)
	pass = func(at, limit position, depth int) {
		hops = max(hops, depth)
		var peers []position
		for p := range links[at] {
			if p != origin {
				peers = append(peers, p)
			}
		}
		divideSpan(ringSpan{from: at, limit: limit}, peers, func(p position) position { return p }, func(p, limit position) bool {
			if down[p] {
				return false
			}
			times[p]++
			pass(p, limit, depth+1)
			return true
		})
	}
	pass(origin, origin, 0)
	return times, hops
}

func TestShare(t *testing.T) {
	for _, n := range []int{1, 2, 3, 6, 12, 50, 430} {
		t.Run(fmt.Sprintf("each of %d members receives a broadcast once", n), func(t *testing.T) {
			times, hops := deliver(viewOf(n), nil)
			lavassert.Equal(t, "members reached", len(times), n-1)
			for _, k := range times {
				lavassert.Equal(t, "messages per member", k, 1)
			}
			lavassert.AtMost(t, "hops", hops, 10)
			lavassert.AtMost(t, "neighbours", len(neighbours("entry-0000", viewOf(n))), 9)
		})
	}
	t.Run("members that follow an origin without links to them are reached", func(t *testing.T) {
		v := viewOf(60)
		links := linksOf(v)
		origin := positionOf(v.Members[0].Incarnation)
		for i, m := range neighbours(v.Members[0].Incarnation, v) {
			if i < 3 {
				delete(links[origin], positionOf(m.Incarnation))
			}
		}
		times, _ := deliverOver(v, links, nil)
		lavassert.Equal(t, "members reached", len(times), 59)
	})
	t.Run("members behind a failed peer are reached through others", func(t *testing.T) {
		v := viewOf(430)
		down := make(map[position]bool)
		for _, m := range v.Members[1:43] {
			down[positionOf(m.Incarnation)] = true
		}
		times, _ := deliver(v, down)
		lavassert.AtLeast(t, "members reached of 387 live ones", len(times), 380)
	})
}

func TestSeen(t *testing.T) {
	now := time.Unix(0, 0)
	t.Run("reordered and repeated messages", func(t *testing.T) {
		s := newDuplicateFilter()
		for _, c := range []struct {
			number uint64
			want   bool
		}{{5, true}, {5, false}, {3, true}, {3, false}, {200, true}, {137, true}, {137, false}, {136, false}, {199, true}} {
			lavassert.Equal(t, fmt.Sprint("number ", c.number), s.isNew(1, c.number, now), c.want)
		}
		lavassert.True(t, "another origin", s.isNew(2, 5, now))
	})
	t.Run("the number of origins is bounded", func(t *testing.T) {
		s := newDuplicateFilter()
		for i := range 3 * maxOrigins {
			s.isNew(position(i), 1, now)
		}
		lavassert.AtMost(t, "origins", len(s.origins), maxOrigins)
	})
}
