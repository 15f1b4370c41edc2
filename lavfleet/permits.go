package lavfleet

import (
	"cmp"
	"slices"
	"time"

	"lavenderrack.example/lavenderrack/lavconfig"
	"lavenderrack.example/lavenderrack/lavpermit"
)

// demandWindow is the period over which requests to a service are counted, to know how many permits
// to ask for.
const demandWindow = time.Second

// PermitAsk says how many permits this host needs for an endpoint.
type PermitAsk struct {
	Life lavconfig.Incarnation
	// Pooled is true for permits to send requests to an endpoint that may be cold. This host holds
	// Held of these, and has used others as long ago as in Used; Question identifies the question. Else
	// the permits are for what the endpoint has stated, which is Limit.
	Pooled   bool
	Question lavpermit.QuestionID
	Held     int
	Used     []time.Duration
	Limit    Limit
	Permits  int
}

// PermitsNeeded returns a channel that signals that requests lack permits.
func (f *Fleet) PermitsNeeded() <-chan struct{} { return f.permitsNeeded }

// PermitAsks returns for which endpoints this host should ask for permits now, and takes them for
// asked. At most most of them have stated limits.
func (f *Fleet) PermitAsks(most int) []PermitAsk {
	now := time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	var asks []PermitAsk
	for _, svc := range f.services {
		asks = append(asks, f.permitAsks(svc, now, most-len(asks))...)
	}
	for _, svc := range f.services {
		asks = append(asks, f.pooledAsks(svc, now)...)
	}
	return asks
}

// permitAsks returns the questions for the endpoints of one service. Those for which it might have
// asked the longest come first. The caller holds the lock.
func (f *Fleet) permitAsks(svc *service, now time.Time, most int) []PermitAsk {
	limited, available := f.limitedEndpoints(svc, now)
	if len(limited) == 0 {
		return nil
	}
	perSecond := float64(svc.arrivals.count(now)) / demandWindow.Seconds()
	// Requests are expected to spread over all endpoints evenly.
	perSecond *= float64(len(limited)) / float64(available)
	held := heldPermits(limited, now)
	need := lavpermit.Need(perSecond, svc.queue.CountWaiting(now), held, horizon(limited))
	if held == 0 && svc.permitDue(now, perSecond) {
		need = max(need, 1)
	}
	limited = slices.DeleteFunc(limited, func(s *endpointState) bool { return !s.stock.MayAsk(now) })
	slices.SortStableFunc(limited, func(a, b *endpointState) int { return a.stock.AskAt().Compare(b.stock.AskAt()) })
	limited = limited[:min(len(limited), need, max(most, 0))]
	var asks []PermitAsk
	for _, s := range limited {
		svc.permitAskedAt = now
		s.stock.Asked(now)
		asks = append(asks, PermitAsk{Life: s.Incarnation(), Limit: f.limitOf(s), Permits: (need + len(limited) - 1) / len(limited)})
	}
	return asks
}

// permitDue reports whether a host that sends perSecond requests to endpoints with limits would send
// one now. Requests that other endpoints take don't wait for a permit, so that it is asked for without
// any that waits: else the endpoints with limits would get nothing, and their limits never end.
func (svc *service) permitDue(now time.Time, perSecond float64) bool {
	return perSecond > 0 && now.Sub(svc.permitAskedAt).Seconds() >= 1/perSecond
}

// AddPermits adds what this host has got for an endpoint when it asked at a time.
func (f *Fleet) AddPermits(life lavconfig.Incarnation, askedAt time.Time, g lavpermit.Grant) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if s := f.endpoints[life]; s != nil {
		s.stock.Add(time.Now(), askedAt, g)
	}
}

// Enqueue adds a request to a service to those that wait for an endpoint.
func (f *Fleet) Enqueue(name string, w *lavpermit.Waiting) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if svc := f.services[name]; svc != nil {
		svc.queue.Enter(w)
		f.requestPermits()
	}
}

// Dequeue removes a request that no longer waits.
func (f *Fleet) Dequeue(name string, w *lavpermit.Waiting) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if svc := f.services[name]; svc != nil {
		svc.queue.Leave(w)
	}
}

