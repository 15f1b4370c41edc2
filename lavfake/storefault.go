package lavfake

import (
	"context"
	"maps"
	"time"

	"lavenderrack.example/lavenderrack/lavpause"
	"lavenderrack.example/lavenderrack/lavstore"

	"golang.org/x/time/rate"
)

// StoreFaults are the injected faults of a Store. The zero value injects none.
type StoreFaults struct {
	// Down makes every call fail with ErrUnavailable.
	Down bool
	// LoseReplies makes each write return ErrOutcomeUnknown after it took
	// effect.
	LoseReplies bool
	// Delay is added to every call.
	Delay time.Duration
	// LateWriteDelay, if positive, makes each compare-and-swap return
	// ErrOutcomeUnknown at once and executes it after this delay.
	LateWriteDelay time.Duration
}

// StoreCounts counts the calls to a store. Refused counts the calls that
// exceeded a rate limit.
type StoreCounts struct {
	Reads   int
	Writes  int
	Refused int
}

// SetFaults replaces the store's injected faults and wakes up waiting watches,
// so that they apply the new faults.
func (s *Store) SetFaults(f StoreFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.notifyWatchers()
}

// Calls returns the numbers of reads and writes that reached the store.
func (s *Store) Calls() (reads, writes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts.Reads, s.counts.Writes
}

// Counts returns a copy of the store's counters.
func (s *Store) Counts() StoreCounts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// SetRateLimits limits reads and writes to the given numbers per second, with a
// burst of one second's calls. A watch counts as a read.
func (s *Store) SetRateLimits(reads, writes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.readRate = rate.NewLimiter(rate.Limit(reads), reads)
	s.writeRate = rate.NewLimiter(rate.Limit(writes), writes)
}

// startCall counts a call and applies the faults that take effect before it is
// executed.
func (s *Store) startCall(ctx context.Context, write bool) error {
	faults, err := s.countCall(write)
	if err != nil {
		return err
	}
	if faults.Delay > 0 {
		if err := lavpause.For(ctx, faults.Delay); err != nil {
			return err
		}
	}
	if faults.Down {
		return lavstore.ErrUnavailable
	}
	return nil
}

// countCall counts a call and returns an error if the call exceeds its rate
// limit.
func (s *Store) countCall(write bool) (StoreFaults, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	limit := s.readRate
	if write {
		s.counts.Writes++
		limit = s.writeRate
	} else {
		s.counts.Reads++
	}
	if limit != nil && !limit.Allow() {
		s.counts.Refused++
		return s.faults, lavstore.ErrUnavailable
	}
	return s.faults, nil
}

// writeOutcome returns the error of a write that has taken effect, which is
// ErrOutcomeUnknown while replies are lost. The caller holds the lock.
func (s *Store) writeOutcome() error {
	if s.faults.LoseReplies {
		return lavstore.ErrOutcomeUnknown
	}
	return nil
}

// StoreSnapshot is a copy of a store's revision and entries.
type StoreSnapshot struct {
	revision lavstore.Revision
	entries  map[string]lavstore.Entry
}

// Snapshot returns a snapshot of the store, as a backup would hold it.
func (s *Store) Snapshot() StoreSnapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	return StoreSnapshot{revision: s.revision, entries: maps.Clone(s.entries)}
}

// Restore resets the store to a snapshot, so that callers may have seen newer
// revisions than the store's own. It removes all leases and the entries that
// are attached to leases.
func (s *Store) Restore(snapshot StoreSnapshot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, l := range s.leases {
		l.timer.Stop()
	}
	clear(s.leases)
	clear(s.deleted)
	s.revision = snapshot.revision
	s.entries = maps.Clone(snapshot.entries)
	for key, e := range s.entries {
		if e.Lease != "" {
			delete(s.entries, key)
		}
	}
	s.notifyWatchers()
}
