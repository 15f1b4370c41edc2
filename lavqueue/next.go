package lavqueue

import (
	"math"
	"time"

	"lavenderrack.example/lavenderrack/lavrequest"
)

// tries bounds the requests that are looked at in one group, and among the
// urgent ones, before the queue goes on to the next.
const tries = 4

// Next takes out the next request that fits, or returns nil. It never returns
// one that can no longer end in time.
func (q *Queue) Next(now time.Time, fits func(*lavrequest.Request) bool) *lavrequest.Request {
	if len(q.items) == 0 {
		return nil
	}
	q.advance()
	usable := func(i *item) bool { return i.latest.After(now) && fits(i.request) }
	found := q.pick(now, usable)
	if found == nil {
		return nil
	}
	q.charge(found)
	q.remove(found)
	return found.request
}

// advance moves the virtual time on to that of the customer furthest behind.
func (q *Queue) advance() {
	if c, ok := q.backlog.Min(); ok {
		q.virtual = max(q.virtual, c.virtual)
	}
}

func (q *Queue) pick(now time.Time, usable func(*item) bool) *item {
	within := q.virtual + q.settings.BurstTokens
	if !q.settings.Single {
		if i := q.pickUrgent(now, within, usable); i != nil {
			return i
		}
	}
	for _, bound := range [...]float64{within, math.Inf(1)} {
		for _, at := range q.order() {
			if i := q.lanes[at].pick(bound, usable); i != nil {
				return i
			}
		}
	}
	return nil
}

// order returns the lanes in the order in which they go: first those that are
// owed a part of their reserved share, then the shortest.
func (q *Queue) order() []lavrequest.LengthClass {
	order := make([]lavrequest.LengthClass, 0, lavrequest.ClassCount)
	for at := range q.lanes {
		if l := &q.lanes[at]; l.waiting > 0 && l.owed() {
			order = append(order, lavrequest.LengthClass(at))
		}
	}
	for at := range q.lanes {
		if l := &q.lanes[at]; l.waiting > 0 && !l.owed() {
			order = append(order, lavrequest.LengthClass(at))
		}
	}
	return order
}

// owed reports whether the lane's credit pays for one of its requests.
func (l *lane) owed() bool {
	if l.credit <= 0 {
		return false
	}
	for _, g := range l.groups {
		if f, ok := g.flows.Min(); ok {
			if i, ok := f.items.Min(); ok && float64(i.request.TotalTokens()) <= l.credit {
				return true
			}
		}
	}
	return false
}

// pickUrgent returns a request whose latest start is near. Its customer is
// within his share, so that a short time to live buys nobody a bigger one.
func (q *Queue) pickUrgent(now time.Time, within float64, usable func(*item) bool) *item {
	return firstOf(q.byStart, func(i *item) (*item, bool) {
		if i.urgent.After(now) {
			return nil, false
		}
		if i.flow.customer.virtual <= within && usable(i) {
			return i, true
		}
		return nil, true
	})
}

// pick returns a request of the lane, of a customer whose virtual time is at
// most bound. The groups take turns by the customer furthest behind.
func (l *lane) pick(bound float64, usable func(*item) bool) *item {
	var tried uint64
	for range l.groups {
		g := l.nextGroup(&tried, bound)
		if g == nil {
			return nil
		}
		if i := g.pick(bound, usable); i != nil {
			return i
		}
	}
	return nil
}

// maxTriedGroups is the number of groups that a bit set can tell apart. Those
// beyond wait until one before them has gone.
const maxTriedGroups = 64

// nextGroup returns the group not yet tried whose first customer is furthest
// behind.
func (l *lane) nextGroup(tried *uint64, bound float64) *group {
	best := -1
	var least *customer
	for n, g := range l.groups[:min(len(l.groups), maxTriedGroups)] {
		f, ok := g.flows.Min()
		if !ok || *tried&(1<<n) != 0 || f.customer.virtual > bound {
			continue
		}
		if best < 0 || behind(f.customer, least) {
			best, least = n, f.customer
		}
	}
	if best < 0 {
		return nil
	}
	*tried |= 1 << best
	return l.groups[best]
}

func (g *group) pick(bound float64, usable func(*item) bool) *item {
	return firstOf(g.flows, func(f *flow) (*item, bool) {
		if f.customer.virtual > bound {
			return nil, false
		}
		i, ok := f.items.Min()
		if ok && usable(i) {
			return i, true
		}
		return nil, true
	})
}

// firstOf looks at the first few members of a heap in order until look finds
// an item or says that there is no use in going on.
func firstOf[T any](h *Heap[T], look func(T) (*item, bool)) *item {
	var taken [tries]T
	n := 0
	var found *item
	for n < tries && found == nil {
		first, ok := h.Min()
		if !ok {
			break
		}
		var more bool
		if found, more = look(first); found != nil || !more {
			break
		}
		h.Remove(0)
		taken[n] = first
		n++
	}
	for _, t := range taken[:n] {
		h.Push(t)
	}
	return found
}

// charge counts a dispatched request against its customer's share and its
// lane's reserved share.
func (q *Queue) charge(i *item) {
	tokens := float64(i.request.TotalTokens())
	c := i.flow.customer
	if !q.settings.Single {
		c.virtual += tokens / c.share
	}
	q.backlog.Fix(c.place)
	for _, f := range c.flows {
		f.group.flows.Fix(f.place)
	}
	for at := range q.lanes {
		l := &q.lanes[at]
		switch {
		case lavrequest.LengthClass(at) == i.lane:
			l.credit = max(l.credit-tokens, 0)
		case l.waiting > 0:
			l.credit = min(l.credit+q.settings.Reserved[at]*tokens, maxCredit)
		}
	}
}

// maxCredit bounds what a lane is owed: enough for the longest request.
const maxCredit = 2 << 20
