//go:build review

package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// beatInterval is the time between two writes of a server's entry, as in the settings.
const beatInterval = 1200 * time.Millisecond

// arrival is a request that has reached a server.
type arrival struct {
	at              time.Time
	id, method      string
	target, service string
}

// answer writes the answer to a request that a server runs. It returns false if the connection ends.
type answer func(s *server, c net.Conn, r *http.Request) bool

// server is a server of the platform. It registers itself in the store and answers what names it.
type server struct {
	id, service, zone string
	slots             int
	answer            answer
	world             *world

	addr    string
	running atomic.Int64

	mu       sync.Mutex
	listener net.Listener
	conns    map[net.Conn]bool
	born     int64
	seq      int
	state    string
	stopBeat context.CancelFunc
	arrivals []arrival
}

// start starts the server, or starts it again at its address, and registers it.
func (s *server) start() error {
	at := s.addr
	if at == "" {
		at = s.world.address + ":0"
	}
	var config net.ListenConfig
	l, err := config.Listen(context.Background(), "tcp4", at)
	if err != nil {
		return err
	}
	ctx, stop := context.WithCancel(context.Background())
	s.mu.Lock()
	s.addr, s.listener, s.conns = l.Addr().String(), l, make(map[net.Conn]bool)
	s.born, s.seq, s.state, s.stopBeat = time.Now().UnixMilli(), 0, "ready", stop
	s.mu.Unlock()
	s.world.record.printf("server %s starts at %s, service %s", s.id, s.addr, s.service)
	go s.accept(l)
	s.beat(ctx)
	go func() {
		// Servers ping at times of their own.
		sleep(ctx, rand.N(beatInterval))
		s.beat(ctx)
		tick := time.NewTicker(beatInterval)
		defer tick.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-tick.C:
				s.beat(ctx)
			}
		}
	}()
	return nil
}

// crash ends the server at once. It says nothing to anybody, and its entry stays.
func (s *server) crash() {
	s.world.record.printf("server %s crashes", s.id)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopBeat()
	_ = s.listener.Close()
	for c := range s.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			// The other side gets a reset, as from a process that ends with unread data.
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
}

// beat writes the server's entry, unless the server has withdrawn it.
func (s *server) beat(ctx context.Context) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if ctx.Err() != nil {
		return
	}
	s.seq++
	s.world.store.Put(wire.PrefixServers+s.id, s.entry().encode())
}

// entry is what a server writes of itself. Version and Born are left out if they are zero.
type entry struct {
	Service, Address, Zone, Version, State string
	Slots, Seq                             int
	Born                                   int64
}

func (e entry) encode() string { return fill("entry.json.tmpl", e) }

// entry returns the server's entry. The caller holds the lock.
func (s *server) entry() entry {
	return entry{
		Service: s.service, Address: s.addr, Zone: s.zone, Version: "v1", State: s.state,
		Slots: s.slots, Seq: s.seq, Born: s.born,
	}
}

// setState changes the state in the server's entry at once.
func (s *server) setState(state string) {
	s.mu.Lock()
	s.state = state
	s.mu.Unlock()
	s.beat(context.Background())
	s.world.record.printf("server %s: the store has acknowledged that it is %s", s.id, state)
}

// withdraw removes the server's entry, as servers do that leave without saying so before. The server goes on
// serving.
func (s *server) withdraw() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopBeat()
	s.world.store.Remove(wire.PrefixServers + s.id)
	s.world.record.printf("server %s: the store has acknowledged that its entry is removed", s.id)
}

func (s *server) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.conns[c] = true
		s.mu.Unlock()
		go s.serve(c)
	}
}

func (s *server) serve(c net.Conn) {
	defer func() {
		_ = c.Close()
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
	}()
	in := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		if !s.handle(c, r) {
			return
		}
	}
}

// handle answers one request.
func (s *server) handle(c net.Conn, r *http.Request) bool {
	if expected := r.Header.Get(wire.Expected); expected != "" && expected != s.id {
		s.world.record.printf("%s at %s answers 421 to %s", r.URL.Path, s.id, r.Header.Get(wire.RequestID))
		return s.write(c, r, http.StatusMisdirectedRequest, wire.NotRun+": 1\r\n"+wire.Instance+": "+s.id+"\r\n", "")
	}
	if r.URL.Path == wire.PathReport {
		return s.write(c, r, http.StatusOK, "Content-Type: application/json\r\n", s.report())
	}
	if strings.HasPrefix(r.URL.Path, "/-/") {
		return s.write(c, r, http.StatusBadRequest, "", "")
	}
	a := arrival{
		at: time.Now(), id: r.Header.Get(wire.RequestID), method: r.Method, target: r.RequestURI,
		service: s.service,
	}
	s.mu.Lock()
	s.arrivals = append(s.arrivals, a)
	s.mu.Unlock()
	s.world.record.at(a.at, "server %s of %s runs %s %s %s", s.id, s.service, a.id, a.method, a.target)
	s.running.Add(1)
	defer s.running.Add(-1)
	return s.answer(s, c, r)
}

// report returns the server's report.
func (s *server) report() string {
	return fill("report.json.tmpl", struct{ Running, Born int64 }{s.running.Load(), s.born})
}

// taken returns the requests that have arrived so far.
func (s *server) taken() []arrival {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]arrival(nil), s.arrivals...)
}

// headers returns the headers of all answers to a request.
func (s *server) headers(r *http.Request) string {
	return fmt.Sprintf("%s: %s\r\n%s: %s.%d\r\n%s: %d,0,%d\r\n", wire.RequestID, r.Header.Get(wire.RequestID),
		wire.Stamp, s.id, s.born, wire.Load, s.running.Load(), s.slots)
}

// write writes an answer with a length.
func (s *server) write(c net.Conn, r *http.Request, status int, headers, body string) bool {
	_, err := fmt.Fprintf(c, "HTTP/1.1 %d %s\r\n%s%sContent-Length: %d\r\n\r\n%s",
		status, http.StatusText(status), s.headers(r), headers, len(body), body)
	return err == nil
}

// answerAfter returns an answer that takes a time.
func answerAfter(work time.Duration) answer {
	return func(s *server, c net.Conn, r *http.Request) bool {
		time.Sleep(work)
		return s.write(c, r, http.StatusOK, "", s.service+" "+r.Header.Get(wire.RequestID)+"\n")
	}
}
