package lavconn

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/netip"
	"os"
	"strconv"
	"sync/atomic"
	"time"

	"lavenderrack.example/lavenderrack/lavstep"

	"github.com/cockroachdb/errors"
)

var (
	// ErrNotSent means that no byte of the request was sent.
	ErrNotSent = errors.New("request was not sent")
	// ErrResponseLost means that at least a part of the request may have been
	// sent, but no complete response was received. The endpoint may have run
	// the request.
	ErrResponseLost = errors.New("answer was lost")
)

// maxUnmatchedResponses is how many responses to other requests are skipped
// before the connection is closed.
const maxUnmatchedResponses = 2

// Request is a request to an endpoint.
type Request struct {
	Method string
	// Target is the request target exactly as it is sent.
	Target string
	// HostName is the value of the Host header.
	HostName string
	Header   http.Header
	Body     []byte
	// NewConnection requests a new connection. An idle connection may be closed
	// by the endpoint just as the request is sent, and then it is unknown
	// whether the request ran.
	NewConnection bool
	// HeaderTimeout limits the wait for the response header. If it is zero,
	// only the context limits the wait.
	HeaderTimeout time.Duration
	// WriteTimeout limits the time in which the request is written. If it is zero, only
	// the context limits it.
	WriteTimeout time.Duration
	// ProbeAfter is the time without received data after which a connection to
	// the endpoint is tried. If that fails, the exchange is aborted. Zero
	// disables the probe.
	ProbeAfter time.Duration
	// Silence ends the exchange for want of progress.
	Silence Silence
}

// ResponseMatcher reports whether a response belongs to the pending request.
// Fresh is true for the first response on a connection.
type ResponseMatcher func(response *http.Response, fresh bool) bool

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

// Do sends a request once and reads the response header. It is aborted if the
// context ends. Errors wrap ErrNotSent or ErrResponseLost.
func (p *Pool) Do(ctx context.Context, address netip.AddrPort, r Request, matches ResponseMatcher) (*Response, error) {
	c, err := p.take(ctx, address, r.NewConnection)
	if err != nil {
		return nil, lavstep.Wrap(errors.Mark(err, ErrNotSent), lavstep.EngineSubmit, address.String())
	}
	stop := context.AfterFunc(ctx, c.close)
	c.startProbeTimer(r.ProbeAfter)
	c.silence = c.watchSilence(ctx, r.Silence)
	c.silence.beginRead()
	response, err := c.exchange(r, matches)
	c.silence.endRead()
	if err != nil {
		c.silence.stop()
		c.stopProbeTimer()
		stop()
		c.close()
		return nil, lavstep.Wrap(err, lavstep.EngineSubmit, address.String())
	}
	response.cancelWatch = stop
	return response, nil
}

// exchange writes a request and reads the response header.
func (c *conn) exchange(r Request, matches ResponseMatcher) (*Response, error) {
	fresh := c.uses == 0
	c.uses++
	c.BeginRequest()
	if r.HeaderTimeout > 0 {
		if err := c.SetReadDeadline(time.Now().Add(r.HeaderTimeout)); err != nil {
			return nil, errors.Mark(err, ErrNotSent)
		}
	}
	written := c.writeRequest(r)
	for range maxUnmatchedResponses + 1 {
		c.received.limit(maxHeadBytes)
		response, err := c.readHead(r.Method)
		if err != nil {
			return nil, c.markSendState(err, written)
		}
		if matches(response, fresh) {
			c.received.unlimit()
			return c.newResponse(response), nil
		}
		fresh = false
		if framingOf(response) == FramingClose {
			// All that follows on the connection is its body.
			break
		}
		c.received.limit(maxUnmatchedBytes)
		if _, err := io.Copy(io.Discard, response.Body); err != nil {
			return nil, errors.Mark(err, ErrResponseLost)
		}
	}
	return nil, errors.Mark(errors.New("responses belong to other requests"), ErrResponseLost)
}

// readHead reads the next response header and skips informational (1xx)
// responses.
func (c *conn) readHead(method string) (*http.Response, error) {
	for {
		response, err := http.ReadResponse(c.reader, &http.Request{Method: method})
		if err != nil {
			return nil, err
		}
		if err := checkHead(response); err != nil {
			return nil, err
		}
		if response.StatusCode >= http.StatusOK {
			return response, nil
		}
	}
}

// markSendState marks an error with ErrNotSent if no byte of the request can
// have been sent, and with ErrResponseLost otherwise.
func (c *conn) markSendState(err error, sent *requestWrite) error {
	if done, n := sent.result(); done && n == 0 {
		return errors.Mark(err, ErrNotSent)
	}
	if sent.timedOut.Load() {
		err = errors.Mark(err, os.ErrDeadlineExceeded)
	}
	return errors.Mark(err, ErrResponseLost)
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

// encodeHead returns what precedes the body.
func (r Request) encodeHead() []byte {
	var b bytes.Buffer
	b.Grow(headCapacity + min(len(r.Body), maxInlineWriteBytes))
	b.WriteString(r.Method)
	b.WriteByte(' ')
	b.WriteString(r.Target)
	b.WriteString(" HTTP/1.1\r\nHost: ")
	b.WriteString(r.HostName)
	b.WriteString("\r\n")
	if len(r.Body) > 0 || r.Method != http.MethodGet && r.Method != http.MethodHead {
		b.WriteString("Content-Length: ")
		b.WriteString(strconv.Itoa(len(r.Body)))
		b.WriteString("\r\n")
	}
	// Writing to a bytes.Buffer never fails.
	_ = r.Header.Write(&b)
	b.WriteString("\r\n")
	return b.Bytes()
}

// headCapacity is enough for most heads of requests, in bytes.
const headCapacity = 1024

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

// readBufferBytes is large enough for a response header and several events.
const readBufferBytes = 4 << 10
