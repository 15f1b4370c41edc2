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

var testAddress = netip.MustParseAddrPort("10.0.0.1:80")

// server is an endpoint that runs a script for each connection.
type server struct {
	mu       sync.Mutex
	dials    int
	received []string
	// script receives the connection and its number, counted from 1.
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

// read reads a request and records its ID.
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

func matchID(id string) ResponseMatcher {
	return func(a *http.Response, _ bool) bool { return a.Header.Get("Id") == id }
}

// exchangeBody runs one exchange and returns the response body.
func exchangeBody(p *Pool, r Request, id string) (string, error) {
	response, err := p.Do(context.Background(), testAddress, r, matchID(id))
	if err != nil {
		return "", err
	}
	body, err := io.ReadAll(response)
	response.Close(time.Minute)
	return string(body), err
}

// echo responds to every request of a connection.
func echo(s *server, c net.Conn, in *bufio.Reader, _ int) {
	for s.read(in) {
		s.mu.Lock()
		id := s.received[len(s.received)-1]
		s.mu.Unlock()
		reply(c, id, "body "+id)
	}
}

func TestConnectionReuse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &server{script: echo}
		p := New(s.dial, 4)
		for _, id := range []string{"1", "2", "3"} {
			body, err := exchangeBody(p, get(id), id)
			lavassert.NoError(t, err)
			lavassert.Equal(t, "body", body, "body "+id)
		}
		lavassert.Equal(t, "dials", s.dials, 1)
		fresh := get("4")
		fresh.NewConnection = true
		_, err := exchangeBody(p, fresh, "4")
		lavassert.NoError(t, err)
		lavassert.Equal(t, "dials after a request on a new connection", s.dials, 2)
		time.Sleep(time.Minute)
		p.Sweep(func(netip.AddrPort) bool { return true })
		_, err = exchangeBody(p, get("5"), "5")
		lavassert.NoError(t, err)
		lavassert.Equal(t, "dials after the idle timeout", s.dials, 3)
		p.Sweep(func(netip.AddrPort) bool { return false })
	})
}

// TestNoAutomaticRetry guards against automatic retries. The endpoint closes a
// reused connection while it receives a request: the request may have run, so
// it must not be sent again.
func TestNoAutomaticRetry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &server{script: func(s *server, c net.Conn, in *bufio.Reader, _ int) {
			s.read(in)
			reply(c, "1", "first")
			s.read(in)
			_ = c.Close()
		}}
		p := New(s.dial, 4)
		_, err := exchangeBody(p, get("1"), "1")
		lavassert.NoError(t, err)
		_, err = exchangeBody(p, get("2"), "2")
		lavassert.ErrorIs(t, err, ErrResponseLost)
		lavassert.True(t, "not marked as ErrNotSent", !errors.Is(err, ErrNotSent))
		lavassert.Equal(t, "requests received", s.count(), 2)
		lavassert.Equal(t, "dials", s.dials, 1)
	})
}

func TestNotSent(t *testing.T) {
	p := New(func(context.Context, netip.AddrPort) (net.Conn, error) { return nil, errors.New("refused") }, 4)
	_, err := exchangeBody(p, get("1"), "1")
	lavassert.ErrorIs(t, err, ErrNotSent)
}

func TestUnmatchedResponses(t *testing.T) {
	t.Run("Skipped", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			s := &server{script: func(s *server, c net.Conn, in *bufio.Reader, _ int) {
				s.read(in)
				reply(c, "0", "other")
				reply(c, "1", "own")
			}}
			body, err := exchangeBody(New(s.dial, 4), get("1"), "1")
			lavassert.NoError(t, err)
			lavassert.Equal(t, "body", body, "own")
		})
	})
	t.Run("TooMany", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			s := &server{script: func(s *server, c net.Conn, in *bufio.Reader, _ int) {
				s.read(in)
				for range maxUnmatchedResponses + 2 {
					reply(c, "0", "other")
				}
			}}
			_, err := exchangeBody(New(s.dial, 4), get("1"), "1")
			lavassert.ErrorIs(t, err, ErrResponseLost)
		})
	})
	t.Run("Malformed", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			s := &server{script: func(s *server, c net.Conn, in *bufio.Reader, _ int) {
				s.read(in)
				_, _ = io.WriteString(c, "not an HTTP response\r\n\r\n")
			}}
			_, err := exchangeBody(New(s.dial, 4), get("1"), "1")
			lavassert.ErrorIs(t, err, ErrResponseLost)
		})
	})
}

