package lavconn

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"lavenderrack.example/lavenderrack/lavassert"

	"github.com/cockroachdb/errors"
)

var somewhere = netip.MustParseAddrPort("10.0.0.1:80")

// server is an endpoint that plays a script on each connection.
type server struct {
	mu       sync.Mutex
	dials    int
	received []string
	// script gets the connection and the number of the dial, from 1.
	script func(s *server, c net.Conn, in *bufio.Reader, dial int)
}

func (s *server) dial(context.Context, netip.AddrPort) (net.Conn, error) {
	ours, theirs := net.Pipe()
	s.mu.Lock()
	s.dials++
	dial := s.dials
	s.mu.Unlock()
	go s.script(s, theirs, bufio.NewReader(theirs), dial)
	return ours, nil
}

// read reads one request and keeps its ID.
func (s *server) read(in *bufio.Reader) bool {
	r, err := http.ReadRequest(in)
	if err != nil {
		return false
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.received = append(s.received, r.Header.Get("Id"))
	return true
}

func (s *server) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.received)
}

func reply(c net.Conn, id, body string) {
	_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

func get(id string) Request {
	return Request{Method: http.MethodGet, Target: "/a%2Fb?c=d", HostName: "h", Header: http.Header{"Id": {id}}}
}

func mine(id string) Checker {
	return func(a *http.Response, _ bool) bool { return a.Header.Get("Id") == id }
}

// ask makes one exchange and returns its body.
func ask(p *Pool, r Request, id string) (string, error) {
	answer, err := p.Do(context.Background(), somewhere, r, mine(id))
	if err != nil {
		return "", err
	}
	body, err := io.ReadAll(answer)
	answer.Close(time.Minute)
	return string(body), err
}

// echo answers each request of a connection.
func echo(s *server, c net.Conn, in *bufio.Reader, _ int) {
	for s.read(in) {
		s.mu.Lock()
		id := s.received[len(s.received)-1]
		s.mu.Unlock()
		reply(c, id, "body "+id)
	}
}

func TestConnectionsAreKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &server{script: echo}
		p := New(s.dial, 4)
		for _, id := range []string{"1", "2", "3"} {
			body, err := ask(p, get(id), id)
			lavassert.NoError(t, err)
			lavassert.Equal(t, "body", body, "body "+id)
		}
		lavassert.Equal(t, "dials", s.dials, 1)
		fresh := get("4")
		fresh.NewConnection = true
		_, err := ask(p, fresh, "4")
		lavassert.NoError(t, err)
		lavassert.Equal(t, "dials with a fresh one", s.dials, 2)
		time.Sleep(time.Minute)
		p.Sweep(func(netip.AddrPort) bool { return true })
		_, err = ask(p, get("5"), "5")
		lavassert.NoError(t, err)
		lavassert.Equal(t, "dials after the time to keep", s.dials, 3)
		p.Sweep(func(netip.AddrPort) bool { return false })
	})
}

// TestNothingIsSentTwice lets the endpoint close a kept connection as the next
// request comes: the request may have run, and is not sent again by itself.
func TestNothingIsSentTwice(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &server{script: func(s *server, c net.Conn, in *bufio.Reader, _ int) {
			s.read(in)
			reply(c, "1", "first")
			s.read(in)
			_ = c.Close()
		}}
		p := New(s.dial, 4)
		_, err := ask(p, get("1"), "1")
		lavassert.NoError(t, err)
		_, err = ask(p, get("2"), "2")
		lavassert.ErrorIs(t, err, ErrResponseLost)
		lavassert.True(t, "not called not sent", !errors.Is(err, ErrNotSent))
		lavassert.Equal(t, "requests that arrived", s.count(), 2)
		lavassert.Equal(t, "dials", s.dials, 1)
	})
}

func TestNotSent(t *testing.T) {
	p := New(func(context.Context, netip.AddrPort) (net.Conn, error) { return nil, errors.New("refused") }, 4)
	_, err := ask(p, get("1"), "1")
	lavassert.ErrorIs(t, err, ErrNotSent)
}

func TestForeignAnswers(t *testing.T) {
	t.Run("Skipped", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			s := &server{script: func(s *server, c net.Conn, in *bufio.Reader, _ int) {
				s.read(in)
				reply(c, "0", "someone else's")
				reply(c, "1", "own")
			}}
			body, err := ask(New(s.dial, 4), get("1"), "1")
			lavassert.NoError(t, err)
			lavassert.Equal(t, "body", body, "own")
		})
	})
	t.Run("TooMany", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			s := &server{script: func(s *server, c net.Conn, in *bufio.Reader, _ int) {
				s.read(in)
				for range maxForeignAnswers + 2 {
					reply(c, "0", "someone else's")
				}
			}}
			_, err := ask(New(s.dial, 4), get("1"), "1")
			lavassert.ErrorIs(t, err, ErrResponseLost)
		})
	})
	t.Run("NoAnswer", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			s := &server{script: func(s *server, c net.Conn, in *bufio.Reader, _ int) {
				s.read(in)
				_, _ = io.WriteString(c, "these are no bytes of HTTP\r\n\r\n")
			}}
			_, err := ask(New(s.dial, 4), get("1"), "1")
			lavassert.ErrorIs(t, err, ErrResponseLost)
		})
	})
}

