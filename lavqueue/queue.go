package lavqueue

import (
	"slices"
	"time"

	"lavenderrack.example/lavenderrack/lavrequest"
)

// Queue holds the requests that wait for an endpoint.
type Queue struct {
	settings  Settings
	items     map[*lavrequest.Request]*item
	byStart   *Heap[*item]
	lanes     [lavrequest.ClassCount]lane
	customers map[string]*customer
	backlog   *Heap[*customer]
	// idle are customers without requests, oldest first; their virtual times
	// are kept for a while.
	idle    []string
	virtual float64
	mover   mover
	next    uint64
}

// maxIdle bounds the customers that are remembered without requests.
const maxIdle = 20_000

// New returns an empty queue with the usual settings.
func New() *Queue { return NewWith(DefaultSettings()) }

// NewSingle returns an empty queue without lanes, shares and estimates: the
// baseline.
func NewSingle() *Queue {
	s := DefaultSettings()
	s.Single = true
	return NewWith(s)
}

// NewWith returns an empty queue.
func NewWith(s Settings) *Queue {
	q := &Queue{
		settings:  s,
		items:     make(map[*lavrequest.Request]*item),
		customers: make(map[string]*customer),
		mover:     newMover(),
	}
	q.byStart = NewHeap(sooner, func(i *item, at int) { i.inQueue = at })
	q.backlog = NewHeap(behind, func(c *customer, at int) { c.place = at })
	return q
}

// Len returns the number of requests that wait.
func (q *Queue) Len() int { return len(q.items) }

// Waits reports whether any request for the model waits.
func (q *Queue) Waits(model string) bool {
	for l := range q.lanes {
		for _, g := range q.lanes[l].groups {
			if g.target.model == model {
				return true
			}
		}
	}
	return false
}

// Borders returns the borders between the lanes.
func (q *Queue) Borders() Borders { return q.mover.borders }

// Lane returns the lane in which a request waits or would wait.
func (q *Queue) Lane(r *lavrequest.Request) lavrequest.LengthClass {
	if i := q.items[r]; i != nil {
		return i.lane
	}
	return q.laneOf(r)
}

func (q *Queue) laneOf(r *lavrequest.Request) lavrequest.LengthClass {
	if q.settings.Single {
		return lavrequest.ClassShort
	}
	return q.mover.borders.Lane(r.PromptTokens)
}

// Offer takes a request in, or returns a Refusal.
func (q *Queue) Offer(now time.Time, r *lavrequest.Request, rates Rates) error {
	q.mover.see(now, r.PromptTokens)
	if refusal := q.admit(now, r, &rates); refusal != nil {
		return refusal
	}
	at := q.laneOf(r)
	latest := r.Deadline.Add(-rates.Service(r, at))
	if q.settings.Single {
		latest = r.Deadline
	}
	q.next++
	i := &item{
		request: r,
		lane:    at,
		number:  q.next,
		latest:  latest,
		urgent:  latest.Add(-latest.Sub(now) / time.Duration(q.settings.UrgentPart)),
		flow:    q.flowOf(r, at),
	}
	q.insert(i)
	return nil
}

// flowOf returns the flow that the request belongs to.
func (q *Queue) flowOf(r *lavrequest.Request, at lavrequest.LengthClass) *flow {
	c := q.customer(r.Customer)
	g := q.lanes[at].group(target{model: r.Model, adapter: r.Adapter})
	for _, f := range c.flows {
		if f.group == g {
			return f
		}
	}
	order := sooner
	if q.settings.Single {
		order = earlier
	}
	f := &flow{customer: c, group: g, place: -1, items: NewHeap(order, func(i *item, at int) { i.inFlow = at })}
	c.flows = append(c.flows, f)
	return f
}

// customer returns a customer, who joins at the virtual time of those that
// wait: to be idle saves nothing up.
func (q *Queue) customer(name string) *customer {
	if q.settings.Single {
		name = ""
	}
	c := q.customers[name]
	if c == nil {
		c = &customer{name: name, place: -1}
		q.customers[name] = c
	}
	if c.waiting == 0 {
		c.share = q.share(name)
		c.virtual = max(c.virtual, q.virtual)
	}
	return c
}

func (q *Queue) share(name string) float64 {
	if q.settings.Share == nil {
		return 1
	}
	const least = 0.001
	return max(q.settings.Share(name), least)
}

func (q *Queue) insert(i *item) {
	f, c := i.flow, i.flow.customer
	q.items[i.request] = i
	q.byStart.Push(i)
	f.items.Push(i)
	if f.place < 0 {
		f.group.flows.Push(f)
	}
	f.group.prompt += i.request.PromptTokens
	c.prompt[i.lane] += i.request.PromptTokens
	c.waiting++
	if c.place < 0 {
		q.backlog.Push(c)
	}
	q.lanes[i.lane].waiting++
}

// remove takes an item out of all that holds it.
func (q *Queue) remove(i *item) {
	f, c := i.flow, i.flow.customer
	delete(q.items, i.request)
	q.byStart.Remove(i.inQueue)
	f.items.Remove(i.inFlow)
	f.group.prompt -= i.request.PromptTokens
	c.prompt[i.lane] -= i.request.PromptTokens
	if f.items.Len() == 0 {
		q.drop(f, i.lane)
	}
	l := &q.lanes[i.lane]
	if l.waiting--; l.waiting == 0 {
		l.credit = 0
	}
	if c.waiting--; c.waiting == 0 {
		q.backlog.Remove(c.place)
		q.rest(c)
	}
}

// drop forgets an empty flow, and its group with it if that was the last.
func (q *Queue) drop(f *flow, at lavrequest.LengthClass) {
	f.group.flows.Remove(f.place)
	c := f.customer
	c.flows = slices.DeleteFunc(c.flows, func(have *flow) bool { return have == f })
	if f.group.flows.Len() > 0 {
		return
	}
	l := &q.lanes[at]
	l.groups = slices.DeleteFunc(l.groups, func(have *group) bool { return have == f.group })
}

// rest remembers a customer who has no requests left, and forgets the one that
// has rested longest if there are too many.
func (q *Queue) rest(c *customer) {
	q.idle = append(q.idle, c.name)
	if len(q.idle) <= maxIdle {
		return
	}
	oldest := q.idle[0]
	q.idle = q.idle[1:]
	if have := q.customers[oldest]; have != nil && have.waiting == 0 {
		delete(q.customers, oldest)
	}
}

// Expire takes out the requests that can no longer end in time.
func (q *Queue) Expire(now time.Time) []*lavrequest.Request {
	var gone []*lavrequest.Request
	for {
		i, ok := q.byStart.Min()
		if !ok || i.latest.After(now) {
			return gone
		}
		q.remove(i)
		gone = append(gone, i.request)
	}
}

// Cancel takes out a request whose caller has gone, and reports whether it was
// waiting.
func (q *Queue) Cancel(r *lavrequest.Request) bool {
	i := q.items[r]
	if i == nil {
		return false
	}
	q.remove(i)
	return true
}
