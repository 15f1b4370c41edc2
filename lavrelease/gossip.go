package lavrelease

import (
	"context"
	"encoding/json"

	"lavenderrack.example/lavenderrack/lavstep"

	"github.com/cockroachdb/errors"
)

// Announcement informs a peer of the state in force on the sender. Its size does
// not depend on the size of the state.
type Announcement struct {
	Version Version `cbor:"1,keyasint"`
	Digest  string  `cbor:"2,keyasint"`
	// Note is the JSON encoding of the note that created this version. It is
	// empty if the note is too large or not cached.
	Note []byte `cbor:"3,keyasint,omitempty"`
}

// PullRequest asks a peer for the notes, or for a part of the state, that lead
// from the requester's state to the peer's.
type PullRequest struct {
	// Have identifies the state that the requester holds.
	Have HistoryEntry `cbor:"1,keyasint"`
	// Digest and PartIndex select a part of the encoded state with that digest.
	// If Digest is empty, the peer may answer with notes instead.
	Digest    string `cbor:"2,keyasint,omitempty"`
	PartIndex int    `cbor:"3,keyasint,omitempty"`
}

// PullResponse answers a PullRequest with notes, or with one part of the encoded
// state.
type PullResponse struct {
	Version   Version  `cbor:"1,keyasint"`
	Digest    string   `cbor:"2,keyasint"`
	Notes     [][]byte `cbor:"3,keyasint,omitempty"`
	Text      []byte   `cbor:"4,keyasint,omitempty"`
	PartIndex int      `cbor:"5,keyasint,omitempty"`
	PartCount int      `cbor:"6,keyasint,omitempty"`
}

// maxParts is the maximum number of parts of one state.
const maxParts = maxStateBytes / chunkBytes

// Announcement returns the announcement of the state in force.
func (f *Follower) Announcement() Announcement {
	f.mu.Lock()
	defer f.mu.Unlock()
	a := Announcement{Version: f.State().Version, Digest: f.digest}
	if last := len(f.notes) - 1; last >= 0 && len(f.notes[last].text) <= maxAnnouncedNoteBytes {
		a.Note = f.notes[last].text
	}
	return a
}

// HandleAnnouncement applies the note that a peer announces, if the note
// directly follows the state in force. It returns true if this host is still
// behind the peer afterwards, so that a Pull is worthwhile.
func (f *Follower) HandleAnnouncement(ctx context.Context, a Announcement) (behind bool) {
	if lavstep.Failpoint(ctx, lavstep.ReleaseHear, "") != nil {
		return false
	}
	local := f.State()
	if a.Version <= local.Version {
		return false
	}
	if len(a.Note) == 0 || a.Version != local.Version+1 {
		return true
	}
	var n Note
	if json.Unmarshal(a.Note, &n) != nil {
		return true
	}
	return f.replay(ctx, local, []Note{n}, a.Digest) != nil
}

// CurrentEntry identifies the state in force by its version and note.
func (f *Follower) CurrentEntry() HistoryEntry { return f.State().historyEntry() }

// AnswerPull returns the response to a peer's PullRequest.
func (f *Follower) AnswerPull(p PullRequest) PullResponse {
	f.mu.Lock()
	defer f.mu.Unlock()
	state := f.State()
	response := PullResponse{Version: state.Version, Digest: f.digest}
	if p.Have.Version >= state.Version {
		return response
	}
	if p.Digest == "" {
		if response.Notes = f.notesSince(state, p.Have); response.Notes != nil {
			return response
		}
	}
	if p.Digest != f.digest {
		// The state has changed since the transfer began, so it starts again.
		p.PartIndex = 0
	}
	response.PartCount = (len(f.text) + chunkBytes - 1) / chunkBytes
	response.PartIndex = min(max(p.PartIndex, 0), response.PartCount-1)
	from := response.PartIndex * chunkBytes
	response.Text = f.text[from:min(from+chunkBytes, len(f.text))]
	return response
}

// notesSince returns the encoded notes that lead from a past state to the state
// in force. It returns nil if not all of these notes are cached or if their
// total size exceeds chunkBytes.
func (f *Follower) notesSince(state *State, have HistoryEntry) [][]byte {
	gap := int(state.Version - have.Version)
	if have.Version == 0 || gap > len(f.notes) || state.noteIDAt(have.Version) != have.ID {
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

// Pull updates this host to the state of a peer. The function send sends one
// request to the peer.
func (f *Follower) Pull(ctx context.Context, send func(context.Context, PullRequest) (PullResponse, error)) error {
	local := f.State()
	request := PullRequest{Have: local.historyEntry()}
	var text []byte
	for range 2 * maxParts {
		if err := lavstep.Failpoint(ctx, lavstep.ReleasePull, ""); err != nil {
			return err
		}
		response, err := send(ctx, request)
		if err != nil {
			return err
		}
		if response.Version <= local.Version {
			return nil
		}
		if len(response.Notes) > 0 {
			if f.replayEncoded(ctx, local, response) == nil {
				return nil
			}
			// The notes do not lead to the peer's state. Request the state
			// itself.
			request.Digest = response.Digest
			continue
		}
		if response.PartIndex == 0 {
			text = nil
		}
		text = append(text, response.Text...)
		if len(text) > maxStateBytes {
			return lavstep.Errorf(lavstep.ReleasePull, "", "the peer's state is larger than %d bytes", maxStateBytes)
		}
		if response.PartIndex+1 >= response.PartCount {
			return f.adoptEncoded(ctx, text, response.Digest)
		}
		request.Digest, request.PartIndex = response.Digest, response.PartIndex+1
	}
	return lavstep.Errorf(lavstep.ReleasePull, "", "the peer's state changed too often during the transfer or has more than %d parts", maxParts)
}

func (f *Follower) replayEncoded(ctx context.Context, local *State, response PullResponse) error {
	if len(response.Notes) > maxCachedNotes {
		return errors.Newf("the peer sent %d notes, the maximum is %d", len(response.Notes), maxCachedNotes)
	}
	notes := make([]Note, len(response.Notes))
	for i, text := range response.Notes {
		if err := json.Unmarshal(text, &notes[i]); err != nil {
			return lavstep.Wrap(err, lavstep.ReleasePull, "")
		}
	}
	return f.replay(ctx, local, notes, response.Digest)
}

func (f *Follower) adoptEncoded(ctx context.Context, text []byte, digest string) error {
	state, err := parseState(text, digest)
	if err != nil {
		return err
	}
	f.adopt(ctx, state, text, digest, nil)
	return nil
}
