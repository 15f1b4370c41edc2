package lavfront

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"lavenderrack.example/lavenderrack/lavassert"
	"lavenderrack.example/lavenderrack/lavresponse"
)

// answerBytes is the length of an answer for which memory may be short.
const answerBytes = 200 << 10

// respondLong answers with a body of answerBytes, whose end is marked by the end of the connection.
func respondLong(c net.Conn) {
	_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\n"+strings.Repeat("x", answerBytes))
	_ = c.Close()
}

// TestAnswersWhileMemoryIsShort checks that a call that can't be asked for again gets the beginning of its answer while
// others hold the memory, that other calls fail, and that all of it is free afterwards.
func TestAnswersWhileMemoryIsShort(t *testing.T) {
	tests := []struct {
		name   string
		memory int64
		order  bool
		want   int
	}{
		{"Order", 100 << 10, true, 128 << 10},
		{"OrderWithMemory", answerBytes * 2, true, answerBytes},
		{"Lookup", 100 << 10, false, 0},
		{"LookupWithMemory", answerBytes * 2, false, answerBytes},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := newRawService(t, respondLong)
			s.responses = lavresponse.NewBudget(test.memory)
			c := lookup()
			if test.order {
				c = order(1)
			}
			answer, err := s.callOnce(c)
			lavassert.Equal(t, "answered", err == nil, test.want > 0)
			lavassert.Equal(t, "bytes of the body", len(answer.Body), test.want)
			lavassert.Equal(t, "truncated", answer.Truncated, test.want > 0 && test.want < answerBytes)
			c.held.release()
			lavassert.Equal(t, "memory afterwards", s.responses.Left(), test.memory)
		})
	}
}

// TestCutAnswerWhileMemoryIsShort guards against an answer of which only the beginning is kept and that doesn't end.
func TestCutAnswerWhileMemoryIsShort(t *testing.T) {
	s := newRawService(t, func(c net.Conn) {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", answerBytes+1, strings.Repeat("x", answerBytes))
		_ = c.Close()
	})
	s.responses = lavresponse.NewBudget(0)
	_, err := s.callOnce(order(1))
	lavassert.ErrorIs(t, err, io.ErrUnexpectedEOF)
}

// oneConn is a listener that accepts one connection.
type oneConn struct {
	net.Listener
	conns chan net.Conn
}

func (l oneConn) Accept() (net.Conn, error) {
	c, ok := <-l.conns
	if !ok {
		return nil, net.ErrClosed
	}
	return c, nil
}

func (l oneConn) Close() error { return nil }

// TestAnswerIsNotHeldForCallerWhoStopsReading checks that an answer is given up if its caller reads nothing for
// callerReadTimeout, and not while he reads slowly.
func TestAnswerIsNotHeldForCallerWhoStopsReading(t *testing.T) {
	body := []byte(strings.Repeat("x", 10*callerBlockBytes))
	for _, reads := range []bool{false, true} {
		t.Run(fmt.Sprintf("Reads=%v", reads), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ours, theirs := net.Pipe()
				l := oneConn{conns: make(chan net.Conn, 1)}
				l.conns <- theirs
				written := make(chan time.Duration, 1)
				server := &http.Server{ReadHeaderTimeout: time.Minute, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
					began := time.Now()
					writeBody(w, body)
					written <- time.Since(began)
				})}
				go func() { _ = server.Serve(l) }()
				_, err := io.WriteString(ours, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
				lavassert.NoError(t, err)
				if reads {
					response, err := http.ReadResponse(bufio.NewReader(slowConn{ours}), nil)
					lavassert.NoError(t, err)
					got, err := io.ReadAll(response.Body)
					lavassert.NoError(t, err)
					lavassert.Equal(t, "bytes", len(got), len(body))
					lavassert.AtLeast(t, "time", <-written, callerReadTimeout)
				} else {
					lavassert.AtMost(t, "time", <-written, callerReadTimeout)
				}
				_ = ours.Close()
				close(l.conns)
				lavassert.NoError(t, server.Close())
			})
		})
	}
}

// slowConn pauses before each read.
type slowConn struct{ net.Conn }

func (c slowConn) Read(p []byte) (int, error) {
	time.Sleep(time.Second)
	return c.Conn.Read(p)
}
