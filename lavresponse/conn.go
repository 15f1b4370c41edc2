package lavresponse

import (
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// errEnded means that a request was not written further, since the peer sends nothing more.
var errEnded = errors.New("peer has ended its side of the connection")

// Conn is a connection on which a response is read while its request is still being written.
//
// The kernel reports that a connection broke only once. If it reports it to the writer, the reader
// sees the end that a peer's FIN would cause, and a response without a length seems complete. Read
// therefore returns the writer's error in place of such an end. Write in turn doesn't report that
// the peer takes no more of a request: the response may have arrived whole, which Read shows.
//
// There may be one reader and one writer at a time.
type Conn struct {
	net.Conn
	// ended is true once the reader has seen the end of the connection.
	ended atomic.Bool

	// writing is held during a write, and guards what it has shown.
	writing sync.Mutex
	// sentAny is true if any byte of the current request was sent.
	sentAny bool
	// refused is true once the peer takes no further bytes.
	refused bool
	// broken is the error by which the writer learned that the connection broke, or nil.
	broken error
}

// NewConn returns the connection c as a Conn. A Conn is returned unchanged.
func NewConn(c net.Conn) *Conn {
	if known, ok := c.(*Conn); ok {
		return known
	}
	return &Conn{Conn: c}
}

// BeginRequest says that the next write begins a request. Without it, all that is written is one.
func (c *Conn) BeginRequest() {
	c.writing.Lock()
	defer c.writing.Unlock()
	c.sentAny = false
}

// Write implements net.Conn. Bytes that the peer doesn't take any more are dropped without an error
// if others of the request were sent.
func (c *Conn) Write(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	if c.ended.Load() {
		return 0, errEnded
	}
	if c.refused && c.sentAny {
		return len(p), nil
	}
	n, err := c.Conn.Write(p)
	c.sentAny = c.sentAny || n > 0
	switch {
	case err == nil:
		return n, nil
	case c.ended.Load() && errors.Is(err, os.ErrDeadlineExceeded):
		return n, errEnded
	}
	c.recordFailure(err)
	if c.refused && c.sentAny {
		return len(p), nil
	}
	return n, err
}

// recordFailure records the error of a write. After a FIN of the peer a write fails with EPIPE, which
// says nothing about the response before the FIN. The kernel reports EPIPE also once it has reported
// the cause to the reader, who then needs no second report.
func (c *Conn) recordFailure(err error) {
	var number syscall.Errno
	if !errors.As(err, &number) {
		return
	}
	c.refused = number == syscall.EPIPE || number == syscall.ECONNRESET
	if number != syscall.EPIPE && c.broken == nil {
		c.broken = err
	}
}

// Read implements net.Conn. It returns io.EOF only if the peer has ended the connection.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if errors.Is(err, io.EOF) {
		err = c.endError()
	}
	return n, err
}

// endError returns io.EOF, or the error that the kernel reported to the writer. It doesn't wait for
// the peer: a pending write is interrupted, since the response has ended in any case.
func (c *Conn) endError() error {
	c.ended.Store(true)
	// A write is pending only on a connection whose deadlines can be set.
	_ = c.SetWriteDeadline(time.Unix(1, 0))
	// The writer may have been told, but not have recorded it yet. It holds the lock until then.
	c.writing.Lock()
	defer c.writing.Unlock()
	if c.broken != nil {
		return errors.Wrap(c.broken, "connection broke while the request was written")
	}
	return io.EOF
}
