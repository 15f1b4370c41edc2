package lavconn

import (
	"io"

	"lavenderrack.example/lavenderrack/lavresponse"

	"github.com/cockroachdb/errors"
)

// An endpoint in trouble may send bytes that are no response without end. The bytes of
// heads, and of responses to other requests, are therefore limited. The bodies of
// responses are limited by those who read them.
const (
	// maxHeadBytes is the maximum size of the heads of one response, including
	// informational ones before it.
	maxHeadBytes = lavresponse.MaxHeadBytes
	// maxUnmatchedBytes is the maximum size of the body of a response to
	// another request.
	maxUnmatchedBytes = 1 << 20
)

// errTooManyBytes means that an endpoint sent more bytes than a response may have.
var errTooManyBytes = errors.New("endpoint sent too many bytes")

// limitedReader limits the bytes that are read from a connection while limited is true.
type limitedReader struct {
	io.Reader
	limited bool
	left    int
}

// limit allows n further bytes.
func (l *limitedReader) limit(n int) { l.limited, l.left = true, n }

// unlimit ends the limit.
func (l *limitedReader) unlimit() { l.limited = false }

// Read implements io.Reader.
func (l *limitedReader) Read(p []byte) (int, error) {
	if !l.limited {
		return l.Reader.Read(p)
	}
	if l.left <= 0 {
		return 0, errTooManyBytes
	}
	n, err := l.Reader.Read(p[:min(len(p), l.left)])
	l.left -= n
	return n, err
}
