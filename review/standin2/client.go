//go:build review

package main

import (
	"bufio"
	"cmp"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// get sends a request without a body and returns the status.
func get(url string) (int, error) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		return 0, err
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, err
	}
	defer func() { _ = response.Body.Close() }()
	return response.StatusCode, nil
}

// requestNumber numbers the requests of this process.
var requestNumber atomic.Int64

// newRequestID returns an ID that no other request has.
func newRequestID() string { return fmt.Sprintf("%08x", requestNumber.Add(1)) }

// request is one attempt of a consumer.
type request struct {
	id, method, target string
	deadline           time.Duration
	// segments are the segments of the prompt, as the header lists them. It is empty for other requests.
	segments string
	// key is the consumer's key, apiKey if it is empty.
	key string
}

// encode returns the bytes of a request, which has no body.
func (q request) encode() []byte {
	more := ""
	if q.method == http.MethodPost {
		more = "Content-Length: 0\r\n"
	}
	if q.segments != "" {
		more += wire.Model + ": m\r\n" + wire.Tokens + ": 5000,1600\r\n" + wire.Segments + ": " + q.segments + "\r\n"
	}
	return fmt.Appendf(nil, "%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\nAuthorization: Bearer %s\r\n%s\r\n",
		q.method, q.target, hostName, wire.RequestID, q.id, wire.Deadline, q.deadline.Milliseconds(), cmp.Or(q.key, apiKey), more)
}

// reply is what a consumer has got.
type reply struct {
	status int
	header http.Header
	err    error
}

// channel is a connection to a host, which is kept for many requests.
type channel struct {
	conn net.Conn
	in   *bufio.Reader
}

// Times of a channel.
const (
	// openTime is how long a consumer waits for a new channel.
	openTime = time.Second
	// answerSlack is how long after its time limit a consumer still waits for an answer.
	answerSlack = 200 * time.Millisecond
)

// do sends a request over the open channel, or over a new one to an address, and reads the answer.
func (c *channel) do(address string, q request) reply {
	if c.conn == nil {
		d := net.Dialer{Timeout: openTime}
		conn, err := d.DialContext(context.Background(), "tcp4", address)
		if err != nil {
			return reply{err: err}
		}
		c.conn, c.in = conn, bufio.NewReader(conn)
	}
	p := c.exchange(q)
	if p.err != nil || p.header.Get("Connection") == "close" {
		c.close()
	}
	return p
}

// close closes the channel, if it is open.
func (c *channel) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

func (c *channel) exchange(q request) reply {
	if err := c.conn.SetDeadline(time.Now().Add(q.deadline + answerSlack)); err != nil {
		return reply{err: err}
	}
	if _, err := c.conn.Write(q.encode()); err != nil {
		return reply{err: err}
	}
	response, err := http.ReadResponse(c.in, &http.Request{Method: q.method})
	if err != nil {
		return reply{err: err}
	}
	_, err = io.Copy(io.Discard, response.Body)
	if response.Close {
		response.Header.Set("Connection", "close")
	}
	return reply{status: response.StatusCode, header: response.Header, err: err}
}
