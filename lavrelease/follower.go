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

// watchSpacing is the least time between two watches, so that a burst of
// releases costs each host one read a second; the mesh is faster.
const watchSpacing = time.Second

// heldNotes is how many notes a host keeps for peers that lag behind, and
// heldNoteBytes bounds each.
const (
	heldNotes     = 64
	heldNoteBytes = 16 << 10
)

// Follower keeps the newest state that its host knows of.
type Follower struct {
	store   lavstore.Store
	current atomic.Pointer[State]

	mu      sync.Mutex
	changed chan struct{}
	// text is the state in force as the store holds it, and digest its hash.
	text   []byte
	digest string
	// notes are the newest notes by which this host went from one version to
	// the next, oldest first.
	notes []heldNote
	// refused counts states that were newer but didn't follow the one in
	// force.
	refused int
}

// heldNote is a note, as text, that made a version.
type heldNote struct {
	version Version
	text    []byte
}

// NewFollower returns a follower of the head in that store. It has the empty
// state until it has heard of another.
func NewFollower(store lavstore.Store) *Follower {
	f := &Follower{store: store, changed: make(chan struct{})}
	f.current.Store(&State{})
	return f
}

// State returns the state in force on this host.
func (f *Follower) State() *State { return f.current.Load() }

// Changed returns a channel that is closed at the next change.
func (f *Follower) Changed() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changed
}

// Refused returns how many newer states were not put in force because they
// lacked a release that is.
func (f *Follower) Refused() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.refused
}

// Adopt puts a state in force if it is newer than the one that is and follows
// it, and reports whether it did. No state ever gives way to an older one.
func (f *Follower) Adopt(ctx context.Context, s *State) bool {
	text, err := json.Marshal(s)
	return err == nil && f.adopt(ctx, s, text, digestOf(text), nil)
}

// adopt is Adopt for a state whose text is known. The notes lead to it from
// the state in force, or are nil.
func (f *Follower) adopt(ctx context.Context, s *State, text []byte, digest string, notes []heldNote) bool {
	if lavstep.Reach(ctx, lavstep.ReleaseAdopt, "") != nil {
		return false
	}
	next := indexed(s)
	f.mu.Lock()
	defer f.mu.Unlock()
	if !next.supersedes(f.State()) {
		if next.Version > f.State().Version {
			f.refused++
		}
		return false
	}
	f.current.Store(next)
	f.text, f.digest = text, digest
	f.notes = append(f.notes, notes...)
	if notes == nil {
		f.notes = nil
	}
	f.notes = f.notes[max(0, len(f.notes)-heldNotes):]
	close(f.changed)
	f.changed = make(chan struct{})
	return true
}

// Serve follows the head until the context ends.
func (f *Follower) Serve(ctx context.Context) error {
	spacing := func() time.Duration { return watchSpacing }
	return lavstore.Follow(ctx, f.store, headKey, spacing, f.turn)
}

// turn takes over what the head has become.
func (f *Follower) turn(ctx context.Context, entries []lavstore.Entry) error {
	h := &head{}
	if len(entries) > 0 {
		var err error
		if h, err = parseHead(entries[0].Value); err != nil {
			return err
		}
	}
	return f.take(ctx, h)
}

// take brings this host up to the head, or the head up to this host.
func (f *Follower) take(ctx context.Context, h *head) error {
	held := f.State()
	switch {
	case h.Version == held.Version && h.NoteID == held.NoteID:
		return nil
	case needsRestore(h, held):
		return f.restore(ctx)
	}
	if err := lavstep.Reach(ctx, lavstep.ReleaseFollow, headKey); err != nil {
		return err
	}
	if f.advance(ctx, h, held) {
		return nil
	}
	state, err := assemble(ctx, f.store, h)
	if err != nil {
		return err
	}
	f.Adopt(ctx, state)
	return nil
}

// advance applies the notes between the held state and the head. It is much
// cheaper than to read the whole state, but the notes may be gone.
func (f *Follower) advance(ctx context.Context, h *head, held *State) bool {
	if held.Version == 0 || h.Version-held.Version > heldNotes {
		return false
	}
	notes, err := readNotes(ctx, f.store, h, held.Version)
	if err != nil {
		return false
	}
	return f.replay(ctx, held, notes, h.Digest) == nil
}

// errDigest means that notes led to another state than they should have.
var errDigest = errors.New("notes lead to another state")

// replay applies notes to the held state and adopts the result if it has the
// right digest.
func (f *Follower) replay(ctx context.Context, held *State, notes []Note, digest string) error {
	state, err := replay(held, notes)
	if err != nil {
		return err
	}
	text, err := json.Marshal(state)
	if err != nil {
		return err
	}
	if digestOf(text) != digest {
		return errDigest
	}
	kept := make([]heldNote, 0, len(notes))
	for i := range notes {
		noteText, err := json.Marshal(&notes[i])
		if err != nil {
			return err
		}
		kept = append(kept, heldNote{version: held.Version + 1 + Version(i), text: noteText})
	}
	f.adopt(ctx, state, text, digest, kept)
	return nil
}
