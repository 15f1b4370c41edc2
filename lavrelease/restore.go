package lavrelease

import (
	"context"
	"math/rand/v2"
	"time"

	"lavenderrack.example/lavenderrack/lavpause"
	"lavenderrack.example/lavenderrack/lavstep"
	"lavenderrack.example/lavenderrack/lavstore"

	"github.com/cockroachdb/errors"
)

// maxRestoreDelay is the maximum random delay before a host restores the store.
// The jitter lets the first host finish the work for all others.
const maxRestoreDelay = 2 * time.Second

// maxMergedNotes is the maximum number of notes that are merged from another
// branch.
const maxMergedNotes = 64

// needsRestore reports whether the store's head lacks the release that this host
// holds.
func needsRestore(h *head, local *State) bool {
	return local.Version > 0 && !descendsFrom(h.Version, h.NoteID, h.Recent, local.historyEntry())
}

// restore repairs a store that has lost releases, for example because it was
// restored from an older backup: it writes the state of this host back to the
// head. Notes that operators published on top of the older head in the meantime
// are merged into that state as far as they are still valid.
func (f *Follower) restore(ctx context.Context) error {
	_ = lavpause.For(ctx, rand.N(maxRestoreDelay))
	if err := lavstep.Failpoint(ctx, lavstep.ReleaseRestore, headKey); err != nil {
		return err
	}
	h, revision, err := readHead(ctx, f.store)
	if err != nil {
		return err
	}
	local := f.State()
	if !needsRestore(h, local) {
		return nil
	}
	next := local
	if !descendsFrom(local.Version, local.NoteID, local.Recent, HistoryEntry{Version: h.Version, ID: h.NoteID}) {
		next, _ = merge(local, h, f.divergedNotes(ctx, h, local))
	}
	err = commit(ctx, f.store, next, h, revision)
	if errors.Is(err, lavstore.ErrConflict) {
		// Another host or an operator wrote the head first. The watch delivers
		// the result.
		return nil
	}
	if err == nil {
		f.Adopt(ctx, next)
	}
	return err
}

// divergedNotes returns the notes in the head's history that the local state
// does not include, oldest first. Notes that are no longer stored are left out.
func (f *Follower) divergedNotes(ctx context.Context, h *head, local *State) []Note {
	history := append([]HistoryEntry{{Version: h.Version, ID: h.NoteID}}, h.Recent...)
	var notes []Note
	for _, p := range history[:min(len(history), maxMergedNotes)] {
		if descendsFrom(local.Version, local.NoteID, local.Recent, p) {
			break
		}
		if n, err := readNote(ctx, f.store, p.Version, p.ID); err == nil {
			notes = append([]Note{*n}, notes...)
		}
	}
	return notes
}
