package lavrelease

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"fmt"
	"slices"

	"lavenderrack.example/lavenderrack/lavstep"
	"lavenderrack.example/lavenderrack/lavstore"

	"github.com/cockroachdb/errors"
)

// garbageRetention is the number of versions for which a chunk is kept after the
// head stops referencing it, because hosts may still be reading it.
// maxGarbageDeletes is the maximum number of garbage chunks that one publication
// deletes.
const (
	garbageRetention  = 8
	maxGarbageDeletes = 2 * maxStateBytes / chunkBytes
)

// Publish makes the note the next release and returns the version that the note
// created. Publishing the same note again returns the same version, even long
// after the first time. VerdictOf classifies the error; a *ConflictError or a
// *RefusedError gives details.
//
// The head records the last 256 notes. A note that is published again after more
// than 256 others results in a conflict and never in a second release, because
// by then its base is far behind the head.
func Publish(ctx context.Context, s lavstore.Store, n *Note) (Version, error) {
	if err := lavstep.Failpoint(ctx, lavstep.ReleaseReadBack, headKey); err != nil {
		return 0, err
	}
	h, revision, err := readHead(ctx, s)
	if err != nil {
		return 0, err
	}
	if version, ok := h.versionOf(n.ID); ok {
		return version, checkSameNote(ctx, s, version, n)
	}
	if h.Version != n.Base {
		return 0, newConflictError(ctx, s, h, n)
	}
	base, err := loadState(ctx, s, h)
	if err != nil {
		return 0, err
	}
	if found := Check(base, n); len(found) > 0 {
		return 0, &RefusedError{Problems: found}
	}
	next, err := Apply(base, n)
	if err != nil {
		return 0, err
	}
	if err := writeNote(ctx, s, next.Version, n); err != nil {
		return 0, noEffectError(err)
	}
	err = commit(ctx, s, next, h, revision)
	if errors.Is(err, lavstore.ErrConflict) {
		return 0, lostRaceError(ctx, s, n)
	}
	if err != nil {
		return 0, err
	}
	return next.Version, nil
}

// checkSameNote refuses n if the published note with the same ID has other
// content.
func checkSameNote(ctx context.Context, s lavstore.Store, version Version, n *Note) error {
	published, err := readNote(ctx, s, version, n.ID)
	if errors.Is(err, lavstore.ErrNotFound) {
		return nil
	}
	if err != nil {
		return err
	}
	stored, err := json.Marshal(published)
	if err != nil {
		return lavstep.Wrap(err, lavstep.ReleaseReadBack, n.ID)
	}
	submitted, err := json.Marshal(n)
	if err != nil {
		return lavstep.Wrap(err, lavstep.ReleaseReadBack, n.ID)
	}
	if string(stored) == string(submitted) {
		return nil
	}
	message := fmt.Sprintf("another note with the ID %q created version %d; a new note needs a new ID", n.ID, version)
	return &RefusedError{Problems: []Problem{{Path: "ID", Message: message}}}
}

// lostRaceError returns the error for a note whose compare-and-swap of the head
// failed because another write came first.
func lostRaceError(ctx context.Context, s lavstore.Store, n *Note) error {
	h, _, err := readHead(ctx, s)
	if err != nil {
		return &ConflictError{Base: n.Base, Head: n.Base + 1, Partial: true}
	}
	return newConflictError(ctx, s, h, n)
}

// noEffectError converts an error that occurred before the write of the head to
// ErrUnavailable: the note had no effect, even if the reply to an earlier write
// was lost.
func noEffectError(err error) error {
	return errors.Wrapf(lavstore.ErrUnavailable, "%v", err)
}

