package lavledger

import (
	"bytes"
	"context"
	"crypto/sha256"
	"net/http"

	"lavenderrack.example/lavenderrack/lavrequest"

	"github.com/cockroachdb/errors"
)

// Call identifies a call that must not be repeated.
type Call struct {
	Customer string
	Key      string
	// Fingerprint is a hash of the call's content. Reusing the key for
	// different content is an error of the caller.
	Fingerprint uint64
}

// CallKey identifies a call in the ledger. It is a hash of the customer and the
// idempotency key.
type CallKey [16]byte

func (c *Call) callKey() CallKey {
	sum := sha256.Sum256([]byte(c.Customer + "\x00" + c.Key))
	return CallKey(sum[:16])
}

// shard returns the index of the shard that stores the call.
func (k CallKey) shard() int { return int(k[0]) % ShardCount }

// Answer is the endpoint's response to a call.
type Answer struct {
	_           struct{} `cbor:",toarray"`
	Status      int
	ContentType string
	// Header holds the response headers, other than the content type, that are
	// passed on to the caller.
	Header http.Header
	Body   []byte
	// Truncated is true if Body is only the beginning of the body, since there was
	// no memory for the rest, or since the ledger stored no more.
	Truncated bool
}

// truncatedForStorage returns the answer in the form that the ledger stores: a
// body longer than MaxStoredBodyBytes is cut to its beginning. The status and
// the headers are kept unchanged.
func (a Answer) truncatedForStorage() Answer {
	if len(a.Body) > MaxStoredBodyBytes {
		// A part of the slice would keep the whole body in memory.
		a.Body = bytes.Clone(a.Body[:MaxStoredBodyBytes])
		a.Truncated = true
	}
	return a
}

// Result is the outcome of a call. Answer is only set if the outcome is Done.
type Result struct {
	Outcome lavrequest.Outcome
	Answer  Answer
}

// Errors returned by a ledger or by a SendFunc.
var (
	// ErrKeyReused means that the customer already used the idempotency key for
	// a call with different content.
	ErrKeyReused = errors.New("idempotency key was used for another call")
	// ErrNotClaimed means that the call could not be claimed. This host has not
	// sent the call and will not send it.
	ErrNotClaimed = errors.New("call could not be claimed")
	// ErrUncertain marks an ErrNotClaimed error if another attempt of the same
	// call, by this or another host, may have run.
	ErrUncertain = errors.New("an earlier try of the call can't be ruled out")
	// ErrNotSent is wrapped by the error of a SendFunc that sent no byte of the
	// call.
	ErrNotSent = errors.New("no byte was sent")
)

// SendFunc sends the call to an endpoint. If it returns an error that wraps
// ErrNotSent, no byte was sent. After any other error the call may have run.
type SendFunc func(ctx context.Context) (Answer, error)