// limitedEndpoints returns the endpoints of a service that may receive requests and have stated a
// limit, and the number of all that may receive requests. The caller holds the lock.
func (f *Fleet) limitedEndpoints(svc *service, now time.Time) (limited []*endpointState, available int) {
	if f.limits == 0 {
		return nil, 0
	}
	for _, s := range svc.endpoints {
		if f.exclusion(s, now) != ReasonNone {
			continue
		}
		available++
		if f.limitOf(s).Stated {
			limited = append(limited, s)
		}
	}
	return limited, available
}

func heldPermits(endpoints []*endpointState, now time.Time) int {
	held := 0
	for _, s := range endpoints {
		held += s.stock.Count(now)
	}
	return held
}

// horizon returns the longest time for which one of the endpoints needs permits in advance.
func horizon(endpoints []*endpointState) time.Duration {
	longest := slices.MaxFunc(endpoints, func(a, b *endpointState) int {
		return cmp.Compare(a.stock.Horizon(), b.stock.Horizon())
	})
	return longest.stock.Horizon()
}

// permitSupply is what a request may expect of the permits for a service.
type permitSupply struct {
	held, ahead int
	// perSecond is the rate of further permits.
	perSecond float64
}

// permitSupplyFor returns the supply for a request, which other requests may come before. The
// caller holds the lock.
func (f *Fleet) permitSupplyFor(svc *service, w *lavpermit.Waiting, now time.Time) permitSupply {
	var p permitSupply
	limited, _ := f.limitedEndpoints(svc, now)
	p.held = heldPermits(limited, now)
	if w != nil {
		p.ahead = svc.queue.Ahead(w)
	}
	for _, s := range limited {
		perSecond, known := s.stock.PerSecond()
		if !known {
			perSecond = max(f.limitOf(s).PerSecond, lavpermit.MinPerSecond)
		}
		p.perSecond += perSecond
	}
	return p
}

// usable reports whether the request may use a permit at hand.
func (p permitSupply) usable() bool { return p.held > p.ahead }

// wait returns the expected time until the request gets a permit.
func (p permitSupply) wait() time.Duration {
	if p.perSecond <= 0 {
		return 0
	}
	lacking := max(p.ahead+1-p.held, 0)
	return time.Duration(float64(lacking) / p.perSecond * float64(time.Second))
}

// BlockingLimit is a limit of an endpoint for which a request lacked a permit.
type BlockingLimit struct {
	Life lavconfig.Incarnation
	// Cold is true for what the endpoint accepts while it is cold, which isn't stated. Limit has
	// only its rate then.
	Cold  bool
	Limit Limit
	// PerSecond is this host's share of the limit, zero if it isn't known yet, or is lent.
	PerSecond float64
}

// blockingLimit describes the limit of an endpoint. The caller holds the lock.
func (f *Fleet) blockingLimit(s *endpointState) BlockingLimit {
	perSecond, _ := s.stock.PerSecond()
	return BlockingLimit{Life: s.Incarnation(), Limit: f.limitOf(s), PerSecond: perSecond}
}

// requestPermits signals that requests lack permits.
func (f *Fleet) requestPermits() {
	select {
	case f.permitsNeeded <- struct{}{}:
	default:
	}
}

// takenPermit is a permit for an endpoint that a run has used up.
type takenPermit struct {
	endpoint *endpointState
	expires  time.Time
}

// takePermits uses up a permit for each endpoint that has stated a limit, or none if one is missing.
// The caller holds the lock.
func (f *Fleet) takePermits(allocations []Allocation, now time.Time) (taken []takenPermit, ok bool) {
	var limited []*endpointState
	for _, a := range allocations {
		s := f.endpoints[a.Life]
		if s == nil || !f.limitOf(s).Stated {
			continue
		}
		if s.stock.Count(now) == 0 {
			return nil, false
		}
		limited = append(limited, s)
	}
	for _, s := range limited {
		taken = append(taken, takenPermit{endpoint: s, expires: s.stock.NextExpiry()})
		s.stock.Take(now)
	}
	return taken, true
}
