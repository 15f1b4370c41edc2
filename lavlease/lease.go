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

// Errors returned by leases.
var (
	// ErrHeld means that another holder has the lease.
	ErrHeld = errors.New("lease is held by another holder")
	// ErrLost means that the lease has expired.
	ErrLost = errors.New("lease has expired")
)

// keyPrefix is the key prefix of leases. fencePrefix is the key prefix of their
// fencing counters, which are kept after a lease ends.
const (
	keyPrefix   = "lease/"
	fencePrefix = "fence/"
)

// safetyMarginDivisor sets the safety margin for clocks that run at different
// speeds: the holder treats the lease as expired one tenth of the TTL early.
const safetyMarginDivisor = 10

// Lease is one holder's lease on a name.
type Lease struct {
	store lavstore.Store
	id    lavstore.LeaseID
	key   string
	fence uint64
	ttl   time.Duration

	mu         sync.Mutex
	validUntil time.Time
}

// Acquire acquires the lease on name for holder. It returns ErrHeld if another
// holder has it.
func Acquire(ctx context.Context, store lavstore.Store, name, holder string, ttl time.Duration) (*Lease, error) {
	// Reading the key first avoids granting a store lease that would be useless
	// because the name is already held.
	if _, err := store.Get(ctx, keyPrefix+name); !errors.Is(err, lavstore.ErrNotFound) {
		if err == nil {
			err = ErrHeld
		}
		return nil, lavstep.Wrap(err, lavstep.StoreLease, name)
	}
	requestedAt := time.Now()
	id, err := store.Grant(ctx, ttl)
	if err != nil {
		return nil, lavstep.Wrap(err, lavstep.StoreLease, name)
	}
	l := &Lease{store: store, id: id, key: keyPrefix + name, ttl: ttl}
	value := []byte(holder + " " + string(id))
	matches := func(e lavstore.Entry) bool { return e.Lease == id && string(e.Value) == string(value) }
	if _, err := lavstore.PutVerified(ctx, store, l.key, 0, value, id, matches); err != nil {
		l.abandon(ctx)
		if errors.Is(err, lavstore.ErrConflict) {
			err = errors.Mark(err, ErrHeld)
		}
		return nil, lavstep.Wrap(err, lavstep.StoreLease, name)
	}
	// The fencing token is taken while the key is held, so that every later holder
	// gets a higher one.
	if l.fence, err = incrementFence(ctx, store, fencePrefix+name, string(id)); err != nil {
		l.abandon(ctx)
		return nil, lavstep.Wrap(err, lavstep.StoreLease, name)
	}
	l.extendValidity(requestedAt)
	return l, nil
}

// incrementFence increments the fencing counter and returns its new value.
func incrementFence(ctx context.Context, store lavstore.Store, key, holder string) (uint64, error) {
	last := uint64(0)
	e, err := store.Get(ctx, key)
	if err != nil && !errors.Is(err, lavstore.ErrNotFound) {
		return 0, err
	}
	if err == nil {
		if last, err = parseFenceCounter(e.Value); err != nil {
			return 0, err
		}
	}
	value := strconv.FormatUint(last+1, 10) + " " + holder
	matches := func(found lavstore.Entry) bool { return string(found.Value) == value }
	_, err = lavstore.PutVerified(ctx, store, key, e.Revision, []byte(value), "", matches)
	return last + 1, err
}

func parseFenceCounter(value []byte) (uint64, error) {
	for i, c := range value {
		if c == ' ' {
			return strconv.ParseUint(string(value[:i]), 10, 64)
		}
	}
	return 0, errors.Newf("fencing counter %q names no holder", value)
}

// Fence returns the fencing token.
func (l *Lease) Fence() uint64 { return l.fence }

// Valid reports whether the holder may act at time now.
func (l *Lease) Valid(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return now.Before(l.validUntil)
}

// ValidUntil returns the time at which the holder must stop acting unless it renews
// the lease.
func (l *Lease) ValidUntil() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.validUntil
}

// Renew extends the lease. It returns ErrLost if the lease has expired.
func (l *Lease) Renew(ctx context.Context) error {
	requestedAt := time.Now()
	err := l.store.Renew(ctx, l.id)
	if errors.Is(err, lavstore.ErrLeaseGone) {
		l.invalidate()
		err = errors.Mark(err, ErrLost)
	}
	if err == nil {
		l.extendValidity(requestedAt)
	}
	return lavstep.Wrap(err, lavstep.StoreLease, l.key)
}

// Release revokes the lease.
func (l *Lease) Release(ctx context.Context) error {
	l.invalidate()
	return lavstep.Wrap(l.store.Revoke(ctx, l.id), lavstep.StoreLease, l.key)
}

func (l *Lease) extendValidity(requestedAt time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.validUntil = requestedAt.Add(l.ttl - l.ttl/safetyMarginDivisor)
}

func (l *Lease) invalidate() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.validUntil = time.Time{}
}

// abandon revokes a lease whose acquisition failed. If the revocation fails, the
// lease expires on its own.
func (l *Lease) abandon(ctx context.Context) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), time.Second)
	defer cancel()
	_ = l.store.Revoke(ctx, l.id)
}
