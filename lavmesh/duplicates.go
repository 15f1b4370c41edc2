package lavmesh

import "time"

// Limits of the duplicate filter.
const (
	windowBits = 64
	maxOrigins = 4096
	originTTL  = 2 * time.Minute
)

// duplicateFilter detects broadcasts that are received more than once. For each
// origin it stores the highest number received and a bitmap of the most recent
// 64 numbers.
type duplicateFilter struct {
	origins map[position]*receiveWindow
}

type receiveWindow struct {
	highest   uint64
	bits      uint64
	updatedAt time.Time
}

func newDuplicateFilter() *duplicateFilter {
	return &duplicateFilter{origins: make(map[position]*receiveWindow)}
}

// isNew reports whether a message is received for the first time, and records
// it. A message whose number is too old for the bitmap counts as a duplicate.
func (s *duplicateFilter) isNew(origin position, number uint64, now time.Time) bool {
	w := s.origins[origin]
	if w == nil {
		s.evictOrigins(now)
		w = &receiveWindow{}
		s.origins[origin] = w
	}
	w.updatedAt = now
	if number > w.highest {
		shift := number - w.highest
		if shift >= windowBits {
			w.bits = 0
		} else {
			w.bits <<= shift
		}
		w.bits |= 1
		w.highest = number
		return true
	}
	age := w.highest - number
	if age >= windowBits || w.bits&(1<<age) != 0 {
		return false
	}
	w.bits |= 1 << age
	return true
}

// evictOrigins limits the number of origins. It first deletes those that were
// not updated within originTTL, and then arbitrary ones.
func (s *duplicateFilter) evictOrigins(now time.Time) {
	if len(s.origins) < maxOrigins {
		return
	}
	for origin, w := range s.origins {
		if now.Sub(w.updatedAt) > originTTL {
			delete(s.origins, origin)
		}
	}
	for origin := range s.origins {
		if len(s.origins) < maxOrigins {
			return
		}
		delete(s.origins, origin)
	}
}
