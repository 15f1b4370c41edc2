package lavrequest

import (
	"crypto/rand"
	"strings"
	"time"
)

// ID names one request across the whole fleet.
type ID string

// NewID returns an ID that no other request has.
func NewID() ID { return ID(rand.Text()) }

// idSeparator stands between the host and the rest of an ID.
const idSeparator = "."

// NewIDForHost returns an ID that tells which host made it, by its incarnation.
func NewIDForHost(host string) ID { return ID(host) + idSeparator + NewID() }

// Host returns the incarnation of the host that made the ID, or "".
func (id ID) Host() string {
	end := strings.LastIndex(string(id), idSeparator)
	if end < 0 {
		return ""
	}
	return string(id[:end])
}

// Request is what the path knows of one model request. It does not change
// after admission.
type Request struct {
	ID       ID
	Customer string
	Kind     Kind
	Model    string
	Adapter  string
	// PromptTokens and MaxTokens bound the work: tokens to read and to write.
	PromptTokens int
	MaxTokens    int
	Sampling     Sampling
	// Prefixes are the hashes of the prompt's leading blocks, shortest first.
	Prefixes []PrefixHash
	// Fingerprint is equal for equal requests of any customer, however often
	// they are sent again.
	Fingerprint uint64
	Arrived     time.Time
	Deadline    time.Time
}

// Class returns the length class of the prompt.
func (r *Request) Class() LengthClass { return ClassOf(r.PromptTokens) }

// TotalTokens is the whole of the request's work in tokens.
func (r *Request) TotalTokens() int { return r.PromptTokens + r.MaxTokens }
