package lavrelay

import (
	"io"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

const (
	// maxBufferedBytes is how much of a response is read before any of it is forwarded. A
	// response that is not larger can be replaced if it turns out to be incomplete.
	maxBufferedBytes = 8 << 20
	// freeBufferBytes is how much of each response is buffered in any case.
	freeBufferBytes = 64 << 10
	// maxTotalBuffered is how much all responses together may buffer beyond that.
	maxTotalBuffered = 24 << 20
)

// byteBudget is a number of bytes that several responses share.
type byteBudget struct{ left atomic.Int64 }

// add returns bytes to the budget.
func (b *byteBudget) add(n int64) { b.left.Add(n) }

// take takes bytes from the budget, or reports false if there are too few.
func (b *byteBudget) take(n int64) bool {
	if b.left.Add(-n) >= 0 {
		return true
	}
	b.left.Add(n)
	return false
}

// readBuffered reads a response up to maxBufferedBytes, or until the budget of buffered
// bytes is used up. The caller must call release once it no longer needs the bytes.
func (r *Relay) readBuffered(response io.Reader) (body []byte, release func(), err error) {
	taken := int64(0)
	release = func() { r.buffers.add(taken) }
	for len(body) < maxBufferedBytes {
		size := max(freeBufferBytes, len(body))
		if len(body) > 0 {
			if !r.buffers.take(int64(size)) {
				return body, release, nil
			}
			taken += int64(size)
		}
		next, err := io.ReadAll(io.LimitReader(response, int64(size)))
		body = append(body, next...)
		if err != nil {
			return nil, release, errors.Wrap(err, "buffer response")
		}
		if len(next) < size {
			break
		}
	}
	return body, release, nil
}
