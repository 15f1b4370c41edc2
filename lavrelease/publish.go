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

// garbageAge is the number of versions that a chunk outlives its head, for
// hosts that are still reading it. garbageBatch bounds the deletions of one
// publication.
const (
	garbageAge   = 8
	garbageBatch = 2 * maxStateBytes / chunkBytes
)

// Publish makes the note the next release. It returns the version that the
// note made, also if it did so long ago: publishing twice is the same as once.
// VerdictOf tells what an error means; a *ConflictError and a *RefusedError
// say more.
//
// A head remembers the last 256 notes. A note published again after more than
// that many others is a conflict, never a second release: its base is far
// behind the head by then.
func Publish(ctx context.Context, s lavstore.Store, n *Note) (Version, error) {
	if err := lavstep.Reach(ctx, lavstep.ReleaseReadBack, headKey); err != nil {
		return 0, err
	}
	h, revision, err := readHead(ctx, s)
	if err != nil {
		return 0, err
	}
	if version, ok := h.versionOf(n.ID); ok {
		return version, sameNote(ctx, s, version, n)
	}
	if h.Version != n.Base {
		return 0, conflict(ctx, s, h, n)
	}
	base, err := assemble(ctx, s, h)
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
		return 0, notYet(err)
	}
	err = commit(ctx, s, next, h, revision)
	if errors.Is(err, lavstore.ErrConflict) {
		return 0, raced(ctx, s, n)
	}
	if err != nil {
		return 0, err
	}
	return next.Version, nil
}

// sameNote refuses an ID that another note has had.
func sameNote(ctx context.Context, s lavstore.Store, version Version, n *Note) error {
	kept, err := readNote(ctx, s, version, n.ID)
	if errors.Is(err, lavstore.ErrNotFound) {
		return nil
	}
	if err != nil {
		return err
	}
	old, err := json.Marshal(kept)
	if err != nil {
		return lavstep.Wrap(err, lavstep.ReleaseReadBack, n.ID)
	}
	fresh, err := json.Marshal(n)
	if err != nil {
		return lavstep.Wrap(err, lavstep.ReleaseReadBack, n.ID)
	}
	if string(old) == string(fresh) {
		return nil
	}
	message := fmt.Sprintf("another note with the ID %q made version %d; a new note needs a new ID", n.ID, version)
	return &RefusedError{Problems: []Problem{{Path: "ID", Message: message}}}
}

// raced tells how a note ended whose swap of the head failed.
func raced(ctx context.Context, s lavstore.Store, n *Note) error {
	h, _, err := readHead(ctx, s)
	if err != nil {
		return &ConflictError{Base: n.Base, Head: n.Base + 1, Partial: true}
	}
	return conflict(ctx, s, h, n)
}

// notYet says of a failure before the head was touched that the note had no
// effect, even if the reply of another write was lost.
func notYet(err error) error {
	return errors.Wrapf(lavstore.ErrUnavailable, "%v", err)
}

// commit writes the chunks of next, then swaps the head, which is at revision.
func commit(ctx context.Context, s lavstore.Store, next *State, old *head, revision lavstore.Revision) error {
	text, err := json.Marshal(next)
	if err != nil {
		return lavstep.Wrap(err, lavstep.ReleaseChunk, "")
	}
	chunks, err := writeChunks(ctx, s, next.Version, text)
	if err != nil {
		return notYet(err)
	}
	h := &head{Version: next.Version, NoteID: next.NoteID, Recent: next.Recent, Digest: digestOf(text), Chunks: chunks}
	due := h.inherit(old)
	if err := swapHead(ctx, s, h, revision); err != nil {
		if errors.Is(err, lavstore.ErrConflict) {
			deleteChunks(ctx, s, chunks)
		}
		return err
	}
	collect(ctx, s, due, old)
	return nil
}

func swapHead(ctx context.Context, s lavstore.Store, h *head, revision lavstore.Revision) error {
	value, err := json.Marshal(h)
	if err != nil {
		return lavstep.Wrap(err, lavstep.ReleaseCommit, headKey)
	}
	if err := lavstep.Reach(ctx, lavstep.ReleaseCommit, headKey); err != nil {
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

// inherit takes over the old head's garbage and returns what is due.
func (h *head) inherit(old *head) []string {
	var due []string
	for _, g := range old.Garbage {
		if g.Since+garbageAge <= h.Version && len(due) < garbageBatch {
			due = append(due, g.Key)
			continue
		}
		h.Garbage = append(h.Garbage, g)
	}
	for _, c := range old.Chunks {
		h.Garbage = append(h.Garbage, garbage{Key: c.Key, Since: h.Version})
	}
	return due
}

// writeChunks writes the text under keys of its own.
func writeChunks(ctx context.Context, s lavstore.Store, version Version, text []byte) ([]chunkRef, error) {
	attempt := rand.Text()
	var chunks []chunkRef
	for value := range slices.Chunk(text, chunkBytes) {
		c := chunkRef{Key: fmt.Sprintf("%d.%s.%d", version, attempt, len(chunks)), Hash: digestOf(value)}
		if err := lavstep.Reach(ctx, lavstep.ReleaseChunk, c.Key); err != nil {
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

// collect deletes chunks that are due and the note that the new head no longer
// remembers. What it misses, Sweep finds.
func collect(ctx context.Context, s lavstore.Store, due []string, old *head) {
	for _, key := range due {
		deleteKey(ctx, s, chunkPrefix+key)
	}
	if len(old.Recent) == recentNotes {
		last := old.Recent[recentNotes-1]
		deleteKey(ctx, s, noteKey(last.Version, last.ID))
	}
}

func deleteChunks(ctx context.Context, s lavstore.Store, chunks []chunkRef) {
	for _, c := range chunks {
		deleteKey(ctx, s, chunkPrefix+c.Key)
	}
}

// deleteKey removes a key if it can; a key that stays is found by Sweep.
func deleteKey(ctx context.Context, s lavstore.Store, key string) {
	if e, err := s.Get(ctx, key); err == nil {
		_ = s.Delete(ctx, key, e.Revision)
	}
}
