package lavrelease

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"strings"

	"lavenderrack.example/lavenderrack/lavstep"
	"lavenderrack.example/lavenderrack/lavstore"

	"github.com/cockroachdb/errors"
)

// Store keys and key prefixes of the release history.
const (
	headKey     = "release/head"
	chunkPrefix = "release/chunk/"
	notePrefix  = "release/note/"
)

// chunkBytes is the maximum size of a chunk. It is well below
// lavstore.MaxValueBytes, the size limit of one value.
const chunkBytes = 512 << 10

// head is the value of the head key, encoded as JSON. The zero head represents
// an empty store.
type head struct {
	Version Version
	NoteID  string
	Recent  []HistoryEntry
	// Digest is the SHA-256 hash of the encoded state, which is the
	// concatenation of the chunks in order.
	Digest string
	Chunks []chunkRef
	// Garbage lists the chunks of earlier heads that have not been deleted yet.
	Garbage []garbageChunk `json:",omitempty"`
}

// chunkRef refers to one chunk of an encoded state.
type chunkRef struct {
	// Key is unique to one attempt to publish, so that an attempt that loses the
	// race can delete its chunks without affecting those of another attempt.
	Key  string
	Hash string
}

// garbageChunk is a chunk that the head no longer references as of version
// Since.
type garbageChunk struct {
	Key   string
	Since Version
}

// noteIDAt returns the ID of the note that created the wanted version, or "" if
// the history no longer contains that version.
func noteIDAt(version Version, noteID string, recent []HistoryEntry, wanted Version) string {
	if wanted == version {
		return noteID
	}
	for _, p := range recent {
		if p.Version == wanted {
			return p.ID
		}
	}
	return ""
}

func (h *head) noteIDAt(wanted Version) string {
	return noteIDAt(h.Version, h.NoteID, h.Recent, wanted)
}

func (s *State) noteIDAt(wanted Version) string {
	return noteIDAt(s.Version, s.NoteID, s.Recent, wanted)
}

// versionOf returns the version that a note created, if the history of h
// contains the note and the note was not dropped in a merge.
func (h *head) versionOf(noteID string) (Version, bool) {
	if h.NoteID == noteID && h.Version > 0 {
		return h.Version, true
	}
	for _, p := range h.Recent {
		if p.ID == noteID && !p.Dropped {
			return p.Version, true
		}
	}
	return 0, false
}

// readHead returns the head and the revision of its key. If the key does not
// exist, it returns the zero head and revision zero.
func readHead(ctx context.Context, s lavstore.Store) (*head, lavstore.Revision, error) {
	entry, err := s.Get(ctx, headKey)
	if errors.Is(err, lavstore.ErrNotFound) {
		return &head{}, 0, nil
	}
	if err != nil {
		return nil, 0, lavstep.Wrap(err, lavstep.ReleaseReadBack, headKey)
	}
	h, err := parseHead(entry.Value)
	return h, entry.Revision, err
}

func parseHead(value []byte) (*head, error) {
	h := &head{}
	err := json.Unmarshal(value, h)
	return h, lavstep.Wrap(err, lavstep.ReleaseFollow, headKey)
}

// Load reads the state at the head of the store. An empty store gives the empty
// state.
func Load(ctx context.Context, s lavstore.Store) (*State, error) {
	h, _, err := readHead(ctx, s)
	if err != nil {
		return nil, err
	}
	return loadState(ctx, s, h)
}

// loadState reads the chunks that a head references and decodes the state.
func loadState(ctx context.Context, s lavstore.Store, h *head) (*State, error) {
	if h.Version == 0 {
		return &State{}, nil
	}
	var text []byte
	for _, c := range h.Chunks {
		entry, err := s.Get(ctx, chunkPrefix+c.Key)
		if err != nil {
			return nil, lavstep.Wrap(err, lavstep.ReleaseFollow, c.Key)
		}
		if digestOf(entry.Value) != c.Hash {
			return nil, lavstep.Errorf(lavstep.ReleaseFollow, c.Key, "chunk doesn't match its hash")
		}
		text = append(text, entry.Value...)
	}
	return parseState(text, h.Digest)
}

// parseState decodes a state from its JSON text, which must match the digest.
func parseState(text []byte, digest string) (*State, error) {
	if digestOf(text) != digest {
		return nil, lavstep.Errorf(lavstep.ReleaseFollow, headKey, "state doesn't match its digest")
	}
	state := &State{}
	if err := json.Unmarshal(text, state); err != nil {
		return nil, lavstep.Wrap(err, lavstep.ReleaseFollow, headKey)
	}
	return state, nil
}

func digestOf(text []byte) string {
	sum := sha256.Sum256(text)
	return hex.EncodeToString(sum[:])
}

// IsHeadKey reports whether key is the head key, with or without a leading path.
func IsHeadKey(key string) bool { return strings.HasSuffix(key, headKey) }
