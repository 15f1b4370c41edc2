package lavplan

import (
	"cmp"
	"slices"
	"time"

	"lavenderrack.example/lavenderrack/lavconfig"
)

const (
	// bookingTTL is how long a placement is counted whose host doesn't report it.
	bookingTTL = time.Second
	// maxTries bounds the tight prompts, and the others, that one decision tries to place in
	// vain. Those behind them need as much room or more.
	maxTries = 3
	// retryInterval is the time after which waiting prompts are tried again. Endpoints get free
	// with load reports, which come less often than questions.
	retryInterval = 10 * time.Millisecond
)

// Scheduler places the prompts of one service for all hosts. It counts what it has placed
// from the moment of the decision, before the hosts report it, and decides which of the
// waiting prompts goes next. It is not safe for concurrent use.
type Scheduler struct {
	draw    func() float64
	waiting []waitingAsk
	// retriedAt is when prompts that wait were last tried again.
	retriedAt time.Time
	// grants holds the last grant of each host, and bookings the placements that the view
	// doesn't contain yet.
	grants   map[string]uint64
	bookings []booking
}

// waitingAsk is a question without an answer.
type waitingAsk struct {
	Ask
	// tried is true once the prompt could not be placed.
	tried bool
}

// booking is the load that a placement puts on the endpoints.
type booking struct {
	id        AskID
	grant     uint64
	at        time.Time
	endpoints []lavconfig.Incarnation
	loads     []Load
}

// NewScheduler returns a scheduler without prompts. draw returns random numbers in [0, 1).
func NewScheduler(draw func() float64) *Scheduler {
	return &Scheduler{draw: draw, grants: make(map[string]uint64)}
}

// Ask adds a question, unless it waits already.
func (s *Scheduler) Ask(a Ask) {
	waits := slices.ContainsFunc(s.waiting, func(other waitingAsk) bool { return other.ID == a.ID })
	if !waits {
		s.waiting = append(s.waiting, waitingAsk{Ask: a})
	}
}

// Cancel removes a question that nobody waits for any more.
func (s *Scheduler) Cancel(id AskID) {
	s.waiting = slices.DeleteFunc(s.waiting, func(a waitingAsk) bool { return a.ID == id })
}

// Waiting returns the number of questions that wait.
func (s *Scheduler) Waiting() int { return len(s.waiting) }

// Settle records that the view contains the placements of a host up to a grant.
func (s *Scheduler) Settle(host string, grant uint64) {
	s.bookings = slices.DeleteFunc(s.bookings, func(b booking) bool { return b.id.Host == host && b.grant <= grant })
}

// Decide answers the questions that can be answered now. The others wait.
func (s *Scheduler) Decide(now time.Time, v View) []Decision {
	s.expire(now)
	if len(s.waiting) == 0 {
		return nil
	}
	v = s.withBookings(v)
	s.sortWaiting(now, v.Engine)
	retry := now.Sub(s.retriedAt) >= retryInterval
	if retry {
		s.retriedAt = now
	}
	var decisions []Decision
	var left []waitingAsk
	var tries tryCount
	for _, a := range s.waiting {
		if a.tried && !retry || tries.exhausted(a.Prompt, v.Engine) && a.mayWaitUntried(now, v.Engine) {
			left = append(left, a)
			continue
		}
		d, ok := s.decide(now, v, a.Ask)
		if !ok {
			tries.add(a.Prompt, v.Engine)
			left = append(left, waitingAsk{Ask: a.Ask, tried: true})
			continue
		}
		decisions = append(decisions, d)
	}
	s.waiting = left
	return decisions
}

// tryCount counts the prompts that a decision has tried in vain.
type tryCount struct{ tight, others int }

func (c *tryCount) add(p Prompt, e *lavconfig.Engine) {
	if p.Tight(e) {
		c.tight++
	} else {
		c.others++
	}
}

// exhausted reports whether enough prompts like p were tried.
func (c *tryCount) exhausted(p Prompt, e *lavconfig.Engine) bool {
	if p.Tight(e) {
		return c.tight >= maxTries
	}
	return c.others >= maxTries
}

// expire drops the questions that nobody waits for and the bookings that no host reports.
func (s *Scheduler) expire(now time.Time) {
	s.waiting = slices.DeleteFunc(s.waiting, func(a waitingAsk) bool { return !now.Before(a.GiveUp) })
	s.bookings = slices.DeleteFunc(s.bookings, func(b booking) bool { return now.Sub(b.at) > bookingTTL })
}

