//go:build review

package main

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"time"
)

// Figures of the case watchers.
const (
	// watcherCount is how many hosts lose power, half of all.
	watcherCount = 3
	// leaveDelay is how long after that a server leaves.
	leaveDelay = 300 * time.Millisecond
	// darkTime is how long the hosts have no power.
	darkTime = 3 * time.Second
)

// watchers cuts the power of the hosts that have read the store most often. Right after that a server leaves
// without saying so before: its entry is removed, and it serves on. It judges whether the server gets requests
// from the other hosts, which nothing has happened to, later than drain_ms after the ack.
func watchers(w *world) error {
	if err := w.startTwoServices(); err != nil {
		return err
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	look := &consumers{world: w, method: http.MethodGet, target: "/look/1", limit: 1500 * time.Millisecond}
	group := look.run(ctx, 60, 60)
	readers := w.mostWatching(watcherCount, 5*time.Second)
	if w.trouble {
		for _, h := range readers {
			go h.kill()
		}
	}
	time.Sleep(leaveDelay)
	s := w.servers[0]
	s.withdraw()
	gone := time.Now()
	time.Sleep(darkTime - leaveDelay)
	if w.trouble {
		for _, h := range readers {
			if err := h.start(); err != nil {
				return err
			}
		}
	}
	time.Sleep(servesOn - darkTime)
	stop()
	group.Wait()
	return w.judgeDrain(s, gone, look, readers)
}

// mostWatching returns the hosts that have read the store most often in a time that begins now.
func (w *world) mostWatching(n int, during time.Duration) []*host {
	for _, h := range w.hosts {
		h.watches.Store(0)
	}
	time.Sleep(during)
	hosts := slices.Clone(w.hosts)
	slices.SortFunc(hosts, func(a, b *host) int { return int(b.watches.Load() - a.watches.Load()) })
	for _, h := range hosts {
		w.record.printf("host %s has watched the store %d times", h.name, h.watches.Load())
	}
	return hosts[:n]
}

// judgeDrain judges DRAIN: requests that reach a server later than drain_ms after its leaving was
// acknowledged, from hosts that nothing has happened to.
func (w *world) judgeDrain(s *server, gone time.Time, c *consumers, disturbed []*host) error {
	late, all := 0, 0
	var last time.Duration
	for _, a := range s.taken() {
		after := a.at.Sub(gone)
		if after > 0 {
			all++
		}
		calm := !slices.ContainsFunc(disturbed, func(h *host) bool { return h.front() == c.attempt(a.id).host })
		if after > drainTime && calm {
			late++
			last = max(last, after)
		}
	}
	w.say("%d requests reached %s after the ack, %d of them later than drain_ms, the last one %v after the ack", all, s.id, late, last)
	for _, h := range w.hosts {
		if !h.runs() {
			return errors.New("a host has ended")
		}
	}
	if late > 0 {
		return errBroken
	}
	return nil
}
