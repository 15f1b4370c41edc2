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

// Endpoints provides the current snapshot of the endpoints.
type Endpoints interface {
	Snapshot() *lavendpoint.Snapshot
}

// Members provides the current membership view and this host's own entry.
type Members interface {
	View() *lavmember.View
	// FullView includes the members that can't be reached while the store is away.
	FullView() *lavmember.View
	Self() lavmember.Member
}

// Mesh sends requests to other hosts and receives theirs.
type Mesh interface {
	Handle(topic lavmesh.Topic, h lavmesh.Handler)
	Call(ctx context.Context, peer string, topic lavmesh.Topic, in, out any) error
}

// Dependencies are the components that an Exchange uses.
type Dependencies struct {
	Endpoints Endpoints
	Members   Members
	Mesh      Mesh
	Claims    interface {
		Get(now time.Time, endpoint string) Claim
	}
}

// errStale rejects a request that arrived after a later one of the same holder.
var errStale = errors.New("credit request is older than the last one from this host")

// Exchange is a Source that gets its allowances from the endpoints' owners over
// the mesh. It also answers the other hosts' requests for the endpoints that this
// host owns.
type Exchange struct {
	deps Dependencies
	wake chan struct{}

	mu        sync.Mutex
	holder    *Holder
	allocator *Allocator
	signal    signal
	// lastNumber is the number of the newest request of each holder.
	lastNumber map[string]uint64
	// owners caches the owner of each endpoint in ownersView.
	owners     map[string]string
	ownersView *lavmember.View
	// pending is the set of owners whose replies are awaited.
	pending map[string]bool
	// number is the number of the last request that this host sent.
	number  uint64
	results chan callResult
}

// callResult is the result of one call to an owner.
type callResult struct {
	owner string
	sent  time.Time
	reply Reply
	err   error
}

// NewExchange returns an exchange and registers it as the mesh's handler of
// credit requests.
func NewExchange(deps Dependencies) *Exchange {
	x := &Exchange{
		deps:       deps,
		wake:       make(chan struct{}, 1),
		holder:     NewHolder(),
		allocator:  NewAllocator(),
		signal:     newSignal(),
		lastNumber: make(map[string]uint64),
		pending:    make(map[string]bool),
		results:    make(chan callResult),
	}
	deps.Mesh.Handle(lavmesh.TopicCredit, x.handle)
	return x
}

// hostCount returns the number of hosts, including those that can't be reached: they may still use
// their shares. It needs no lock.
func (x *Exchange) hostCount() int { return len(x.deps.Members.FullView().Members) }

// Take implements Source.
func (x *Exchange) Take(now time.Time, e *lavendpoint.Endpoint, tokens int) (Credit, bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.holder.Take(now, e, tokens, x.hostCount())
}

// Available implements Source.
func (x *Exchange) Available(now time.Time, e *lavendpoint.Endpoint) int {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.holder.Available(now, e, x.hostCount())
}

