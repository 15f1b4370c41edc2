package lavcredit

import (
	"context"
	"slices"
	"sync"
	"time"

	"lavenderrack.example/lavenderrack/lavstep"
	"lavenderrack.example/lavenderrack/lavstore"

	"github.com/cockroachdb/errors"
)

// claimKeyPrefix precedes the endpoint's name in the store key of a claim.
const claimKeyPrefix = "credit/"

// Intervals and timeouts of claims.
const (
	claimLeaseTTL      = 10 * time.Second
	reconcileInterval  = 500 * time.Millisecond
	leaseRenewInterval = 3 * time.Second
	// claimIdleTimeout is how long a claim is kept after the last call of Get
	// for its endpoint.
	claimIdleTimeout = 5 * time.Second
)

// Claims maintains one host's claims to cold endpoints. All claims are bound to
// one lease of the store, so the number of renewals doesn't grow with the number
// of endpoints. The host holds the lease only while it needs a claim.
type Claims struct {
	store  lavstore.Store
	holder string

	mu      sync.Mutex
	lease   lavstore.LeaseID
	renewed time.Time
	expires time.Time
	claims  map[string]*claimState
	wake    chan struct{}
}

// claimState is the claim to one endpoint. Its fencing token is 0 while the host needs
// the claim but hasn't acquired it.
type claimState struct {
	fence uint64
	since time.Time
	// requested is when Get was last called for the endpoint.
	requested time.Time
}

// NewClaims returns the claims of a host, which has none at first.
func NewClaims(store lavstore.Store, holder string) *Claims {
	return &Claims{store: store, holder: holder, claims: make(map[string]*claimState), wake: make(chan struct{}, 1)}
}

// Get returns the host's claim to an endpoint. If the host has none, Get returns
// an invalid one and Serve tries to acquire it.
func (c *Claims) Get(now time.Time, endpoint string) Claim {
	c.mu.Lock()
	defer c.mu.Unlock()
	state := c.claims[endpoint]
	if state == nil {
		state = &claimState{}
		c.claims[endpoint] = state
		c.wakeServe()
	}
	state.requested = now
	if state.fence == 0 {
		return Claim{}
	}
	return Claim{Fence: state.fence, Since: state.since, Until: c.expires}
}

func (c *Claims) wakeServe() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// Serve maintains the lease and the claims until the context ends, and then
// revokes the lease.
func (c *Claims) Serve(ctx context.Context) error {
	tick := time.NewTicker(reconcileInterval)
	defer tick.Stop()
	for {
		c.reconcile(ctx)
		select {
		case <-ctx.Done():
			c.revokeLease(ctx)
			return ctx.Err()
		case <-tick.C:
		case <-c.wake:
		}
	}
}

// reconcile renews the lease, acquires the claims that are needed and releases
// the idle ones. Failed steps are retried at the next tick.
func (c *Claims) reconcile(ctx context.Context) {
	needed, idle := c.classify(time.Now())
	if len(needed) == 0 {
		if c.leaseID() != "" {
			c.revokeLease(ctx)
		}
		return
	}
	if err := c.ensureLease(ctx); err != nil {
		return
	}
	for _, endpoint := range idle {
		c.release(ctx, endpoint)
	}
	for _, endpoint := range needed {
		if c.acquire(ctx, endpoint) != nil {
			return
		}
	}
}

// classify lists the endpoints whose claims are needed, and those whose claims
// have been idle for longer than claimIdleTimeout. It drops the state of idle
// endpoints that the host has no claim to.
func (c *Claims) classify(now time.Time) (needed, idle []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for name, state := range c.claims {
		switch {
		case now.Sub(state.requested) <= claimIdleTimeout:
			needed = append(needed, name)
		case state.fence != 0:
			idle = append(idle, name)
		default:
			delete(c.claims, name)
		}
	}
	slices.Sort(needed)
	slices.Sort(idle)
	return needed, idle
}

