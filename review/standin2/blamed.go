//go:build review

package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"time"
)

// Figures of the case blamed. The engine is that of the sheet of the sticker shop.
const (
	// events and eventGap make a stream of about 5 s.
	events   = 100
	eventGap = 50 * time.Millisecond
	// budgetTime is how long hosts run before they may use their part of the burst of a retry budget.
	budgetTime = 15 * time.Second
	// firstPrompts is how many prompts a second come for a time that is shorter than a stream. The crashes
	// begin in the middle of it, crashGap apart.
	firstPrompts     = 15
	firstPromptsTime = 2 * time.Second
	crashGap         = 300 * time.Millisecond
	downTime         = 4 * time.Second
	// promptsPerSecond is the traffic that is judged.
	promptsPerSecond = 4
)

// blamed lets the three servers of a service crash one after the other, for no reason that lies in a request,
// while they run prompts that share a segment. They come back some seconds later. It judges how often prompts
// with that segment are served in the steady state after that, against the requests of another route.
func blamed(w *world) error {
	if err := w.startModel(); err != nil {
		return err
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	first := &consumers{world: w, method: http.MethodGet, target: "/first/1", limit: 1500 * time.Millisecond}
	group := first.run(ctx, 20, firstPerSecond)
	prompts := &consumers{world: w, method: http.MethodPost, target: "/prompt/", limit: 10 * time.Second, prompts: true}
	begin := time.Now()
	beforeCtx, endBefore := context.WithTimeout(ctx, firstPromptsTime)
	defer endBefore()
	before := prompts.run(beforeCtx, 60, firstPrompts)
	time.Sleep(firstPromptsTime / 2)
	if w.trouble {
		w.crashInTurn("model")
	}
	before.Wait()
	time.Sleep(downTime + calmTime)
	judged := time.Now()
	judgedCtx, end := context.WithTimeout(ctx, judgedTime)
	defer end()
	prompts.run(judgedCtx, 60, promptsPerSecond).Wait()
	stop()
	group.Wait()
	w.reportShare("prompts before", prompts, begin, judged)
	w.reportShare("first route afterwards", first, judged, time.Now())
	w.reportShare("prompts afterwards", prompts, judged, time.Now())
	return judgeLaterRoute(first, prompts, judged, time.Now())
}

// startModel starts an installation with a route to a plain service, and adds a route to a model service.
func (w *world) startModel() error {
	c := newConfig()
	c.add(service{Name: "first", Channels: plainChannels}, plainRoute("/first/", kindSafe, 2))
	w.configure(c)
	for _, zone := range zones {
		if err := w.addServer("first-"+zone, "first", zone, 6, answerAfter(60*time.Millisecond)); err != nil {
			return err
		}
		if err := w.addServer("model-"+zone, "model", zone, 16, answerStream); err != nil {
			return err
		}
	}
	if err := w.addHosts(6); err != nil {
		return err
	}
	if err := w.startHosts(); err != nil {
		return err
	}
	c.add(service{Name: "model", Channels: modelChannels, Warmup: warmup, WarmupPerSecond: warmupPerSecond, Engine: true}, route{
		Prefix: "/prompt/", Kind: kindStreaming, Timeout: 10 * time.Second, Goal: 1500 * time.Millisecond, Attempts: 2,
		Prompts: true, Pause: 500 * time.Millisecond,
	})
	w.configure(c)
	time.Sleep(budgetTime)
	return nil
}

// crashInTurn lets the servers of a service crash, always the one that runs most, and start again after
// downTime.
func (w *world) crashInTurn(service string) {
	left := slices.DeleteFunc(slices.Clone(w.servers), func(s *server) bool { return s.service != service })
	for len(left) > 0 {
		slices.SortFunc(left, func(a, b *server) int { return int(b.running.Load() - a.running.Load()) })
		s := left[0]
		left = left[1:]
		s.crash()
		time.AfterFunc(downTime, func() {
			if err := s.start(); err != nil {
				w.record.printf("server %s doesn't start: %v", s.id, err)
			}
		})
		time.Sleep(crashGap)
	}
}

// answerStream answers with a stream of events, which begins after the event that the request names.
func answerStream(s *server, c net.Conn, r *http.Request) bool {
	last := 0
	if n, err := strconv.Atoi(r.Header.Get(wire.LastEvent)); err == nil {
		last = n
	}
	_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%sContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", s.headers(r))
	for id := last + 1; id <= events && err == nil; id++ {
		time.Sleep(eventGap)
		event := fmt.Sprintf("id: %d\ndata: token\n\n", id)
		_, err = fmt.Fprintf(c, "%x\r\n%s\r\n", len(event), event)
	}
	if err != nil {
		return false
	}
	_, err = io.WriteString(c, "0\r\n\r\n")
	return err == nil
}
