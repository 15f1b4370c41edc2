package lavfleet

import (
	"slices"
	"time"

	"lavenderrack.example/lavenderrack/lavconfig"
	"lavenderrack.example/lavenderrack/lavpermit"

	"github.com/cespare/xxhash/v2"
)

// coldPressTime is how long after a request has found no endpoint for want of a share or a permit
// this host asks for permits. Requests that wait look again several times meanwhile.
const coldPressTime = 200 * time.Millisecond

// maxPooledAsks bounds the endpoints that may be cold for which a host asks at a time. With fewer, a
// host that gets all requests of a small fleet couldn't use what its endpoints accept.
const maxPooledAsks = 96

// coldLimit returns how many requests per second an endpoint accepts from all hosts together while
// it is cold. The limit also applies to warm endpoints, because an endpoint becomes cold without
// notice.
func (f *Fleet) coldLimit(svc *service) int {
	return max(int(svc.ColdRequestsPerSecond*f.bounds.ColdFactor+f.bounds.ColdSlack), 1)
}

// shareAt returns the share of an endpoint's cold limit that the host with an index owns. The
// shares of all hosts add up to the limit.
func (f *Fleet) shareAt(svc *service, s *endpointState, index int) int {
	limit := f.coldLimit(svc)
	share := limit / f.hosts
	if f.distance(s, index) < limit%f.hosts {
		share++
	}
	return share
}

// distance returns the distance of an endpoint from the host with an index, in [0, hosts). For one
// endpoint it differs between all hosts that agree on their indexes. The number of hosts
// within a range of n is therefore n for every endpoint.
func (f *Fleet) distance(s *endpointState, index int) int {
	offset := xxhash.Sum64String(s.ID) % uint64(f.hosts)
	return (index + int(offset)) % f.hosts
}

// setShares sets this host's share of each endpoint. The caller holds the lock.
func (f *Fleet) setShares() {
	for _, svc := range f.services {
		for _, s := range svc.endpoints {
			s.share = f.shareAt(svc, s, f.index)
		}
	}
}

// coldReason returns why this host may not send a request to an endpoint that may be cold, or
// ReasonNone: it may if its own share allows it, or with a permit. The caller holds the lock.
func (f *Fleet) coldReason(svc *service, s *endpointState, now time.Time) Reason {
	switch {
	case svc.ColdTime <= 0 || s.mayUseShare(now) || s.pooled.Count(now) > 0:
		return ReasonNone
	case s.share == 0:
		return ReasonUnassigned
	default:
		return ReasonRateLimited
	}
}

// coldBlockingLimit describes what an endpoint accepts while it is cold. The caller holds the lock.
func (f *Fleet) coldBlockingLimit(svc *service, s *endpointState, now time.Time) BlockingLimit {
	l := BlockingLimit{Life: s.Incarnation(), Cold: true, Limit: Limit{PerSecond: float64(f.coldLimit(svc))}}
	if !now.Before(s.lentUntil) {
		l.PerSecond = float64(s.share)
	}
	return l
}

// recordPress records that a request has found no endpoint for want of a share of what cold endpoints
// accept, and names one of them. The caller holds the lock.
func (f *Fleet) recordPress(svc *service, b *Snapshot, now time.Time) {
	svc.pressedAt = now
	f.requestPermits()
	if b.LimitedBy.Life.ID != "" {
		return
	}
	for _, s := range svc.endpoints {
		if f.exclusion(s, now) == ReasonNone && f.coldReason(svc, s, now) != ReasonNone {
			b.LimitedBy = f.coldBlockingLimit(svc, s, now)
			return
		}
	}
}

// mayUseShare reports whether this host's own share allows a request now.
func (s *endpointState) mayUseShare(now time.Time) bool {
	return !now.Before(s.lentUntil) && s.sent.count(now) < s.share
}

// countSent counts a request that coldReason allows. The caller holds the lock.
func (f *Fleet) countSent(svc *service, s *endpointState, now time.Time) {
	switch {
	case svc == nil || svc.ColdTime <= 0:
	case s.mayUseShare(now):
		s.sent.add(now)
		s.sentAt = now
	default:
		s.pooled.TakePooled(now)
		f.requestPermits()
	}
}

