package lavfront

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"lavenderrack.example/lavenderrack/lavassert"
	"lavenderrack.example/lavenderrack/lavendpoint"
	"lavenderrack.example/lavenderrack/lavfake"
	"lavenderrack.example/lavenderrack/lavledger"
	"lavenderrack.example/lavenderrack/lavrelease"
)

// oneEndpoint is a list of one endpoint that takes work.
type oneEndpoint struct{ address netip.AddrPort }

// Snapshot implements the interface of an endpoint table.
func (o oneEndpoint) Snapshot() *lavendpoint.Snapshot {
	return &lavendpoint.Snapshot{Endpoints: []lavendpoint.Endpoint{{Name: "e", Service: "s", Addr: o.address, Phase: lavendpoint.PhaseReady}}}
}

// newRawService returns a client of a plain service whose endpoint writes its answers on connections with the request
// unread, and closes them.
func newRawService(t *testing.T, answer func(c net.Conn)) *serviceClient {
	t.Helper()
	server := httptest.NewServer(lavfake.HandleRaw(answer))
	t.Cleanup(server.Close)
	address := netip.MustParseAddrPort(server.Listener.Addr().String())
	return newServiceClient(oneEndpoint{address}, &http.Client{Transport: &http.Transport{DialContext: lavfake.DialUnbuffered}})
}

// order returns a call that may run once, with a body of a size.
func order(size int) *serviceCall {
	return &serviceCall{
		service: lavrelease.Service{Name: "s", NotRepeatable: []string{"/"}},
		method:  http.MethodPost, path: "/", header: http.Header{}, key: "k",
		body: bytes.Repeat([]byte("u"), size), timeout: 20 * time.Second,
	}
}

// callOnce sends a call once.
func (s *serviceClient) callOnce(c *serviceCall) (lavledger.Answer, error) {
	answer, _, err := s.call(context.Background(), c, nil)
	return answer, err
}

// resetAfter resets a connection after a time.
func resetAfter(c net.Conn, wait time.Duration) {
	time.Sleep(wait)
	lavfake.Reset(c)
}

// uploadSizes are the lengths of requests that are written while their answers are read, in bytes.
var uploadSizes = []int{16 << 10, 300 << 10, maxServiceBodyBytes}

// uploadRuns is how often each case runs, since the kernel tells either the reader or the writer.
const uploadRuns = 20

// TestResetDuringUploadIsNoAnswer guards against a part of an answer that callers get as whole, since the
// connection was reset while the request was written.
func TestResetDuringUploadIsNoAnswer(t *testing.T) {
	for _, size := range uploadSizes {
		for _, wait := range []time.Duration{0, time.Millisecond, 30 * time.Millisecond} {
			for _, part := range []int{2, 100 << 10} {
				t.Run(fmt.Sprintf("%dBytes/%v/Part%d", size, wait, part), func(t *testing.T) {
					s := newRawService(t, func(c net.Conn) {
						_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\n"+strings.Repeat("x", part))
						resetAfter(c, wait)
					})
					for range uploadRuns {
						answer, err := s.callOnce(order(size))
						lavassert.True(t, fmt.Sprintf("lost, not a body of %d bytes", len(answer.Body)), err != nil)
					}
				})
			}
		}
	}
}

// TestWholeAnswerDuringUploadIsAnswer guards against an answer that came whole and counts as lost, or that the caller
// has to wait for, because the endpoint doesn't read the request.
func TestWholeAnswerDuringUploadIsAnswer(t *testing.T) {
	const unread = 10 * time.Second
	body := strings.Repeat("x", 10<<10)
	unframed := "HTTP/1.1 200 OK\r\n\r\n" + body
	framed := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	chunked := fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(body), body)
	ends := map[string]struct {
		text string
		end  func(c net.Conn)
	}{
		"FinishLeftUnread": {unframed, func(c net.Conn) { lavfake.FinishWriting(c); resetAfter(c, unread) }},
		"FinishThenReset":  {unframed, func(c net.Conn) { lavfake.FinishWriting(c); resetAfter(c, 0) }},
		"FinishThenRead":   {unframed, func(c net.Conn) { lavfake.FinishWriting(c); _, _ = io.Copy(io.Discard, c); _ = c.Close() }},
		"LengthThenReset":  {framed, func(c net.Conn) { resetAfter(c, 0) }},
		"LengthLeftUnread": {framed, func(c net.Conn) { resetAfter(c, unread) }},
		"ChunksThenReset":  {chunked, func(c net.Conn) { resetAfter(c, 0) }},
		"ChunksLeftUnread": {chunked, func(c net.Conn) { resetAfter(c, unread) }},
	}
	for name, test := range ends {
		for _, size := range uploadSizes {
			t.Run(fmt.Sprintf("%s/%dBytes", name, size), func(t *testing.T) {
				s := newRawService(t, func(c net.Conn) {
					_, _ = io.WriteString(c, test.text)
					test.end(c)
				})
				for range 3 {
					began := time.Now()
					answer, err := s.callOnce(order(size))
					lavassert.NoError(t, err)
					lavassert.Equal(t, "bytes of the body", len(answer.Body), len(body))
					lavassert.AtMost(t, "time", time.Since(began), unread/2)
				}
			})
		}
	}
}

// TestAnswerOfNoStatusIsNoAnswer guards against an answer whose status is none.
func TestAnswerOfNoStatusIsNoAnswer(t *testing.T) { assertNoAnswers(t, lavfake.AnswersOfNoStatus("")) }

// TestAnswerOfNoFieldNameIsNoAnswer guards against an answer in whose head a name can't be that of a field.
func TestAnswerOfNoFieldNameIsNoAnswer(t *testing.T) {
	assertNoAnswers(t, lavfake.AnswersOfNoFieldName(""))
}

// assertNoAnswers checks that none of the answers counts as that of a service.
func assertNoAnswers(t *testing.T, answers []string) {
	t.Helper()
	for _, text := range answers {
		head, _, _ := strings.Cut(text, "\r\n\r\n")
		t.Run(strings.ReplaceAll(head, "\r\n", "|"), func(t *testing.T) {
			s := newRawService(t, func(c net.Conn) {
				_, _ = io.WriteString(c, text)
				_ = c.Close()
			})
			answer, err := s.callOnce(order(1))
			lavassert.True(t, fmt.Sprintf("lost, not an answer of status %d", answer.Status), err != nil)
		})
	}
}

// lookup returns a call that may be repeated.
func lookup() *serviceCall {
	return &serviceCall{service: lavrelease.Service{Name: "s"}, method: http.MethodGet, path: "/", header: http.Header{}, timeout: 10 * time.Second}
}
