package lavstore

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"lavenderrack.example/lavenderrack/lavstep"

	"github.com/cockroachdb/errors"
	"github.com/uber-go/tally/v4"
	"golang.org/x/time/rate"
)

// Limits are what the whole fleet may ask of the service.
type Limits struct {
	// Reads and Writes are calls a second of all hosts together. A watch is a
	// read, and a renewal of a lease is a write.
	Reads  float64
	Writes float64
	// Timeout bounds each call, a watch beyond its wait.
	Timeout time.Duration
}

// DefaultLimits stay below several hundred writes and 2,000 reads a second.
func DefaultLimits() Limits {
	return Limits{Reads: 1500, Writes: 400, Timeout: 2 * time.Second}
}

// burstTime is how long a host may save up calls that it didn't make.
const (
	burstTime  = 4 * time.Second
	leastBurst = 16
)

// ErrOverBudget means that this host has used up its part of the calls; it
// comes with ErrUnavailable, since the call was not made.
var ErrOverBudget = errors.New("call budget is used up")

// Guard keeps one host's calls within its part of the service's rates, bounds
// each in time, and stops calling while the service is down. Several Guards
// made by Share have one breaker.
type Guard struct {
	store  Store
	limits Limits
	hosts  func() int
	part   float64
	reads  *rate.Limiter
	writes *rate.Limiter
	common *guardCommon
}

// guardCommon is what the parts of one host's budget share.
type guardCommon struct {
	mu      sync.Mutex
	breaker Breaker
	scope   tally.Scope
}

// NewGuard returns a guard before store. The fleet's limits are divided by
// hosts(), the number of hosts now.
func NewGuard(store Store, limits Limits, hosts func() int, scope tally.Scope) *Guard {
	g := &Guard{store: store, limits: limits, hosts: hosts, part: 1, common: &guardCommon{scope: scope.SubScope("store")}}
	g.reads, g.writes = newLimiter(g.perHost(limits.Reads)), newLimiter(g.perHost(limits.Writes))
	return g
}

// WithShare returns a guard with that part of the host's budget, so that one use
// of the store can't starve another. The parts of one host should add up to 1.
func (g *Guard) WithShare(part float64) *Guard {
	s := *g
	s.part = g.part * part
	s.reads, s.writes = newLimiter(s.perHost(s.limits.Reads)), newLimiter(s.perHost(s.limits.Writes))
	return &s
}

// perHost is this host's part of a rate of the whole fleet.
func (g *Guard) perHost(fleet float64) float64 {
	return fleet * g.part / float64(max(g.hosts(), 1))
}

// newLimiter returns a limiter with a full burst.
func newLimiter(perSecond float64) *rate.Limiter {
	return rate.NewLimiter(rate.Limit(perSecond), burstOf(perSecond))
}

func burstOf(perSecond float64) int { return max(leastBurst, int(perSecond*burstTime.Seconds())) }

// fit sets a limiter to a new rate.
func fit(l *rate.Limiter, perSecond float64) {
	if l.Limit() != rate.Limit(perSecond) {
		l.SetLimit(rate.Limit(perSecond))
		l.SetBurst(burstOf(perSecond))
	}
}

// Get implements Store.
func (g *Guard) Get(ctx context.Context, key string) (Entry, error) {
	return call(ctx, g, key, lavstep.StoreRead, 0, func(ctx context.Context) (Entry, error) {
		return g.store.Get(ctx, key)
	})
}

// listing is the answer of List and Watch.
type listing struct {
	entries  []Entry
	revision Revision
}

// List implements Store.
func (g *Guard) List(ctx context.Context, prefix string) ([]Entry, Revision, error) {
	got, err := call(ctx, g, prefix, lavstep.StoreRead, 0, func(ctx context.Context) (listing, error) {
		entries, revision, err := g.store.List(ctx, prefix)
		return listing{entries, revision}, err
	})
	return got.entries, got.revision, err
}

// Watch implements Store. While the service may still be down it doesn't wait,
// so that the answer tells soon whether it is up.
func (g *Guard) Watch(ctx context.Context, prefix string, after Revision, wait time.Duration) ([]Entry, Revision, error) {
	if g.common.phase() != BreakerClosed {
		return g.List(ctx, prefix)
	}
	got, err := call(ctx, g, prefix, lavstep.StoreWatch, wait, func(ctx context.Context) (listing, error) {
		entries, revision, err := g.store.Watch(ctx, prefix, after, wait)
		return listing{entries, revision}, err
	})
	return got.entries, got.revision, err
}

// CompareAndSwap implements Store.
func (g *Guard) CompareAndSwap(ctx context.Context, key string, want Revision, value []byte, lease LeaseID) (Revision, error) {
	return call(ctx, g, key, lavstep.StoreWrite, 0, func(ctx context.Context) (Revision, error) {
		return g.store.CompareAndSwap(ctx, key, want, value, lease)
	})
}

