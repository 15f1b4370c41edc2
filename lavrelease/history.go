package lavrelease

import (
	"context"
	"encoding/json"
	"fmt"

	"lavenderrack.example/lavenderrack/lavstep"
	"lavenderrack.example/lavenderrack/lavstore"

	"github.com/cockroachdb/errors"
)

// noteKey returns the key of the note that created a version. The key includes a
// hash of the note's ID, so that two notes that compete for one version do not
// overwrite each other.
func noteKey(version Version, id string) string {
	return fmt.Sprintf("%s%d.%.16s", notePrefix, version, digestOf([]byte(id)))
}

// writeNote stores a note. Hosts read it to move to the next version, and
// Publish reads it to describe later conflicts.
func writeNote(ctx context.Context, s lavstore.Store, version Version, n *Note) error {
	value, err := json.Marshal(n)
	if err != nil {
		return lavstep.Wrap(err, lavstep.ReleaseNote, n.ID)
	}
	key := noteKey(version, n.ID)
	if err := lavstep.Failpoint(ctx, lavstep.ReleaseNote, key); err != nil {
		return err
	}
	same := func(e lavstore.Entry) bool { return string(e.Value) == string(value) }
	_, err = lavstore.PutVerified(ctx, s, key, 0, value, "", same)
	if errors.Is(err, lavstore.ErrConflict) {
		return overwriteNote(ctx, s, key, value)
	}
	return lavstep.Wrap(err, lavstep.ReleaseNote, key)
}

// overwriteNote replaces the note that an earlier attempt with the same ID may
// have left in the store.
func overwriteNote(ctx context.Context, s lavstore.Store, key string, value []byte) error {
	e, err := s.Get(ctx, key)
	if err == nil && string(e.Value) != string(value) {
		_, err = s.CompareAndSwap(ctx, key, e.Revision, value, "")
	}
	return lavstep.Wrap(err, lavstep.ReleaseNote, key)
}

// readNote returns the note that created a version.
func readNote(ctx context.Context, s lavstore.Store, version Version, id string) (*Note, error) {
	key := noteKey(version, id)
	e, err := s.Get(ctx, key)
	if err != nil {
		return nil, lavstep.Wrap(err, lavstep.ReleaseNote, key)
	}
	n := &Note{}
	err = json.Unmarshal(e.Value, n)
	return n, lavstep.Wrap(err, lavstep.ReleaseNote, key)
}

// readNotes returns the notes that created the versions after from, up to and
// including the head's, oldest first. It fails if any of these notes is no
// longer stored.
func readNotes(ctx context.Context, s lavstore.Store, h *head, from Version) ([]Note, error) {
	var notes []Note
	for v := from + 1; v <= h.Version; v++ {
		id := h.noteIDAt(v)
		if id == "" {
			return nil, lavstep.Errorf(lavstep.ReleaseNote, headKey, "version %d is not in the history of the head", v)
		}
		n, err := readNote(ctx, s, v, id)
		if err != nil {
			return nil, err
		}
		notes = append(notes, *n)
	}
	return notes, nil
}

// applyAll applies notes to s in order.
func applyAll(s *State, notes []Note) (*State, error) {
	var err error
	for i := range notes {
		if s, err = Apply(s, &notes[i]); err != nil {
			return nil, err
		}
	}
	return s, nil
}
