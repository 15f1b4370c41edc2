//go:build review

package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// arrival is a request that has reached a server.
type arrival struct {
	at     time.Time
	server string
	id     string
	ran    bool
}

// server is a sound server: a number of requests run at a time, a few more wait, and it rejects others.
type server struct {
	id, zone string
	address  string
	slots    int
	queue    int
	work     time.Duration
	http     *http.Server
	born     int64
	// coldMS is how long the server stays cold, in milliseconds, as it says at any time.
	coldMS int

	mu sync.Mutex
	// left is true once the server's entry has ended for good.
	left     bool
	inside   int
	places   chan struct{}
	arrivals []arrival
}

// startServer starts a server and writes its entry.
func (w *world) startServer(number, slots, queue int, work time.Duration, coldMS int) error {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return err
	}
	s := &server{
		id: fmt.Sprintf("i-%08x", 0xeb5e4300+number), zone: zones[number%3], address: l.Addr().String(),
		slots: slots, queue: queue, work: work, born: time.Now().UnixMilli(), coldMS: coldMS, places: make(chan struct{}, slots),
	}
	s.http = &http.Server{Handler: s, ReadHeaderTimeout: 5 * time.Second, IdleTimeout: 4 * time.Second}
	go func() { _ = s.http.Serve(l) }()
	w.servers = append(w.servers, s)
	w.store.Put(names.PrefixServers+s.id, s.entry(1))
	return nil
}

// entry returns the value of the server's entry in the store.
func (s *server) entry(seq int) string {
	return fmt.Sprintf(wireText("entry.json.fmt"),
		service, s.address, s.zone, s.slots, s.coldMS, seq, s.born)
}

// hasLeft reports whether the server's entry has ended for good.
func (s *server) hasLeft() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.left
}

// enter takes a place in the queue, or returns false.
func (s *server) enter() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.inside >= s.slots+s.queue {
		return false
	}
	s.inside++
	return true
}

func (s *server) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inside--
}

// note records an arrival.
func (s *server) note(id string, ran bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.arrivals = append(s.arrivals, arrival{at: time.Now(), server: s.id, id: id, ran: ran})
}

// ServeHTTP implements http.Handler.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(names.RequestID)
	w.Header().Set(names.Instance, s.id)
	if id != "" {
		w.Header().Set(names.RequestID, id)
	}
	if want := r.Header.Get(names.Expected); want != "" && want != s.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.URL.Path == names.PathReport || r.URL.Path == "/health" {
		return
	}
	length, err := io.Copy(io.Discard, r.Body)
	if err != nil {
		return
	}
	if !s.enter() {
		s.note(id, false)
		w.Header().Set(names.NotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer s.leave()
	select {
	case s.places <- struct{}{}:
	case <-r.Context().Done():
		s.note(id, false)
		return
	}
	defer func() { <-s.places }()
	s.note(id, true)
	if strings.HasPrefix(r.URL.Path, streamPrefix) {
		s.stream(w, r)
		return
	}
	select {
	case <-time.After(s.work):
	case <-r.Context().Done():
		return
	}
	w.Header().Set(names.Stamp, "3e1b."+id)
	w.Header().Set(names.Load, fmt.Sprintf("%d,0,%d", min(s.inside, s.slots), s.slots))
	_, _ = io.WriteString(w, answerBody(id, int(length)))
}

// answerBody is the whole body of the answer to a request.
func answerBody(id string, length int) string {
	return "answer to " + id + " of " + strconv.Itoa(length) + "\n"
}

// allArrivals returns what has reached all servers.
func (w *world) allArrivals() []arrival {
	var all []arrival
	for _, s := range w.servers {
		s.mu.Lock()
		all = append(all, s.arrivals...)
		s.mu.Unlock()
	}
	return all
}
