package lavpermit

import "time"

const (
	// PoolWindow is the period for which a Pool keeps its bound: a second, and a margin for
	// requests that are sent late.
	PoolWindow = 1020 * time.Millisecond
	// PoolTTL is how long after it was asked for a permit of a pool may be used. It is short since
	// nobody else may use the permit meanwhile.
	PoolTTL = 250 * time.Millisecond
	// LoanTime is how long after the holder's question an owner doesn't use the share that it has
	// lent.
	LoanTime = 2500 * time.Millisecond
	// RecallInterval is the time between two questions to an owner, one of which may be lost.
	RecallInterval = 500 * time.Millisecond
	// pressTTL is how long after a host has wanted more than its own share the holder keeps what
	// was lent.
	pressTTL = time.Second
	// returnTime is how long it takes until an owner knows that it has its share back.
	returnTime = 200 * time.Millisecond
	// minPoolAskInterval is the least time between two questions of a host, and
	// poolAskIntervalPerAsker bounds the questions that a holder gets for one pool from many hosts.
	// They are more than for an Allocator, as a host asks only for requests that wait.
	minPoolAskInterval      = 25 * time.Millisecond
	poolAskIntervalPerAsker = 500 * time.Microsecond
)

// Loan is the share of a bound that its owner lends to the holder.
type Loan struct {
	// Requests is how many requests in PoolWindow the share allows.
	Requests int
	// Quiet is for how long the owner has not used the share itself.
	Quiet time.Duration
	// Recall is the number of the holder's question that the loan answers.
	Recall uint64
}

// Return is a loan that the holder gives back before its end.
type Return struct {
	Owner  string
	Recall uint64
}

// Question is what a host asks the holder of a pool.
type Question struct {
	Asker string
	// Number is higher for later questions of the asker.
	Number uint64
	// Held is the number of permits that the asker has not used yet. Those of answers that are
	// still under way don't count: the asker doesn't use them.
	Held int
	// Used is how long ago permits were used of which the asker has not told yet.
	Used []time.Duration
	// Want is how many permits the asker needs. It may be zero.
	Want int
}

// Pool hands out the permits of a bound on the requests in any PoolWindow, out of the shares that
// their owners have lent. Since each owner lends to one holder at a time, the bound holds however
// many hosts take themselves for the holder. A Pool isn't safe for concurrent use.
type Pool struct {
	loans map[string]loan
	// issues are in the order in which they were handed out.
	issues []issue
	askers askers
	// numbers is that of the last question of each asker.
	numbers map[string]uint64
	// askedAt is when a host last wanted permits, and pressedAt when one last wanted more in a
	// PoolWindow than its own share allows. recalledAt is when owners were last asked.
	askedAt, pressedAt, recalledAt time.Time
	// returned is the highest number of a question whose loans were given back, and givenBack the loans
	// that were lately, or that have ended, by owner.
	returned  uint64
	givenBack map[string]givenBack
}

// givenBack is a share that was given back at a time.
type givenBack struct {
	requests int
	at       time.Time
}

// loan is a share that may be used from one time until another.
type loan struct {
	requests    int
	from, until time.Time
	// recall is the number of the question that it answers.
	recall uint64
}

// usable reports whether a permit that is handed out now is out of the window before the loan ends.
func (l loan) usable(now time.Time) bool {
	return !now.Before(l.from) && !now.Add(PoolTTL+PoolWindow).After(l.until)
}

// issue is one permit that was handed out.
type issue struct {
	asker string
	// usedBy is the latest time at which it may be, or was, used.
	usedBy time.Time
	// told is true if the asker has said that it no longer has the permit.
	told bool
}

// NewPool returns a pool to which nothing has been lent yet.
func NewPool() *Pool {
	return &Pool{
		loans:     make(map[string]loan),
		askers:    make(askers),
		numbers:   make(map[string]uint64),
		givenBack: make(map[string]givenBack),
	}
}

// RecallDue reports whether the holder should ask the owners for their shares now, and takes them
// for asked. It needs them only while a host wants more than its own share.
func (p *Pool) RecallDue(now time.Time) bool {
	if now.Sub(p.pressedAt) > RecallInterval || now.Sub(p.recalledAt) < RecallInterval {
		return false
	}
	p.recalledAt = now
	return true
}

// Surplus returns the loans that the holder gives back, and forgets them: all if no host wants more than
// its own share any more, but for those that the permits of the last window need.
func (p *Pool) Surplus(now time.Time) []Return {
	if now.Sub(p.pressedAt) <= pressTTL {
		return nil
	}
	p.expire(now)
	left := p.capacity(now)
	var returns []Return
	for owner, l := range p.loans {
		usable := 0
		if l.usable(now) {
			usable = l.requests
		}
		if left-usable < len(p.issues) {
			continue
		}
		left -= usable
		p.returned = max(p.returned, l.recall)
		p.forgetLoan(now, owner)
		returns = append(returns, Return{Owner: owner, Recall: l.recall})
	}
	return returns
}

// forgetLoan drops a loan that has ended, or that is given back.
func (p *Pool) forgetLoan(now time.Time, owner string) {
	p.givenBack[owner] = givenBack{requests: p.loans[owner].requests, at: now}
	delete(p.loans, owner)
}