// uncountSent takes back a request that was counted at a time but not sent. A permit of a pool stays
// used, since its holder may have been told.
func (s *endpointState) uncountSent(at time.Time) { s.sent.remove(at) }

// pooledAsks returns the questions for permits to send requests to endpoints that may be cold. Only
// requests that no endpoint takes need some; the endpoints for which this host might have asked the
// longest come first. Permits that were used are told in any case. The caller holds the lock.
func (f *Fleet) pooledAsks(svc *service, now time.Time) []PermitAsk {
	if svc.ColdTime <= 0 {
		return nil
	}
	need := svc.pooledNeed(now)
	var asked, others []*endpointState
	for _, s := range svc.endpoints {
		switch {
		case s.pooled.MustTell(now):
			asked = append(asked, s)
		case need > 0 && s.pooled.MayAsk(now) && !s.mayUseShare(now) && f.exclusion(s, now) == ReasonNone:
			others = append(others, s)
		}
	}
	slices.SortStableFunc(others, func(a, b *endpointState) int { return a.pooled.AskAt().Compare(b.pooled.AskAt()) })
	asked = append(asked, others[:min(len(others), max(need-len(asked), 0))]...)
	asked = asked[:min(len(asked), maxPooledAsks)]
	var asks []PermitAsk
	for _, s := range asked {
		ask := PermitAsk{Life: s.Incarnation(), Pooled: true, Held: s.pooled.Count(now), Used: s.pooled.Used(now), Permits: (need + len(asked) - 1) / len(asked)}
		ask.Question = s.pooled.Asked(now)
		asks = append(asks, ask)
	}
	return asks
}

// pooledNeed returns how many permits the requests need that wait. It is zero unless one of them has
// found no endpoint lately.
func (svc *service) pooledNeed(now time.Time) int {
	if now.Sub(svc.pressedAt) >= coldPressTime {
		return 0
	}
	need := svc.queue.CountWaiting(now)
	for _, s := range svc.endpoints {
		need -= s.pooled.Count(now)
	}
	return max(need, 0)
}

// MustTellPermits reports whether there are permits that were used and of which the holder has not been
// told.
func (f *Fleet) MustTellPermits() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range f.endpoints {
		if s.pooled.Untold() {
			return true
		}
	}
	return false
}

// AddPooledPermits adds the answer to a question for an endpoint that may be cold, which was sent at askedAt.
func (f *Fleet) AddPooledPermits(life lavconfig.Incarnation, askedAt time.Time, question lavpermit.QuestionID, g lavpermit.Grant) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if s := f.endpoints[life]; s != nil {
		s.pooled.AddPooled(time.Now(), askedAt, question, g)
	}
}

// ShareAt returns the share of an endpoint's cold limit that the host with an index owns.
func (f *Fleet) ShareAt(life lavconfig.Incarnation, index int) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.endpoints[life]
	if s == nil || f.services[s.Service] == nil {
		return 0
	}
	return f.shareAt(f.services[s.Service], s, index)
}

// LendShare lends this host's share of an endpoint to a holder for lavpermit.LoanTime, in answer to its
// question of that number. It returns false if there is none, or if it is lent to another holder.
func (f *Fleet) LendShare(life lavconfig.Incarnation, holder string, recall uint64) (l lavpermit.Loan, ok bool) {
	now := time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.endpoints[life]
	if s == nil || s.share == 0 || s.lentTo != holder && now.Before(s.lentUntil) {
		return lavpermit.Loan{}, false
	}
	s.lentTo, s.lentFor, s.lentUntil = holder, recall, now.Add(lavpermit.LoanTime)
	return lavpermit.Loan{Requests: s.share, Quiet: min(now.Sub(s.sentAt), lavpermit.PoolWindow), Recall: recall}, true
}

// TakeBackShare ends the loan of this host's share of an endpoint, which a holder gives back. It does nothing
// if the share has been lent again since.
func (f *Fleet) TakeBackShare(life lavconfig.Incarnation, holder string, recall uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if s := f.endpoints[life]; s != nil && s.lentTo == holder && s.lentFor == recall {
		s.lentUntil = time.Time{}
	}
}
