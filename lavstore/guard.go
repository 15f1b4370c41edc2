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

// Limits bound the load of the whole fleet on the service.
type Limits struct {
	// ReadsPerSecond and WritesPerSecond are the maximum call rates of all hosts
	// together. A watch counts as a read, and a lease renewal as a write.
	ReadsPerSecond  float64
	WritesPerSecond float64
	// Timeout bounds the duration of each call. A watch may take its wait time
	// in addition.
	Timeout time.Duration
}

// DefaultLimits returns limits below the capacity of the service, which is
// several hundred writes and 2,000 reads per second.
func DefaultLimits() Limits {
	return Limits{ReadsPerSecond: 1500, WritesPerSecond: 400, Timeout: 2 * time.Second}
}

// burstWindow is the period over which a host can accumulate unused calls, and
// minBurst is the minimum burst in calls.
const (
	burstWindow = 4 * time.Second
	minBurst    = 16
)

// ErrOverBudget means that this host has used up its share of the call rate. It
// is combined with ErrUnavailable, because the call was not made.
var ErrOverBudget = errors.New("share of the call rate is used up")

// Guard is a Store that keeps the calls of one host within its share of the
// service's rates, bounds the duration of each call, and stops calling while the
// service is down. Guards that WithShare derives from one Guard use one circuit
// breaker.
type Guard struct {
	store  Store
	limits Limits
	hosts  func() int
	share  float64
	reads  *rate.Limiter
	writes *rate.Limiter
	shared *sharedState
}

// sharedState is the state that all guards of one host use together.
type sharedState struct {
	mu      sync.Mutex
	breaker Breaker
	scope   tally.Scope
}

// NewGuard returns a guard that forwards calls to store. It divides the limits
// of the fleet by hosts(), the current number of hosts.
func NewGuard(store Store, limits Limits, hosts func() int, scope tally.Scope) *Guard {
	g := &Guard{store: store, limits: limits, hosts: hosts, share: 1, shared: &sharedState{scope: scope.SubScope("store")}}
	g.reads, g.writes = newLimiter(g.perHost(limits.ReadsPerSecond)), newLimiter(g.perHost(limits.WritesPerSecond))
	return g
}

// WithShare returns a guard with the given share of the rates of g, so that one
// use of the store cannot starve another. The shares of one host should add up
// to 1.
func (g *Guard) WithShare(share float64) *Guard {
	s := *g
	s.share = g.share * share
	s.reads, s.writes = newLimiter(s.perHost(s.limits.ReadsPerSecond)), newLimiter(s.perHost(s.limits.WritesPerSecond))
	return &s
}

// perHost returns the part of a fleet-wide rate that this guard may use.
func (g *Guard) perHost(fleetRate float64) float64 {
	return fleetRate * g.share / float64(max(g.hosts(), 1))
}

// newLimiter returns a rate limiter that starts with its full burst available.
func newLimiter(perSecond float64) *rate.Limiter {
	return rate.NewLimiter(rate.Limit(perSecond), burstFor(perSecond))
}

func burstFor(perSecond float64) int { return max(minBurst, int(perSecond*burstWindow.Seconds())) }

// updateLimit sets a limiter to a new rate.
func updateLimit(l *rate.Limiter, perSecond float64) {
	if l.Limit() != rate.Limit(perSecond) {
		l.SetLimit(rate.Limit(perSecond))
		l.SetBurst(burstFor(perSecond))
	}
}

// Get implements Store.
func (g *Guard) Get(ctx context.Context, key string) (Entry, error) {
	return call(ctx, g, key, lavstep.StoreRead, 0, func(ctx context.Context) (Entry, error) {
		return g.store.Get(ctx, key)
	})
}

// listing is the result of List and Watch.
type listing struct {
	entries  []Entry
	revision Revision
}

// List implements Store.
func (g *Guard) List(ctx context.Context, prefix string) ([]Entry, Revision, error) {
	result, err := call(ctx, g, prefix, lavstep.StoreRead, 0, func(ctx context.Context) (listing, error) {
		entries, revision, err := g.store.List(ctx, prefix)
		return listing{entries, revision}, err
	})
	return result.entries, result.revision, err
}

