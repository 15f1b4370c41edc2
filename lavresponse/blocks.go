package lavresponse

import (
	"io"

	"github.com/cockroachdb/errors"
)

// firstReadBytes is how much room there is for a response at first, which is enough for most.
const firstReadBytes = 4 << 10

// ReadBlocks reads at most limit bytes of a response, or until mayRead forbids a further block of a
// number of bytes. The first block, of first bytes, is read in any case, and each further one is as
// long as all before it. It reports whether the response has ended.
func ReadBlocks(response io.Reader, first, limit int, mayRead func(n int64) bool) (body []byte, ended bool, err error) {
	allowed := min(first, limit)
	for {
		if len(body) == allowed {
			size := min(allowed, limit-allowed)
			if size == 0 || !mayRead(int64(size)) {
				return body, false, nil
			}
			allowed += size
		}
		if len(body) == cap(body) {
			body = withRoom(body, allowed)
		}
		n, err := response.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case errors.Is(err, io.EOF):
			return body, true, nil
		case err != nil:
			return nil, false, errors.Wrap(err, "buffer response")
		}
	}
}

// withRoom returns a copy of a full body with room for as much again, up to allowed bytes in all.
func withRoom(body []byte, allowed int) []byte {
	size := min(max(firstReadBytes, 2*len(body)), allowed)
	return append(make([]byte, 0, size), body...)
}