// withBookings returns a view that contains the bookings.
func (s *Scheduler) withBookings(v View) View {
	v.Candidates = slices.Clone(v.Candidates)
	index := v.index()
	for _, b := range s.bookings {
		for i, endpoint := range b.endpoints {
			if j, ok := index[endpoint]; ok {
				v.Candidates[j].Load = v.Candidates[j].Plus(b.loads[i])
			}
		}
	}
	return v
}

// index returns the positions of the endpoints.
func (v View) index() map[lavconfig.Incarnation]int {
	index := make(map[lavconfig.Incarnation]int, len(v.Endpoints))
	for i, endpoint := range v.Endpoints {
		index[endpoint] = i
	}
	return index
}

// sortWaiting orders the prompts by rank. Within a rank it puts those that can still meet their
// objective first, and of these the shortest: the more of them meet it. The others follow as
// they arrived.
func (s *Scheduler) sortWaiting(now time.Time, e *lavconfig.Engine) {
	slices.SortStableFunc(s.waiting, func(a, b waitingAsk) int {
		aLate, bLate := a.late(now, e), b.late(now, e)
		rank := compareRanks(a.Prompt, b.Prompt)
		switch {
		case rank != 0:
			return rank
		case aLate != bLate && aLate:
			return 1
		case aLate != bLate:
			return -1
		case aLate:
			return a.Arrived.Compare(b.Arrived)
		default:
			return cmp.Compare(a.Prompt.Tokens, b.Prompt.Tokens)
		}
	})
}

// decide places or refuses one prompt, or returns false if it has to wait.
func (s *Scheduler) decide(now time.Time, v View, a Ask) (Decision, bool) {
	usable, candidates := v.usable(a.Excluded)
	p := a.Prompt
	plan, ok := Place(v.Engine, p, candidates, DrawTieBreakers(len(candidates), 1, s.draw))
	if !ok || !Admit(v.Engine, p, plan, candidates) {
		if a.mayWaitForSlot(now, v.Engine) {
			return Decision{}, false
		}
		return Decision{ID: a.ID, RetryAfter: RetryAfter(candidates, v.Absence, s.draw)}, true
	}
	if a.leavesRoom(now, candidates) || a.Waits(now, plan) || behindOthers(p, plan, candidates) && a.MayWait(now, plan) {
		return Decision{}, false
	}
	if plan.Displaces {
		return Decision{ID: a.ID, RetryAfter: RetryAfter(candidates, v.Absence, s.draw)}, true
	}
	return s.book(now, v, a, plan, usable), true
}

// book counts a plan on its endpoints. The plan's indexes are those of usable.
func (s *Scheduler) book(now time.Time, v View, a Ask, plan Plan, usable []int) Decision {
	d := Decision{ID: a.ID, Plan: plan, Primary: v.Endpoints[usable[plan.Primary]]}
	loads := PlanLoads(v.Engine, a.Prompt, plan, len(plan.Helpers))
	v.Candidates[usable[plan.Primary]].Load = v.Candidates[usable[plan.Primary]].Plus(loads[0])
	for i, h := range plan.Helpers {
		d.Helpers = append(d.Helpers, v.Endpoints[usable[h]])
		v.Candidates[usable[h]].Load = v.Candidates[usable[h]].Plus(loads[i+1])
	}
	s.grants[a.ID.Host]++
	d.Grant = s.grants[a.ID.Host]
	s.bookings = append(s.bookings, booking{
		id:        a.ID,
		grant:     d.Grant,
		at:        now,
		endpoints: append([]lavconfig.Incarnation{d.Primary}, d.Helpers...),
		loads:     loads,
	})
	return d
}

// usable returns the candidates that are not excluded, with their positions in the view.
func (v View) usable(excluded map[lavconfig.Incarnation]bool) ([]int, []Candidate) {
	positions := make([]int, 0, len(v.Candidates))
	candidates := make([]Candidate, 0, len(v.Candidates))
	for i, c := range v.Candidates {
		if !excluded[v.Endpoints[i]] {
			positions = append(positions, i)
			candidates = append(candidates, c)
		}
	}
	return positions, candidates
}

// PlanLoads returns the load that a plan puts on its endpoints: the primary one, followed by
// a number of helpers. The plan's Helpers are not used, since their indexes mean nothing at
// another host.
func PlanLoads(e *lavconfig.Engine, p Prompt, plan Plan, helpers int) []Load {
	kvTokens := p.KVTokens(e)
	loads := make([]Load, 1, 1+helpers)
	for i := range helpers {
		load := Load{Prefill: plan.Prefill}
		if i < len(plan.Reserve) {
			load.KVTokens = plan.Reserve[i]
			kvTokens -= plan.Reserve[i]
		}
		loads = append(loads, load)
	}
	loads[0] = p.Load(plan.Prefill, kvTokens)
	return loads
}
