package lavstore

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// Revision orders the writes of the store. Zero stands for an absent key.
type Revision uint64

// LeaseID names a lease. The empty ID is no lease.
type LeaseID string

// MaxValueBytes is the largest value that the service holds.
const MaxValueBytes = 1 << 20

// Entry is a key with its value and the revision that wrote it.
type Entry struct {
	Key      string
	Value    []byte
	Revision Revision
	Lease    LeaseID
}

// The errors of a store. ErrConflict and ErrNotFound are answers: the call had
// no effect. ErrUnavailable had no effect either. After ErrOutcomeUnknown the write
// may have taken effect.
var (
	ErrNotFound    = errors.New("key not found")
	ErrConflict    = errors.New("revision has changed")
	ErrUnavailable = errors.New("store unavailable")
	ErrOutcomeUnknown     = errors.New("reply lost, the write may have taken effect")
	ErrLeaseGone   = errors.New("lease has ended")
)

// Store is the platform's key-value service.
type Store interface {
	// Get returns the entry of key, or ErrNotFound.
	Get(ctx context.Context, key string) (Entry, error)
	// List returns the entries below prefix in order of key, and the store's
	// revision for a following Watch.
	List(ctx context.Context, prefix string) ([]Entry, Revision, error)
	// CompareAndSwap writes value if key's revision is still want. The entry
	// vanishes with the lease, if one is given.
	CompareAndSwap(ctx context.Context, key string, want Revision, value []byte, lease LeaseID) (Revision, error)
	// Delete removes key if its revision is still want.
	Delete(ctx context.Context, key string, want Revision) error
	// Watch waits for a change below prefix after that revision, at most for
	// wait, then answers as List does.
	Watch(ctx context.Context, prefix string, after Revision, wait time.Duration) ([]Entry, Revision, error)
	// Grant makes a lease that ends unless it is renewed within ttl.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// Renew extends a lease, or returns ErrLeaseGone.
	Renew(ctx context.Context, lease LeaseID) error
	// Revoke ends a lease and removes its entries.
	Revoke(ctx context.Context, lease LeaseID) error
}

// PutVerified writes value by CompareAndSwap. After a lost reply it reads the
// key back: same tells whether what is found is this very write. It returns
// the revision written, ErrConflict if another write came first, or ErrUnknown
// if the store can't be read either.
func PutVerified(ctx context.Context, s Store, key string, want Revision, value []byte, lease LeaseID, same func(Entry) bool) (Revision, error) {
	rev, err := s.CompareAndSwap(ctx, key, want, value, lease)
	if !errors.Is(err, ErrOutcomeUnknown) {
		return rev, err
	}
	found, readErr := s.Get(ctx, key)
	switch {
	case readErr == nil && same(found):
		return found.Revision, nil
	case readErr == nil && found.Revision != want:
		return 0, ErrConflict
	case errors.Is(readErr, ErrNotFound) && want != 0:
		return 0, ErrConflict
	default:
		// The key still has its old revision, but the lost write may yet
		// arrive, so nothing certain can be said.
		return 0, ErrOutcomeUnknown
	}
}
