//go:build review

package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Figures of case 11.
const (
	// memoryHosts and memoryServers are as many machines and model servers as a small deployment has.
	memoryHosts, memoryServers = 6, 16
	memorySlots, memoryQueue   = 16, 32
	// readers is the number of consumers. The servers run more requests at once.
	readers = 160
	// largeBody is the size that the limits of the desired state allow.
	largeBody = 4194304
	// lookupWork is how long a server works on a lookup.
	lookupWork = 60 * time.Millisecond
	// uploadRate is what a consumer sends, in bytes a second. All consumers together stay below the links of three
	// machines.
	uploadRate = 1_200_000
	// reviewLimit is the time limit of the requests.
	reviewLimit = 15 * time.Second
	// lossAt is when the zone is lost, after the start of the traffic, and trafficTime how long that lasts.
	lossAt, trafficTime = 12 * time.Second, 36 * time.Second
	// lossTime is how long the zone is lost.
	lossTime = 20 * time.Second
	// allowedLost is how many requests may be lost.
	allowedLost = 3
)

// lostZone is the zone with half of the machines, as in the small deployment.
const lostZone = "khomas-a"

// playMemory plays the loss of a zone while the consumers review large documents, and ends each process whose
// memory exceeds memory_mb, as the platform does.
func playMemory(ctx context.Context, r *record, trouble bool) (bool, error) {
	w, err := newWorld(ctx, r)
	if err != nil {
		return false, err
	}
	defer w.close()
	routes := []route{
		{name: "r-review", prefix: streamPrefix, kind: "streaming", timeoutMS: 15000, goalMS: 3000, attempts: 2},
		{name: "r-lookup", prefix: "/lookup/", kind: "safe", timeoutMS: 4000, goalMS: 300, attempts: 2},
	}
	if err := w.configure(1, 0, 0, routes...); err != nil {
		return false, err
	}
	for i := range memoryServers {
		if err := w.startServer(i, memorySlots, memoryQueue, lookupWork, 0); err != nil {
			return false, err
		}
	}
	b := usualBounds()
	if err := w.startHosts(memoryHosts, b); err != nil {
		return false, err
	}
	if err := w.awaitReady(ctx); err != nil {
		return false, err
	}
	watched, stopWatch := context.WithCancel(ctx)
	var watchers sync.WaitGroup
	for _, h := range w.hosts {
		watchers.Go(func() { h.watchMemory(watched) })
	}
	if trouble {
		watchers.Go(func() { w.loseZone(watched) })
	}
	calls := w.review(ctx)
	stopWatch()
	watchers.Wait()
	return w.judgeLost(calls), ctx.Err()
}

// loseZone takes the machines of a zone away for a time.
func (w *world) loseZone(ctx context.Context) {
	select {
	case <-ctx.Done():
		return
	case <-time.After(lossAt):
	}
	w.record.printf("zone %s is without power", lostZone)
	for _, h := range w.hosts {
		if h.zone == lostZone {
			h.setRestart(lossTime)
			h.signal(syscall.SIGKILL)
		}
	}
}

// watchMemory kills the process when it holds more than memory_mb.
func (h *host) watchMemory(ctx context.Context) {
	killed := 0
	for ctx.Err() == nil {
		pid, kb := h.anonymousKB()
		h.peakKB = max(h.peakKB, kb)
		if kb > h.memoryMB<<10 && pid != killed {
			killed = pid
			h.killedFor++
			h.world.record.printf("%s holds %d KB, over memory_mb = %d: the platform kills it", h.name, kb, h.memoryMB)
			h.signal(syscall.SIGKILL)
		}
		time.Sleep(10 * time.Millisecond)
	}
	h.world.record.printf("%s held %d KB at most", h.name, h.peakKB)
}

// review lets all consumers send documents until trafficTime has passed. On a new channel each begins with a lookup.
func (w *world) review(ctx context.Context) []call {
	var mu sync.Mutex
	var calls []call
	until := time.Now().Add(trafficTime)
	var all sync.WaitGroup
	for i := range readers {
		all.Go(func() {
			time.Sleep(time.Duration(i) * 5 * time.Second / readers)
			c := &consumer{host: w.resolve(nil)}
			defer func() { c.drop() }()
			for time.Now().Before(until) && ctx.Err() == nil {
				var done call
				if c.conn == nil {
					done = c.send(ctx, http.MethodGet, "/lookup/order", 0, 0, consumerLimit)
				} else {
					done = c.sendReview(ctx, largeBody)
				}
				mu.Lock()
				calls = append(calls, done)
				mu.Unlock()
				if done.err != nil {
					c.drop()
					time.Sleep(200 * time.Millisecond)
					c = &consumer{host: w.resolve(c.host)}
				} else if done.status != http.StatusOK {
					time.Sleep(time.Second)
				}
			}
		})
	}
	all.Wait()
	return calls
}

