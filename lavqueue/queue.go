package lavqueue

import (
	"slices"
	"time"

	"lavenderrack.example/lavenderrack/lavrequest"
)

// Queue holds the requests that wait for an endpoint.
type Queue struct {
	settings      Settings
	items         map[*lavrequest.Request]*item
	byLatestStart *Heap[*item]
	lanes         [lavrequest.ClassCount]laneState
	customers     map[string]*customer
	// activeCustomers holds the customers with queued requests, by virtual
	// time.
	activeCustomers *Heap[*customer]
	// idleCustomers names customers that ran out of queued requests, oldest
	// first. Their virtual times are kept for a while, so that a customer
	// cannot reset its usage by pausing.
	idleCustomers []string
	// virtualTime is the highest value that the lowest virtual time of the
	// active customers has reached.
	virtualTime  float64
	laneAdjuster laneAdjuster
	lastSequence uint64
}

// maxIdleCustomers limits how many entries idleCustomers has.
const maxIdleCustomers = 20_000

// New returns an empty queue with the default settings.
func New() *Queue { return NewWithSettings(DefaultSettings()) }

// NewFIFO returns an empty queue that dispatches in order of arrival, without
// lanes, shares or wait estimates. It serves as a baseline in experiments.
func NewFIFO() *Queue {
	s := DefaultSettings()
	s.FIFO = true
	return NewWithSettings(s)
}

// NewWithSettings returns an empty queue with the given settings.
func NewWithSettings(s Settings) *Queue {
	q := &Queue{
		settings:     s,
		items:        make(map[*lavrequest.Request]*item),
		customers:    make(map[string]*customer),
		laneAdjuster: newLaneAdjuster(),
	}
	q.byLatestStart = NewHeap(lessLatestStart, func(i *item, index int) { i.queueIndex = index })
	q.activeCustomers = NewHeap(lessVirtualTime, func(c *customer, index int) { c.heapIndex = index })
	return q
}

// Len returns the number of queued requests.
func (q *Queue) Len() int { return len(q.items) }

// HasWaiting reports whether a request for the model is queued.
func (q *Queue) HasWaiting(model string) bool {
	for l := range q.lanes {
		for _, g := range q.lanes[l].groups {
			if g.target.model == model {
				return true
			}
		}
	}
	return false
}

// LaneBoundaries returns the current boundaries between the lanes.
func (q *Queue) LaneBoundaries() LaneBoundaries { return q.laneAdjuster.boundaries }

// Lane returns the lane in which a request is queued or would be queued.
func (q *Queue) Lane(r *lavrequest.Request) lavrequest.LengthClass {
	if i := q.items[r]; i != nil {
		return i.lane
	}
	return q.laneOf(r)
}

func (q *Queue) laneOf(r *lavrequest.Request) lavrequest.LengthClass {
	if q.settings.FIFO {
		return lavrequest.ClassShort
	}
	return q.laneAdjuster.boundaries.Lane(r.PromptTokens)
}

// Offer queues a request, or returns a Refusal.
func (q *Queue) Offer(now time.Time, r *lavrequest.Request, rates Rates) error {
	q.laneAdjuster.observe(now, r.PromptTokens)
	if refusal := q.admit(now, r, &rates); refusal != nil {
		return refusal
	}
	lane := q.laneOf(r)
	latestStart := r.Deadline.Add(-rates.ServiceTime(r, lane))
	if q.settings.FIFO {
		latestStart = r.Deadline
	}
	q.lastSequence++
	i := &item{
		request:     r,
		lane:        lane,
		sequence:    q.lastSequence,
		latestStart: latestStart,
		urgentFrom:  latestStart.Add(-latestStart.Sub(now) / time.Duration(q.settings.UrgentDivisor)),
		flow:        q.flowOf(r, lane),
	}
	q.insert(i)
	return nil
}

