//go:build review

package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"
)

// call is one attempt of a consumer.
type call struct {
	id     string
	host   *host
	method string
	path   string
	size   int
	sentAt time.Time
	// kept is true if the channel had had an answer before.
	kept bool
	// status is 0 if the channel ended without an answer.
	status int
	// answered is true if a part of a stream has come, and whole if all of the answer has.
	answered, whole bool
	err             error
	endedAt         time.Time
}

// consumer keeps one channel to a host.
type consumer struct {
	host   *host
	conn   net.Conn
	reader *bufio.Reader
	uses   int
}

// newID returns the ID of an attempt.
func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// dropped closes the channel.
func (c *consumer) drop() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// send makes one attempt with a body of a size, which is sent at a rate in bytes a second (0: at once).
func (c *consumer) send(ctx context.Context, method, path string, size, rate int, limit time.Duration) call {
	out := call{id: newID(), host: c.host, method: method, path: path, size: size, sentAt: time.Now()}
	out.err = c.exchange(ctx, &out, rate, limit)
	out.endedAt = time.Now()
	if out.err != nil {
		c.drop()
	}
	return out
}

// open opens the channel unless it is open, and sets the time limit.
func (c *consumer) open(ctx context.Context, limit time.Duration) error {
	if c.conn == nil {
		d := net.Dialer{Timeout: time.Second}
		conn, err := d.DialContext(ctx, "tcp4", c.host.at(frontPort))
		if err != nil {
			return err
		}
		c.conn, c.reader, c.uses = conn, bufio.NewReader(conn), 0
	}
	return c.conn.SetDeadline(time.Now().Add(limit))
}

// sendHead sends the head of a request.
func (c *consumer) sendHead(out *call, limit time.Duration) error {
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\nAuthorization: Bearer %s\r\n",
		out.method, out.path, hostName, names.RequestID, out.id, names.Deadline, limit.Milliseconds(), apiKey)
	if out.method != http.MethodGet {
		head += fmt.Sprintf("Content-Length: %d\r\n", out.size)
	}
	_, err := io.WriteString(c.conn, head+"\r\n")
	return err
}

func (c *consumer) exchange(ctx context.Context, out *call, rate int, limit time.Duration) error {
	if err := c.open(ctx, limit); err != nil {
		return err
	}
	out.kept = c.uses > 0
	stop := context.AfterFunc(ctx, func() { _ = c.conn.Close() })
	defer stop()
	if err := c.sendHead(out, limit); err != nil {
		return err
	}
	if err := c.sendBody(ctx, out.size, rate); err != nil {
		return err
	}
	response, err := http.ReadResponse(c.reader, &http.Request{Method: out.method})
	if err != nil {
		return err
	}
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return err
	}
	out.status = response.StatusCode
	out.whole = response.StatusCode == http.StatusOK && string(body) == answerBody(out.id, out.size)
	c.uses++
	if response.Close {
		c.drop()
	}
	return nil
}

// sendBody sends a body at a rate.
func (c *consumer) sendBody(ctx context.Context, size, rate int) error {
	block := []byte(strings.Repeat("x", 64<<10))
	start, sent := time.Now(), 0
	for sent < size {
		n, err := c.conn.Write(block[:min(len(block), size-sent)])
		if err != nil {
			return err
		}
		sent += n
		if rate > 0 && ctx.Err() == nil {
			time.Sleep(time.Until(start.Add(time.Duration(float64(sent) / float64(rate) * float64(time.Second)))))
		}
	}
	return nil
}
