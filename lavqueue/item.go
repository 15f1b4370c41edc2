package lavqueue

import (
	"time"

	"lavenderrack.example/lavenderrack/lavrequest"
)

// item is a queued request.
type item struct {
	request *lavrequest.Request
	lane    lavrequest.LengthClass
	// sequence numbers the requests in order of arrival.
	sequence uint64
	// latestStart is the last moment at which the request can be dispatched and
	// still meet its deadline. From urgentFrom on it is preferred over other
	// requests.
	latestStart time.Time
	urgentFrom  time.Time
	flow        *flow
	// flowIndex and queueIndex are the item's indexes in the flow's heap and in
	// the queue's byLatestStart heap.
	flowIndex  int
	queueIndex int
}

// lessLatestStart orders items by their latest start, then by arrival.
func lessLatestStart(a, b *item) bool {
	if !a.latestStart.Equal(b.latestStart) {
		return a.latestStart.Before(b.latestStart)
	}
	return a.sequence < b.sequence
}

// lessArrival orders items by arrival.
func lessArrival(a, b *item) bool { return a.sequence < b.sequence }

// customer holds the fair-queueing state of one customer.
type customer struct {
	name  string
	share float64
	// virtualTime is the sum of dispatched tokens divided by the share. It
	// never starts below the virtual time of the queue.
	virtualTime float64
	// waiting is the number of queued requests.
	waiting int
	// promptTokens is the number of queued prompt tokens, by lane.
	promptTokens [lavrequest.ClassCount]int
	flows        []*flow
	// heapIndex is the index in the queue's heap of active customers, or -1.
	heapIndex int
}

// lessVirtualTime orders customers by virtual time, then by name.
func lessVirtualTime(a, b *customer) bool {
	if a.virtualTime != b.virtualTime {
		return a.virtualTime < b.virtualTime
	}
	return a.name < b.name
}

// flow holds one customer's requests in one group, ordered by latest start, or
// by arrival in a FIFO queue.
type flow struct {
	customer *customer
	group    *group
	items    *Heap[*item]
	// heapIndex is the index in the group's heap of flows, or -1.
	heapIndex int
}

// target identifies the model and adapter that a request needs. Requests with
// the same target can run on the same endpoints, so they differ only in the
// capacity that they need.
type target struct {
	model   string
	adapter string
}

// group holds the flows of one lane and target, ordered by the virtual time of
// their customers.
type group struct {
	target target
	flows  *Heap[*flow]
	// promptTokens is the number of queued prompt tokens.
	promptTokens int
}

func newGroup(t target) *group {
	return &group{
		target: t,
		flows: NewHeap(
			func(a, b *flow) bool { return lessVirtualTime(a.customer, b.customer) },
			func(f *flow, i int) { f.heapIndex = i }),
	}
}

// laneState holds the queued requests of one lane, grouped by target.
type laneState struct {
	groups  []*group
	waiting int
	// reservedCredit is the tokens of the reserved share that the lane has
	// earned and not yet used.
	reservedCredit float64
}

func (l *laneState) group(t target) *group {
	for _, g := range l.groups {
		if g.target == t {
			return g
		}
	}
	g := newGroup(t)
	l.groups = append(l.groups, g)
	return g
}
