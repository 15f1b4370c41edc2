package lavrelease

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

// minWatchInterval is the minimum time between the starts of two watches. It
// limits the store reads of a host during a burst of releases to one per second.
// Gossip spreads releases faster than that.
const minWatchInterval = time.Second

// maxCachedNotes is the maximum number of notes that a host caches for peers
// that lag behind, and that it applies at once to catch up.
// maxAnnouncedNoteBytes is the maximum size of a note that an announcement
// contains.
const (
	maxCachedNotes        = 64
	maxAnnouncedNoteBytes = 16 << 10
)

// Follower holds the newest state that its host has adopted and keeps it up to
// date.
type Follower struct {
	store   lavstore.Store
	current atomic.Pointer[State]

	mu      sync.Mutex
	changed chan struct{}
	// text is the JSON encoding of the state in force, and digest is its hash.
	text   []byte
	digest string
	// notes are the newest notes that this host applied, oldest first. It is
	// emptied when a state is adopted as a whole.
	notes []cachedNote
	// rejected counts the newer states that were not adopted because they do not
	// descend from the state in force.
	rejected int
}

// cachedNote is an encoded note and the version that it created.
type cachedNote struct {
	version Version
	text    []byte
}

// NewFollower returns a follower of the head in the given store. It holds the
// empty state until it adopts another.
func NewFollower(store lavstore.Store) *Follower {
	f := &Follower{store: store, changed: make(chan struct{})}
	f.current.Store(&State{})
	return f
}

// State returns the state in force on this host.
func (f *Follower) State() *State { return f.current.Load() }

// Changed returns a channel that is closed when the next state is adopted.
func (f *Follower) Changed() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changed
}

// RejectedStates returns the number of newer states that were not adopted
// because they do not descend from the state in force.
func (f *Follower) RejectedStates() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.rejected
}

// Adopt puts a state in force if it is newer than the current one and descends
// from it, and reports whether it did. The state in force is never replaced by
// an older one.
func (f *Follower) Adopt(ctx context.Context, s *State) bool {
	text, err := json.Marshal(s)
	return err == nil && f.adopt(ctx, s, text, digestOf(text), nil)
}

// adopt implements Adopt for a state whose encoding is known. The notes lead
// from the state in force to s; they are nil if they are not known.
func (f *Follower) adopt(ctx context.Context, s *State, text []byte, digest string, notes []cachedNote) bool {
	if lavstep.Failpoint(ctx, lavstep.ReleaseAdopt, "") != nil {
		return false
	}
	next := withIndex(s)
	f.mu.Lock()
	defer f.mu.Unlock()
	if !next.supersedes(f.State()) {
		if next.Version > f.State().Version {
			f.rejected++
		}
		return false
	}
	f.current.Store(next)
	f.text, f.digest = text, digest
	f.notes = append(f.notes, notes...)
	if notes == nil {
		f.notes = nil
	}
	f.notes = f.notes[max(0, len(f.notes)-maxCachedNotes):]
	close(f.changed)
	f.changed = make(chan struct{})
	return true
}

// Serve follows the head until the context is canceled.
func (f *Follower) Serve(ctx context.Context) error {
	spacing := func() time.Duration { return minWatchInterval }
	return lavstore.Follow(ctx, f.store, headKey, spacing, f.handleHead)
}

// handleHead processes the entries that a watch of the head returned.
func (f *Follower) handleHead(ctx context.Context, entries []lavstore.Entry) error {
	h := &head{}
	if len(entries) > 0 {
		var err error
		if h, err = parseHead(entries[0].Value); err != nil {
			return err
		}
	}
	return f.syncWithHead(ctx, h)
}

// syncWithHead updates this host to the head of the store. If the head lacks the
// release that this host holds, it restores the head instead.
func (f *Follower) syncWithHead(ctx context.Context, h *head) error {
	local := f.State()
	switch {
	case h.Version == local.Version && h.NoteID == local.NoteID:
		return nil
	case needsRestore(h, local):
		return f.restore(ctx)
	}
	if err := lavstep.Failpoint(ctx, lavstep.ReleaseFollow, headKey); err != nil {
		return err
	}
	if f.catchUp(ctx, h, local) {
		return nil
	}
	state, err := loadState(ctx, f.store, h)
	if err != nil {
		return err
	}
	f.Adopt(ctx, state)
	return nil
}

// catchUp applies the notes between the local state and the head, and reports
// whether it succeeded. It is much cheaper than reading the whole state, but the
// notes may have been deleted.
func (f *Follower) catchUp(ctx context.Context, h *head, local *State) bool {
	if local.Version == 0 || h.Version-local.Version > maxCachedNotes {
		return false
	}
	notes, err := readNotes(ctx, f.store, h, local.Version)
	if err != nil {
		return false
	}
	return f.replay(ctx, local, notes, h.Digest) == nil
}

// errDigestMismatch means that applying notes gave a state with an unexpected
// digest.
var errDigestMismatch = errors.New("notes lead to a state with another digest")

// replay applies notes to the local state and adopts the result if it has the
// given digest.
func (f *Follower) replay(ctx context.Context, local *State, notes []Note, digest string) error {
	state, err := applyAll(local, notes)
	if err != nil {
		return err
	}
	text, err := json.Marshal(state)
	if err != nil {
		return err
	}
	if digestOf(text) != digest {
		return errDigestMismatch
	}
	cached := make([]cachedNote, 0, len(notes))
	for i := range notes {
		noteText, err := json.Marshal(&notes[i])
		if err != nil {
			return err
		}
		cached = append(cached, cachedNote{version: local.Version + 1 + Version(i), text: noteText})
	}
	f.adopt(ctx, state, text, digest, cached)
	return nil
}
