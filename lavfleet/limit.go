package lavfleet

import (
	"time"

	"lavenderrack.example/lavenderrack/lavconfig"
)

// Limit is what an endpoint states about the requests that it takes from all hosts together.
type Limit struct {
	// Stated is false if the endpoint states no limit. PerSecond is zero then.
	Stated    bool
	PerSecond float64
	// At is when the statement was received.
	At time.Time
}

// contradicts reports whether two statements differ.
func (l Limit) contradicts(other Limit) bool {
	return l.Stated != other.Stated || l.PerSecond != other.PerSecond
}

// RecordLimit records the limit that an endpoint states in a response, in requests per second. It
// reports whether that is new.
func (f *Fleet) RecordLimit(life lavconfig.Incarnation, perSecond float64) (stated Limit, isNew bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.statements[life]
	next := Limit{Stated: true, PerSecond: perSecond, At: time.Now()}
	isNew = s.limit.contradicts(next)
	s.limit = next
	f.putStatement(life, s)
	return next, isNew
}

// RecordNoLimit records that an endpoint states no limit in its response to a request that was sent
// at a time. It reports whether that ends a limit. A statement that was received while the request
// was under way may be the later one, and stays.
func (f *Fleet) RecordNoLimit(life lavconfig.Incarnation, sentAt time.Time) (stated Limit, isNew bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s, known := f.statements[life]
	if !known || !s.limit.Stated || !sentAt.After(s.limit.At) {
		return Limit{}, false
	}
	s.limit = Limit{At: time.Now()}
	f.putStatement(life, s)
	return s.limit, true
}

// MergeLimit records the limit that an endpoint has stated to a peer, unless this host knows a
// later statement. It returns the later one, and whether the peer should be told of it.
func (f *Fleet) MergeLimit(life lavconfig.Incarnation, l Limit) (latest Limit, tell bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.statements[life]
	if !l.At.After(s.limit.At) {
		return s.limit, s.limit.contradicts(l)
	}
	s.limit = l
	f.putStatement(life, s)
	return l, false
}

// Statements returns the endpoints that have stated to a host that they will leave, and the limits
// in force.
func (f *Fleet) Statements() (leaving []lavconfig.Incarnation, limits map[lavconfig.Incarnation]Limit) {
	f.mu.Lock()
	defer f.mu.Unlock()
	limits = make(map[lavconfig.Incarnation]Limit)
	for life, s := range f.statements {
		if s.leaving {
			leaving = append(leaving, life)
		}
		if s.limit.Stated {
			limits[life] = s.limit
		}
	}
	return leaving, limits
}

// limitOf returns the limit of an endpoint. The caller holds the lock.
func (f *Fleet) limitOf(s *endpointState) Limit { return f.statements[s.Incarnation()].limit }