// TestBrokenBodies ends answers early in each way that there is.
func TestBrokenBodies(t *testing.T) {
	broken := []struct{ name, answer string }{
		{"Length", "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 10\r\n\r\nshort"},
		{"Chunks", "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nshort\r\n"},
		{"MidChunk", "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nshort"},
	}
	for _, b := range broken {
		t.Run(b.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &server{script: func(s *server, c net.Conn, in *bufio.Reader, _ int) {
					s.read(in)
					_, _ = io.WriteString(c, b.answer)
					_ = c.Close()
				}}
				_, err := ask(New(s.dial, 4), get("1"), "1")
				lavassert.ErrorIs(t, err, ErrResponseLost)
			})
		})
	}
}

// TestUnframedAnswer has no length and ends with its connection, which is not
// kept.
func TestUnframedAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &server{script: func(s *server, c net.Conn, in *bufio.Reader, _ int) {
			s.read(in)
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: 1\r\n\r\nwhole")
			_ = c.Close()
		}}
		p := New(s.dial, 4)
		body, err := ask(p, get("1"), "1")
		lavassert.NoError(t, err)
		lavassert.Equal(t, "body", body, "whole")
		_, err = ask(p, get("1"), "1")
		lavassert.NoError(t, err)
		lavassert.Equal(t, "dials", s.dials, 2)
	})
}

// TestEarlyAnswer comes before a long body has been read. The connection is not
// used again: the endpoint would take the next request for the rest.
func TestEarlyAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &server{script: func(_ *server, c net.Conn, in *bufio.Reader, _ int) {
			if _, err := in.ReadString('\n'); err != nil {
				return
			}
			reply(c, "1", "too long")
			time.Sleep(time.Second)
			_, _ = io.Copy(io.Discard, in)
		}}
		p := New(s.dial, 4)
		r := get("1")
		r.Method, r.Body = http.MethodPost, []byte(strings.Repeat("x", 64<<10))
		for range 2 {
			body, err := ask(p, r, "1")
			lavassert.NoError(t, err)
			lavassert.Equal(t, "body", body, "too long")
		}
		lavassert.Equal(t, "dials", s.dials, 2)
		// The endpoint reads on and finds its connections closed.
		time.Sleep(2 * time.Second)
	})
}

func TestCancel(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		closed := make(chan struct{})
		s := &server{script: func(s *server, _ net.Conn, in *bufio.Reader, _ int) {
			s.read(in)
			_, _ = in.ReadByte()
			close(closed)
		}}
		ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		defer cancel()
		_, err := New(s.dial, 4).Do(ctx, somewhere, get("1"), mine("1"))
		lavassert.ErrorIs(t, err, ErrResponseLost)
		<-closed
	})
}

// TestSilence looks at an endpoint that is silent: if nobody listens there any
// more the exchange ends, otherwise it goes on until patience ends.
func TestSilence(t *testing.T) {
	for _, gone := range []bool{true, false} {
		t.Run(fmt.Sprint("gone ", gone), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &server{script: func(s *server, _ net.Conn, in *bufio.Reader, _ int) {
					s.read(in)
					_, _ = in.ReadByte()
				}}
				dial := func(ctx context.Context, at netip.AddrPort) (net.Conn, error) {
					if gone && s.count() > 0 {
						return nil, errors.New("refused")
					}
					return s.dial(ctx, at)
				}
				r := get("1")
				r.ProbeAfter, r.HeaderTimeout = time.Second, 3*time.Second
				begun := time.Now()
				_, err := ask(New(dial, 4), r, "1")
				lavassert.ErrorIs(t, err, ErrResponseLost)
				want := 3 * time.Second
				if gone {
					want = time.Second
				}
				lavassert.Equal(t, "waited", time.Since(begun), want)
				lavassert.Equal(t, "timed out", TimedOut(err), !gone)
			})
		})
	}
}

func TestTargetIsExact(t *testing.T) {
	text := string(get("1").encode())
	lavassert.True(t, "first line as it came", strings.HasPrefix(text, "GET /a%2Fb?c=d HTTP/1.1\r\nHost: h\r\n"))
	lavassert.True(t, "nothing is added", !strings.Contains(text, "User-Agent") && !strings.Contains(text, "Accept-Encoding"))
}
