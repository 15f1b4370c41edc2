package lavmesh

import (
	"cmp"
	"slices"

	"lavenderrack.example/lavenderrack/lavmember"

	"github.com/cespare/xxhash/v2"
)

// position is the position of a member on the hash ring.
type position uint64

func positionOf(incarnation string) position { return position(xxhash.Sum64String(incarnation)) }

// clockwiseFrom returns the clockwise distance from another position to p.
func (p position) clockwiseFrom(from position) uint64 { return uint64(p - from) }

// neighbours returns the members that self keeps links to: the members 1, 2, 4,
// 8 and so on places after it on the ring. Their number and the number of hops
// between any two members are logarithmic in the size of the fleet.
func neighbours(self string, v *lavmember.View) []lavmember.Member {
	own := positionOf(self)
	type place struct {
		distance uint64
		index    int
	}
	ring := make([]place, 0, len(v.Members))
	for i := range v.Members {
		if id := v.Members[i].Incarnation; id != self {
			ring = append(ring, place{positionOf(id).clockwiseFrom(own), i})
		}
	}
	slices.SortFunc(ring, func(a, b place) int { return cmp.Compare(a.distance, b.distance) })
	var selected []lavmember.Member
	for distance := 1; distance <= len(ring); distance *= 2 {
		selected = append(selected, v.Members[ring[distance-1].index])
	}
	return selected
}

// ringSpan is a section of the ring whose members a broadcast has not reached
// yet. It excludes both from and limit. If they are equal, it covers the whole
// ring except that position.
type ringSpan struct{ from, limit position }

func (s ringSpan) contains(p position) bool {
	width := s.limit.clockwiseFrom(s.from)
	d := p.clockwiseFrom(s.from)
	return d > 0 && (width == 0 || d < width)
}

// divideSpan divides a span among the peers within it, so that each member
// receives a broadcast once. Each peer is responsible for the section from its
// own position to the next peer. If send returns false for a peer, the section
// of that peer is added to the section of the peer before it. The result is the
// number of peers for which send returned true.
func divideSpan[P any](s ringSpan, peers []P, locate func(P) position, send func(p P, limit position) bool) int {
	var within []P
	for _, p := range peers {
		if s.contains(locate(p)) {
			within = append(within, p)
		}
	}
	slices.SortFunc(within, func(a, b P) int {
		if locate(a).clockwiseFrom(s.from) < locate(b).clockwiseFrom(s.from) {
			return 1
		}
		return -1
	})
	accepted := 0
	limit := s.limit
	if s.from == s.limit && len(within) > 0 {
		// The origin may have no link to the members that follow it on the ring. The
		// section of the last peer goes on past the origin to cover them.
		limit = locate(within[len(within)-1])
	}
	for _, p := range within {
		if send(p, limit) {
			limit = locate(p)
			accepted++
		}
	}
	return accepted
}
