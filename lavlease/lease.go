package lavlease

import (
	"context"
	"strconv"
	"sync"
	"time"

	"lavenderrack.example/lavenderrack/lavstep"
	"lavenderrack.example/lavenderrack/lavstore"

	"github.com/cockroachdb/errors"
)

// Errors of a lease.
var (
	// ErrHeld means that another holder has the lease.
	ErrHeld = errors.New("lease is held by another")
	// ErrLost means that the lease has lapsed.
	ErrLost = errors.New("lease has lapsed")
)

// keyPrefix stands before the name of each lease, and fencePrefix before the
// counter of its fencing numbers, which outlives its holders.
const (
	keyPrefix   = "lease/"
	fencePrefix = "fence/"
)

// margin is the part of the time to live that the holder gives up, for clocks
// that run at different speeds.
const margin = 10

// Lease is one holder's claim to a name.
type Lease struct {
	store lavstore.Store
	id    lavstore.LeaseID
	key   string
	fence uint64
	ttl   time.Duration

	mu    sync.Mutex
	until time.Time
}

// Acquire takes the lease of name for holder, or returns ErrHeld.
func Acquire(ctx context.Context, store lavstore.Store, name, holder string, ttl time.Duration) (*Lease, error) {
	// A read is cheaper than a lease that turns out to be of no use.
	if _, err := store.Get(ctx, keyPrefix+name); !errors.Is(err, lavstore.ErrNotFound) {
		if err == nil {
			err = ErrHeld
		}
		return nil, lavstep.Wrap(err, lavstep.StoreLease, name)
	}
	asked := time.Now()
	id, err := store.Grant(ctx, ttl)
	if err != nil {
		return nil, lavstep.Wrap(err, lavstep.StoreLease, name)
	}
	l := &Lease{store: store, id: id, key: keyPrefix + name, ttl: ttl}
	value := []byte(holder + " " + string(id))
	same := func(e lavstore.Entry) bool { return e.Lease == id && string(e.Value) == string(value) }
	if _, err := lavstore.PutVerified(ctx, store, l.key, 0, value, id, same); err != nil {
		l.giveUp(ctx)
		if errors.Is(err, lavstore.ErrConflict) {
			err = errors.Mark(err, ErrHeld)
		}
		return nil, lavstep.Wrap(err, lavstep.StoreLease, name)
	}
	// The number is drawn while the key is held, so that a later holder draws
	// a higher one.
	if l.fence, err = nextFence(ctx, store, fencePrefix+name, string(id)); err != nil {
		l.giveUp(ctx)
		return nil, lavstep.Wrap(err, lavstep.StoreLease, name)
	}
	l.extend(asked)
	return l, nil
}

// nextFence raises the counter by one and returns it.
func nextFence(ctx context.Context, store lavstore.Store, key, holder string) (uint64, error) {
	last := uint64(0)
	e, err := store.Get(ctx, key)
	if err != nil && !errors.Is(err, lavstore.ErrNotFound) {
		return 0, err
	}
	if err == nil {
		if last, err = parseFence(e.Value); err != nil {
			return 0, err
		}
	}
	value := strconv.FormatUint(last+1, 10) + " " + holder
	same := func(found lavstore.Entry) bool { return string(found.Value) == value }
	_, err = lavstore.PutVerified(ctx, store, key, e.Revision, []byte(value), "", same)
	return last + 1, err
}

func parseFence(value []byte) (uint64, error) {
	for i, c := range value {
		if c == ' ' {
			return strconv.ParseUint(string(value[:i]), 10, 64)
		}
	}
	return 0, errors.Newf("fence %q has no holder", value)
}

// Fence returns the fencing number.
func (l *Lease) Fence() uint64 { return l.fence }

// Valid reports whether the holder may act at now.
func (l *Lease) Valid(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return now.Before(l.until)
}

// ValidUntil returns when the holder must stop unless it renews.
func (l *Lease) ValidUntil() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.until
}

// Renew extends the lease, or returns ErrLost if it has lapsed.
func (l *Lease) Renew(ctx context.Context) error {
	asked := time.Now()
	err := l.store.Renew(ctx, l.id)
	if errors.Is(err, lavstore.ErrLeaseGone) {
		l.end()
		err = errors.Mark(err, ErrLost)
	}
	if err == nil {
		l.extend(asked)
	}
	return lavstep.Wrap(err, lavstep.StoreLease, l.key)
}

// Release gives the lease up.
func (l *Lease) Release(ctx context.Context) error {
	l.end()
	return lavstep.Wrap(l.store.Revoke(ctx, l.id), lavstep.StoreLease, l.key)
}

func (l *Lease) extend(asked time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.until = asked.Add(l.ttl - l.ttl/margin)
}

func (l *Lease) end() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.until = time.Time{}
}

// giveUp ends a lease that was not fully acquired; what this misses lapses by
// itself.
func (l *Lease) giveUp(ctx context.Context) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), time.Second)
	defer cancel()
	_ = l.store.Revoke(ctx, l.id)
}