// Lend records what an owner lends in answer to a question that was sent at askedAt. It returns false if loans of
// that question were given back already: then this one counts for nothing and must be given back too.
func (p *Pool) Lend(now, askedAt time.Time, owner string, l Loan) (kept bool) {
	if l.Recall != 0 && l.Recall <= p.returned {
		return false
	}
	until := askedAt.Add(LoanTime)
	if until.Before(p.loans[owner].until) {
		return true
	}
	p.loans[owner] = loan{requests: l.Requests, from: now.Add(PoolWindow - l.Quiet), until: until, recall: l.Recall}
	return true
}

// DropLoans forgets what was lent, as when hosts own other shares than before. Permits that were handed
// out still count, and owners are asked at once.
func (p *Pool) DropLoans() {
	clear(p.loans)
	p.recalledAt = time.Time{}
}

// Grant answers a question. A question that has been overtaken by a later one gets nothing.
func (p *Pool) Grant(now time.Time, q Question) Grant {
	if q.Number <= p.numbers[q.Asker] {
		return Grant{AskAfter: MinAskInterval}
	}
	p.numbers[q.Asker] = q.Number
	p.release(now, q)
	if q.Want > 0 {
		p.askedAt = now
		p.askers[q.Asker] = now
	}
	p.askers.forget(now)
	p.forgetNumbers()
	granted := p.take(now, q)
	p.recordPress(now, q, granted)
	return Grant{Permits: granted, AskAfter: p.askAfter(now)}
}

// Idle reports whether nothing is handed out and nobody asks, so that the pool may be dropped.
func (p *Pool) Idle(now time.Time) bool {
	p.expire(now)
	return len(p.issues) == 0 && now.Sub(p.askedAt) > idleBucketTTL
}

// askAfter returns when a host should ask again: when a permit is free, if that is soon.
func (p *Pool) askAfter(now time.Time) time.Duration {
	next := MinAskInterval
	for _, issue := range p.issues {
		next = min(next, issue.usedBy.Add(PoolWindow).Sub(now))
	}
	return max(next, minPoolAskInterval, time.Duration(len(p.askers))*poolAskIntervalPerAsker)
}

// release records when an asker has used its permits, or by when it has lost them, but for the last
// ones, which it holds. Hosts use the earliest permits first.
func (p *Pool) release(now time.Time, q Question) {
	var open []*issue
	for i := range p.issues {
		if p.issues[i].asker == q.Asker && !p.issues[i].told {
			open = append(open, &p.issues[i])
		}
	}
	gone := open[:max(len(open)-q.Held, 0)]
	for i, issue := range gone {
		issue.told = true
		usedBy := now
		if i < len(q.Used) {
			usedBy = now.Add(-q.Used[i])
		}
		if usedBy.Before(issue.usedBy) {
			issue.usedBy = usedBy
		}
	}
}

// take hands out permits: no more than are wanted, than the asker's share, and than there are.
func (p *Pool) take(now time.Time, q Question) int {
	p.expire(now)
	capacity := p.capacity(now)
	share := (capacity + len(p.askers) - 1) / max(len(p.askers), 1)
	granted := max(min(q.Want, share, capacity-len(p.issues)), 0)
	for range granted {
		p.issues = append(p.issues, issue{asker: q.Asker, usedBy: now.Add(PoolTTL)})
	}
	return granted
}

// recordPress records whether an asker wants more permits in a window than its own share would allow,
// granted of which it has just got.
func (p *Pool) recordPress(now time.Time, q Question, granted int) {
	if q.Want == 0 {
		return
	}
	wanted := q.Want - granted
	for _, issue := range p.issues {
		if issue.asker == q.Asker {
			wanted++
		}
	}
	if wanted > p.ownShare(now, q.Asker) {
		p.pressedAt = now
	}
}

// ownShare returns how many requests in a window the share of an asker allows, as far as it has lent it, or
// may not know yet that it has it back.
func (p *Pool) ownShare(now time.Time, asker string) int {
	if l, ok := p.loans[asker]; ok {
		return l.requests
	}
	g, ok := p.givenBack[asker]
	if ok && now.Sub(g.at) > returnTime {
		delete(p.givenBack, asker)
		return 0
	}
	return g.requests
}

// capacity returns how many permits handed out now the shares allow. A share counts until the last
// request that a permit allows is out of the window.
func (p *Pool) capacity(now time.Time) int {
	capacity := 0
	for owner, l := range p.loans {
		switch {
		case now.After(l.until):
			p.forgetLoan(now, owner)
		case l.usable(now):
			capacity += l.requests
		}
	}
	return capacity
}

// expire drops the permits whose use is out of the window.
func (p *Pool) expire(now time.Time) {
	left := p.issues[:0]
	for _, issue := range p.issues {
		if now.Sub(issue.usedBy) <= PoolWindow {
			left = append(left, issue)
		}
	}
	p.issues = left
}

// forgetNumbers drops the numbers of hosts that neither ask nor have permits. Their questions can't
// be under way for as long as they are remembered.
func (p *Pool) forgetNumbers() {
	if len(p.numbers) <= 2*len(p.askers)+len(p.issues)+1 {
		return
	}
	needed := make(map[string]bool, len(p.issues))
	for _, issue := range p.issues {
		needed[issue.asker] = true
	}
	for asker := range p.numbers {
		if _, asks := p.askers[asker]; !asks && !needed[asker] {
			delete(p.numbers, asker)
		}
	}
}
