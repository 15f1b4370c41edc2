package lavmember

import (
	"context"
	"encoding/json"
	"sync"
	"sync/atomic"
	"time"

	"lavenderrack.example/lavenderrack/lavstep"
	"lavenderrack.example/lavenderrack/lavstore"

	"github.com/cockroachdb/errors"
)

const keyPrefix = "member/"

// Lease and retry times of the membership entry.
const (
	// LeaseTTL is the time to live of the lease to which a member key is bound.
	LeaseTTL      = 15 * time.Second
	renewInterval = 4 * time.Second
	retryDelay    = 500 * time.Millisecond
	// storeSilenceLimit is how long the store must be unreachable before the
	// failure detector may remove members from the view.
	storeSilenceLimit = LeaseTTL
)

// Registry maintains this host's membership entry and its view of all members.
type Registry struct {
	store lavstore.Store
	view  atomic.Pointer[View]

	mu   sync.Mutex
	self Member
	// base is the view according to the store and the deltas, before suspected
	// members are removed.
	base     *View
	detector *failureDetector
	// joined is true once this host's entry has been written to the store.
	joined atomic.Bool
	// lastContact is the time of the store's last answer.
	lastContact time.Time
	// pendingDeltas are the deltas that this host has yet to broadcast.
	pendingDeltas []Delta
	changed       chan struct{}
	// selfChanged wakes the renewal loop when self has changed. refreshRequested
	// requests a listing because the view may be out of date.
	selfChanged      chan struct{}
	refreshRequested chan struct{}
}

// New returns a registry for a host that will join as self.
func New(store lavstore.Store, self Member) *Registry {
	r := &Registry{
		store:            store,
		self:             self,
		base:             newView([]Member{self}),
		detector:         newFailureDetector(),
		changed:          make(chan struct{}),
		selfChanged:      make(chan struct{}, 1),
		refreshRequested: make(chan struct{}, 1),
	}
	r.view.Store(r.base)
	return r
}

// View returns the current view. It always contains this host.
func (r *Registry) View() *View { return r.view.Load() }

// FullView returns the view including suspected members, which View leaves out while
// the store is unreachable.
func (r *Registry) FullView() *View {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.base
}

// Self returns this host's own member entry.
func (r *Registry) Self() Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.self
}

// Changed returns a channel that is closed at the next change of the view.
func (r *Registry) Changed() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.changed
}

// Joined reports whether this host's entry has been written to the store at least
// once, so that other hosts can see it.
func (r *Registry) Joined() bool { return r.joined.Load() }

// Leave marks this host as leaving and publishes the change.
func (r *Registry) Leave() {
	r.mu.Lock()
	r.self.Leaving = true
	r.setBase(r.base)
	r.mu.Unlock()
	signal(r.selfChanged)
}

// signal wakes the receiver of c without blocking. Signals that have not been
// received yet are merged into one.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// Serve maintains the membership entry and follows the view until ctx ends. It then
// revokes the membership lease.
func (r *Registry) Serve(ctx context.Context) error {
	followed := make(chan struct{})
	go func() {
		defer close(followed)
		r.syncView(ctx)
	}()
	r.maintainMembership(ctx)
	<-followed
	return ctx.Err()
}

// maintainMembership keeps a store lease alive, along with the member key that is
// bound to it.
func (r *Registry) maintainMembership(ctx context.Context) {
	var lease lavstore.LeaseID
	var revision lavstore.Revision
	var published Member
	for ctx.Err() == nil {
		var err error
		lease, err = r.renewLease(ctx, lease)
		if err == nil && (revision == 0 || published != r.Self()) {
			published = r.Self()
			revision, err = r.publish(ctx, lease, revision, published)
			if err == nil {
				r.joined.Store(true)
			}
		}
		if errors.Is(err, lavstore.ErrLeaseGone) || errors.Is(err, lavstore.ErrConflict) {
			lease, revision = "", 0
		}
		r.recordStoreResult(err)
		r.waitForRenewal(ctx, err)
	}
	if lease != "" && lavstep.Failpoint(ctx, lavstep.MemberLeave, "") == nil {
		revokeCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), time.Second)
		defer cancel()
		// If this call fails, the lease expires on its own.
		if lavstep.Failpoint(revokeCtx, lavstep.MemberLeave, "") == nil {
			_ = r.store.Revoke(revokeCtx, lease)
		}
	}
}

func (r *Registry) waitForRenewal(ctx context.Context, err error) {
	delay := renewInterval
	if err != nil {
		delay = retryDelay
	}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-r.selfChanged:
	}
}

func (r *Registry) renewLease(ctx context.Context, lease lavstore.LeaseID) (lavstore.LeaseID, error) {
	if err := lavstep.Failpoint(ctx, lavstep.MemberRenew, ""); err != nil {
		return lease, err
	}
	if lease == "" {
		return r.store.Grant(ctx, LeaseTTL)
	}
	return lease, r.store.Renew(ctx, lease)
}

func (r *Registry) publish(ctx context.Context, lease lavstore.LeaseID, expected lavstore.Revision, self Member) (lavstore.Revision, error) {
	if err := lavstep.Failpoint(ctx, lavstep.MemberJoin, self.Incarnation); err != nil {
		return 0, err
	}
	value, err := json.Marshal(self)
	if err != nil {
		return 0, err
	}
	key := keyPrefix + self.Incarnation
	if err := lavstep.Failpoint(ctx, lavstep.MemberJoin, key); err != nil {
		return 0, err
	}
	matches := func(e lavstore.Entry) bool { return e.Lease == lease && string(e.Value) == string(value) }
	revision, err := lavstore.PutVerified(ctx, r.store, key, expected, value, lease, matches)
	return revision, lavstep.Wrap(err, lavstep.MemberJoin, key)
}

// recordStoreResult records whether the store answered. If it didn't, the view is
// recomputed, because suspected members are removed from it once the store has been
// unreachable for storeSilenceLimit.
func (r *Registry) recordStoreResult(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !errors.Is(err, lavstore.ErrUnavailable) && !errors.Is(err, lavstore.ErrOutcomeUnknown) {
		r.lastContact = time.Now()
		return
	}
	r.setBase(r.base)
}

// setBase replaces the base view and publishes the view derived from it. The caller
// holds r.mu.
func (r *Registry) setBase(base *View) {
	r.base = withSelf(base, r.self)
	next := r.base
	now := time.Now()
	if now.Sub(r.lastContact) > storeSilenceLimit {
		next = r.detector.excludeSuspects(next, r.self.Incarnation, now)
	}
	if before := r.View(); before.Digest() == next.Digest() && len(before.Members) == len(next.Members) {
		return
	}
	r.view.Store(next)
	close(r.changed)
	r.changed = make(chan struct{})
}

// withSelf returns v with this host's current entry in it.
func withSelf(v *View, self Member) *View {
	if existing, ok := v.Member(self.Incarnation); ok && existing == self {
		return v
	}
	members := []Member{self}
	for _, m := range v.Members {
		if m.Incarnation != self.Incarnation {
			members = append(members, m)
		}
	}
	return newView(members)
}