// release deletes the key of one claim, so that the endpoint's new owner can
// acquire it. If the call fails, the key stays until the lease ends.
func (c *Claims) release(ctx context.Context, endpoint string) {
	c.mu.Lock()
	fence := c.claims[endpoint].fence
	c.claims[endpoint].fence = 0
	c.mu.Unlock()
	if lavstep.Failpoint(ctx, lavstep.CreditClaim, endpoint) == nil {
		_ = c.store.Delete(ctx, claimKeyPrefix+endpoint, lavstore.Revision(fence))
	}
}

func (c *Claims) leaseID() lavstore.LeaseID {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lease
}

// ensureLease creates the lease, or renews it if that is due. The lease's time
// is counted from before the call, so that the host treats the lease as expired
// before the store does.
func (c *Claims) ensureLease(ctx context.Context) error {
	began := time.Now()
	c.mu.Lock()
	lease, renewed := c.lease, c.renewed
	c.mu.Unlock()
	if lease != "" && began.Sub(renewed) < leaseRenewInterval {
		return nil
	}
	if err := lavstep.Failpoint(ctx, lavstep.CreditClaim, "lease"); err != nil {
		return err
	}
	var err error
	if lease == "" {
		lease, err = c.store.Grant(ctx, claimLeaseTTL)
	} else {
		err = c.store.Renew(ctx, lease)
	}
	if errors.Is(err, lavstore.ErrLeaseGone) {
		c.invalidate()
	}
	if err != nil {
		return lavstep.Wrap(err, lavstep.CreditClaim, "lease")
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lease, c.renewed = lease, began
	c.expires = began.Add(claimLeaseTTL - claimLeaseTTL/clockDriftDivisor)
	return nil
}

// acquire writes an endpoint's claim key under the lease, unless the host has
// the claim already.
func (c *Claims) acquire(ctx context.Context, endpoint string) error {
	c.mu.Lock()
	lease := c.lease
	done := c.claims[endpoint] == nil || c.claims[endpoint].fence != 0
	c.mu.Unlock()
	if done {
		return nil
	}
	if err := lavstep.Failpoint(ctx, lavstep.CreditClaim, endpoint); err != nil {
		return err
	}
	key := claimKeyPrefix + endpoint
	value := []byte(c.holder + " " + string(lease))
	isOwn := func(e lavstore.Entry) bool { return e.Lease == lease && string(e.Value) == string(value) }
	_, err := lavstore.PutVerified(ctx, c.store, key, 0, value, lease, isOwn)
	if errors.Is(err, lavstore.ErrConflict) {
		// Usually another host holds the claim, and this host tries again at
		// the next tick. The key may also be this host's own, written by an
		// earlier call whose reply and read-back were both lost.
		if err = nil; !c.holdsKey(ctx, key, isOwn) {
			return nil
		}
	}
	if err != nil {
		return lavstep.Wrap(err, lavstep.CreditClaim, endpoint)
	}
	e, err := c.store.Get(ctx, key)
	if err != nil {
		return lavstep.Wrap(err, lavstep.CreditClaim, endpoint)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if state := c.claims[endpoint]; state != nil && c.lease == lease && isOwn(e) {
		state.fence, state.since = uint64(e.Revision), time.Now()
	}
	return nil
}

// holdsKey reports whether the store has this host's own entry under the key.
func (c *Claims) holdsKey(ctx context.Context, key string, isOwn func(lavstore.Entry) bool) bool {
	e, err := c.store.Get(ctx, key)
	return err == nil && isOwn(e)
}

// invalidate drops the lease and all claims, which end with the lease.
func (c *Claims) invalidate() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lease, c.expires = "", time.Time{}
	for _, state := range c.claims {
		state.fence = 0
	}
}

// revokeLease drops all claims and revokes the lease. If the call fails, the
// lease expires after its TTL.
func (c *Claims) revokeLease(ctx context.Context) {
	lease := c.leaseID()
	c.invalidate()
	if lease == "" {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), time.Second)
	defer cancel()
	_ = c.store.Revoke(ctx, lease)
}
