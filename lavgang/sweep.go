package lavgang

import (
	"context"
	"strings"
	"time"

	"lavenderrack.example/lavenderrack/lavendpoint"
	"lavenderrack.example/lavenderrack/lavengine"
	"lavenderrack.example/lavenderrack/lavpause"
	"lavenderrack.example/lavenderrack/lavrequest"

	"github.com/uber-go/tally/v4"
)

// Intervals of the sweep.
const (
	// sweepInterval is the time between two scans of the endpoints.
	sweepInterval = 2 * time.Second
	// claimCheckInterval is the time for which a stream or reservation must hold
	// memory before the hosts are asked whether they claim its request, and the
	// time between two such checks.
	claimCheckInterval = 8 * time.Second
	// unclaimedGracePeriod is the time for which a stream or reservation must be
	// unclaimed, in at least two checks, before it is released.
	unclaimedGracePeriod = 6 * time.Second
)

// Claims looks up whether live hosts still work on a request.
type Claims interface {
	// Claimed reports whether a live host claims the request, and whether that
	// is known. It is not known if a host that may be alive doesn't answer,
	// because that host may claim the request.
	Claimed(ctx context.Context, id lavrequest.ID) (claimed, known bool)
}

// Sweeper releases the streams and reservations that hold memory at the
// endpoints owned by this host and that no live host claims.
type Sweeper struct {
	endpoints Endpoints
	engine    func(e *lavendpoint.Endpoint) lavengine.Engine
	owns      func(endpoint string) bool
	claims    Claims
	scope     tally.Scope
	holdings  map[holding]*holdingState
}

// holding identifies a stream or a reservation that holds memory at an endpoint.
type holding struct {
	endpoint    string
	incarnation lavengine.Incarnation
	// id is the ID of the stream or of the reservation.
	id          string
	reservation bool
}

// holdingState is the history of a holding.
type holdingState struct {
	firstSeen   time.Time
	lastChecked time.Time
	// unclaimedSince is the time of the check that first found the holding
	// unclaimed; zero if the last check found it claimed or got no answer.
	unclaimedSince time.Time
	reported       bool
}

// NewSweeper returns a sweeper of the endpoints for which owns returns true.
func NewSweeper(endpoints Endpoints, engine func(e *lavendpoint.Endpoint) lavengine.Engine, owns func(endpoint string) bool, claims Claims, scope tally.Scope) *Sweeper {
	return &Sweeper{
		endpoints: endpoints, engine: engine, owns: owns, claims: claims, scope: scope,
		holdings: make(map[holding]*holdingState),
	}
}

// Serve sweeps periodically until the context ends.
func (s *Sweeper) Serve(ctx context.Context) error {
	return lavpause.Every(ctx, sweepInterval, func() { s.Sweep(ctx) })
}

// Sweep scans each endpoint that this host owns once.
func (s *Sweeper) Sweep(ctx context.Context) {
	for _, h := range s.holdings {
		h.reported = false
	}
	snapshot := s.endpoints.Snapshot()
	for i := range snapshot.Endpoints {
		e := &snapshot.Endpoints[i]
		if e.Service != "" || !s.owns(e.Name) {
			continue
		}
		for _, id := range e.Report.Streams {
			s.checkHolding(ctx, e, holding{endpoint: e.Name, incarnation: e.Report.Incarnation, id: id})
		}
		for _, id := range e.Report.Reservations {
			s.checkHolding(ctx, e, holding{endpoint: e.Name, incarnation: e.Report.Incarnation, id: id, reservation: true})
		}
	}
	for key, h := range s.holdings {
		if !h.reported {
			delete(s.holdings, key)
		}
	}
}

// checkHolding checks whether a holding is claimed if a check is due, and
// releases it if it has been unclaimed for the grace period.
func (s *Sweeper) checkHolding(ctx context.Context, e *lavendpoint.Endpoint, key holding) {
	id := requestIDOf(key.id)
	if id.Host() == "" {
		// The ID was not made by an entry host, so no host can claim it.
		return
	}
	now := time.Now()
	h := s.holdings[key]
	if h == nil {
		h = &holdingState{firstSeen: now, lastChecked: now}
		s.holdings[key] = h
	}
	h.reported = true
	interval := claimCheckInterval
	if !h.unclaimedSince.IsZero() {
		interval = unclaimedGracePeriod
	}
	if now.Sub(h.lastChecked) < interval {
		return
	}
	h.lastChecked = now
	claimed, known := s.claims.Claimed(ctx, id)
	switch {
	case claimed || !known:
		h.unclaimedSince = time.Time{}
	case h.unclaimedSince.IsZero():
		h.unclaimedSince = now
	default:
		s.release(ctx, e, key)
	}
}

// requestIDOf returns the ID of the request that a stream or a reservation
// belongs to.
func requestIDOf(id string) lavrequest.ID {
	request, _, _ := strings.Cut(id, "/")
	return lavrequest.ID(request)
}

func (s *Sweeper) release(ctx context.Context, e *lavendpoint.Endpoint, key holding) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	engine := s.engine(e)
	var err error
	if key.reservation {
		err = engine.Release(ctx, key.id)
	} else {
		err = engine.Cancel(ctx, lavrequest.ID(key.id))
	}
	if err == nil {
		s.scope.Counter("swept").Inc(1)
	}
}
