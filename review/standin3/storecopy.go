//go:build review

package main

import (
	"context"
	"net/http"
	"sync"
	"time"

	"lavenderrack.example/lavenderrack/platform/standin"
)

// Figures of case 12.
const (
	copyHosts = 3
	// copyRate is the requests a second.
	copyRate = 60
	// drainTime is drain_ms of the settings.
	drainTime = 2 * time.Second
	// Times after the start of the traffic: of the copy of the store, of the end of a server's entry, and of the
	// store's loss. The store is away for storeAway, and then comes back from the copy.
	copiedAt, entryEndsAt, storeLostAt = 3 * time.Second, 4 * time.Second, 7 * time.Second
	storeAway                          = 500 * time.Millisecond
	// rewriteTime is how long after that the operator and the servers have written again what they wrote.
	rewriteTime = time.Second
	// serverEndsAt is when the server that leaves exits, and copyTraffic how long the traffic lasts.
	serverEndsAt, copyTraffic = 12 * time.Second, 14 * time.Second
)

// playStoreCopy plays a store that comes back from a copy which still has the entry of a server that has left.
func playStoreCopy(ctx context.Context, r *record, trouble bool) (bool, error) {
	w, err := newWorld(ctx, r)
	if err != nil {
		return false, err
	}
	defer w.close()
	routes := []route{
		{name: "r-pay", prefix: "/pay/", kind: "unsafe", timeoutMS: 800, goalMS: 300, attempts: 1},
		{name: "r-lookup", prefix: "/lookup/", kind: "safe", timeoutMS: 800, goalMS: 300, attempts: 2},
	}
	if err := w.configure(1, 0, 0, routes...); err != nil {
		return false, err
	}
	for i := range 3 {
		if err := w.startServer(i, 6, 24, 60*time.Millisecond, 0); err != nil {
			return false, err
		}
	}
	if err := w.startHosts(copyHosts, usualBounds()); err != nil {
		return false, err
	}
	if err := w.awaitReady(ctx); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	start := time.Now()
	var calls []call
	var traffic sync.WaitGroup
	traffic.Go(func() { calls = w.sendMixed(ctx, copyTraffic) })
	leaving := w.servers[2]
	time.Sleep(time.Until(start.Add(copiedAt)))
	copied := w.store.Copy()
	r.printf("the store is copied")
	time.Sleep(time.Until(start.Add(entryEndsAt)))
	leaving.endEntry(w)
	leftAt := time.Now()
	r.printf("the store has acknowledged the end of the entry of %s, which never reports draining", leaving.id)
	time.Sleep(time.Until(start.Add(storeLostAt)))
	if trouble {
		w.restore(copied, routes, leaving)
	}
	time.Sleep(time.Until(start.Add(serverEndsAt)))
	_ = leaving.http.Close()
	r.printf("%s exits", leaving.id)
	traffic.Wait()
	return w.judgeDrain(leaving, leftAt, start.Add(storeLostAt), calls), ctx.Err()
}

// endEntry removes the entry of a server for good.
func (s *server) endEntry(w *world) {
	s.mu.Lock()
	s.left = true
	s.mu.Unlock()
	w.store.Remove(names.PrefixServers + s.id)
}

// restore lets the store be away for a moment and come back from a copy. The operator and the servers write again
// what they wrote since.
func (w *world) restore(copied *standin.StoreCopy, routes []route, leaving *server) {
	w.store.SetMode(standin.ModeBusy)
	w.record.printf("the store is away")
	time.Sleep(storeAway)
	w.store.Restore(copied)
	w.store.SetMode(standin.ModeUp)
	w.record.printf("the store is back from the copy")
	time.Sleep(rewriteTime)
	if err := w.configure(1, 0, 0, routes...); err != nil {
		w.record.printf("the operator could not write: %v", err)
	}
	w.store.Remove(names.PrefixServers + leaving.id)
	w.record.printf("the operator and the servers have written again what they wrote, and the end of the entry of %s too", leaving.id)
}

// sendMixed sends requests of both routes for a time. Each comes at its time, whatever became of the others.
func (w *world) sendMixed(ctx context.Context, lasts time.Duration) []call {
	var mu sync.Mutex
	var calls []call
	var idle [copyHosts][]*consumer
	var all sync.WaitGroup
	start := time.Now()
	for i := 0; time.Since(start) < lasts && ctx.Err() == nil; i++ {
		time.Sleep(time.Until(start.Add(time.Duration(i) * time.Second / copyRate)))
		at := i % copyHosts
		mu.Lock()
		c := &consumer{host: w.hosts[at]}
		if n := len(idle[at]); n > 0 {
			c, idle[at] = idle[at][n-1], idle[at][:n-1]
		}
		mu.Unlock()
		method, path, size := http.MethodGet, "/lookup/order", 0
		if i/copyHosts%2 == 0 {
			method, path, size = http.MethodPost, "/pay/2f", 600
		}
		all.Go(func() {
			done := c.send(ctx, method, path, size, 0, 1500*time.Millisecond)
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

// judgeDrain reports whether a request that came later than drainTime after the end of its entry reached a server.
func (w *world) judgeDrain(s *server, leftAt, lostAt time.Time, calls []call) bool {
	sentAt := make(map[string]time.Time)
	statuses := make(map[int]int)
	for _, c := range calls {
		sentAt[c.id] = c.sentAt
		statuses[c.status]++
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	before, inTime, between, late := 0, 0, 0, 0
	for _, a := range s.arrivals {
		since := a.at.Sub(leftAt)
		switch {
		case since <= 0:
			before++
		case since <= drainTime:
			inTime++
		default:
			late++
			if a.at.Before(lostAt) {
				between++
			}
			w.record.printf("request %s, sent by its consumer %.3f s after the acknowledgement, reaches %s %.3f s after it, run: %v",
				a.id, sentAt[a.id].Sub(leftAt).Seconds(), s.id, since.Seconds(), a.ran)
		}
	}
	w.record.printf("answers by status: %v", statuses)
	w.record.printf("%s: %d requests before the end of its entry, %d within drain_ms after it, %d later, %d of these before the store was lost",
		s.id, before, inTime, late, between)
	return late > 0
}
