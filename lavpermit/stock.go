package lavpermit

import "time"

// Stock is the permits of one bound that a host has, and what it knows about further ones. The
// zero value holds none.
type Stock struct {
	// batches are in the order in which they expire.
	batches []batch
	// askAt is when the host may ask again.
	askAt time.Time
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

// Asked records that the host asks at a time. It asks again after MinAskInterval, as question and
// answer may be lost, unless an answer says otherwise.
func (s *Stock) Asked(now time.Time) { s.askAt = now.Add(MinAskInterval) }

// MayAsk reports whether the host may ask again.
func (s *Stock) MayAsk(now time.Time) bool { return !now.Before(s.askAt) }

// AskAt returns when the host may ask again.
func (s *Stock) AskAt() time.Time { return s.askAt }

// Add adds the answer to a question that was asked at askedAt.
func (s *Stock) Add(now, askedAt time.Time, g Grant) {
	s.interval = g.Interval
	s.askAt = now.Add(g.AskAfter)
	s.horizon = min(g.AskAfter+g.AskAfter/4, PermitTTL)
	if g.Permits > 0 {
		s.batches = append(s.batches, batch{permits: g.Permits, expires: askedAt.Add(PermitTTL)})
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
