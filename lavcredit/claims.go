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

// claimPrefix stands before the name of each claimed endpoint.
const claimPrefix = "credit/"

// Times of claims.
const (
	claimTTL   = 10 * time.Second
	claimEvery = 500 * time.Millisecond
	renewClaim = 3 * time.Second
	// unclaimAfter is how long a claim is kept that nobody has asked for.
	unclaimAfter = 5 * time.Second
)

// Claims holds one host's claims to cold endpoints. All hang on one lease of
// the store, so that a host renews once however many endpoints it owns, and
// the lease stands only while some endpoint is cold.
type Claims struct {
	store  lavstore.Store
	holder string

	mu      sync.Mutex
	lease   lavstore.LeaseID
	renewed time.Time
	until   time.Time
	claims  map[string]*claimed
	wake    chan struct{}
}

// claimed is one endpoint's claim, or the wish for one.
type claimed struct {
	fence  uint64
	since  time.Time
	wanted time.Time
}

// NewClaims returns a host without claims.
func NewClaims(store lavstore.Store, holder string) *Claims {
	return &Claims{store: store, holder: holder, claims: make(map[string]*claimed), wake: make(chan struct{}, 1)}
}

// Get returns the claim to an endpoint, which is not valid if the host has
// none, and notes that it is wanted.
func (c *Claims) Get(now time.Time, endpoint string) Claim {
	c.mu.Lock()
	defer c.mu.Unlock()
	have := c.claims[endpoint]
	if have == nil {
		have = &claimed{}
		c.claims[endpoint] = have
		c.nudge()
	}
	have.wanted = now
	if have.fence == 0 {
		return Claim{}
	}
	return Claim{Fence: have.fence, Since: have.since, Until: c.until}
}

func (c *Claims) nudge() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// Serve keeps the lease and the claims until the context ends, then gives them
// up.
func (c *Claims) Serve(ctx context.Context) error {
	tick := time.NewTicker(claimEvery)
	defer tick.Stop()
	for {
		c.tend(ctx)
		select {
		case <-ctx.Done():
			c.giveUp(ctx)
			return ctx.Err()
		case <-tick.C:
		case <-c.wake:
		}
	}
}

// tend renews the lease and claims what is wanted. What fails is tried again
// at the next tick.
func (c *Claims) tend(ctx context.Context) {
	wanted, unwanted := c.sort(time.Now())
	if len(wanted) == 0 {
		if c.leaseID() != "" {
			c.giveUp(ctx)
		}
		return
	}
	if err := c.keepLease(ctx); err != nil {
		return
	}
	for _, endpoint := range unwanted {
		c.release(ctx, endpoint)
	}
	for _, endpoint := range wanted {
		if c.claim(ctx, endpoint) != nil {
			return
		}
	}
}

// sort lists the endpoints to claim or keep, and the claims that nobody has
// asked for of late. It forgets what is neither wanted nor claimed.
func (c *Claims) sort(now time.Time) (wanted, unwanted []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for name, have := range c.claims {
		switch {
		case now.Sub(have.wanted) <= unclaimAfter:
			wanted = append(wanted, name)
		case have.fence != 0:
			unwanted = append(unwanted, name)
		default:
			delete(c.claims, name)
		}
	}
	slices.Sort(wanted)
	slices.Sort(unwanted)
	return wanted, unwanted
}

// release gives one claim up, for the endpoint's new owner to take. If the
// call fails, the key stays until the lease ends.
func (c *Claims) release(ctx context.Context, endpoint string) {
	c.mu.Lock()
	fence := c.claims[endpoint].fence
	c.claims[endpoint].fence = 0
	c.mu.Unlock()
	if lavstep.Reach(ctx, lavstep.CreditClaim, endpoint) == nil {
		_ = c.store.Delete(ctx, claimPrefix+endpoint, lavstore.Revision(fence))
	}
}

func (c *Claims) leaseID() lavstore.LeaseID {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lease
}

// keepLease makes the lease or renews it in time. It counts from before the
// call, so that the host stops believing in it before the store does.
func (c *Claims) keepLease(ctx context.Context) error {
	asked := time.Now()
	c.mu.Lock()
	lease, renewed := c.lease, c.renewed
	c.mu.Unlock()
	if lease != "" && asked.Sub(renewed) < renewClaim {
		return nil
	}
	if err := lavstep.Reach(ctx, lavstep.CreditClaim, "lease"); err != nil {
		return err
	}
	var err error
	if lease == "" {
		lease, err = c.store.Grant(ctx, claimTTL)
	} else {
		err = c.store.Renew(ctx, lease)
	}
	if errors.Is(err, lavstore.ErrLeaseGone) {
		c.forget()
	}
	if err != nil {
		return lavstep.Wrap(err, lavstep.CreditClaim, "lease")
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lease, c.renewed = lease, asked
	c.until = asked.Add(claimTTL - claimTTL/clockMargin)
	return nil
}

// claim writes an endpoint's key under the lease, unless it is claimed.
func (c *Claims) claim(ctx context.Context, endpoint string) error {
	c.mu.Lock()
	lease := c.lease
	done := c.claims[endpoint] == nil || c.claims[endpoint].fence != 0
	c.mu.Unlock()
	if done {
		return nil
	}
	if err := lavstep.Reach(ctx, lavstep.CreditClaim, endpoint); err != nil {
		return err
	}
	key := claimPrefix + endpoint
	value := []byte(c.holder + " " + string(lease))
	same := func(e lavstore.Entry) bool { return e.Lease == lease && string(e.Value) == string(value) }
	_, err := lavstore.PutVerified(ctx, c.store, key, 0, value, lease, same)
	if errors.Is(err, lavstore.ErrConflict) {
		// Another host holds it; it is asked for again at the next tick. The
		// key may also be this host's own, written by a call whose reply and
		// read-back were both lost.
		if err = nil; !c.mine(ctx, key, same) {
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
	if have := c.claims[endpoint]; have != nil && c.lease == lease && same(e) {
		have.fence, have.since = uint64(e.Revision), time.Now()
	}
	return nil
}

func (c *Claims) mine(ctx context.Context, key string, same func(lavstore.Entry) bool) bool {
	e, err := c.store.Get(ctx, key)
	return err == nil && same(e)
}

// forget drops every claim, since the lease that they hung on has ended.
func (c *Claims) forget() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lease, c.until = "", time.Time{}
	for _, have := range c.claims {
		have.fence = 0
	}
}

// giveUp ends the lease. If the call fails, it lapses by itself.
func (c *Claims) giveUp(ctx context.Context) {
	lease := c.leaseID()
	c.forget()
	if lease == "" {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), time.Second)
	defer cancel()
	_ = c.store.Revoke(ctx, lease)
}
