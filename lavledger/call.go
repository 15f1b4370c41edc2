package lavledger

import (
	"context"
	"crypto/sha256"
	"net/http"

	"lavenderrack.example/lavenderrack/lavrequest"

	"github.com/cockroachdb/errors"
)

// Call names a call that is not repeatable.
type Call struct {
	Customer string
	Key      string
	// Fingerprint is the hash of the call's content: the same key with other
	// content is an error of the caller.
	Fingerprint uint64
}

// CallKey is the name of a call in the ledger, a hash of customer and key.
type CallKey [16]byte

// callKey returns the name of c.
func (c *Call) callKey() CallKey {
	sum := sha256.Sum256([]byte(c.Customer + "\x00" + c.Key))
	return CallKey(sum[:16])
}

// shard returns the shard that keeps the call.
func (k CallKey) shard() int { return int(k[0]) % Shards }

// Answer is what the endpoint answered.
type Answer struct {
	_           struct{} `cbor:",toarray"`
	Status      int
	ContentType string
	// Header holds the other headers that callers need.
	Header http.Header
	Body   []byte
	// Truncated is true for an answer that was too long to be kept whole.
	Truncated bool
}

// kept returns the answer as far as the ledger keeps it. Status and type are
// always kept; a body over MaxKeptBody is cut to its beginning.
func (a Answer) kept() Answer {
	if len(a.Body) > MaxKeptBody {
		a.Body = a.Body[:MaxKeptBody:MaxKeptBody]
		a.Truncated = true
	}
	return a
}

// Result is how a call ended.
type Result struct {
	Outcome lavrequest.Outcome
	Answer  Answer
}

// The errors of a ledger.
var (
	// ErrKeyReused means that the key was used before for another call.
	ErrKeyReused = errors.New("idempotency key was used for another call")
	// ErrNotClaimed means that the call could not be claimed: this host has
	// not sent it and won't.
	ErrNotClaimed = errors.New("call could not be claimed")
	// ErrUncertain marks an ErrNotClaimed after which an earlier try of the
	// same call, by any host, can't be ruled out.
	ErrUncertain = errors.New("an earlier try of the call can't be ruled out")
	// ErrNotSent is returned by a Send that sent no byte.
	ErrNotSent = errors.New("no byte was sent")
)

// Send sends the call. If it returns an error that wraps ErrNotSent, no byte
// has left; after any other error the call may have run.
type Send func(ctx context.Context) (Answer, error)
