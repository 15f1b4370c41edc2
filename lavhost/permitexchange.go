package lavhost

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"lavenderrack.example/lavenderrack/lavdatagram"
	"lavenderrack.example/lavenderrack/lavfleet"
	"lavenderrack.example/lavenderrack/lavmember"
	"lavenderrack.example/lavenderrack/lavpause"
	"lavenderrack.example/lavenderrack/lavpermit"

	"github.com/phuslu/log"
	"github.com/uber-go/tally/v4"
)

const (
	// maxPermitAsks bounds the bounds for which a host asks at a time, and permitRoundTime is
	// the time between two rounds. They bound the traffic of a host, however many endpoints
	// state limits.
	maxPermitAsks   = 16
	permitRoundTime = 50 * time.Millisecond
	// holderDelay is how long after it has joined the others a host hands out no permits, since
	// the previous holder may not know it yet.
	holderDelay = 2 * time.Second
)

// permitExchange gets permits for the endpoints that have stated limits, and hands out those of
// which this host is the holder.
type permitExchange struct {
	socket *lavdatagram.Socket
	fleet  *lavfleet.Fleet
	peers  *peers
	logger *log.Logger
	// asked and granted count the permits that this host asked for and got, and handedOut those
	// that it handed out as a holder.
	asked, granted, handedOut tally.Counter
	shares                    *sharePool

	mu        sync.Mutex
	allocator *lavpermit.Allocator[boundID]
	limits    map[boundID]lavfleet.Limit
	// number is that of the last request, and open the requests without a response.
	number uint64
	open   map[uint64]openPermitRequest
}

// openPermitRequest is a request that was sent at a time, and what it asks for.
type openPermitRequest struct {
	sentAt time.Time
	asks   map[boundID]lavfleet.PermitAsk
}

// boundOf returns the bound that permits are for.
func boundOf(a lavfleet.PermitAsk) boundID {
	if a.Pooled {
		return newPooledBoundID(a.Life)
	}
	return newBoundID(a.Life)
}

func newPermitExchange(socket *lavdatagram.Socket, fleet *lavfleet.Fleet, p *peers, logger *log.Logger, scope tally.Scope) *permitExchange {
	s := scope.SubScope("permits")
	e := &permitExchange{
		asked:     s.Counter("asked"),
		granted:   s.Counter("granted"),
		handedOut: s.Counter("handed_out"),
		socket:    socket,
		fleet:     fleet,
		peers:     p,
		logger:    logger,
		allocator: lavpermit.NewAllocator[boundID](),
		limits:    make(map[boundID]lavfleet.Limit),
		open:      make(map[uint64]openPermitRequest),
	}
	e.shares = newSharePool(e, s)
	handleDatagrams(socket, lavdatagram.KindPermitRequest, logger, e.answer)
	handleDatagrams(socket, lavdatagram.KindPermitResponse, logger, e.accept)
	return e
}

// Serve implements suture.Service. It asks for permits while requests need some.
func (e *permitExchange) Serve(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-e.fleet.PermitsNeeded():
		}
		for e.ask() && ctx.Err() == nil {
			e.pause(ctx)
		}
		e.pause(ctx)
	}
}

// pause waits for a round. Its length varies, so that the same host doesn't always come first.
func (e *permitExchange) pause(ctx context.Context) {
	_ = lavpause.For(ctx, permitRoundTime/2+rand.N(permitRoundTime))
}

// ask asks the holders for the permits that requests need. It reports whether there may be more to
// ask or to tell soon.
func (e *permitExchange) ask() bool {
	asks := e.fleet.PermitAsks(maxPermitAsks)
	view := e.peers.View()
	byHolder := make(map[lavmember.Member][]lavfleet.PermitAsk)
	for _, a := range asks {
		if holder, ok := lavmember.Owner(view, boundOf(a).ownerKey()); ok {
			byHolder[holder] = append(byHolder[holder], a)
		}
	}
	for holder, asks := range byHolder {
		e.askHolder(holder, asks)
	}
	return len(asks) > 0 || e.fleet.MustTellPermits()
}

// askHolder asks one holder, which may be this host.
func (e *permitExchange) askHolder(holder lavmember.Member, asks []lavfleet.PermitAsk) {
	r := e.newRequest(asks)
	if holder.Incarnation == r.Host {
		e.accept(e.grantAll(r))
		return
	}
	e.send(holder, lavdatagram.KindPermitRequest, r)
}

