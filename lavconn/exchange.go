package lavconn

import (
	"bufio"
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
	// ErrNotSent means that no byte of the request has left this host.
	ErrNotSent = errors.New("request was not sent")
	// ErrResponseLost means that the request, or a part of it, was sent and that no
	// whole answer came. It may have run.
	ErrResponseLost = errors.New("answer was lost")
)

// maxForeignAnswers is how many answers to other requests are passed over
// before the connection is given up.
const maxForeignAnswers = 2

// Request is what is sent to an endpoint.
type Request struct {
	Method string
	// Target is the request target exactly as it goes onto the wire.
	Target string
	// HostName goes into the Host header.
	HostName string
	Header   http.Header
	Body     []byte
	// NewConnection asks for a new connection, on which no old one's end can be met.
	NewConnection bool
	// HeaderTimeout bounds the wait for the head of the answer; zero is no bound
	// but the context's.
	HeaderTimeout time.Duration
	// ProbeAfter is the silence after which the endpoint is looked at; zero is
	// never. If nobody listens there any more the exchange ends.
	ProbeAfter time.Duration
}

// Checker says whether an answer belongs to the request that waits for it.
// Fresh is true on the first exchange of a connection.
type Checker func(answer *http.Response, fresh bool) bool

// Response is an endpoint's answer whose body is still to be read.
type Response struct {
	Status int
	Header http.Header
	// Length is the length of the body, -1 if it is not known before the end.
	Length int64

	conn *conn
	body io.ReadCloser
	// reusable is what the headers say of the connection.
	reusable bool
	whole    bool
	stop     func() bool
}

// Do sends a request once and reads the head of its answer. It ends early with
// the context. Errors wrap ErrNotSent or ErrLost.
func (p *Pool) Do(ctx context.Context, address netip.AddrPort, r Request, mine Checker) (*Response, error) {
	c, err := p.take(ctx, address, r.NewConnection)
	if err != nil {
		return nil, lavstep.Wrap(errors.Mark(err, ErrNotSent), lavstep.EngineSubmit, address.String())
	}
	stop := context.AfterFunc(ctx, c.close)
	c.watch(r.ProbeAfter)
	answer, err := c.exchange(r, mine)
	if err != nil {
		c.unwatch()
		stop()
		c.close()
		return nil, lavstep.Wrap(err, lavstep.EngineSubmit, address.String())
	}
	answer.stop = stop
	return answer, nil
}

// exchange writes a request and reads the head of its answer.
func (c *conn) exchange(r Request, mine Checker) (*Response, error) {
	fresh := c.uses == 0
	c.uses++
	if r.HeaderTimeout > 0 {
		if err := c.SetReadDeadline(time.Now().Add(r.HeaderTimeout)); err != nil {
			return nil, errors.Mark(err, ErrNotSent)
		}
	}
	written := c.send(r)
	for range maxForeignAnswers + 1 {
		answer, err := c.readHead(r.Method)
		if err != nil {
			return nil, c.lost(err, written)
		}
		if mine(answer, fresh) {
			return c.answer(answer), nil
		}
		fresh = false
		if _, err := io.Copy(io.Discard, answer.Body); err != nil {
			return nil, errors.Mark(err, ErrResponseLost)
		}
	}
	return nil, errors.Mark(errors.New("answers belong to other requests"), ErrResponseLost)
}

// readHead reads the head of the next final answer.
func (c *conn) readHead(method string) (*http.Response, error) {
	for {
		answer, err := http.ReadResponse(c.reader, &http.Request{Method: method})
		if err != nil || answer.StatusCode >= http.StatusOK {
			return answer, err
		}
	}
}

// lost marks an error by whether a byte of the request can have left.
func (c *conn) lost(err error, sent *sending) error {
	if done, n := sent.result(); done && n == 0 {
		return errors.Mark(err, ErrNotSent)
	}
	return errors.Mark(err, ErrResponseLost)
}

func (c *conn) answer(a *http.Response) *Response {
	return &Response{
		Status:   a.StatusCode,
		Header:   a.Header,
		Length:   a.ContentLength,
		conn:     c,
		body:     a.Body,
		reusable: !a.Close && (a.ContentLength >= 0 || len(a.TransferEncoding) > 0),
	}
}

// sending is a request on its way out.
type sending struct {
	done  atomic.Bool
	bytes atomic.Int64
}

// result returns whether writing has ended, and how many bytes were written.
func (s *sending) result() (bool, int64) { return s.done.Load(), s.bytes.Load() }

// inlineBytes is the size up to which a request is written before its answer is
// read: it fits into the socket's buffer, so that writing doesn't block on an
// endpoint that answers before it reads.
const inlineBytes = 8 << 10

// send writes a request. A long one is written in the background, since the
// endpoint may answer before it has read it all.
func (c *conn) send(r Request) *sending {
	s := &sending{}
	text := r.encode()
	write := func() {
		n, err := c.Write(text)
		s.bytes.Store(int64(n))
		s.done.Store(true)
		if err != nil && n == 0 {
			// Nothing left; the reader need not wait for an answer.
			c.close()
		}
	}
	c.sent = s
	if len(text) <= inlineBytes {
		write()
		return s
	}
	c.writers.Go(write)
	return s
}

func (r Request) encode() []byte {
	var b bytes.Buffer
	b.Grow(len(r.Body) + 1024)
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
	// A bytes.Buffer takes every write.
	_ = r.Header.Write(&b)
	b.WriteString("\r\n")
	b.Write(r.Body)
	return b.Bytes()
}

// Read reads the body. A body that breaks off ends with an error other than
// io.EOF, which wraps ErrLost.
func (a *Response) Read(p []byte) (int, error) {
	n, err := a.body.Read(p)
	a.conn.seen()
	switch {
	case errors.Is(err, io.EOF):
		a.whole = true
	case err != nil:
		err = errors.Mark(err, ErrResponseLost)
	}
	return n, err
}

// SetReadTimeout bounds the wait for the next bytes of the body.
func (a *Response) SetReadTimeout(d time.Duration) error {
	return a.conn.SetReadDeadline(time.Now().Add(d))
}

// Close ends the exchange. The connection is kept for another one, at most for
// keep, if the answer was read to its end and nothing about it was odd.
func (a *Response) Close(keep time.Duration) {
	a.conn.unwatch()
	running := a.stop()
	sent, _ := a.conn.sent.result()
	if !running || !a.whole || !a.reusable || !sent || a.conn.reader.Buffered() > 0 {
		a.conn.close()
		return
	}
	a.conn.pool.put(a.conn, keep)
}

// Discard reads the rest of a short body and ends the exchange.
func (a *Response) Discard(keep time.Duration) {
	// What is left unread ends the connection with it.
	_, _ = io.Copy(io.Discard, io.LimitReader(a, maxDiscardBytes))
	a.Close(keep)
}

// maxDiscardBytes bounds what is read for nothing to save a connection.
const maxDiscardBytes = 16 << 10

// TimedOut reports whether an error came of this side's patience, rather than
// from the connection.
func TimedOut(err error) bool { return errors.Is(err, os.ErrDeadlineExceeded) }

// newReader returns the buffer in front of a connection.
func newReader(r io.Reader) *bufio.Reader { return bufio.NewReaderSize(r, readBuffer) }

// readBuffer holds the head of an answer and some events.
const readBuffer = 4 << 10
