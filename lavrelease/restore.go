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

// restoreSpread is the time over which the hosts that see an older store try
// to mend it, so that the first one mends it for all.
const restoreSpread = 2 * time.Second

// maxBranch bounds the notes that are taken over from another branch.
const maxBranch = 64

// needsRestore reports whether the store's head lacks what this host holds.
func needsRestore(h *head, held *State) bool {
	return held.Version > 0 && !follows(h.Version, h.NoteID, h.Recent, held.past())
}

// restore mends a store that came back older than it was: it puts the state
// that this host holds back in the head. If operators have published upon the
// older head meanwhile, their notes are applied to it as far as they can be.
func (f *Follower) restore(ctx context.Context) error {
	_ = lavpause.For(ctx, rand.N(restoreSpread))
	if err := lavstep.Reach(ctx, lavstep.ReleaseRestore, headKey); err != nil {
		return err
	}
	h, revision, err := readHead(ctx, f.store)
	if err != nil {
		return err
	}
	held := f.State()
	if !needsRestore(h, held) {
		return nil
	}
	next := held
	if !follows(held.Version, held.NoteID, held.Recent, HistoryEntry{Version: h.Version, ID: h.NoteID}) {
		next, _ = merge(held, h, f.branch(ctx, h, held))
	}
	err = commit(ctx, f.store, next, h, revision)
	if errors.Is(err, lavstore.ErrConflict) {
		// Another host or operator came first; the watch shows what it did.
		return nil
	}
	if err == nil {
		f.Adopt(ctx, next)
	}
	return err
}

// branch returns the notes of the head's history that the held state doesn't
// follow, oldest first. Those that are no longer kept are left out.
func (f *Follower) branch(ctx context.Context, h *head, held *State) []Note {
	past := append([]HistoryEntry{{Version: h.Version, ID: h.NoteID}}, h.Recent...)
	var notes []Note
	for _, p := range past[:min(len(past), maxBranch)] {
		if follows(held.Version, held.NoteID, held.Recent, p) {
			break
		}
		if n, err := readNote(ctx, f.store, p.Version, p.ID); err == nil {
			notes = append([]Note{*n}, notes...)
		}
	}
	return notes
}