// commit writes the chunks of next and then replaces the head, which must still
// be at the given revision.
func commit(ctx context.Context, s lavstore.Store, next *State, old *head, revision lavstore.Revision) error {
	text, err := json.Marshal(next)
	if err != nil {
		return lavstep.Wrap(err, lavstep.ReleaseChunk, "")
	}
	chunks, err := writeChunks(ctx, s, next.Version, text)
	if err != nil {
		return noEffectError(err)
	}
	h := &head{Version: next.Version, NoteID: next.NoteID, Recent: next.Recent, Digest: digestOf(text), Chunks: chunks}
	due := h.inheritGarbage(old)
	if err := swapHead(ctx, s, h, revision); err != nil {
		if errors.Is(err, lavstore.ErrConflict) {
			deleteChunks(ctx, s, chunks)
		}
		return err
	}
	collectGarbage(ctx, s, due, old)
	return nil
}

func swapHead(ctx context.Context, s lavstore.Store, h *head, revision lavstore.Revision) error {
	value, err := json.Marshal(h)
	if err != nil {
		return lavstep.Wrap(err, lavstep.ReleaseCommit, headKey)
	}
	if err := lavstep.Failpoint(ctx, lavstep.ReleaseCommit, headKey); err != nil {
		return err
	}
	same := func(e lavstore.Entry) bool {
		found, err := parseHead(e.Value)
		if err != nil {
			return false
		}
		version, ok := found.versionOf(h.NoteID)
		return ok && version == h.Version
	}
	_, err = lavstore.PutVerified(ctx, s, headKey, revision, value, "", same)
	return lavstep.Wrap(err, lavstep.ReleaseCommit, headKey)
}

// inheritGarbage records the garbage and the chunks of the old head as garbage
// of h, and returns the keys of the chunks that are due for deletion.
func (h *head) inheritGarbage(old *head) []string {
	var due []string
	for _, g := range old.Garbage {
		if g.Since+garbageRetention <= h.Version && len(due) < maxGarbageDeletes {
			due = append(due, g.Key)
			continue
		}
		h.Garbage = append(h.Garbage, g)
	}
	for _, c := range old.Chunks {
		h.Garbage = append(h.Garbage, garbageChunk{Key: c.Key, Since: h.Version})
	}
	return due
}

// writeChunks writes the text in chunks, under keys that are unique to this
// attempt.
func writeChunks(ctx context.Context, s lavstore.Store, version Version, text []byte) ([]chunkRef, error) {
	attempt := rand.Text()
	var chunks []chunkRef
	for value := range slices.Chunk(text, chunkBytes) {
		c := chunkRef{Key: fmt.Sprintf("%d.%s.%d", version, attempt, len(chunks)), Hash: digestOf(value)}
		if err := lavstep.Failpoint(ctx, lavstep.ReleaseChunk, c.Key); err != nil {
			return nil, err
		}
		same := func(e lavstore.Entry) bool { return digestOf(e.Value) == c.Hash }
		if _, err := lavstore.PutVerified(ctx, s, chunkPrefix+c.Key, 0, value, "", same); err != nil {
			deleteChunks(ctx, s, chunks)
			return nil, lavstep.Wrap(err, lavstep.ReleaseChunk, c.Key)
		}
		chunks = append(chunks, c)
	}
	return chunks, nil
}

// collectGarbage deletes the chunks that are due and the note that drops out of
// the history of the new head. Sweep deletes whatever remains after a failure.
func collectGarbage(ctx context.Context, s lavstore.Store, due []string, old *head) {
	for _, key := range due {
		deleteKey(ctx, s, chunkPrefix+key)
	}
	if len(old.Recent) == historyLength {
		last := old.Recent[historyLength-1]
		deleteKey(ctx, s, noteKey(last.Version, last.ID))
	}
}

func deleteChunks(ctx context.Context, s lavstore.Store, chunks []chunkRef) {
	for _, c := range chunks {
		deleteKey(ctx, s, chunkPrefix+c.Key)
	}
}

// deleteKey tries to delete a key. If it fails, Sweep deletes the key later.
func deleteKey(ctx context.Context, s lavstore.Store, key string) {
	if e, err := s.Get(ctx, key); err == nil {
		_ = s.Delete(ctx, key, e.Revision)
	}
}