// Watch implements Store. Unless the circuit breaker is closed, it returns
// without waiting for a change, so that the result shows early whether the
// service is up.
func (g *Guard) Watch(ctx context.Context, prefix string, after Revision, wait time.Duration) ([]Entry, Revision, error) {
	if g.shared.phase() != BreakerClosed {
		return g.List(ctx, prefix)
	}
	result, err := call(ctx, g, prefix, lavstep.StoreWatch, wait, func(ctx context.Context) (listing, error) {
		entries, revision, err := g.store.Watch(ctx, prefix, after, wait)
		return listing{entries, revision}, err
	})
	return result.entries, result.revision, err
}

// CompareAndSwap implements Store.
func (g *Guard) CompareAndSwap(ctx context.Context, key string, expected Revision, value []byte, lease LeaseID) (Revision, error) {
	return call(ctx, g, key, lavstep.StoreWrite, 0, func(ctx context.Context) (Revision, error) {
		return g.store.CompareAndSwap(ctx, key, expected, value, lease)
	})
}

// Delete implements Store.
func (g *Guard) Delete(ctx context.Context, key string, expected Revision) error {
	_, err := call(ctx, g, key, lavstep.StoreWrite, 0, func(ctx context.Context) (struct{}, error) {
		return struct{}{}, g.store.Delete(ctx, key, expected)
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

// call makes one call if the rate limiter and the circuit breaker admit it, and
// records the result.
func call[T any](ctx context.Context, g *Guard, key string, step lavstep.Step, wait time.Duration, send func(context.Context) (T, error)) (T, error) {
	var zero T
	if err := lavstep.Failpoint(ctx, step, key); err != nil {
		return zero, errors.Mark(err, ErrUnavailable)
	}
	if err := g.admit(ctx, step); err != nil {
		return zero, lavstep.Wrap(err, step, key)
	}
	bounded, cancel := context.WithTimeout(ctx, g.limits.Timeout+wait)
	defer cancel()
	result, err := send(bounded)
	if bounded.Err() != nil && err != nil {
		err = classifyTimeout(err, step)
	}
	g.shared.record(err, ctx.Err() != nil, g.hosts())
	return result, err
}

// admit waits for the rate limiter and then asks the circuit breaker.
func (g *Guard) admit(ctx context.Context, step lavstep.Step) error {
	limiter, counter, fleetRate := g.reads, "reads", g.limits.ReadsPerSecond
	if step == lavstep.StoreWrite || step == lavstep.StoreLease {
		limiter, counter, fleetRate = g.writes, "writes", g.limits.WritesPerSecond
	}
	updateLimit(limiter, g.perHost(fleetRate))
	if g.shared.phase() == BreakerOpen && !g.shared.probeDue() {
		g.shared.scope.Counter("refused").Inc(1)
		return ErrUnavailable
	}
	// The wait must end even if ctx has no deadline.
	bounded, cancel := context.WithTimeout(ctx, g.limits.Timeout)
	defer cancel()
	if err := limiter.Wait(bounded); err != nil {
		g.shared.scope.Counter("over_budget").Inc(1)
		return errors.Mark(errors.Mark(err, ErrOverBudget), ErrUnavailable)
	}
	if !g.shared.allow() {
		g.shared.scope.Counter("refused").Inc(1)
		return ErrUnavailable
	}
	g.shared.scope.Counter(counter).Inc(1)
	return nil
}

// classifyTimeout classifies the error of a call that exceeded its time limit: a
// write may have taken effect.
func classifyTimeout(err error, step lavstep.Step) error {
	if errors.Is(err, ErrUnavailable) || errors.Is(err, ErrOutcomeUnknown) {
		return err
	}
	if step == lavstep.StoreWrite || step == lavstep.StoreLease {
		return errors.Mark(err, ErrOutcomeUnknown)
	}
	return errors.Mark(err, ErrUnavailable)
}

func (c *sharedState) phase() BreakerPhase {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.breaker.Phase()
}

// probeDue reports whether an open breaker would admit a probe now.
func (c *sharedState) probeDue() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !time.Now().Before(c.breaker.retryAt)
}

func (c *sharedState) allow() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.breaker.Allow(time.Now())
}

// record passes the result of a call to the breaker. A call that its caller
// canceled is no evidence of a failing service and is ignored, except for a
// probe, whose result the breaker waits for.
func (c *sharedState) record(err error, canceled bool, hosts int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	failed := errors.Is(err, ErrUnavailable) || errors.Is(err, ErrOutcomeUnknown)
	if failed && canceled && c.breaker.Phase() == BreakerClosed {
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
