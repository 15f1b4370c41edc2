package lavstore

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// Revision numbers the writes to the store in order. Zero stands for a key that
// does not exist.
type Revision uint64

// LeaseID identifies a lease. The empty ID means no lease.
type LeaseID string

// MaxValueBytes is the size limit of a value in the service.
const MaxValueBytes = 1 << 20

// Entry is a key with its value, the revision of its last write, and its lease.
type Entry struct {
	Key      string
	Value    []byte
	Revision Revision
	Lease    LeaseID
}

// The errors of a store. ErrNotFound and ErrConflict are responses of the
// service, and the call had no effect. ErrUnavailable also means that the call
// had no effect. After ErrOutcomeUnknown a write may or may not have taken
// effect. ErrLeaseGone means that the lease has expired or was revoked.
var (
	ErrNotFound       = errors.New("key not found")
	ErrConflict       = errors.New("revision has changed")
	ErrUnavailable    = errors.New("store unavailable")
	ErrOutcomeUnknown = errors.New("reply lost, the write may have taken effect")
	ErrLeaseGone      = errors.New("lease has ended")
)

// Store is the interface of the platform's key-value service.
type Store interface {
	// Get returns the entry of key, or ErrNotFound.
	Get(ctx context.Context, key string) (Entry, error)
	// List returns the entries below prefix, ordered by key, and the revision of
	// the store from which a Watch can continue.
	List(ctx context.Context, prefix string) ([]Entry, Revision, error)
	// CompareAndSwap writes value if the revision of key is still the expected
	// one. If a lease is given, the entry is deleted when the lease ends.
	CompareAndSwap(ctx context.Context, key string, expected Revision, value []byte, lease LeaseID) (Revision, error)
	// Delete removes key if its revision is still the expected one.
	Delete(ctx context.Context, key string, expected Revision) error
	// Watch waits for a change below prefix after the given revision, but no
	// longer than wait, and then returns the same as List.
	Watch(ctx context.Context, prefix string, after Revision, wait time.Duration) ([]Entry, Revision, error)
	// Grant creates a lease that ends unless it is renewed within ttl.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// Renew extends a lease, or returns ErrLeaseGone.
	Renew(ctx context.Context, lease LeaseID) error
	// Revoke ends a lease and deletes its entries.
	Revoke(ctx context.Context, lease LeaseID) error
}

// PutVerified writes value by CompareAndSwap. After a lost reply it reads the
// key back, and the function same reports whether the entry is the result of
// this write. PutVerified returns the revision of the write, ErrConflict if
// another write came first, or ErrOutcomeUnknown if the outcome cannot be
// determined.
func PutVerified(ctx context.Context, s Store, key string, expected Revision, value []byte, lease LeaseID, same func(Entry) bool) (Revision, error) {
	revision, err := s.CompareAndSwap(ctx, key, expected, value, lease)
	if !errors.Is(err, ErrOutcomeUnknown) {
		return revision, err
	}
	found, readErr := s.Get(ctx, key)
	switch {
	case readErr == nil && same(found):
		return found.Revision, nil
	case readErr == nil && found.Revision != expected:
		return 0, ErrConflict
	case errors.Is(readErr, ErrNotFound) && expected != 0:
		return 0, ErrConflict
	default:
		// Either the store cannot be read, or the key still has its old revision
		// and the lost write may arrive later.
		return 0, ErrOutcomeUnknown
	}
}
