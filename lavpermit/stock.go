package lavpermit

import (
	"slices"
	"time"
)

// QuestionID identifies a question of a host for the permits of one bound.
type QuestionID uint64

// Stock is the permits of one bound that a host has, and what it knows about further ones. The
// zero value holds none.
type Stock struct {
	// batches are in the order in which they expire.
	batches []batch
	// question is the host's last one, and answered whether it has got the answer.
	question QuestionID
	answered bool
	// askAt is when the host may ask again.
	askAt time.Time
	// untold is when permits of a pool were used of which the holder has not been told.
	untold []time.Time
	// interval is the expected time between two permits, zero if it isn't known.
	interval time.Duration
	// horizon is the time for which the host should have permits in advance.
	horizon time.Duration
}

// batch is permits that expire together.
type batch struct {
	permits int
	expires time.Time
}

// minHorizon is the least time for which a host has permits in advance.
const minHorizon = 500 * time.Millisecond

// tellAfter is how long after a permit of a pool was used its holder is told, if the host asks for
// nothing before. The holder needs to know within PoolWindow.
const tellAfter = 500 * time.Millisecond

// Asked records that the host asks at a time, and returns the ID of the question. It asks again after
// MinAskInterval, as question and answer may be lost, unless an answer says otherwise.
func (s *Stock) Asked(now time.Time) QuestionID {
	s.question++
	s.answered, s.untold = false, nil
	s.askAt = now.Add(MinAskInterval)
	return s.question
}

// MustTell reports whether the holder of a pool should be told of permits that were used. It isn't
// while an answer may be under way, since the next question makes that void.
func (s *Stock) MustTell(now time.Time) bool {
	return len(s.untold) > 0 && now.Sub(s.untold[0]) >= tellAfter && (s.answered || s.MayAsk(now))
}

// Untold reports whether the holder of a pool has not been told of all permits that were used.
func (s *Stock) Untold() bool { return len(s.untold) > 0 }

// Used returns how long ago permits of a pool were used of which the holder has not been told.
func (s *Stock) Used(now time.Time) []time.Duration {
	var ages []time.Duration
	for _, at := range s.untold {
		ages = append(ages, now.Sub(at))
	}
	return ages
}

// TakePooled is Take for a permit of a pool.
func (s *Stock) TakePooled(now time.Time) bool {
	taken := s.Take(now)
	if taken {
		s.untold = append(s.untold, now)
	}
	return taken
}

// MayAsk reports whether the host may ask again.
func (s *Stock) MayAsk(now time.Time) bool { return !now.Before(s.askAt) }

// AskAt returns when the host may ask again.
func (s *Stock) AskAt() time.Time { return s.askAt }

// Add adds the answer to a question that was asked at askedAt.
func (s *Stock) Add(now, askedAt time.Time, g Grant) { s.add(now, askedAt, PermitTTL, g) }

// AddPooled adds the answer of the holder of a Pool to a question that was sent at askedAt. Only the last
// question's answer counts, as the holder takes the others for lost.
func (s *Stock) AddPooled(now, askedAt time.Time, question QuestionID, g Grant) {
	if question == s.question {
		s.add(now, askedAt, PoolTTL, g)
	}
}

func (s *Stock) add(now, askedAt time.Time, ttl time.Duration, g Grant) {
	s.answered = true
	s.interval = g.Interval
	s.askAt = now.Add(g.AskAfter)
	s.horizon = min(g.AskAfter+g.AskAfter/4, PermitTTL)
	if g.Permits > 0 {
		s.batches = append(s.batches, batch{permits: g.Permits, expires: askedAt.Add(ttl)})
	}
}

// Count returns the number of permits that may be used now.
func (s *Stock) Count(now time.Time) int {
	s.expire(now)
	count := 0
	for _, b := range s.batches {
		count += b.permits
	}
	return count
}

// Take uses up the permit that expires first. It returns false if there is none.
func (s *Stock) Take(now time.Time) bool {
	s.expire(now)
	if len(s.batches) == 0 {
		return false
	}
	s.batches[0].permits--
	if s.batches[0].permits == 0 {
		s.batches = s.batches[1:]
	}
	return true
}

// NextExpiry returns when the permit expires that Take would use up. There must be one.
func (s *Stock) NextExpiry() time.Time { return s.batches[0].expires }

// Return takes back a permit that was taken but not used, and that expires at a time.
func (s *Stock) Return(expires time.Time) {
	s.batches = append(s.batches, batch{permits: 1, expires: expires})
	slices.SortStableFunc(s.batches, func(a, b batch) int { return a.expires.Compare(b.expires) })
}

func (s *Stock) expire(now time.Time) {
	expired := 0
	for expired < len(s.batches) && !now.Before(s.batches[expired].expires) {
		expired++
	}
	s.batches = s.batches[expired:]
}

// PerSecond returns the rate at which the host may expect permits, and false if it isn't known.
func (s *Stock) PerSecond() (perSecond float64, known bool) {
	if s.interval <= 0 {
		return 0, false
	}
	return 1 / s.interval.Seconds(), true
}

// Horizon returns the time for which the host should have permits in advance.
func (s *Stock) Horizon() time.Duration { return max(s.horizon, minHorizon) }

// Need returns how many permits a host lacks that gets perSecond requests, has others waiting, and
// holds some permits. A host with few requests gets permits only for those that wait, since others
// could use in the meantime what it has in advance.
func Need(perSecond float64, waiting, held int, horizon time.Duration) int {
	inAdvance := int(perSecond*horizon.Seconds()) - 1
	return max(max(waiting, inAdvance)-held, 0)
}
