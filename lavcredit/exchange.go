package lavcredit

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"lavenderrack.example/lavenderrack/lavendpoint"
	"lavenderrack.example/lavenderrack/lavmember"
	"lavenderrack.example/lavenderrack/lavmesh"
	"lavenderrack.example/lavenderrack/lavstep"

	"github.com/cockroachdb/errors"
)

// Endpoints tells what endpoints there are.
type Endpoints interface {
	Snapshot() *lavendpoint.Snapshot
}

// Members tells who the hosts are.
type Members interface {
	View() *lavmember.View
	Self() lavmember.Member
}

// Mesh carries requests between hosts.
type Mesh interface {
	Handle(topic lavmesh.Topic, h lavmesh.Handler)
	Call(ctx context.Context, peer string, topic lavmesh.Topic, in, out any) error
}

// Dependencies are what an exchange is made of.
type Dependencies struct {
	Endpoints Endpoints
	Members   Members
	Mesh      Mesh
	Claims    interface {
		Get(now time.Time, endpoint string) Claim
	}
}

// errStale is the answer to a request that a later one has overtaken.
var errStale = errors.New("a later request has come before this one")

// Exchange is one host's part in dividing the endpoints: holder of its own
// allowances and owner of some endpoints. It is a Source.
type Exchange struct {
	parts Dependencies
	wake  chan struct{}

	mu     sync.Mutex
	holder *Holder
	book   *Book
	signal signal
	// last is the number of each holder's newest request.
	last map[string]uint64
	// owners names each endpoint's owner by the view that they were worked
	// out from.
	owners map[string]string
	view   *lavmember.View
	// calls are the owners whose replies are awaited; number counts requests.
	calls  map[string]bool
	number uint64
	ended  chan outcome
}

// outcome is the end of one call to an owner.
type outcome struct {
	owner string
	asked time.Time
	reply Reply
	err   error
}

// NewExchange returns an exchange and sets it as the mesh's handler of credit
// requests.
func NewExchange(parts Dependencies) *Exchange {
	x := &Exchange{
		parts:  parts,
		wake:   make(chan struct{}, 1),
		holder: NewHolder(),
		book:   NewBook(),
		signal: newSignal(),
		last:   make(map[string]uint64),
		calls:  make(map[string]bool),
		ended:  make(chan outcome),
	}
	parts.Mesh.Handle(lavmesh.TopicCredit, x.handle)
	return x
}

// hosts is the number of hosts. The caller holds the lock or not.
func (x *Exchange) hosts() int { return len(x.parts.Members.View().Members) }

// Take implements Source.
func (x *Exchange) Take(now time.Time, e *lavendpoint.Endpoint, tokens int) (Credit, bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.holder.Take(now, e, tokens, x.hosts())
}

// Available implements Source.
func (x *Exchange) Available(now time.Time, e *lavendpoint.Endpoint) int {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.holder.Room(now, e, x.hosts())
}

// Want implements Source.
func (x *Exchange) Want(now time.Time, e *lavendpoint.Endpoint, tokens int) {
	x.mu.Lock()
	fresh := x.holder.Want(now, e, tokens)
	x.mu.Unlock()
	if !fresh {
		return
	}
	select {
	case x.wake <- struct{}{}:
	default:
	}
}

// Return implements Source.
func (x *Exchange) Return(c Credit) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.holder.Return(c)
}

// Suspend implements Source.
func (x *Exchange) Suspend(now time.Time, endpoint string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.holder.Doubt(now, endpoint)
	x.signal.raise()
}

// Changed implements Source.
func (x *Exchange) Changed() <-chan struct{} {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.signal.changed
}

// Serve renews the allowances until the context ends.
func (x *Exchange) Serve(ctx context.Context) error {
	tick := time.NewTicker(RenewEvery)
	defer tick.Stop()
	running := 0
	for {
		select {
		case <-ctx.Done():
			for ; running > 0; running-- {
				x.settle(<-x.ended)
			}
			return ctx.Err()
		case <-tick.C:
			x.tidy(time.Now())
			running += x.renew(ctx, false)
		case <-x.wake:
			running += x.renew(ctx, true)
		case done := <-x.ended:
			running--
			x.settle(done)
			running += x.renew(ctx, true)
		}
	}
}

// tidy tells both state machines of endpoints and hosts that have gone.
func (x *Exchange) tidy(now time.Time) {
	snapshot, view := x.parts.Endpoints.Snapshot(), x.parts.Members.View()
	holders := make([]string, 0, len(view.Members))
	for _, m := range view.Members {
		holders = append(holders, m.Incarnation)
	}
	self := x.parts.Members.Self().Incarnation
	x.mu.Lock()
	defer x.mu.Unlock()
	x.book.Members(now, holders)
	x.book.Keep(now, func(name string) bool { return x.owner(view, name) == self })
	x.holder.Keep(func(name string) bool { return snapshot.Index(name) >= 0 })
	for name := range x.last {
		if _, ok := view.Member(name); !ok {
			delete(x.last, name)
		}
	}
}