// newRequest returns a request, and remembers it until it is answered or permits would have expired.
func (e *permitExchange) newRequest(asks []lavfleet.PermitAsk) permitRequest {
	now := time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	for number, r := range e.open {
		if now.Sub(r.sentAt) > lavpermit.PermitTTL {
			delete(e.open, number)
		}
	}
	e.number++
	open := openPermitRequest{sentAt: now, asks: make(map[boundID]lavfleet.PermitAsk, len(asks))}
	r := permitRequest{Number: e.number, Host: e.peers.Self().Incarnation}
	for _, a := range asks {
		bound := boundOf(a)
		open.asks[bound] = a
		e.asked.Inc(int64(a.Permits))
		if a.Pooled {
			r.Pooled = append(r.Pooled, pooledItem{Endpoint: a.Life.ID, StartedAt: a.Life.StartedAt, Held: a.Held, Used: a.Used, Permits: a.Permits})
			continue
		}
		r.Items = append(r.Items, permitItem{Bound: bound, PerSecond: a.Limit.PerSecond, Age: now.Sub(a.Limit.At), Permits: a.Permits})
	}
	e.open[e.number] = open
	return r
}

// answer answers a host that takes this one for the holder.
func (e *permitExchange) answer(r permitRequest) {
	if asker, ok := e.peers.View().Member(r.Host); ok {
		e.send(asker, lavdatagram.KindPermitResponse, e.grantAll(r))
	}
}

// grantAll returns the permits for a request.
func (e *permitExchange) grantAll(r permitRequest) permitResponse {
	response := permitResponse{Number: r.Number}
	if len(r.Items) > 0 {
		response = e.grant(r)
	}
	response.Pooled = e.shares.grant(r)
	return response
}

// grant returns the permits of the limits that a request names. It leaves out the bounds that this host doesn't hold.
func (e *permitExchange) grant(r permitRequest) permitResponse {
	response := permitResponse{Number: r.Number}
	share, ok := e.peers.reachableShare()
	if !ok {
		return response
	}
	now := time.Now()
	view, self := e.peers.View(), e.peers.Self().Incarnation
	e.mu.Lock()
	defer e.mu.Unlock()
	e.allocator.SetShare(share)
	for _, item := range r.Items {
		if holder, _ := lavmember.Owner(view, item.Bound.ownerKey()); holder.Incarnation != self {
			continue
		}
		g := e.allocator.Grant(now, item.Bound, e.latestLimit(now, item), r.Host, item.Permits)
		e.handedOut.Inc(int64(g.Permits))
		response.Items = append(response.Items, grantItem{Bound: item.Bound, Permits: g.Permits, Interval: g.Interval, AskAfter: g.AskAfter})
	}
	return response
}

// limitTTL is how long a holder remembers the limit that a host has named in a request.
const limitTTL = time.Minute

// latestLimit returns the limit that was stated last, of those that hosts have named in requests. The
// caller holds the lock.
func (e *permitExchange) latestLimit(now time.Time, item permitItem) float64 {
	named := lavfleet.Limit{Stated: true, PerSecond: item.PerSecond, At: now.Add(-max(item.Age, 0))}
	if named.At.After(e.limits[item.Bound].At) {
		e.limits[item.Bound] = named
		for bound, l := range e.limits {
			if now.Sub(l.At) > limitTTL && bound != item.Bound {
				delete(e.limits, bound)
			}
		}
	}
	return e.limits[item.Bound].PerSecond
}

// accept adds the permits of the first response to a request.
func (e *permitExchange) accept(r permitResponse) {
	e.mu.Lock()
	open, ok := e.open[r.Number]
	delete(e.open, r.Number)
	e.mu.Unlock()
	if !ok {
		return
	}
	for _, item := range r.Pooled {
		if a, asked := open.asks[item.Bound]; asked {
			e.granted.Inc(int64(item.Permits))
			e.fleet.AddPooledPermits(a.Life, open.sentAt, a.Question, item.grant())
		}
	}
	for _, item := range r.Items {
		if a, asked := open.asks[item.Bound]; asked {
			e.granted.Inc(int64(item.Permits))
			e.fleet.AddPermits(a.Life, open.sentAt, item.grant())
		}
	}
}

func (e *permitExchange) send(to lavmember.Member, kind lavdatagram.Kind, message any) {
	data, err := lavdatagram.Encode(kind, message)
	if err != nil {
		e.logger.Error().Err(err).Msg("failed to encode a message about permits")
		return
	}
	if to.Datagrams.IsValid() {
		e.socket.Send(to.Datagrams, data)
	}
}