// flowOf returns the flow for a request and creates it if needed.
func (q *Queue) flowOf(r *lavrequest.Request, lane lavrequest.LengthClass) *flow {
	c := q.customer(r.Customer)
	g := q.lanes[lane].group(target{model: r.Model, adapter: r.Adapter})
	for _, f := range c.flows {
		if f.group == g {
			return f
		}
	}
	less := lessLatestStart
	if q.settings.FIFO {
		less = lessArrival
	}
	f := &flow{customer: c, group: g, heapIndex: -1, items: NewHeap(less, func(i *item, index int) { i.flowIndex = index })}
	c.flows = append(c.flows, f)
	return f
}

// customer returns the state of a customer and creates it if needed. A customer
// without queued requests rejoins at no less than the queue's virtual time, so
// that it accumulates no share while idle.
func (q *Queue) customer(name string) *customer {
	if q.settings.FIFO {
		name = ""
	}
	c := q.customers[name]
	if c == nil {
		c = &customer{name: name, heapIndex: -1}
		q.customers[name] = c
	}
	if c.waiting == 0 {
		c.share = q.share(name)
		c.virtualTime = max(c.virtualTime, q.virtualTime)
	}
	return c
}

func (q *Queue) share(name string) float64 {
	if q.settings.Share == nil {
		return 1
	}
	const minShare = 0.001
	return max(q.settings.Share(name), minShare)
}

// insert adds an item to every index that holds it.
func (q *Queue) insert(i *item) {
	f, c := i.flow, i.flow.customer
	q.items[i.request] = i
	q.byLatestStart.Push(i)
	f.items.Push(i)
	if f.heapIndex < 0 {
		f.group.flows.Push(f)
	}
	f.group.promptTokens += i.request.PromptTokens
	c.promptTokens[i.lane] += i.request.PromptTokens
	c.waiting++
	if c.heapIndex < 0 {
		q.activeCustomers.Push(c)
	}
	q.lanes[i.lane].waiting++
}

// remove removes an item from every index that holds it.
func (q *Queue) remove(i *item) {
	f, c := i.flow, i.flow.customer
	delete(q.items, i.request)
	q.byLatestStart.Remove(i.queueIndex)
	f.items.Remove(i.flowIndex)
	f.group.promptTokens -= i.request.PromptTokens
	c.promptTokens[i.lane] -= i.request.PromptTokens
	if f.items.Len() == 0 {
		q.removeFlow(f, i.lane)
	}
	l := &q.lanes[i.lane]
	if l.waiting--; l.waiting == 0 {
		l.reservedCredit = 0
	}
	if c.waiting--; c.waiting == 0 {
		q.activeCustomers.Remove(c.heapIndex)
		q.markIdle(c)
	}
}

// removeFlow removes an empty flow, and its group if that has no other flow.
func (q *Queue) removeFlow(f *flow, lane lavrequest.LengthClass) {
	f.group.flows.Remove(f.heapIndex)
	c := f.customer
	c.flows = slices.DeleteFunc(c.flows, func(other *flow) bool { return other == f })
	if f.group.flows.Len() > 0 {
		return
	}
	l := &q.lanes[lane]
	l.groups = slices.DeleteFunc(l.groups, func(other *group) bool { return other == f.group })
}

// markIdle records that a customer has no queued requests, and discards the
// customer that has been idle longest if there are too many.
func (q *Queue) markIdle(c *customer) {
	q.idleCustomers = append(q.idleCustomers, c.name)
	if len(q.idleCustomers) <= maxIdleCustomers {
		return
	}
	oldest := q.idleCustomers[0]
	q.idleCustomers = q.idleCustomers[1:]
	if other := q.customers[oldest]; other != nil && other.waiting == 0 {
		delete(q.customers, oldest)
	}
}

// Expire removes and returns the requests that can no longer meet their
// deadlines.
func (q *Queue) Expire(now time.Time) []*lavrequest.Request {
	var expired []*lavrequest.Request
	for {
		i, ok := q.byLatestStart.Min()
		if !ok || i.latestStart.After(now) {
			return expired
		}
		q.remove(i)
		expired = append(expired, i.request)
	}
}

// Cancel removes a request whose caller has disconnected, and reports whether
// the request was queued.
func (q *Queue) Cancel(r *lavrequest.Request) bool {
	i := q.items[r]
	if i == nil {
		return false
	}
	q.remove(i)
	return true
}