// owner returns the owner of an endpoint. The caller holds the lock.
func (x *Exchange) owner(view *lavmember.View, endpoint string) string {
	if x.view != view {
		x.view, x.owners = view, make(map[string]string)
	}
	name, ok := x.owners[endpoint]
	if !ok {
		m, _ := lavmember.Owner(view, endpoint)
		name = m.Incarnation
		x.owners[endpoint] = name
	}
	return name
}

// renew asks the owners, all of them or only those with news for them, and
// returns how many calls it has begun. An owner whose reply is still awaited
// is left alone: at most one request is on its way to each.
func (x *Exchange) renew(ctx context.Context, news bool) int {
	asked := time.Now()
	requests := x.requests(asked, news)
	self := x.parts.Members.Self().Incarnation
	begun := 0
	for _, owner := range slices.Sorted(maps.Keys(requests)) {
		request := requests[owner]
		if owner == self {
			reply, err := x.answer(ctx, self, request)
			x.settle(outcome{owner: owner, asked: asked, reply: reply, err: err})
			continue
		}
		begun++
		go func() { x.ended <- x.call(ctx, owner, asked, request) }()
	}
	return begun
}

func (x *Exchange) requests(now time.Time, news bool) map[string]Request {
	snapshot, view := x.parts.Endpoints.Snapshot(), x.parts.Members.View()
	requests := make(map[string]Request)
	x.mu.Lock()
	defer x.mu.Unlock()
	for i := range snapshot.Endpoints {
		e := &snapshot.Endpoints[i]
		if news && !x.holder.Asking(e.Name) {
			continue
		}
		owner := x.owner(view, e.Name)
		if x.calls[owner] {
			continue
		}
		ask, ok := x.holder.Ask(now, e)
		if !ok {
			continue
		}
		r := requests[owner]
		r.Asks = append(r.Asks, ask)
		requests[owner] = r
	}
	// All requests of a round have the same number: it need only rise for each
	// owner.
	x.number++
	for owner, r := range requests {
		r.Number = x.number
		requests[owner] = r
		x.calls[owner] = true
	}
	return requests
}

func (x *Exchange) call(ctx context.Context, owner string, asked time.Time, request Request) outcome {
	out := outcome{owner: owner, asked: asked}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	if out.err = lavstep.Reach(ctx, lavstep.CreditAcquire, owner); out.err != nil {
		return out
	}
	out.err = x.parts.Mesh.Call(ctx, owner, lavmesh.TopicCredit, request, &out.reply)
	if out.err == nil {
		out.err = lavstep.Reach(ctx, lavstep.CreditAdopt, owner)
	}
	return out
}

// settle takes a reply in.
func (x *Exchange) settle(done outcome) {
	x.mu.Lock()
	defer x.mu.Unlock()
	delete(x.calls, done.owner)
	if done.err != nil {
		return
	}
	for _, g := range done.reply.Grants {
		x.holder.Adopt(done.asked, g)
	}
	x.signal.raise()
}

// handle answers a peer's request as the owner.
func (x *Exchange) handle(ctx context.Context, from string, body []byte) (any, error) {
	var request Request
	if err := lavmesh.Decode(body, &request); err != nil {
		return nil, err
	}
	return x.answer(ctx, from, request)
}

func (x *Exchange) answer(ctx context.Context, from string, request Request) (Reply, error) {
	if err := lavstep.Reach(ctx, lavstep.CreditGrant, from); err != nil {
		return Reply{}, err
	}
	snapshot, view := x.parts.Endpoints.Snapshot(), x.parts.Members.View()
	self := x.parts.Members.Self().Incarnation
	now := time.Now()
	x.mu.Lock()
	defer x.mu.Unlock()
	if request.Number < x.last[from] {
		return Reply{}, lavstep.Wrap(errStale, lavstep.CreditGrant, from)
	}
	x.last[from] = request.Number
	var reply Reply
	for _, ask := range request.Asks {
		i := snapshot.Index(ask.Endpoint)
		if i < 0 || x.owner(view, ask.Endpoint) != self {
			continue
		}
		reply.Grants = append(reply.Grants, x.grant(now, from, ask, &snapshot.Endpoints[i], len(view.Members)))
	}
	return reply, nil
}

func (x *Exchange) grant(now time.Time, from string, ask Ask, e *lavendpoint.Endpoint, holders int) Grant {
	limit, cold := limitOf(e)
	facts := Facts{
		Incarnation: e.Report.Incarnation,
		Limit:       limit,
		Cold:        cold,
		Running:     e.Report.RunningTokens,
		Taken:       e.Report.Taken,
		Reserved:    len(e.Report.Reservations) > 0,
		Holders:     holders,
	}
	var claim Claim
	if cold {
		claim = x.parts.Claims.Get(now, e.Name)
	}
	return x.book.Grant(now, from, ask, facts, claim)
}
