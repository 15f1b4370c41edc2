package lavmirror

import (
	"slices"
	"strings"
	"sync"
	"time"

	"lavenderrack.example/lavenderrack/lavstore"
)

// Entry is the value of a key at a revision, or a tombstone if the key was
// deleted.
type Entry struct {
	Key      string            `cbor:"1,keyasint"`
	Value    []byte            `cbor:"2,keyasint,omitempty"`
	Revision lavstore.Revision `cbor:"3,keyasint"`
	Removed  bool              `cbor:"4,keyasint,omitempty"`
}

// tombstoneTTL is how long a tombstone is kept. It is far longer than any
// message between hosts can be delayed, so that a delayed entry cannot restore
// a deleted key.
const tombstoneTTL = 5 * time.Minute

// record is an entry and, for a tombstone, the time at which it was received.
type record struct {
	Entry
	removedAt time.Time
}

// Mirror is a replica of the store's entries. It is safe for concurrent use.
type Mirror struct {
	mu              sync.Mutex
	records         map[string]record
	highestRevision lavstore.Revision
}

// New returns an empty mirror.
func New() *Mirror { return &Mirror{records: make(map[string]record)} }

// Apply merges entries and returns those that changed the mirror, in the given
// order.
func (m *Mirror) Apply(entries []Entry) []Entry {
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	var applied []Entry
	for _, e := range entries {
		if m.records[e.Key].Revision >= e.Revision {
			continue
		}
		m.put(e, now)
		applied = append(applied, e)
	}
	return applied
}

func (m *Mirror) put(e Entry, now time.Time) {
	r := record{Entry: e}
	if e.Removed {
		r.Value = nil
		r.removedAt = now
	}
	m.records[e.Key] = r
	m.highestRevision = max(m.highestRevision, e.Revision)
}

// ApplySnapshot merges a complete snapshot of the store at a revision. Entries
// of the mirror that are missing from the snapshot and not newer than it are
// marked as deleted at that revision. It returns the entries that changed the
// mirror.
func (m *Mirror) ApplySnapshot(entries []Entry, revision lavstore.Revision) []Entry {
	listed := make(map[string]bool, len(entries))
	for _, e := range entries {
		listed[e.Key] = true
	}
	m.mu.Lock()
	var removals []Entry
	for key, r := range m.records {
		if !listed[key] && !r.Removed && r.Revision <= revision {
			removals = append(removals, Entry{Key: key, Revision: revision, Removed: true})
		}
	}
	m.mu.Unlock()
	slices.SortFunc(removals, func(a, b Entry) int { return strings.Compare(a.Key, b.Key) })
	return m.Apply(slices.Concat(entries, removals))
}

// Get returns the entry of a key. It reports false if the key does not exist or
// was deleted.
func (m *Mirror) Get(key string) (Entry, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	r, ok := m.records[key]
	return r.Entry, ok && !r.Removed
}

// HighestRevision returns the highest revision of any entry received.
func (m *Mirror) HighestRevision() lavstore.Revision {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.highestRevision
}

// EntriesAfter returns the entries and tombstones that are newer than a
// revision, in the order of their revisions. It also deletes expired
// tombstones.
func (m *Mirror) EntriesAfter(revision lavstore.Revision) []Entry {
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	var newer []Entry
	for key, r := range m.records {
		if r.Removed && now.Sub(r.removedAt) > tombstoneTTL {
			delete(m.records, key)
			continue
		}
		if r.Revision > revision {
			newer = append(newer, r.Entry)
		}
	}
	slices.SortFunc(newer, func(a, b Entry) int {
		if a.Revision != b.Revision {
			return int(a.Revision) - int(b.Revision)
		}
		return strings.Compare(a.Key, b.Key)
	})
	return newer
}
