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

// Keys of the store.
const (
	headKey     = "release/head"
	chunkPrefix = "release/chunk/"
	notePrefix  = "release/note/"
)

// chunkBytes is the size of a chunk, well below the largest value.
const chunkBytes = 512 << 10

// head is the value of the head key. The zero head stands for an empty store.
type head struct {
	Version Version
	NoteID  string
	Recent  []HistoryEntry
	// Digest is the hash of the state's text, which the chunks hold in order.
	Digest string
	Chunks []chunkRef
	// Garbage are chunks that later heads no longer name.
	Garbage []garbage `json:",omitempty"`
}

// chunkRef names a chunk.
type chunkRef struct {
	// Key is unique to one attempt to publish, so that an attempt that loses
	// can delete its chunks without harm to another's.
	Key  string
	Hash string
}

// garbage is a chunk that the head no longer names since a version.
type garbage struct {
	Key   string
	Since Version
}

// noteAt returns the ID of the note that made a version, or "" if it is not
// remembered.
func noteAt(version Version, noteID string, recent []HistoryEntry, want Version) string {
	if want == version {
		return noteID
	}
	for _, p := range recent {
		if p.Version == want {
			return p.ID
		}
	}
	return ""
}

func (h *head) noteAt(want Version) string { return noteAt(h.Version, h.NoteID, h.Recent, want) }

func (s *State) noteAt(want Version) string { return noteAt(s.Version, s.NoteID, s.Recent, want) }

// versionOf returns the version that a note made, if h remembers it.
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

// readHead returns the head and the revision of its key, or the zero head.
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

// Load returns the state at the head of the store.
func Load(ctx context.Context, s lavstore.Store) (*State, error) {
	h, _, err := readHead(ctx, s)
	if err != nil {
		return nil, err
	}
	return assemble(ctx, s, h)
}

// assemble reads the state from the chunks that a head names.
func assemble(ctx context.Context, s lavstore.Store, h *head) (*State, error) {
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

// parseState reads a state from its text, which must match the digest.
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

// IsHead reports whether key is the head's, for those who watch the prefix.
func IsHead(key string) bool { return strings.HasSuffix(key, headKey) }