// resolve asks the directory for an address, other than one that has failed.
func (w *world) resolve(failed *host) *host {
	client := &http.Client{Timeout: time.Second}
	for _, i := range rand.Perm(len(w.hosts)) {
		response, err := client.Get("http://" + w.hosts[i].at(directoryPort) + names.PathResolve + "?name=" + hostName + "&region=khomas&zone=khomas-b")
		if err != nil {
			continue
		}
		var answer struct {
			Addresses []string `json:"addresses"`
		}
		err = json.NewDecoder(response.Body).Decode(&answer)
		_ = response.Body.Close()
		if err != nil {
			continue
		}
		for _, k := range rand.Perm(len(answer.Addresses)) {
			for _, h := range w.hosts {
				if h.at(frontPort) == answer.Addresses[k] && (h != failed || len(answer.Addresses) == 1) {
					return h
				}
			}
		}
	}
	return w.hosts[rand.IntN(len(w.hosts))]
}

// sendReview sends a document and reads the stream of the answer.
func (c *consumer) sendReview(ctx context.Context, size int) call {
	out := call{id: newID(), host: c.host, method: http.MethodPost, path: streamPrefix + "2f", size: size, sentAt: time.Now()}
	out.err = c.exchangeStream(ctx, &out)
	out.endedAt = time.Now()
	return out
}

func (c *consumer) exchangeStream(ctx context.Context, out *call) error {
	if err := c.open(ctx, reviewLimit); err != nil {
		return err
	}
	out.kept = c.uses > 0
	stop := context.AfterFunc(ctx, func() { _ = c.conn.Close() })
	defer stop()
	if err := c.sendHead(out, reviewLimit); err != nil {
		return err
	}
	if err := c.sendBody(ctx, out.size, uploadRate); err != nil {
		return err
	}
	response, err := http.ReadResponse(c.reader, &http.Request{Method: out.method})
	if err != nil {
		return err
	}
	out.status = response.StatusCode
	lines := bufio.NewScanner(response.Body)
	events := 0
	for lines.Scan() {
		if strings.HasPrefix(lines.Text(), "id: ") {
			events++
			out.answered = true
		}
	}
	if err := lines.Err(); err != nil {
		return err
	}
	out.whole = out.status == http.StatusOK && events == streamEvents
	c.uses++
	if response.Close {
		c.drop()
	}
	return nil
}

// judgeLost reports whether more than allowedLost requests from kept channels reached a sound server and got no
// answer at all, although their machines were in touch: those of the lost zone are left out.
func (w *world) judgeLost(calls []call) bool {
	ran := make(map[string]bool)
	for _, a := range w.allArrivals() {
		ran[a.id] = ran[a.id] || a.ran
	}
	lost, served, refused, broken, failed := 0, 0, 0, 0, 0
	for _, c := range calls {
		switch {
		case c.whole:
			served++
		case c.err == nil:
			refused++
		case c.host.wasLost():
		case c.answered:
			broken++
		default:
			failed++
			if c.kept && ran[c.id] {
				lost++
			}
			w.record.printf("request %s to %s, %d bytes, sent at %.3f on a kept channel: %v, a server ran it: %v, no answer: %v",
				c.id, c.host.name, c.size, c.sentAt.Sub(w.record.start).Seconds(), c.kept, ran[c.id], c.err)
		}
	}
	ends := 0
	for _, h := range w.hosts {
		ends += h.killedFor
	}
	w.record.printf("%d served, %d refused; at the machines of the other zones: %d broken off, %d without any answer, of which %d had been passed on from a kept channel",
		served, refused, broken, failed, lost)
	w.record.printf("%d ends of processes for want of memory", ends)
	return lost > allowedLost
}

// streamPrefix is the prefix of the route whose answers are streams.
const streamPrefix = "/review/"

// The stream of an answer: its first event comes after firstEventAfter, and further ones each eventInterval.
const (
	streamEvents    = 17
	firstEventAfter = 2600 * time.Millisecond
	eventInterval   = 250 * time.Millisecond
)

// stream sends the events of an answer after the one that the request names.
func (s *server) stream(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(names.Stamp, "3e1b."+r.Header.Get(names.RequestID))
	w.Header().Set("Content-Type", "text/event-stream")
	id := 0
	_, _ = fmt.Sscan(r.Header.Get(names.LastEvent), &id)
	wait := firstEventAfter
	for id++; id <= streamEvents; id++ {
		select {
		case <-time.After(wait):
		case <-r.Context().Done():
			return
		}
		wait = eventInterval
		if _, err := fmt.Fprintf(w, "id: %d\ndata: a piece of the answer\n\n", id); err != nil {
			return
		}
		if http.NewResponseController(w).Flush() != nil {
			return
		}
	}
}
