//go:build review

package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// callTimeout is how long a caller waits for an answer.
const callTimeout = 1500 * time.Millisecond

// caller sends requests with one key to one host, one after the other, at an interval. It keeps its
// connection.
type caller struct {
	name, method, path, key string
	host                    *host
	interval                time.Duration
	record                  *record
	client                  *http.Client
	count                   atomic.Int64

	mu     sync.Mutex
	sentAt map[string]time.Time
	// statuses counts the answers by status, 0 for none.
	statuses map[int]int
}

// stateHost is the host name of all routes.
const stateHost = "shop.example"

func newCaller(name, method, path, key string, h *host, interval time.Duration, r *record) *caller {
	return &caller{
		name: name, method: method, path: path, key: key, host: h, interval: interval, record: r,
		client: &http.Client{Transport: &http.Transport{}, Timeout: callTimeout},
		sentAt: make(map[string]time.Time), statuses: make(map[int]int),
	}
}

// run sends requests until the context ends.
func (c *caller) run(ctx context.Context) {
	for ctx.Err() == nil {
		next := time.After(c.interval)
		c.call()
		select {
		case <-ctx.Done():
		case <-next:
		}
	}
	c.client.CloseIdleConnections()
}

// call sends one request and reads the answer.
func (c *caller) call() {
	id := fmt.Sprintf("%s-%d", c.name, c.count.Add(1))
	request, err := http.NewRequestWithContext(context.Background(), c.method, "http://"+c.host.front()+c.path+id, http.NoBody)
	if err != nil {
		return
	}
	request.Host = stateHost
	request.Header.Set(wire.RequestID, id)
	request.Header.Set(wire.Timeout, strconv.FormatInt(callTimeout.Milliseconds(), 10))
	request.Header.Set(headerEntryHost, c.host.Name)
	if c.key != "" {
		request.Header.Set("Authorization", "Bearer "+c.key)
	}
	c.mu.Lock()
	c.sentAt[id] = time.Now()
	c.mu.Unlock()
	status, text := c.send(request)
	c.mu.Lock()
	c.statuses[status]++
	c.mu.Unlock()
	c.record.add("answer to %s from host %s: %d %s", id, c.host.Name, status, text)
}

// send returns the status and the text of the answer, or 0 and the error.
func (c *caller) send(request *http.Request) (int, string) {
	response, err := c.client.Do(request)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, err.Error()
	}
	return response.StatusCode, strings.TrimSpace(string(body))
}

// sentTime returns when a request was sent.
func (c *caller) sentTime(id string) (time.Time, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	at, ok := c.sentAt[id]
	return at, ok
}

// answers returns the number of answers with a status.
func (c *caller) answers(status int) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.statuses[status]
}
