package lavqueue

import (
	"time"

	"lavenderrack.example/lavenderrack/lavrequest"
)

// item is a request that waits.
type item struct {
	request *lavrequest.Request
	lane    lavrequest.LengthClass
	number  uint64
	// latest is when the request must start to end in time, and urgent when
	// it begins to go before others.
	latest time.Time
	urgent time.Time
	flow   *flow
	// inFlow and inQueue are its places in the flow's and the queue's heaps.
	inFlow  int
	inQueue int
}

// sooner orders items by their latest start, then by arrival.
func sooner(a, b *item) bool {
	if !a.latest.Equal(b.latest) {
		return a.latest.Before(b.latest)
	}
	return a.number < b.number
}

// earlier orders items by arrival.
func earlier(a, b *item) bool { return a.number < b.number }

// customer is a customer with requests in the queue.
type customer struct {
	name  string
	share float64
	// virtual is the tokens dispatched over the share.
	virtual float64
	waiting int
	// prompt is the prompt tokens that wait, by lane.
	prompt [lavrequest.ClassCount]int
	flows  []*flow
	place  int
}

// behind orders customers by their virtual time, then by name.
func behind(a, b *customer) bool {
	if a.virtual != b.virtual {
		return a.virtual < b.virtual
	}
	return a.name < b.name
}

// flow holds the requests of one customer in one group, those that must start
// soonest first.
type flow struct {
	customer *customer
	group    *group
	items    *Heap[*item]
	place    int
}

// target is what requests of a group ask for; one of them fits where the
// others do, as far as there is room.
type target struct {
	model   string
	adapter string
}

// group holds the flows of one lane with one target, those of the customers
// who are furthest behind first.
type group struct {
	target target
	flows  *Heap[*flow]
	// prompt is the prompt tokens that wait.
	prompt int
}

func newGroup(t target) *group {
	return &group{
		target: t,
		flows: NewHeap(
			func(a, b *flow) bool { return behind(a.customer, b.customer) },
			func(f *flow, i int) { f.place = i }),
	}
}

// lane holds the groups of one lane.
type lane struct {
	groups  []*group
	waiting int
	// credit is the tokens of its reserved share that the lane has not used.
	credit float64
}

func (l *lane) group(t target) *group {
	for _, g := range l.groups {
		if g.target == t {
			return g
		}
	}
	g := newGroup(t)
	l.groups = append(l.groups, g)
	return g
}