// Delete implements Store.
func (g *Guard) Delete(ctx context.Context, key string, want Revision) error {
	_, err := call(ctx, g, key, lavstep.StoreWrite, 0, func(ctx context.Context) (struct{}, error) {
		return struct{}{}, g.store.Delete(ctx, key, want)
	})
	return err
}

// Grant implements Store.
func (g *Guard) Grant(ctx context.Context, ttl time.Duration) (LeaseID, error) {
	return call(ctx, g, "", lavstep.StoreLease, 0, func(ctx context.Context) (LeaseID, error) {
		return g.store.Grant(ctx, ttl)
	})
}

// Renew implements Store.
func (g *Guard) Renew(ctx context.Context, lease LeaseID) error {
	_, err := call(ctx, g, string(lease), lavstep.StoreLease, 0, func(ctx context.Context) (struct{}, error) {
		return struct{}{}, g.store.Renew(ctx, lease)
	})
	return err
}

// Revoke implements Store.
func (g *Guard) Revoke(ctx context.Context, lease LeaseID) error {
	_, err := call(ctx, g, string(lease), lavstep.StoreLease, 0, func(ctx context.Context) (struct{}, error) {
		return struct{}{}, g.store.Revoke(ctx, lease)
	})
	return err
}

// call makes one call if budget and breaker allow it, and takes its end.
func call[T any](ctx context.Context, g *Guard, key string, step lavstep.Step, wait time.Duration, do func(context.Context) (T, error)) (T, error) {
	var none T
	if err := lavstep.Reach(ctx, step, key); err != nil {
		return none, errors.Mark(err, ErrUnavailable)
	}
	if err := g.admit(ctx, step); err != nil {
		return none, lavstep.Wrap(err, step, key)
	}
	bounded, cancel := context.WithTimeout(ctx, g.limits.Timeout+wait)
	defer cancel()
	got, err := do(bounded)
	if bounded.Err() != nil && err != nil {
		err = cutShort(err, step)
	}
	g.common.record(err, ctx.Err() != nil, g.hosts())
	return got, err
}

// admit waits for the budget, then asks the breaker.
func (g *Guard) admit(ctx context.Context, step lavstep.Step) error {
	limiter, name, fleet := g.reads, "reads", g.limits.Reads
	if step == lavstep.StoreWrite || step == lavstep.StoreLease {
		limiter, name, fleet = g.writes, "writes", g.limits.Writes
	}
	fit(limiter, g.perHost(fleet))
	if g.common.phase() == BreakerOpen && !g.common.due() {
		g.common.scope.Counter("refused").Inc(1)
		return ErrUnavailable
	}
	// An open end of the context must not make a call wait for ever.
	bounded, cancel := context.WithTimeout(ctx, g.limits.Timeout)
	defer cancel()
	if err := limiter.Wait(bounded); err != nil {
		g.common.scope.Counter("over_budget").Inc(1)
		return errors.Mark(errors.Mark(err, ErrOverBudget), ErrUnavailable)
	}
	if !g.common.allow() {
		g.common.scope.Counter("refused").Inc(1)
		return ErrUnavailable
	}
	g.common.scope.Counter(name).Inc(1)
	return nil
}

// cutShort says what a call means that took too long: a write may have taken
// effect.
func cutShort(err error, step lavstep.Step) error {
	if errors.Is(err, ErrUnavailable) || errors.Is(err, ErrOutcomeUnknown) {
		return err
	}
	if step == lavstep.StoreWrite || step == lavstep.StoreLease {
		return errors.Mark(err, ErrOutcomeUnknown)
	}
	return errors.Mark(err, ErrUnavailable)
}

func (c *guardCommon) phase() BreakerPhase {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.breaker.Phase()
}

// due reports whether an open breaker would let a probe through.
func (c *guardCommon) due() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !time.Now().Before(c.breaker.until)
}

func (c *guardCommon) allow() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.breaker.Allow(time.Now())
}

// record tells the breaker how a call ended. A call that its caller gave up
// says nothing about the service, unless it was the probe.
func (c *guardCommon) record(err error, givenUp bool, hosts int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	failed := errors.Is(err, ErrUnavailable) || errors.Is(err, ErrOutcomeUnknown)
	if failed && givenUp && c.breaker.Phase() == BreakerClosed {
		return
	}
	before := c.breaker.Phase()
	c.breaker.Record(time.Now(), !failed, rand.Float64(), hosts)
	if failed {
		c.scope.Counter("failures").Inc(1)
	}
	if after := c.breaker.Phase(); after != before {
		c.scope.Gauge("breaker").Update(float64(after))
	}
}
