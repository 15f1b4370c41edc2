package lavrelease

import (
	"context"
	"encoding/json"

	"lavenderrack.example/lavenderrack/lavstep"

	"github.com/cockroachdb/errors"
)

// Announcement tells a peer which state is in force here. Its size doesn't
// grow with the state.
type Announcement struct {
	Version Version `cbor:"1,keyasint"`
	Digest  string  `cbor:"2,keyasint"`
	// Note is the note, as JSON, that led here from the version before; empty
	// if it is long or not known.
	Note []byte `cbor:"3,keyasint,omitempty"`
}

// PullRequest asks a peer for what leads from one state to the one in force there.
type PullRequest struct {
	// Have is the state that the asker holds.
	Have HistoryEntry `cbor:"1,keyasint"`
	// Digest and Part go on with a state that comes in parts.
	Digest string `cbor:"2,keyasint,omitempty"`
	Part   int    `cbor:"3,keyasint,omitempty"`
}

// PullResponse answers a Pull: by notes, or by one part of the state's text.
type PullResponse struct {
	Version Version  `cbor:"1,keyasint"`
	Digest  string   `cbor:"2,keyasint"`
	Notes   [][]byte `cbor:"3,keyasint,omitempty"`
	Text    []byte   `cbor:"4,keyasint,omitempty"`
	Part    int      `cbor:"5,keyasint,omitempty"`
	Parts   int      `cbor:"6,keyasint,omitempty"`
}

// maxParts bounds the parts of one state.
const maxParts = maxStateBytes / chunkBytes

// Announcement returns what to tell the peers of the state in force.
func (f *Follower) Announcement() Announcement {
	f.mu.Lock()
	defer f.mu.Unlock()
	a := Announcement{Version: f.State().Version, Digest: f.digest}
	if last := len(f.notes) - 1; last >= 0 && len(f.notes[last].text) <= heldNoteBytes {
		a.Note = f.notes[last].text
	}
	return a
}

// HandleAnnouncement takes over what a peer announces if that can be done by its note, and
// otherwise reports whether it is worth a Pull.
func (f *Follower) HandleAnnouncement(ctx context.Context, a Announcement) (behind bool) {
	if lavstep.Reach(ctx, lavstep.ReleaseHear, "") != nil {
		return false
	}
	held := f.State()
	if a.Version <= held.Version {
		return false
	}
	if len(a.Note) == 0 || a.Version != held.Version+1 {
		return true
	}
	var n Note
	if json.Unmarshal(a.Note, &n) != nil {
		return true
	}
	return f.replay(ctx, held, []Note{n}, a.Digest) != nil
}

// Have names the state in force, for a Pull.
func (f *Follower) Have() HistoryEntry { return f.State().past() }

// AnswerPull answers a peer's Pull.
func (f *Follower) AnswerPull(p PullRequest) PullResponse {
	f.mu.Lock()
	defer f.mu.Unlock()
	state := f.State()
	answer := PullResponse{Version: state.Version, Digest: f.digest}
	if p.Have.Version >= state.Version {
		return answer
	}
	if p.Digest == "" {
		if answer.Notes = f.notesAfter(state, p.Have); answer.Notes != nil {
			return answer
		}
	}
	if p.Digest != f.digest {
		// The state has changed since the asker began.
		p.Part = 0
	}
	answer.Parts = (len(f.text) + chunkBytes - 1) / chunkBytes
	answer.Part = min(max(p.Part, 0), answer.Parts-1)
	from := answer.Part * chunkBytes
	answer.Text = f.text[from:min(from+chunkBytes, len(f.text))]
	return answer
}

// notesAfter returns the notes that lead from a past state to the one in
// force, or nil if not all are held or they are too many.
func (f *Follower) notesAfter(state *State, have HistoryEntry) [][]byte {
	gap := int(state.Version - have.Version)
	if have.Version == 0 || gap > len(f.notes) || state.noteAt(have.Version) != have.ID {
		return nil
	}
	var texts [][]byte
	size := 0
	for i, n := range f.notes[len(f.notes)-gap:] {
		size += len(n.text)
		if size > chunkBytes || n.version != have.Version+1+Version(i) {
			return nil
		}
		texts = append(texts, n.text)
	}
	return texts
}

// Pull brings this host up to a peer's state. Ask sends one question to the
// peer.
func (f *Follower) Pull(ctx context.Context, ask func(context.Context, PullRequest) (PullResponse, error)) error {
	held := f.State()
	question := PullRequest{Have: held.past()}
	var text []byte
	for range 2 * maxParts {
		if err := lavstep.Reach(ctx, lavstep.ReleasePull, ""); err != nil {
			return err
		}
		got, err := ask(ctx, question)
		if err != nil {
			return err
		}
		if got.Version <= held.Version {
			return nil
		}
		if len(got.Notes) > 0 {
			if f.replayTexts(ctx, held, got) == nil {
				return nil
			}
			// The notes don't fit; ask for the state itself.
			question.Digest = got.Digest
			continue
		}
		if got.Part == 0 {
			text = nil
		}
		text = append(text, got.Text...)
		if len(text) > maxStateBytes {
			return lavstep.Errorf(lavstep.ReleasePull, "", "the peer's state is over %d bytes", maxStateBytes)
		}
		if got.Part+1 >= got.Parts {
			return f.adoptText(ctx, text, got.Digest)
		}
		question.Digest, question.Part = got.Digest, got.Part+1
	}
	return lavstep.Errorf(lavstep.ReleasePull, "", "the peer's state changed too often, or is over %d parts", maxParts)
}

func (f *Follower) replayTexts(ctx context.Context, held *State, got PullResponse) error {
	if len(got.Notes) > heldNotes {
		return errors.Newf("%d notes are more than %d", len(got.Notes), heldNotes)
	}
	notes := make([]Note, len(got.Notes))
	for i, text := range got.Notes {
		if err := json.Unmarshal(text, &notes[i]); err != nil {
			return lavstep.Wrap(err, lavstep.ReleasePull, "")
		}
	}
	return f.replay(ctx, held, notes, got.Digest)
}

func (f *Follower) adoptText(ctx context.Context, text []byte, digest string) error {
	state, err := parseState(text, digest)
	if err != nil {
		return err
	}
	f.adopt(ctx, state, text, digest, nil)
	return nil
}
