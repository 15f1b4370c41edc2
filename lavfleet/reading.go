package lavfleet

import (
	"slices"
	"time"
)

// reading is a part of a prompt that an endpoint is to read. Endpoints read one
// part after the other, so that what is left can be told by the clock.
type reading struct {
	// begins is when the parts ahead will have been read.
	begins time.Time
	part   time.Duration
}

const (
	// readRate is the part of its time that an endpoint reads; it writes in the
	// rest.
	readRate = 0.85
	// unreadPart is the part of a prompt's part that counts until its first
	// event, also if it should have been read.
	unreadPart = 0.25
)

// left returns how long the endpoint still has to read the part.
func (r *reading) left(now time.Time) time.Duration {
	passed := time.Duration(readRate * float64(max(now.Sub(r.begins), 0)))
	return max(r.part-passed, time.Duration(unreadPart*float64(r.part)))
}

// ahead returns what an endpoint has to read for this host and for the others.
func (s *state) ahead(now time.Time) time.Duration {
	return s.ownReading(now) + max(s.peers.Prefill-now.Sub(s.peersAt), 0)
}

func (s *state) ownReading(now time.Time) time.Duration {
	var sum time.Duration
	for _, r := range s.readings {
		sum += r.left(now)
	}
	return sum
}

// read adds a part behind those that are ahead.
func (s *state) read(now time.Time, part time.Duration) *reading {
	r := &reading{begins: now.Add(s.ahead(now)), part: part}
	s.readings = append(s.readings, r)
	return r
}

// hasRead takes a part away, whether or not it was read.
func (s *state) hasRead(r *reading) {
	s.readings = slices.DeleteFunc(s.readings, func(have *reading) bool { return have == r })
}
