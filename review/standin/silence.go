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
	"time"
)

// Shape of the streams, as on the sheet of the Glyph Works: events that come evenly, but for a pause. A consumer leaves after patience without an event.
const (
	streamEvents  = 35
	eventInterval = 30 * time.Millisecond
	pauseAfter    = 10
	streamPause   = 1850 * time.Millisecond
	patience      = 2 * time.Second
	// streamDeadline is how long consumers of streams wait for the whole answer.
	streamDeadline = 10 * time.Second
)

// streams is how many streams run at the host that stops, each started streamGap after the one before.
const (
	streams   = 6
	streamGap = 50 * time.Millisecond
)

// newestBody is the body of the newest stream.
const newestBody = "caption, the newest"

// answerStream streams events from the one after the last that the request names. If there are pauses, the first run of
// the newest stream pauses, as one does that is preempted for want of memory.
func answerStream(s *server, pauses bool) func(w http.ResponseWriter, r *http.Request) bool {
	return func(w http.ResponseWriter, r *http.Request) bool {
		if !strings.HasPrefix(r.URL.Path, pathCaption) {
			return false
		}
		id := r.Header.Get(wire.RequestID)
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return true
		}
		last, err := strconv.Atoi(r.Header.Get(wire.LastEvent))
		if err != nil {
			last = 0
		}
		s.d.record.add("server %s streams request %s from event %d on", s.currentID(), id, last+1)
		w.Header().Set("Content-Type", "text/event-stream")
		w.Header().Set(wire.Stamp, newID("stamp-"))
		control := http.NewResponseController(w)
		for event := last + 1; event <= streamEvents; event++ {
			_, _ = fmt.Fprintf(w, "id: %d\ndata: piece %d\n\n", event, event)
			_ = control.Flush()
			wait := eventInterval
			if pauses && string(body) == newestBody && event == pauseAfter && last == 0 {
				wait = streamPause
			}
			select {
			case <-r.Context().Done():
				s.d.record.add("server %s: the channel of request %s ended after event %d", s.currentID(), id, event)
				return true
			case <-time.After(wait):
			}
		}
		s.d.record.add("server %s has streamed request %s to its end", s.currentID(), id)
		return true
	}
}

// stream sends a request for a stream to a host, and returns how many events came, why the answer
// ended, and whether the consumer left.
func (d *deployment) stream(ctx context.Context, h *host, id, body string) (events int, ended error, left bool) {
	ctx, cancel := context.WithTimeout(ctx, streamDeadline)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+h.at(portFront).String()+pathCaption+"1", strings.NewReader(body))
	if err != nil {
		return 0, err, false
	}
	r.Host = hostName
	r.Header.Set(wire.RequestID, id)
	r.Header.Set(wire.Deadline, strconv.FormatInt(streamDeadline.Milliseconds(), 10))
	r.Header.Set("Authorization", "Bearer "+apiKey)
	r.Header.Set(headerVia, h.name)
	impatient := time.AfterFunc(patience, cancel)
	defer impatient.Stop()
	d.record.add("consumer asks host %s for stream %s", h.name, id)
	response, err := client.Do(r)
	if err != nil {
		return 0, err, ctx.Err() != nil
	}
	defer func() { _ = response.Body.Close() }()
	buffer := make([]byte, 4096)
	for {
		n, err := response.Body.Read(buffer)
		if n > 0 {
			events += strings.Count(string(buffer[:n]), "id: ")
			impatient.Reset(patience)
		}
		if err == io.EOF {
			return events, nil, false
		}
		if err != nil {
			return events, err, ctx.Err() != nil
		}
	}
}

// silenceDuringStop stops a host on which streams run. One of the two servers of the service drains, so
// that there is no other one to which the streams can move. The disruption is that one of them pauses.
func silenceDuringStop(ctx context.Context, d *deployment, trouble bool) ([]string, error) {
	if err := d.prepare(ctx, 2, func(s *server) { s.answer = answerStream(s, trouble) }); err != nil {
		return nil, err
	}
	d.servers[1].drain()
	if err := pause(ctx, drainTime+time.Second); err != nil {
		return nil, err
	}
	h := d.hosts[0]
	var mu sync.Mutex
	var broken []string
	var running sync.WaitGroup
	for i := range streams {
		body := "caption " + newID("")
		if i == streams-1 {
			body = newestBody
		}
		running.Go(func() {
			id := newID("")
			events, err, left := d.stream(ctx, h, id, body)
			d.record.add("stream %s has ended after %d of %d events, error %v, consumer left: %v", id, events, streamEvents, err, left)
			if left || err == nil && events == streamEvents {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			broken = append(broken, fmt.Sprintf("LOST: stream %s was cut after %d of %d events: %v", id, events, streamEvents, err))
		})
		if err := pause(ctx, streamGap); err != nil {
			return nil, err
		}
	}
	if err := h.stop(ctx); err != nil {
		return nil, err
	}
	running.Wait()
	return broken, nil
}
