package lavfake

import (
	"context"
	"crypto/rand"
	"slices"
	"strings"
	"sync"
	"time"

	"lavenderrack.example/lavenderrack/lavstore"

	"golang.org/x/time/rate"
)

// Store is an in-memory key-value store with leases and watches.
type Store struct {
	mu       sync.Mutex
	faults   StoreFaults
	revision lavstore.Revision
	entries  map[string]lavstore.Entry
	// deleted maps deleted keys to the revisions of their deletion, so that
	// watches report deletions.
	deleted map[string]lavstore.Revision
	leases  map[lavstore.LeaseID]*lease
	changed chan struct{}
	counts  StoreCounts
	// readRate and writeRate limit the rates of reads and writes. A nil limiter
	// means no limit.
	readRate  *rate.Limiter
	writeRate *rate.Limiter
}

type lease struct {
	ttl   time.Duration
	timer *time.Timer
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{
		entries: make(map[string]lavstore.Entry),
		deleted: make(map[string]lavstore.Revision),
		leases:  make(map[lavstore.LeaseID]*lease),
		changed: make(chan struct{}),
	}
}

// notifyWatchers wakes up all waiting watches. The caller holds the lock.
func (s *Store) notifyWatchers() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Get implements lavstore.Store.
func (s *Store) Get(ctx context.Context, key string) (lavstore.Entry, error) {
	if err := s.startCall(ctx, false); err != nil {
		return lavstore.Entry{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.entries[key]
	if !ok {
		return lavstore.Entry{}, lavstore.ErrNotFound
	}
	return e, nil
}

// List implements lavstore.Store.
func (s *Store) List(ctx context.Context, prefix string) ([]lavstore.Entry, lavstore.Revision, error) {
	if err := s.startCall(ctx, false); err != nil {
		return nil, 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	found, _ := s.entriesWithPrefix(prefix)
	return found, s.revision, nil
}

// entriesWithPrefix returns the entries whose keys start with prefix, sorted by
// key, and the revision of the last change or deletion among such keys.
func (s *Store) entriesWithPrefix(prefix string) ([]lavstore.Entry, lavstore.Revision) {
	var found []lavstore.Entry
	newest := lavstore.Revision(0)
	for key, e := range s.entries {
		if strings.HasPrefix(key, prefix) {
			found = append(found, e)
			newest = max(newest, e.Revision)
		}
	}
	for key, revision := range s.deleted {
		if strings.HasPrefix(key, prefix) {
			newest = max(newest, revision)
		}
	}
	slices.SortFunc(found, func(a, b lavstore.Entry) int { return strings.Compare(a.Key, b.Key) })
	return found, newest
}

// Watch implements lavstore.Store.
func (s *Store) Watch(ctx context.Context, prefix string, after lavstore.Revision, wait time.Duration) ([]lavstore.Entry, lavstore.Revision, error) {
	if err := s.startCall(ctx, false); err != nil {
		return nil, 0, err
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	s.mu.Lock()
	for {
		found, newest := s.entriesWithPrefix(prefix)
		changed, down := s.changed, s.faults.Down
		if down {
			s.mu.Unlock()
			return nil, 0, lavstore.ErrUnavailable
		}
		// If the caller's revision is newer than the store's, the store was
		// restored from an older backup. Return at once so that the caller
		// notices.
		if newest > after || after == 0 || after > s.revision {
			defer s.mu.Unlock()
			return found, s.revision, nil
		}
		s.mu.Unlock()
		select {
		case <-ctx.Done():
			return nil, 0, ctx.Err()
		case <-timer.C:
			return found, after, nil
		case <-changed:
		}
		s.mu.Lock()
	}
}

// CompareAndSwap implements lavstore.Store.
func (s *Store) CompareAndSwap(ctx context.Context, key string, want lavstore.Revision, value []byte, id lavstore.LeaseID) (lavstore.Revision, error) {
	if err := s.startCall(ctx, true); err != nil {
		return 0, err
	}
	s.mu.Lock()
	delay := s.faults.LateWriteDelay
	s.mu.Unlock()
	value = slices.Clone(value)
	if delay > 0 {
		time.AfterFunc(delay, func() {
			// The caller has already received its reply, so a conflict cannot
			// be reported.
			_, _ = s.swap(key, want, value, id)
		})
		return 0, lavstore.ErrOutcomeUnknown
	}
	return s.swap(key, want, value, id)
}

func (s *Store) swap(key string, want lavstore.Revision, value []byte, id lavstore.LeaseID) (lavstore.Revision, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if id != "" && s.leases[id] == nil {
		return 0, lavstore.ErrLeaseGone
	}
	if s.entries[key].Revision != want {
		return 0, lavstore.ErrConflict
	}
	s.revision++
	s.entries[key] = lavstore.Entry{Key: key, Value: value, Revision: s.revision, Lease: id}
	delete(s.deleted, key)
	s.notifyWatchers()
	return s.revision, s.writeOutcome()
}

// Delete implements lavstore.Store.
func (s *Store) Delete(ctx context.Context, key string, want lavstore.Revision) error {
	if err := s.startCall(ctx, true); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.entries[key].Revision != want {
		return lavstore.ErrConflict
	}
	s.revision++
	s.remove(key)
	s.notifyWatchers()
	return s.writeOutcome()
}

// Grant implements lavstore.Store.
func (s *Store) Grant(ctx context.Context, ttl time.Duration) (lavstore.LeaseID, error) {
	if err := s.startCall(ctx, true); err != nil {
		return "", err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	id := lavstore.LeaseID(rand.Text())
	s.leases[id] = &lease{ttl: ttl, timer: time.AfterFunc(ttl, func() { s.endLease(id) })}
	return id, s.writeOutcome()
}

// Renew implements lavstore.Store.
func (s *Store) Renew(ctx context.Context, id lavstore.LeaseID) error {
	if err := s.startCall(ctx, true); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	if l == nil {
		return lavstore.ErrLeaseGone
	}
	l.timer.Reset(l.ttl)
	return s.writeOutcome()
}

// Revoke implements lavstore.Store.
func (s *Store) Revoke(ctx context.Context, id lavstore.LeaseID) error {
	if err := s.startCall(ctx, true); err != nil {
		return err
	}
	s.endLease(id)
	return nil
}

// endLease removes a lease that expired or was revoked, and its entries.
func (s *Store) endLease(id lavstore.LeaseID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	if l == nil {
		return
	}
	l.timer.Stop()
	delete(s.leases, id)
	s.revision++
	for key, e := range s.entries {
		if e.Lease == id {
			s.remove(key)
		}
	}
	s.notifyWatchers()
}

// remove deletes a key and records the current revision as that of the
// deletion. The caller holds the lock.
func (s *Store) remove(key string) {
	if _, ok := s.entries[key]; ok {
		delete(s.entries, key)
		s.deleted[key] = s.revision
	}
}

// Leases returns the number of active leases.
func (s *Store) Leases() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.leases)
}
