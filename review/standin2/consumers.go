//go:build review

package main

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// Behaviour of consumers, as the pages describe it.
const (
	// retries is how often a consumer sends a request once more within its time limit.
	retries = 1
	// maxPauseFraction is the part of the time left that a consumer waits at most before that.
	maxPauseFraction = 1.0 / 3
	// directories is how many directories a consumer asks, and directoryTime how long it waits for each.
	directories   = 3
	directoryTime = time.Second
)

// sent is one request of a consumer, which may take several attempts.
type sent struct {
	at     time.Time
	served bool
}

// attempt is one attempt at a request: when it was sent, and to which host.
type attempt struct {
	at   time.Time
	host string
}

// consumers send requests at a mean rate, independent of the answers.
type consumers struct {
	world          *world
	method, target string
	limit          time.Duration
	// prompts is true if each request is a prompt with a segment that all share, and one of its own.
	prompts bool
	// key is their key, apiKey if it is empty.
	key string

	mu   sync.Mutex
	sent []sent
	// attempts are all attempts, by request ID.
	attempts map[string]attempt
}

// run lets a number of consumers send requests until the context ends, perSecond together.
func (c *consumers) run(ctx context.Context, count int, perSecond float64) *sync.WaitGroup {
	var group sync.WaitGroup
	mean := time.Duration(float64(count) / perSecond * float64(time.Second))
	for range count {
		group.Go(func() {
			one := &consumer{world: c.world}
			defer one.close()
			for ctx.Err() == nil {
				sleep(ctx, time.Duration(rand.ExpFloat64()*float64(mean)))
				if ctx.Err() == nil {
					c.send(one)
				}
			}
		})
	}
	return &group
}

// sharedSegment is the segment that all prompts share.
const sharedSegment = "5c1e07a2:40"

// send sends a request, and once more if it was not served and may be repeated.
func (c *consumers) send(one *consumer) {
	s := sent{at: time.Now()}
	end := s.at.Add(c.limit)
	for n := 0; n <= retries && time.Until(end) > 0; n++ {
		q := request{id: newRequestID(), method: c.method, target: c.target, deadline: time.Until(end), key: c.key}
		if c.prompts {
			q.target += q.id
			q.segments = sharedSegment + "," + q.id + ":4960"
		}
		sentAt := time.Now()
		p := one.do(q)
		s.served = p.err == nil && p.status == http.StatusOK
		c.recordAttempt(q.id, attempt{at: sentAt, host: one.at})
		c.world.record.at(sentAt, "consumer: %s sent to %s", q.id, one.at)
		c.world.record.printf("consumer: %s answered with status %d, error %v", q.id, p.status, p.err)
		if s.served || !c.mayRepeat(p) {
			break
		}
		one.close()
		time.Sleep(min(retryAfter(p), time.Duration(maxPauseFraction*float64(max(time.Until(end), 0)))))
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sent = append(c.sent, s)
}

// mayRepeat reports whether a consumer sends a request once more after an answer: any that is safe, and
// others after the promise that they have not run.
func (c *consumers) mayRepeat(p reply) bool {
	return c.method == http.MethodGet || p.err == nil && p.status == http.StatusServiceUnavailable
}

func (c *consumers) recordAttempt(id string, a attempt) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.attempts == nil {
		c.attempts = make(map[string]attempt)
	}
	c.attempts[id] = a
}

// attempt returns the attempt with a request ID.
func (c *consumers) attempt(id string) attempt {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.attempts[id]
}

// share returns how many requests were sent in a span, and how many of them were served.
func (c *consumers) share(from, until time.Time) (all, served int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, s := range c.sent {
		if s.at.Before(from) || !s.at.Before(until) {
			continue
		}
		all++
		if s.served {
			served++
		}
	}
	return all, served
}

// retryAfter returns when a consumer should come back.
func retryAfter(p reply) time.Duration {
	if p.header == nil {
		return 0
	}
	seconds, err := strconv.ParseFloat(p.header.Get("Retry-After"), 64)
	if err != nil {
		return 0
	}
	return time.Duration(seconds * float64(time.Second))
}

// consumer is one consumer, who learns from a directory to which hosts it may connect.
type consumer struct {
	channel
	world *world
	// at is the host of the open channel.
	at string
	// known are the addresses of the last directory answer, which holds until a time, and failed those of
	// them that have failed the consumer.
	known  []string
	until  time.Time
	failed map[string]bool
}

// do sends a request over the open channel, or over a new one.
func (c *consumer) do(q request) reply {
	if time.Now().After(c.until) {
		c.resolve()
	}
	if !slices.Contains(c.known, c.at) {
		c.close()
	}
	if c.conn == nil {
		c.at = c.pick()
	}
	p := c.channel.do(c.at, q)
	if p.err != nil {
		c.failed[c.at] = true
	}
	return p
}

// pick returns one of the known addresses, one that has not failed if there is one.
func (c *consumer) pick() string {
	var good []string
	for _, a := range c.known {
		if !c.failed[a] {
			good = append(good, a)
		}
	}
	if len(good) == 0 {
		good = c.known
	}
	if len(good) == 0 {
		return c.world.hosts[0].front()
	}
	return good[rand.IntN(len(good))]
}

// resolve asks directories until one answers. Without an answer the last one holds on.
func (c *consumer) resolve() {
	if c.failed == nil {
		c.failed = make(map[string]bool)
	}
	hosts := c.world.hosts
	for _, i := range rand.Perm(len(hosts))[:min(directories, len(hosts))] {
		if c.ask(hosts[i]) {
			return
		}
	}
}

// ask asks the directory of a host. It reports whether that has answered.
func (c *consumer) ask(h *host) bool {
	ctx, cancel := context.WithTimeout(context.Background(), directoryTime)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, h.directory()+wire.PathResolve+"?name="+hostName+"&region=r&zone="+h.zone, http.NoBody)
	if err != nil {
		return false
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }()
	var answer struct {
		Addresses []string `json:"addresses"`
		TTL       float64  `json:"ttl_s"`
	}
	if response.StatusCode != http.StatusOK || json.NewDecoder(response.Body).Decode(&answer) != nil || len(answer.Addresses) == 0 {
		return false
	}
	c.known, c.failed = answer.Addresses, make(map[string]bool)
	c.until = time.Now().Add(time.Duration(answer.TTL * float64(time.Second)))
	return true
}

// sleep waits for a time, or until the context ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
