package lavconn

import (
	"context"
	"io"
	"net/http"
	"net/netip"
	"os"
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

// ResponseMatcher reports whether a response belongs to the pending request.
// Fresh is true for the first response on a connection.
type ResponseMatcher func(response *http.Response, fresh bool) bool

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
