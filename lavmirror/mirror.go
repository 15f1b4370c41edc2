package lavmirror

import (
	"slices"
	"strings"
	"sync"
	"time"

	"lavenderrack.example/lavenderrack/lavstore"
)

// Entry is a key's value at a revision, or its removal.
type Entry struct {
	Key      string            `cbor:"1,keyasint"`
	Value    []byte            `cbor:"2,keyasint,omitempty"`
	Revision lavstore.Revision `cbor:"3,keyasint"`
	Removed  bool              `cbor:"4,keyasint,omitempty"`
}

// tombstoneTime is how long a removal is remembered. It is far longer than any
// message between hosts is under way.
const tombstoneTime = 5 * time.Minute

// record is an entry with the time at which a removal was heard.
type record struct {
	Entry
	removedAt time.Time
}

// Mirror is a host's copy. It is safe for concurrent use.
type Mirror struct {
	mu      sync.Mutex
	records map[string]record
	highest lavstore.Revision
}

// New returns an empty copy.
func New() *Mirror { return &Mirror{records: make(map[string]record)} }

// Apply merges entries and returns those that were news, in their order.
func (m *Mirror) Apply(entries []Entry) []Entry {
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	var news []Entry
	for _, e := range entries {
		if m.records[e.Key].Revision >= e.Revision {
			continue
		}
		m.put(e, now)
		news = append(news, e)
	}
	return news
}

func (m *Mirror) put(e Entry, now time.Time) {
	r := record{Entry: e}
	if e.Removed {
		r.Value = nil
		r.removedAt = now
	}
	m.records[e.Key] = r
	m.highest = max(m.highest, e.Revision)
}

// ApplySnapshot merges a complete listing that was made at a revision. Entries that
// the listing lacks and that are not younger than it count as removed at that
// revision. It returns what was news.
func (m *Mirror) ApplySnapshot(entries []Entry, at lavstore.Revision) []Entry {
	listed := make(map[string]bool, len(entries))
	for _, e := range entries {
		listed[e.Key] = true
	}
	m.mu.Lock()
	var gone []Entry
	for key, r := range m.records {
		if !listed[key] && !r.Removed && r.Revision <= at {
			gone = append(gone, Entry{Key: key, Revision: at, Removed: true})
		}
	}
	m.mu.Unlock()
	slices.SortFunc(gone, func(a, b Entry) int { return strings.Compare(a.Key, b.Key) })
	return m.Apply(slices.Concat(entries, gone))
}

// Get returns the entry of a key, if it has one.
func (m *Mirror) Get(key string) (Entry, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	r, ok := m.records[key]
	return r.Entry, ok && !r.Removed
}

// HighestRevision returns the highest revision that the copy has seen.
func (m *Mirror) HighestRevision() lavstore.Revision {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.highest
}

// EntriesAfter returns the entries and removals younger than a revision, oldest first,
// and forgets removals that are too old to matter.
func (m *Mirror) EntriesAfter(revision lavstore.Revision) []Entry {
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	var young []Entry
	for key, r := range m.records {
		if r.Removed && now.Sub(r.removedAt) > tombstoneTime {
			delete(m.records, key)
			continue
		}
		if r.Revision > revision {
			young = append(young, r.Entry)
		}
	}
	slices.SortFunc(young, func(a, b Entry) int {
		if a.Revision != b.Revision {
			return int(a.Revision) - int(b.Revision)
		}
		return strings.Compare(a.Key, b.Key)
	})
	return young
}
