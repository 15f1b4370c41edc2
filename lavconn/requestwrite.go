package lavconn

import (
	"sync/atomic"
	"time"
)

// requestWrite tracks the writing of a request.
type requestWrite struct {
	done  atomic.Bool
	bytes atomic.Int64
	// timedOut is true if the endpoint did not read the request in time.
	timedOut atomic.Bool
}

// result reports whether writing has ended, and returns the number of bytes
// written.
func (s *requestWrite) result() (bool, int64) { return s.done.Load(), s.bytes.Load() }

// maxInlineWriteBytes is the maximum size of a request that is written before
// reading starts. It fits into the socket's send buffer, so the write does not
// block even if the endpoint responds before it reads the request.
const maxInlineWriteBytes = 8 << 10

// writeRequest writes a request. A large request is written in the background,
// because the endpoint may respond before it has read all of it.
func (c *conn) writeRequest(r Request) *requestWrite {
	s := &requestWrite{}
	c.lastWrite = s
	head := r.encodeHead()
	if len(head)+len(r.Body) <= maxInlineWriteBytes {
		c.write(s, r.WriteTimeout, append(head, r.Body...))
		return s
	}
	if r.WriteTimeout == 0 {
		c.writers.Go(func() { c.write(s, 0, append(head, r.Body...)) })
		return s
	}
	// The endpoint may read slowly, so that the body is not copied.
	c.writers.Go(func() { c.write(s, r.WriteTimeout, head, r.Body) })
	return s
}

// write writes the parts of a request.
func (c *conn) write(s *requestWrite, timeout time.Duration, parts ...[]byte) {
	total, err := c.writeParts(timeout, parts)
	s.bytes.Store(total)
	s.timedOut.Store(TimedOut(err))
	s.done.Store(true)
	if err != nil && total == 0 || TimedOut(err) {
		// Nothing or not all was sent, so no response can arrive. Closing the
		// connection ends the pending read.
		c.close()
	}
}

// writeParts writes parts within a timeout, unless that is zero, and returns how many bytes it has
// written.
func (c *conn) writeParts(timeout time.Duration, parts [][]byte) (total int64, err error) {
	if timeout > 0 {
		if err := c.SetWriteDeadline(time.Now().Add(timeout)); err != nil {
			return 0, err
		}
		// An error shows at the next write.
		defer func() { _ = c.SetWriteDeadline(time.Time{}) }()
	}
	for _, part := range parts {
		n, err := c.Write(part)
		total += int64(n)
		if err != nil {
			return total, err
		}
	}
	return total, nil
}
