package lavconn

import (
	"io"
	"net/http"
	"os"
	"time"

	"github.com/cockroachdb/errors"
)

// Response is an endpoint's response. Its header has been received, and its
// body is read with Read.
type Response struct {
	Status int
	Header http.Header
	// Framing is how the end of the body is marked.
	Framing Framing

	conn *conn
	body io.ReadCloser
	// reusable reports whether the headers allow the connection to be reused.
	reusable    bool
	complete    bool
	cancelWatch func() bool
}

func (c *conn) newResponse(head *http.Response) *Response {
	framing := framingOf(head)
	return &Response{
		Status:   head.StatusCode,
		Header:   head.Header,
		Framing:  framing,
		conn:     c,
		body:     head.Body,
		reusable: !head.Close && framing != FramingClose,
	}
}

// Read reads the body. If the body is truncated, it returns an error that wraps
// ErrResponseLost instead of io.EOF.
func (r *Response) Read(p []byte) (int, error) {
	r.conn.silence.beginRead()
	n, err := r.body.Read(p)
	r.conn.silence.endRead()
	r.conn.resetProbeTimer()
	switch {
	case errors.Is(err, io.EOF):
		r.complete = true
	case err != nil:
		err = errors.Mark(err, ErrResponseLost)
	}
	return n, err
}

// Close ends the exchange. If the response was read completely and the
// connection can be reused, the connection is returned to the pool. Keep is how
// long the endpoint keeps idle connections open. Otherwise the connection is
// closed.
func (r *Response) Close(idleTimeout time.Duration) {
	r.conn.silence.stop()
	r.conn.stopProbeTimer()
	notCancelled := r.cancelWatch()
	sent, _ := r.conn.lastWrite.result()
	if !notCancelled || !r.complete || !r.reusable || !sent || r.conn.reader.Buffered() > 0 {
		r.conn.close()
		return
	}
	r.conn.pool.put(r.conn, idleTimeout)
}

// Discard reads the rest of the body, up to maxDiscardBytes, and ends the
// exchange.
func (r *Response) Discard(idleTimeout time.Duration) {
	// If a part of the body remains unread, Close closes the connection.
	_, _ = io.Copy(io.Discard, io.LimitReader(r, maxDiscardBytes))
	r.Close(idleTimeout)
}

// maxDiscardBytes is the maximum number of bytes that are read and discarded in
// order to reuse a connection.
const maxDiscardBytes = 16 << 10

// TimedOut reports whether an error was caused by a read timeout of this
// package and not by the connection.
func TimedOut(err error) bool { return errors.Is(err, os.ErrDeadlineExceeded) }
