//go:build review

package main

import (
	"cmp"
	"context"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"
)

// Figures of play 16.
const (
	retryHosts = 3
	// windowBefore and windowAfter are the retry_window_s of the settings before and after they change.
	windowBefore, windowAfter = 10, 30
	// usualPerSecond is the usual traffic, and burstFactor what it is multiplied by in a burst.
	usualPerSecond = 28
	burstFactor    = 2.5
	// settleTime is how long after the change of the settings nothing is judged: it is longer than the
	// windows of before, and than those of after, for which a host withholds its part of the burst.
	settleTime = 34 * time.Second
	// roundTrip bounds the time from the sending of a request to its first arrival.
	consumerLimit = 4 * time.Second
)

// burstTime is how long a burst lasts.
const burstTime = 9500 * time.Millisecond

// bursts are when the bursts begin after settleTime. Each lasts burstTime.
var bursts = []time.Duration{0, 10 * time.Second, 21 * time.Second}

// playRetryWindow changes retry_window_s in the settings files while the hosts run, and then plays bursts in which
// servers are full. Without trouble the hosts start with the new settings.
func playRetryWindow(ctx context.Context, r *record, trouble bool) (bool, error) {
	w, err := newWorld(ctx, r)
	if err != nil {
		return false, err
	}
	defer w.close()
	if err := w.configure(1, 0, 0, route{name: "r-lookup", prefix: "/lookup/", kind: "safe", timeoutMS: 4000, goalMS: 300, attempts: 3}); err != nil {
		return false, err
	}
	for i := range 3 {
		if err := w.startServer(i, 6, 2, 400*time.Millisecond, 0); err != nil {
			return false, err
		}
	}
	before, after := usualBounds(), usualBounds()
	before.retryWindowS, after.retryWindowS = windowBefore, windowAfter
	if !trouble {
		before = after
	}
	if err := w.startHosts(retryHosts, before); err != nil {
		return false, err
	}
	if err := w.awaitReady(ctx); err != nil {
		return false, err
	}
	if trouble {
		for _, h := range w.hosts {
			if err := h.writeSettings(after); err != nil {
				return false, err
			}
			h.signal(syscall.SIGHUP)
		}
		r.printf("the platform has changed retry_window_s from %d to %d and sent SIGHUP", windowBefore, windowAfter)
	}
	start := time.Now()
	calls := w.pressServers(ctx, rateAt, settleTime+bursts[len(bursts)-1]+burstTime+2*time.Second)
	return w.judgeRetries(calls, after, start.Add(settleTime)), ctx.Err()
}

// rateAt returns the requests a second at a time after the start of the traffic.
func rateAt(since time.Duration) float64 {
	for _, b := range bursts {
		if since >= settleTime+b && since < settleTime+b+burstTime {
			return usualPerSecond * burstFactor
		}
	}
	return usualPerSecond
}

// pressServers sends traffic of a rate, which depends on the time since its start, until an end. Each request comes at
// its time, whatever became of the others.
func (w *world) pressServers(ctx context.Context, rate func(since time.Duration) float64, end time.Duration) []call {
	var mu sync.Mutex
	var calls []call
	var idle [retryHosts][]*consumer
	var all sync.WaitGroup
	start := time.Now()
	next := start
	for i := 0; time.Since(start) < end && ctx.Err() == nil; i++ {
		time.Sleep(time.Until(next))
		next = next.Add(time.Duration(float64(time.Second) / rate(time.Since(start))))
		at := i % retryHosts
		mu.Lock()
		c := &consumer{host: w.hosts[at]}
		if n := len(idle[at]); n > 0 {
			c, idle[at] = idle[at][n-1], idle[at][:n-1]
		}
		mu.Unlock()
		all.Go(func() {
			done := c.send(ctx, http.MethodGet, "/lookup/order", 0, 0, consumerLimit)
			mu.Lock()
			defer mu.Unlock()
			calls = append(calls, done)
			idle[at] = append(idle[at], c)
		})
	}
	all.Wait()
	for _, list := range idle {
		for _, c := range list {
			c.drop()
		}
	}
	return calls
}

// judgeRetries reports whether some window that begins after a time, or a second before it, has more arrivals beyond the
// first of each request than the bound allows.
func (w *world) judgeRetries(calls []call, b bounds, begin time.Time) bool {
	arrivals := w.allArrivals()
	slices.SortFunc(arrivals, func(a, b arrival) int { return a.at.Compare(b.at) })
	seen := make(map[string]bool)
	var again, sent []time.Time
	for _, a := range arrivals {
		if seen[a.id] {
			again = append(again, a.at)
		}
		seen[a.id] = true
	}
	statuses := make(map[int]int)
	for _, c := range calls {
		sent = append(sent, c.sentAt)
		statuses[c.status]++
	}
	slices.SortFunc(sent, func(a, b time.Time) int { return a.Compare(b) })
	window := time.Duration(b.retryWindowS * float64(time.Second))
	w.record.printf("%d requests, %d arrivals, %d of them beyond the first; answers by status: %v", len(calls), len(arrivals), len(again), statuses)
	worst, broken := -1e9, false
	for _, end := range again {
		from := end.Add(-window)
		if from.Before(begin.Add(-time.Second)) {
			continue
		}
		most := max(countIn(sent, from, end), countIn(sent, from.Add(-window), from), countIn(sent, from.Add(-window/2), end.Add(-window/2)))
		allowed := b.retryRatio*float64(most) + float64(b.retryBurst)
		got := countIn(again, from, end)
		if over := float64(got) - allowed; over > worst {
			worst = over
			w.record.printf("window of %g s that ends at %.3f: %d arrivals beyond the first, %d requests for the service, %.0f allowed",
				b.retryWindowS, end.Sub(w.record.start).Seconds(), got, most, allowed)
		}
		broken = broken || float64(got) > allowed
	}
	return broken
}

// countIn returns the number of times after one and up to another, of times in order.
func countIn(times []time.Time, after, upTo time.Time) int {
	first, _ := slices.BinarySearchFunc(times, after, func(t, at time.Time) int { return cmp.Or(t.Compare(at), -1) })
	last, _ := slices.BinarySearchFunc(times, upTo, func(t, at time.Time) int { return cmp.Or(t.Compare(at), -1) })
	return last - first
}
