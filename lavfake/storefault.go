package lavfake

import (
	"context"
	"maps"
	"time"

	"lavenderrack.example/lavenderrack/lavpause"
	"lavenderrack.example/lavenderrack/lavstore"

	"golang.org/x/time/rate"
)

// StoreFaults are what may be wrong with a Store. The zero value is nothing.
type StoreFaults struct {
	// Down refuses every call.
	Down bool
	// LoseReplies loses the reply of each write after it took effect.
	LoseReplies bool
	// Delay slows every call.
	Delay time.Duration
	// LateWriteDelay answers each compare-and-swap as unknown at once and lets it
	// arrive so much later.
	LateWriteDelay time.Duration
}

// StoreCounts is what reached a store. Refused calls were over its rates.
type StoreCounts struct {
	Reads   int
	Writes  int
	Refused int
}

// SetFaults replaces what is wrong with the store. Waiting watches end.
func (s *Store) SetFaults(f StoreFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.wake()
}

// Calls returns how many reads and writes reached the store.
func (s *Store) Calls() (reads, writes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts.Reads, s.counts.Writes
}

// Counts returns what reached the store.
func (s *Store) Counts() StoreCounts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// SetRateLimits limits the reads and the writes a second, with bursts of a second.
// A watch counts as a read.
func (s *Store) SetRateLimits(reads, writes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.readRate = rate.NewLimiter(rate.Limit(reads), reads)
	s.writeRate = rate.NewLimiter(rate.Limit(writes), writes)
}

// begin counts a call and applies the faults that come before it.
func (s *Store) begin(ctx context.Context, write bool) error {
	faults, err := s.admit(write)
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

// admit counts a call and refuses it if it is over the rate.
func (s *Store) admit(write bool) (StoreFaults, error) {
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

// reply applies the faults that come after a write. The caller holds the lock.
func (s *Store) reply() error {
	if s.faults.LoseReplies {
		return lavstore.ErrOutcomeUnknown
	}
	return nil
}

// StoreCopy is a store's entries at one time.
type StoreCopy struct {
	revision lavstore.Revision
	entries  map[string]lavstore.Entry
}

// Copy returns what a backup made now would hold.
func (s *Store) Copy() StoreCopy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return StoreCopy{revision: s.revision, entries: maps.Clone(s.entries)}
}

// Restore brings the store back as it was, older than its callers remember.
// Leases made since then are gone, and so are the entries of all leases.
func (s *Store) Restore(c StoreCopy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, l := range s.leases {
		l.timer.Stop()
	}
	clear(s.leases)
	clear(s.deleted)
	s.revision = c.revision
	s.entries = maps.Clone(c.entries)
	for key, e := range s.entries {
		if e.Lease != "" {
			delete(s.entries, key)
		}
	}
	s.wake()
}