// Want implements Source.
func (x *Exchange) Want(now time.Time, e *lavendpoint.Endpoint, tokens int) {
	x.mu.Lock()
	increased := x.holder.Want(now, e, tokens)
	x.mu.Unlock()
	if !increased {
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
	x.holder.Suspend(now, endpoint)
	x.signal.broadcast()
}

// Changed implements Source.
func (x *Exchange) Changed() <-chan struct{} {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.signal.changed
}

// Serve renews the allowances until the context ends.
func (x *Exchange) Serve(ctx context.Context) error {
	tick := time.NewTicker(RenewInterval)
	defer tick.Stop()
	inFlight := 0
	for {
		select {
		case <-ctx.Done():
			for ; inFlight > 0; inFlight-- {
				x.applyResult(<-x.results)
			}
			return ctx.Err()
		case <-tick.C:
			x.dropStale(time.Now())
			inFlight += x.renew(ctx, false)
		case <-x.wake:
			inFlight += x.renew(ctx, true)
		case result := <-x.results:
			inFlight--
			x.applyResult(result)
			inFlight += x.renew(ctx, true)
		}
	}
}

// dropStale removes the state that belongs to hosts that are no longer members
// and to endpoints that are no longer known or owned.
func (x *Exchange) dropStale(now time.Time) {
	snapshot, view := x.deps.Endpoints.Snapshot(), x.deps.Members.View()
	holders := make([]string, 0, len(view.Members))
	for _, m := range view.Members {
		holders = append(holders, m.Incarnation)
	}
	self := x.deps.Members.Self().Incarnation
	x.mu.Lock()
	defer x.mu.Unlock()
	x.allocator.SetMembers(now, holders)
	x.allocator.DropIdle(now, func(name string) bool { return x.owner(view, name) == self })
	x.holder.DropUnknown(func(name string) bool { return snapshot.Index(name) >= 0 })
	for name := range x.lastNumber {
		if _, ok := view.Member(name); !ok {
			delete(x.lastNumber, name)
		}
	}
}

// owner returns the owner of an endpoint. The caller must hold the lock.
func (x *Exchange) owner(view *lavmember.View, endpoint string) string {
	if x.ownersView != view {
		x.ownersView, x.owners = view, make(map[string]string)
	}
	name, ok := x.owners[endpoint]
	if !ok {
		m, _ := lavmember.Owner(view, endpoint)
		name = m.Incarnation
		x.owners[endpoint] = name
	}
	return name
}

// renew sends requests to the owners and returns how many calls it started. If
// unsentOnly is true it covers only the endpoints where the wanted tokens have
// increased since the last ask. It skips an owner whose reply is still awaited,
// so that at most one request to each owner is in flight.
func (x *Exchange) renew(ctx context.Context, unsentOnly bool) int {
	sent := time.Now()
	requests := x.buildRequests(sent, unsentOnly)
	self := x.deps.Members.Self().Incarnation
	started := 0
	for _, owner := range slices.Sorted(maps.Keys(requests)) {
		request := requests[owner]
		if owner == self {
			reply, err := x.answer(ctx, self, request)
			x.applyResult(callResult{owner: owner, sent: sent, reply: reply, err: err})
			continue
		}
		started++
		go func() { x.results <- x.call(ctx, owner, sent, request) }()
	}
	return started
}

// buildRequests groups the asks by owner and marks the owners as pending.
func (x *Exchange) buildRequests(now time.Time, unsentOnly bool) map[string]Request {
	snapshot, view := x.deps.Endpoints.Snapshot(), x.deps.Members.View()
	requests := make(map[string]Request)
	x.mu.Lock()
	defer x.mu.Unlock()
	for i := range snapshot.Endpoints {
		e := &snapshot.Endpoints[i]
		if unsentOnly && !x.holder.HasUnsentWant(e.Name) {
			continue
		}
		owner := x.owner(view, e.Name)
		if x.pending[owner] {
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
	// All requests of a round share one number, since the numbers only need to
	// increase per owner.
	x.number++
	for owner, r := range requests {
		r.Number = x.number
		requests[owner] = r
		x.pending[owner] = true
	}
	return requests
}

func (x *Exchange) call(ctx context.Context, owner string, sent time.Time, request Request) callResult {
	result := callResult{owner: owner, sent: sent}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	if result.err = lavstep.Failpoint(ctx, lavstep.CreditAcquire, owner); result.err != nil {
		return result
	}
	result.err = x.deps.Mesh.Call(ctx, owner, lavmesh.TopicCredit, request, &result.reply)
	if result.err == nil {
		result.err = lavstep.Failpoint(ctx, lavstep.CreditAdopt, owner)
	}
	return result
}

// applyResult applies the grants of a reply and marks its owner as no longer
// pending.
func (x *Exchange) applyResult(result callResult) {
	x.mu.Lock()
	defer x.mu.Unlock()
	delete(x.pending, result.owner)
	if result.err != nil {
		return
	}
	for _, g := range result.reply.Grants {
		x.holder.ApplyGrant(result.sent, g)
	}
	x.signal.broadcast()
}

// handle is the mesh's handler of credit requests.
func (x *Exchange) handle(ctx context.Context, from string, body []byte) (any, error) {
	var request Request
	if err := lavmesh.Decode(body, &request); err != nil {
		return nil, err
	}
	return x.answer(ctx, from, request)
}

// answer grants allowances for the endpoints that this host owns.
func (x *Exchange) answer(ctx context.Context, from string, request Request) (Reply, error) {
	if err := lavstep.Failpoint(ctx, lavstep.CreditGrant, from); err != nil {
		return Reply{}, err
	}
	snapshot, view := x.deps.Endpoints.Snapshot(), x.deps.Members.View()
	self := x.deps.Members.Self().Incarnation
	now := time.Now()
	x.mu.Lock()
	defer x.mu.Unlock()
	if request.Number < x.lastNumber[from] {
		return Reply{}, lavstep.Wrap(errStale, lavstep.CreditGrant, from)
	}
	x.lastNumber[from] = request.Number
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

// grant returns the allowance of one holder at one endpoint. The caller must
// hold the lock.
func (x *Exchange) grant(now time.Time, from string, ask Ask, e *lavendpoint.Endpoint, holders int) Grant {
	limit, cold := tokenLimit(e)
	status := EndpointStatus{
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
		claim = x.deps.Claims.Get(now, e.Name)
	}
	return x.allocator.Grant(now, from, ask, status, claim)
}
