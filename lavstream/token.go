package lavstream

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"time"

	"lavenderrack.example/lavenderrack/lavengine"
	"lavenderrack.example/lavenderrack/lavrequest"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

// ErrInvalidToken means that a resume token is malformed, has a wrong
// signature, belongs to another customer, or has expired.
var ErrInvalidToken = errors.New("resume token is not valid")

// Token identifies a stream and contains what an entry host needs to resume it.
type Token struct {
	_           struct{} `cbor:",toarray"`
	Request     lavrequest.ID
	Endpoint    string
	Incarnation lavengine.Incarnation
	// Host is the incarnation of the entry host that relays the stream.
	Host     string
	Customer string
	// ResponseFormat is the format of the response that the caller receives.
	// Package lavfront defines its values.
	ResponseFormat int
	Model          string
	PromptTokens   int
	Arrived        time.Time
	Deadline       time.Time
}

// Sizes of encoded tokens.
const (
	macBytes      = 16
	maxTokenBytes = 4 << 10
)

var encoding = must(cbor.EncOptions{Time: cbor.TimeUnixMicro}.EncMode())

func must[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}
	return v
}

// Signer signs and verifies tokens with a key that all entry hosts share.
type Signer struct {
	key []byte
}

// NewSigner returns a signer that uses the key.
func NewSigner(key []byte) *Signer { return &Signer{key: key} }

// Sign returns the encoded and signed token.
func (s *Signer) Sign(t *Token) (string, error) {
	body, err := encoding.Marshal(t)
	if err != nil {
		return "", err
	}
	return base64.RawURLEncoding.EncodeToString(append(s.computeMAC(body), body...)), nil
}

// Verify decodes a token that the customer presented and checks its signature.
// A token is valid until the deadline of its request.
func (s *Signer) Verify(text, customer string, now time.Time) (*Token, error) {
	if len(text) > maxTokenBytes {
		return nil, ErrInvalidToken
	}
	data, err := base64.RawURLEncoding.DecodeString(text)
	if err != nil || len(data) < macBytes {
		return nil, ErrInvalidToken
	}
	if !hmac.Equal(data[:macBytes], s.computeMAC(data[macBytes:])) {
		return nil, ErrInvalidToken
	}
	var t Token
	if err := cbor.Unmarshal(data[macBytes:], &t); err != nil {
		return nil, errors.Mark(err, ErrInvalidToken)
	}
	if t.Customer != customer || now.After(t.Deadline) {
		return nil, ErrInvalidToken
	}
	return &t, nil
}

// computeMAC returns the truncated HMAC of an encoded token.
func (s *Signer) computeMAC(body []byte) []byte {
	sum := hmac.New(sha256.New, s.key)
	_, _ = sum.Write(body)
	return sum.Sum(nil)[:macBytes]
}
