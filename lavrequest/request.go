package lavrequest

import (
	"crypto/rand"
	"strings"
	"time"
)

// ID identifies a request across the whole fleet.
type ID string

// NewID returns a new unique ID.
func NewID() ID { return ID(rand.Text()) }

// idSeparator separates the host's incarnation from the random part of an ID.
const idSeparator = "."

// NewIDForHost returns a new unique ID that contains the incarnation of the
// host that created it.
func NewIDForHost(host string) ID { return ID(host) + idSeparator + NewID() }

// Host returns the incarnation of the host that created the ID, or "" if the ID
// contains none.
func (id ID) Host() string {
	end := strings.LastIndex(string(id), idSeparator)
	if end < 0 {
		return ""
	}
	return string(id[:end])
}

// Request describes a model request. It does not change after admission.
type Request struct {
	ID       ID
	Customer string
	Kind     Kind
	Model    string
	Adapter  string
	// PromptTokens is the number of tokens to prefill, and MaxTokens the
	// largest number of tokens to decode.
	PromptTokens int
	MaxTokens    int
	Sampling     Sampling
	// Prefixes holds the hashes of the prompt's leading blocks, shortest prefix
	// first.
	Prefixes []PrefixHash
	// Fingerprint identifies the content of the request. Repeated requests,
	// also of other customers, have the same fingerprint.
	Fingerprint uint64
	Arrived     time.Time
	Deadline    time.Time
}

// Class returns the length class of the prompt.
func (r *Request) Class() LengthClass { return ClassOf(r.PromptTokens) }

// TotalTokens returns the number of tokens that the request may need at most,
// to prefill and to decode.
func (r *Request) TotalTokens() int { return r.PromptTokens + r.MaxTokens }
