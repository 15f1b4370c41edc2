//go:build review

package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

// crashRepeats is what a case knows of the request that crashes servers.
type crashRepeats struct {
	d *deployment
	// path is that of the request.
	path string

	mu sync.Mutex
	// inTouch says of each attempt whether its host was in touch when it was sent.
	inTouch map[string]bool
}

// repeat sends the request that crashes servers once more to a host.
func (c *crashRepeats) repeat(ctx context.Context, h *host) {
	touch := h.inTouch(time.Now())
	id, _ := c.d.send(ctx, h, c.path, crashMark)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inTouch[id] = touch
}

// maxRetries is how many retries of a request that has crashed crashesAllowed servers may reach
// servers later than contactTime after that.
const (
	maxRetries     = 3
	crashesAllowed = 3
)

// check returns the retries that reached servers, if they are more than allowed.
func (c *crashRepeats) check() []string {
	var crashed []arrival
	for _, a := range c.d.runs() {
		if a.body == crashMark {
			crashed = append(crashed, a)
		}
	}
	sortArrivals(crashed)
	c.d.record.add("the request reached servers %d times", len(crashed))
	if len(crashed) < crashesAllowed {
		return nil
	}
	from := crashed[crashesAllowed-1].at.Add(crashDelay + contactTime)
	c.d.record.add("it had crashed the third server %s before %s", contactTime, c.d.record.at(from))
	c.mu.Lock()
	defer c.mu.Unlock()
	counted := make(map[string]bool)
	var late []string
	for _, a := range crashed {
		if a.at.Before(from) || !c.inTouch[a.id] || counted[a.id] {
			continue
		}
		counted[a.id] = true
		late = append(late, fmt.Sprintf("BUDGET: at %s retry %s of the request that crashes servers reached server %s from host %s, in touch", c.d.record.at(a.at), a.id, a.server, a.via))
	}
	c.d.record.add("%d retries reached servers after that from hosts in touch, %d are allowed", len(late), maxRetries)
	if len(late) <= maxRetries {
		return nil
	}
	return late
}

// restartAfterBlock restarts one host after the other, and sends the request that crashes servers
// again to each of them once it has been in touch.
func restartAfterBlock(ctx context.Context, d *deployment, trouble bool) ([]string, error) {
	if err := d.prepare(ctx, 4, func(*server) {}); err != nil {
		return nil, err
	}
	trafficCtx, stop := context.WithCancel(ctx)
	defer stop()
	sending := d.traffic(trafficCtx, 8, pathLookup, nil)
	c := &crashRepeats{d: d, path: pathLookup + "88/", inTouch: make(map[string]bool)}
	c.repeat(ctx, d.hosts[0])
	if err := pause(ctx, usualDownTime+2*time.Second); err != nil {
		return nil, err
	}
	for _, h := range d.hosts {
		if trouble {
			if err := h.stop(ctx); err != nil {
				return nil, err
			}
			if err := h.start(); err != nil {
				return nil, err
			}
			if err := h.awaitReady(ctx); err != nil {
				return nil, err
			}
		}
		if err := pause(ctx, contactTime+500*time.Millisecond); err != nil {
			return nil, err
		}
		for _, other := range d.hosts {
			if other != h {
				c.repeat(ctx, other)
			}
		}
		c.repeat(ctx, h)
		// The servers that have crashed come back.
		if err := pause(ctx, usualDownTime+500*time.Millisecond); err != nil {
			return nil, err
		}
	}
	stop()
	sending.Wait()
	return c.check(), nil
}

// repeatInterval is the time between two retries of the request that crashes servers, and
// sameIDTime how long they go on.
const (
	repeatInterval = time.Second
	sameIDTime     = 60 * time.Second
	// sameIDTraffic is the number of other requests a second in that case.
	sameIDTraffic = 45
	// shortDownTime is how long servers are down after a crash in that case. Their first reports
	// come before their old entries are removed.
	shortDownTime = 2 * time.Second
)

// restartUnderSameID lets servers that have crashed start again under the ID that they had. The
// request that crashes them comes again at a random host.
func restartUnderSameID(ctx context.Context, d *deployment, trouble bool) ([]string, error) {
	if err := d.prepare(ctx, 6, func(s *server) {
		s.keepsID, s.downTime, s.firstBeat = trouble, shortDownTime, heartbeatInterval/2
	}); err != nil {
		return nil, err
	}
	trafficCtx, stop := context.WithCancel(ctx)
	defer stop()
	sending := d.traffic(trafficCtx, sameIDTraffic, pathLookup, nil)
	c := &crashRepeats{d: d, path: pathPay + "88/", inTouch: make(map[string]bool)}
	for until := time.Now().Add(sameIDTime); time.Now().Before(until); {
		c.repeat(ctx, d.hosts[rand.IntN(len(d.hosts))])
		if err := pause(ctx, repeatInterval); err != nil {
			return nil, err
		}
	}
	stop()
	sending.Wait()
	return c.check(), nil
}

// sortArrivals orders arrivals by time.
func sortArrivals(all []arrival) {
	slices.SortFunc(all, func(a, b arrival) int { return a.at.Compare(b.at) })
}
