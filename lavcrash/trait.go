package lavcrash

import (
	"cmp"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

//go:generate stringer -type=TraitKind -trimprefix=Trait -output=traitkind_string.go

// TraitKind is the kind of a Trait.
type TraitKind int

// The kinds of traits, from the most to the least specific.
const (
	// TraitRequest is the whole request, as its caller repeats it.
	TraitRequest TraitKind = iota
	// TraitSegment is a segment of the prompt, which other requests may share.
	TraitSegment
)

// Trait is a property of a request that may crash endpoints.
type Trait struct {
	Kind TraitKind `cbor:"1,keyasint"`
	// ID identifies the request or the segment among those of its service. It has at most
	// maxIDBytes letters, digits and hyphens.
	ID string `cbor:"2,keyasint"`
}

const (
	// maxSegments limits the traits of a request whose caller lists very many segments.
	maxSegments = 64
	// maxIDBytes keeps a trait far shorter than the keys of a store may be.
	maxIDBytes = 64
	hexBase    = 16
)

// NewTraits returns the traits of a request to a service: its fingerprint and the segments of
// its prompt.
func NewTraits(service string, fingerprint uint64, segments []string) []Trait {
	traits := make([]Trait, 0, 1+len(segments))
	traits = append(traits, Trait{Kind: TraitRequest, ID: strconv.FormatUint(fingerprint, hexBase)})
	for _, segment := range segments[:min(len(segments), maxSegments)] {
		traits = append(traits, Trait{Kind: TraitSegment, ID: segmentID(service, segment)})
	}
	return traits
}

// segmentID returns an ID that is readable if the names of the service and the segment allow
// that, and a hash otherwise.
func segmentID(service, segment string) string {
	id := service + "-" + segment
	if len(id) <= maxIDBytes && strings.IndexFunc(id, notInID) < 0 {
		return id
	}
	return strconv.FormatUint(xxhash.Sum64String(id), hexBase)
}

func notInID(r rune) bool {
	letter := r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z'
	return !letter && (r < '0' || r > '9') && r != '-'
}

// compareTraits orders traits by kind and ID.
func compareTraits(a, b Trait) int {
	return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.ID, b.ID))
}
