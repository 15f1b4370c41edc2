package lavqueue

import (
	"math"
	"time"

	"lavenderrack.example/lavenderrack/lavrequest"
)

// maxScanned is how many flows of one group, and how many urgent requests, are
// examined for one that fits before the search moves on.
const maxScanned = 4

// Next removes and returns the next request for which fits reports true, or
// returns nil. It never returns a request that can no longer meet its deadline.
func (q *Queue) Next(now time.Time, fits func(*lavrequest.Request) bool) *lavrequest.Request {
	if len(q.items) == 0 {
		return nil
	}
	q.advanceVirtualTime()
	usable := func(i *item) bool { return i.latestStart.After(now) && fits(i.request) }
	found := q.pick(now, usable)
	if found == nil {
		return nil
	}
	q.charge(found)
	q.remove(found)
	return found.request
}

// advanceVirtualTime raises the virtual time of the queue to the lowest one of
// the active customers.
func (q *Queue) advanceVirtualTime() {
	if c, ok := q.activeCustomers.Min(); ok {
		q.virtualTime = max(q.virtualTime, c.virtualTime)
	}
}

// pick returns the next usable item. It first considers only customers within
// the burst limit. If none of their requests fits, it considers all customers,
// so that capacity is not left unused.
func (q *Queue) pick(now time.Time, usable func(*item) bool) *item {
	burstLimit := q.virtualTime + q.settings.BurstTokens
	if !q.settings.FIFO {
		if i := q.pickUrgent(now, burstLimit, usable); i != nil {
			return i
		}
	}
	for _, maxVirtualTime := range [...]float64{burstLimit, math.Inf(1)} {
		for _, lane := range q.laneOrder() {
			if i := q.lanes[lane].pick(maxVirtualTime, usable); i != nil {
				return i
			}
		}
	}
	return nil
}

// laneOrder returns the non-empty lanes in dispatch order: first those that can
// spend reserved credit, then the others, each from shortest to longest.
func (q *Queue) laneOrder() []lavrequest.LengthClass {
	lanes := make([]lavrequest.LengthClass, 0, lavrequest.ClassCount)
	for lane := range q.lanes {
		if l := &q.lanes[lane]; l.waiting > 0 && l.canSpendReserve() {
			lanes = append(lanes, lavrequest.LengthClass(lane))
		}
	}
	for lane := range q.lanes {
		if l := &q.lanes[lane]; l.waiting > 0 && !l.canSpendReserve() {
			lanes = append(lanes, lavrequest.LengthClass(lane))
		}
	}
	return lanes
}

// canSpendReserve reports whether the lane's reserved credit covers one of its
// requests.
func (l *laneState) canSpendReserve() bool {
	if l.reservedCredit <= 0 {
		return false
	}
	for _, g := range l.groups {
		if f, ok := g.flows.Min(); ok {
			if i, ok := f.items.Min(); ok && float64(i.request.TotalTokens()) <= l.reservedCredit {
				return true
			}
		}
	}
	return false
}

// pickUrgent returns a request close to its latest start whose customer is
// within the burst limit. The limit keeps customers from gaining capacity by
// setting short deadlines.
func (q *Queue) pickUrgent(now time.Time, burstLimit float64, usable func(*item) bool) *item {
	return scanHeap(q.byLatestStart, func(i *item) (*item, bool) {
		if i.urgentFrom.After(now) {
			return nil, false
		}
		if i.flow.customer.virtualTime <= burstLimit && usable(i) {
			return i, true
		}
		return nil, true
	})
}

// pick returns a usable request of the lane whose customer has a virtual time
// of at most maxVirtualTime. Groups are tried in the order of their lowest
// customer virtual time.
func (l *laneState) pick(maxVirtualTime float64, usable func(*item) bool) *item {
	var tried uint64
	for range l.groups {
		g := l.nextGroup(&tried, maxVirtualTime)
		if g == nil {
			return nil
		}
		if i := g.pick(maxVirtualTime, usable); i != nil {
			return i
		}
	}
	return nil
}

// maxTriedGroups is the number of groups that the bit set of tried groups can
// hold. Groups beyond it are not considered until an earlier one becomes empty.
const maxTriedGroups = 64

// nextGroup returns the untried group whose first customer has the lowest
// virtual time, and marks it as tried.
func (l *laneState) nextGroup(tried *uint64, maxVirtualTime float64) *group {
	best := -1
	var lowest *customer
	for n, g := range l.groups[:min(len(l.groups), maxTriedGroups)] {
		f, ok := g.flows.Min()
		if !ok || *tried&(1<<n) != 0 || f.customer.virtualTime > maxVirtualTime {
			continue
		}
		if best < 0 || lessVirtualTime(f.customer, lowest) {
			best, lowest = n, f.customer
		}
	}
	if best < 0 {
		return nil
	}
	*tried |= 1 << best
	return l.groups[best]
}

// pick returns the first usable request of the group whose customer has a
// virtual time of at most maxVirtualTime.
func (g *group) pick(maxVirtualTime float64, usable func(*item) bool) *item {
	return scanHeap(g.flows, func(f *flow) (*item, bool) {
		if f.customer.virtualTime > maxVirtualTime {
			return nil, false
		}
		i, ok := f.items.Min()
		if ok && usable(i) {
			return i, true
		}
		return nil, true
	})
}

// scanHeap visits up to maxScanned members of a heap in order, until visit
// returns an item or reports that the search should stop. The heap is unchanged
// afterwards.
func scanHeap[T any](h *Heap[T], visit func(T) (*item, bool)) *item {
	var skipped [maxScanned]T
	n := 0
	var found *item
	for n < maxScanned && found == nil {
		first, ok := h.Min()
		if !ok {
			break
		}
		var proceed bool
		if found, proceed = visit(first); found != nil || !proceed {
			break
		}
		h.Remove(0)
		skipped[n] = first
		n++
	}
	for _, member := range skipped[:n] {
		h.Push(member)
	}
	return found
}

// charge advances the customer's virtual time for a dispatched request, deducts
// the request from its lane's reserved credit, and adds to the reserved credit
// of the other lanes with waiting requests.
func (q *Queue) charge(i *item) {
	tokens := float64(i.request.TotalTokens())
	c := i.flow.customer
	if !q.settings.FIFO {
		c.virtualTime += tokens / c.share
	}
	q.activeCustomers.Fix(c.heapIndex)
	for _, f := range c.flows {
		f.group.flows.Fix(f.heapIndex)
	}
	for lane := range q.lanes {
		l := &q.lanes[lane]
		switch {
		case lavrequest.LengthClass(lane) == i.lane:
			l.reservedCredit = max(l.reservedCredit-tokens, 0)
		case l.waiting > 0:
			l.reservedCredit = min(l.reservedCredit+q.settings.ReservedShare[lane]*tokens, maxReservedCredit)
		}
	}
}

// maxReservedCredit limits the reserved credit of a lane, in tokens. It is
// large enough for the longest request.
const maxReservedCredit = 2 << 20