// TestTruncatedBodies truncates responses in each way that the framing allows.
func TestTruncatedBodies(t *testing.T) {
	broken := []struct{ name, response string }{
		{"Length", "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 10\r\n\r\nshort"},
		{"Chunks", "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nshort\r\n"},
		{"MidChunk", "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nshort"},
	}
	for _, b := range broken {
		t.Run(b.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &server{script: func(s *server, c net.Conn, in *bufio.Reader, _ int) {
					s.read(in)
					_, _ = io.WriteString(c, b.response)
					_ = c.Close()
				}}
				_, err := exchangeBody(New(s.dial, 4), get("1"), "1")
				lavassert.ErrorIs(t, err, ErrResponseLost)
			})
		})
	}
}

// TestUnframedResponse sends a response without a length, which ends when the
// endpoint closes the connection. The connection must not be reused.
func TestUnframedResponse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &server{script: func(s *server, c net.Conn, in *bufio.Reader, _ int) {
			s.read(in)
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: 1\r\n\r\nwhole")
			_ = c.Close()
		}}
		p := New(s.dial, 4)
		body, err := exchangeBody(p, get("1"), "1")
		lavassert.NoError(t, err)
		lavassert.Equal(t, "body", body, "whole")
		_, err = exchangeBody(p, get("1"), "1")
		lavassert.NoError(t, err)
		lavassert.Equal(t, "dials", s.dials, 2)
	})
}

// TestEarlyResponse sends a response before the request body was read
// completely. The connection must not be reused: the endpoint would take the
// next request for the rest of the body.
func TestEarlyResponse(t *testing.T) {
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
			body, err := exchangeBody(p, r, "1")
			lavassert.NoError(t, err)
			lavassert.Equal(t, "body", body, "too long")
		}
		lavassert.Equal(t, "dials", s.dials, 2)
		// The endpoint continues to read and finds its connections closed.
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
		_, err := New(s.dial, 4).Do(ctx, testAddress, get("1"), matchID("1"))
		lavassert.ErrorIs(t, err, ErrResponseLost)
		<-closed
	})
}

// TestProbe checks the probe of a silent endpoint. If the endpoint no longer
// accepts connections, the exchange is aborted at once; otherwise it continues
// until the header timeout.
func TestProbe(t *testing.T) {
	for _, gone := range []bool{true, false} {
		t.Run(fmt.Sprint("endpoint down ", gone), func(t *testing.T) {
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
				_, err := exchangeBody(New(dial, 4), r, "1")
				lavassert.ErrorIs(t, err, ErrResponseLost)
				want := 3 * time.Second
				if gone {
					want = time.Second
				}
				lavassert.Equal(t, "wait", time.Since(begun), want)
				lavassert.Equal(t, "timed out", TimedOut(err), !gone)
			})
		})
	}
}

// TestProbeOfAnEarlierExchange guards against a probe that fails after its exchange has ended and closes the
// connection of the next one.
func TestProbeOfAnEarlierExchange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &server{script: func(s *server, c net.Conn, in *bufio.Reader, _ int) {
			for id := 0; s.read(in); id++ {
				time.Sleep(1500 * time.Millisecond)
				reply(c, fmt.Sprint(id), "")
			}
		}}
		dial := func(ctx context.Context, at netip.AddrPort) (net.Conn, error) {
			if s.count() > 0 {
				time.Sleep(time.Second)
				return nil, errors.New("refused")
			}
			return s.dial(ctx, at)
		}
		p := New(dial, 4)
		r := get("0")
		r.ProbeAfter = time.Second
		_, err := exchangeBody(p, r, "0")
		lavassert.NoError(t, err)
		_, err = exchangeBody(p, get("1"), "1")
		lavassert.NoError(t, err)
		p.Sweep(func(netip.AddrPort) bool { return false })
	})
}

func TestTargetIsUnchanged(t *testing.T) {
	text := string(get("1").encodeHead())
	lavassert.True(t, "request line is unchanged", strings.HasPrefix(text, "GET /a%2Fb?c=d HTTP/1.1\r\nHost: h\r\n"))
	lavassert.True(t, "no headers are added", !strings.Contains(text, "User-Agent") && !strings.Contains(text, "Accept-Encoding"))
}
