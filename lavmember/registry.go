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

// Times of membership.
const (
	LeaseTTL   = 15 * time.Second
	renewEvery = 4 * time.Second
	retryPause = 500 * time.Millisecond
	// storeSilence is how long the store fails before the mesh may narrow the
	// view.
	storeSilence = LeaseTTL
)

// Registry keeps this host's membership and the view of all.
type Registry struct {
	store lavstore.Store
	view  atomic.Pointer[View]

	mu   sync.Mutex
	self Member
	// base is the view by the store and by deltas, before doubts narrow it.
	base   *View
	doubts *doubts
	// joined is true once this host's entry has been written.
	joined atomic.Bool
	// contact is when the store last answered.
	contact time.Time
	// pending is the delta that this host has to tell, if any.
	pending []Delta
	changed chan struct{}
	// announce wakes the renewal as self changes, and refresh the listing as
	// the view may be wrong.
	announce chan struct{}
	refresh  chan struct{}
}

// New returns the registry of a host that is to join as self.
func New(store lavstore.Store, self Member) *Registry {
	r := &Registry{
		store:    store,
		self:     self,
		base:     sorted([]Member{self}),
		doubts:   newDoubts(),
		changed:  make(chan struct{}),
		announce: make(chan struct{}, 1),
		refresh:  make(chan struct{}, 1),
	}
	r.view.Store(r.base)
	return r
}

// View returns the newest view. It always holds this host.
func (r *Registry) View() *View { return r.view.Load() }

// Full returns the view with those members that are left out while the store is
// silent, because the mesh can't reach them.
func (r *Registry) Full() *View {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.base
}

// Self returns this host's own entry.
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

// Joined reports whether this host's entry has ever been written, so that the
// others can know of it.
func (r *Registry) Joined() bool { return r.joined.Load() }

// Leave marks this host as leaving, for all to see.
func (r *Registry) Leave() {
	r.mu.Lock()
	r.self.Leaving = true
	r.setBase(r.base)
	r.mu.Unlock()
	signal(r.announce)
}

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// Serve keeps the membership and follows the view until the context ends, then
// gives the membership up.
func (r *Registry) Serve(ctx context.Context) error {
	watched := make(chan struct{})
	go func() {
		defer close(watched)
		r.follow(ctx)
	}()
	r.keep(ctx)
	<-watched
	return ctx.Err()
}

// keep holds a lease and the key bound to it.
func (r *Registry) keep(ctx context.Context) {
	var lease lavstore.LeaseID
	var revision lavstore.Revision
	var written Member
	for ctx.Err() == nil {
		var err error
		lease, err = r.renew(ctx, lease)
		if err == nil && (revision == 0 || written != r.Self()) {
			written = r.Self()
			revision, err = r.write(ctx, lease, revision, written)
			if err == nil {
				r.joined.Store(true)
			}
		}
		if errors.Is(err, lavstore.ErrLeaseGone) || errors.Is(err, lavstore.ErrConflict) {
			lease, revision = "", 0
		}
		r.touch(err)
		r.sleep(ctx, err)
	}
	if lease != "" && lavstep.Reach(ctx, lavstep.MemberLeave, "") == nil {
		end, cancel := context.WithTimeout(context.WithoutCancel(ctx), time.Second)
		defer cancel()
		// The lease runs out by itself if this call fails.
		if lavstep.Reach(end, lavstep.MemberLeave, "") == nil {
			_ = r.store.Revoke(end, lease)
		}
	}
}

func (r *Registry) sleep(ctx context.Context, err error) {
	wait := renewEvery
	if err != nil {
		wait = retryPause
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-r.announce:
	}
}

func (r *Registry) renew(ctx context.Context, lease lavstore.LeaseID) (lavstore.LeaseID, error) {
	if err := lavstep.Reach(ctx, lavstep.MemberRenew, ""); err != nil {
		return lease, err
	}
	if lease == "" {
		return r.store.Grant(ctx, LeaseTTL)
	}
	return lease, r.store.Renew(ctx, lease)
}

func (r *Registry) write(ctx context.Context, lease lavstore.LeaseID, want lavstore.Revision, self Member) (lavstore.Revision, error) {
	if err := lavstep.Reach(ctx, lavstep.MemberJoin, self.Incarnation); err != nil {
		return 0, err
	}
	value, err := json.Marshal(self)
	if err != nil {
		return 0, err
	}
	key := keyPrefix + self.Incarnation
	if err := lavstep.Reach(ctx, lavstep.MemberJoin, key); err != nil {
		return 0, err
	}
	same := func(e lavstore.Entry) bool { return e.Lease == lease && string(e.Value) == string(value) }
	revision, err := lavstore.PutVerified(ctx, r.store, key, want, value, lease, same)
	return revision, lavstep.Wrap(err, lavstep.MemberJoin, key)
}

// touch notes whether the store answers, and lets doubts narrow the view while
// it doesn't.
func (r *Registry) touch(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !errors.Is(err, lavstore.ErrUnavailable) && !errors.Is(err, lavstore.ErrOutcomeUnknown) {
		r.contact = time.Now()
		return
	}
	r.setBase(r.base)
}

// setBase replaces the base and publishes the view that follows from it. The
// caller holds the lock.
func (r *Registry) setBase(base *View) {
	r.base = withSelf(base, r.self)
	next := r.base
	now := time.Now()
	if now.Sub(r.contact) > storeSilence {
		next = r.doubts.narrow(next, r.self.Incarnation, now)
	}
	if before := r.View(); before.Digest() == next.Digest() && len(before.Members) == len(next.Members) {
		return
	}
	r.view.Store(next)
	close(r.changed)
	r.changed = make(chan struct{})
}

// withSelf returns the view with this host's own entry as it is.
func withSelf(v *View, self Member) *View {
	if have, ok := v.Member(self.Incarnation); ok && have == self {
		return v
	}
	members := []Member{self}
	for _, m := range v.Members {
		if m.Incarnation != self.Incarnation {
			members = append(members, m)
		}
	}
	return sorted(members)
}
