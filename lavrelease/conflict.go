package lavrelease

import (
	"context"
	"fmt"
	"slices"
	"strings"

	"lavenderrack.example/lavenderrack/lavstore"

	"github.com/cockroachdb/errors"
)

// ErrConflict means that a note is based on a version that is no longer the
// head. Publish returns it as a *ConflictError, which lists the intervening
// edits.
var ErrConflict = errors.New("another release came first")

// Edit is the change that one note makes to one item.
type Edit struct {
	Action  Action
	Section Section
	Item    string
	// NoteID is the ID of the note. Version is the version that the note
	// created, or zero if the note has not been published.
	NoteID  string
	Version Version
}

// String describes the edit in one line.
func (e Edit) String() string {
	return fmt.Sprintf("%v %v %s (version %d, note %s)", e.Action, e.Section, e.Item, e.Version, e.NoteID)
}

// Edits lists the changes that a note makes, ordered by section.
func (n *Note) Edits() []Edit {
	var edits []Edit
	for s := range sectionEnd {
		for a, names := range [][]string{n.Add.itemNames(s), n.Change.itemNames(s), n.Withdraw.sectionNames(s)} {
			for _, name := range names {
				edits = append(edits, Edit{Action: Action(a), Section: s, Item: name, NoteID: n.ID})
			}
		}
	}
	return edits
}

// ConflictError describes the edits between the base of a note and the head.
type ConflictError struct {
	Base, Head Version
	// Theirs are the edits published since the base. Both are those of Theirs
	// whose items the conflicting note changes as well.
	Theirs []Edit
	Both   []Edit
	// Partial is true if the edits since the base are not known, for example
	// because the notes are no longer stored.
	Partial bool
}

// Error describes the conflict and how to resolve it.
func (e *ConflictError) Error() string {
	var text strings.Builder
	fmt.Fprintf(&text, "%v: the note builds on version %d, the head is %d", ErrConflict, e.Base, e.Head)
	switch {
	case e.Partial:
		text.WriteString("; the notes in between are no longer stored, so review the whole state before you publish again")
	case len(e.Both) == 0:
		text.WriteString("; no item was changed by both, so a new note with the new Base can follow")
	default:
		fmt.Fprintf(&text, "; %d edits since the base change the same items as the note, the first is %v", len(e.Both), e.Both[0])
	}
	return text.String()
}

// Is makes errors.Is match ErrConflict.
func (e *ConflictError) Is(target error) bool { return target == ErrConflict }

// newConflictError compares a note with the notes published since its base and
// returns a *ConflictError.
func newConflictError(ctx context.Context, s lavstore.Store, h *head, n *Note) error {
	e := &ConflictError{Base: n.Base, Head: h.Version}
	notes, err := readNotes(ctx, s, h, n.Base)
	if err != nil || n.Base > h.Version {
		e.Partial = true
		return e
	}
	touched := make(map[string]bool)
	for _, edit := range n.Edits() {
		touched[itemKey(edit.Section, edit.Item)] = true
	}
	for i := range notes {
		for _, edit := range notes[i].Edits() {
			edit.Version = n.Base + 1 + Version(i)
			e.Theirs = append(e.Theirs, edit)
		}
	}
	e.Both = slices.DeleteFunc(slices.Clone(e.Theirs), func(edit Edit) bool {
		return !touched[itemKey(edit.Section, edit.Item)]
	})
	return e
}
