package lavhost

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"lavenderrack.example/lavenderrack/lavassert"
	"lavenderrack.example/lavenderrack/lavconfig"
	"lavenderrack.example/lavenderrack/lavfakenet"
	"lavenderrack.example/lavenderrack/lavpressure"
	"lavenderrack.example/lavenderrack/platform"

	"github.com/uber-go/tally/v4"
)

// unreadBody fails the test if it is read.
type unreadBody struct{ t *testing.T }

func (b unreadBody) Read([]byte) (int, error) {
	b.t.Error("body was read")
	return 0, io.EOF
}

// waitFor is a wait of a host that doesn't leave.
func waitFor(w http.ResponseWriter, timeout time.Duration) *bodyWait {
	return &bodyWait{
		drain:    newDrain(time.Minute),
		control:  http.NewResponseController(w),
		route:    &lavconfig.Route{},
		deadline: time.Now().Add(timeout),
	}
}

// receive receives a body with a declared length, which is negative if it is unknown.
func receive(body io.Reader, declared int64, hold *lavpressure.Hold) ([]byte, int) {
	r := httptest.NewRequest(http.MethodPost, "/a", body)
	r.ContentLength = declared
	w := httptest.NewRecorder()
	return receiveBody(w, r, 1<<20, hold, waitFor(w, time.Second))
}

func TestReceiveBody(t *testing.T) {
	const bound = 1 << 20
	large := bytes.Repeat([]byte("x"), 100_000)
	t.Run("Counted", func(t *testing.T) {
		for _, declared := range []int64{int64(len(large)), -1} {
			account := lavpressure.New(bound, lavpressure.Buffers{}, tally.NoopScope)
			hold := account.Begin(true)
			body, status := receive(bytes.NewReader(large), declared, hold)
			lavassert.Equal(t, "status", status, 0)
			lavassert.True(t, "body", bytes.Equal(body, large))
			held, _ := account.Held()
			lavassert.AtLeast(t, "held", held, int64(len(large)))
			lavassert.AtMost(t, "held", held, int64(2*len(large)))
			hold.End()
		}
	})
	t.Run("LargeIsRefusedUnread", func(t *testing.T) {
		account := lavpressure.New(bound, lavpressure.Buffers{}, tally.NoopScope)
		account.Begin(true).Add(bound * 3 / 4)
		_, status := receive(unreadBody{t}, int64(len(large)), account.Begin(true))
		lavassert.Equal(t, "status", status, http.StatusServiceUnavailable)
		body, status := receive(strings.NewReader("small"), 5, account.Begin(true))
		lavassert.Equal(t, "status of a small body", status, 0)
		lavassert.Equal(t, "small body", string(body), "small")
	})
	t.Run("LengthUnknown", func(t *testing.T) {
		account := lavpressure.New(bound, lavpressure.Buffers{}, tally.NoopScope)
		account.Begin(true).Add(bound * 3 / 4)
		hold := account.Begin(true)
		_, status := receive(bytes.NewReader(large), -1, hold)
		lavassert.Equal(t, "status", status, http.StatusServiceUnavailable)
		lavassert.AtMost(t, "held by it", hold.Usage().Peak, 32<<10)
	})
	t.Run("TooLarge", func(t *testing.T) {
		_, status := receive(unreadBody{t}, 2<<20, lavpressure.New(bound, lavpressure.Buffers{}, tally.NoopScope).Begin(true))
		lavassert.Equal(t, "status", status, http.StatusRequestEntityTooLarge)
	})
}

// TestSlowBody checks a caller who stops in the middle of a body. It is refused, at once or when its
// time has passed, with a status that says that the request hasn't run, and holds nothing afterwards.
func TestSlowBody(t *testing.T) {
	tests := []struct {
		name, status string
		// held is what others hold, as a part of the bound.
		held   float64
		within time.Duration
	}{
		{"InTime", "HTTP/1.1 408", 0, slowBodyTimeout + 100*time.Millisecond},
		{"NoMemory", "HTTP/1.1 503", 0.8, 100 * time.Millisecond},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) { checkSlowBody(t, test.held, test.status, test.within) })
	}
}

// slowBodyTimeout is the time in which a body must arrive.
const slowBodyTimeout = 2 * time.Second

// checkSlowBody sends the beginning of a body, and checks the status and when it comes. The connection
// must end soon after the time in which a body must arrive.
func checkSlowBody(t *testing.T, held float64, status string, within time.Duration) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		const address, bound = "10.0.0.1:80", 1 << 20
		account := lavpressure.New(bound, lavpressure.Buffers{}, tally.NoopScope)
		others := int64(held * bound)
		account.Begin(true).Add(others)
		i := &ingress{account: account, logger: discardLogger}
		l, dial := listenFake(t, address)
		service := newHTTPService("callers", l, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			hold := account.Begin(true)
			defer hold.End()
			_, status := receiveBody(w, r, 1<<20, hold, waitFor(w, slowBodyTimeout))
			i.refuseBody(w, platform.Request{}, status)
		}), discardLogger)
		ended := make(chan error, 1)
		go func() { ended <- service.Serve(t.Context()) }()
		c, err := dial()
		lavassert.NoError(t, err)
		begun := time.Now()
		_, err = io.WriteString(c, "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 50000\r\n\r\nthe beginning")
		lavassert.NoError(t, err)
		in := bufio.NewReader(c)
		line, err := in.ReadString('\n')
		lavassert.NoError(t, err)
		lavassert.True(t, "status", strings.HasPrefix(line, status))
		lavassert.AtMost(t, "time to the status", time.Since(begun), within)
		_, err = io.Copy(io.Discard, in)
		lavassert.NoError(t, err)
		lavassert.AtMost(t, "time to the end", time.Since(begun), slowBodyTimeout+time.Second)
		left, _ := account.Held()
		lavassert.Equal(t, "held", left, others)
		service.shutdown(t.Context())
	})
}

// listenFake returns a listener of a network in memory, and a function that connects to it.
func listenFake(t *testing.T, address string) (net.Listener, func() (net.Conn, error)) {
	t.Helper()
	network := lavfakenet.New(1, func(_, _ lavfakenet.HostInfo) lavfakenet.Link {
		return lavfakenet.Link{Delay: time.Millisecond}
	})
	l, err := network.Host(lavfakenet.HostInfo{Host: "host"}).Listen("tcp", address)
	lavassert.NoError(t, err)
	caller := network.Host(lavfakenet.HostInfo{Host: "caller"})
	return l, func() (net.Conn, error) { return caller.DialContext(t.Context(), "tcp", address) }
}

// TestRefusedBody checks the answer to a body for which there is no memory.
func TestRefusedBody(t *testing.T) {
	i := &ingress{account: lavpressure.New(1, lavpressure.Buffers{}, tally.NoopScope), logger: discardLogger}
	out := httptest.NewRecorder()
	i.refuseBody(out, platform.Request{ID: "id"}, http.StatusServiceUnavailable)
	lavassert.Equal(t, "status", out.Code, http.StatusServiceUnavailable)
	lavassert.True(t, "Retry-After is sent", out.Header().Get("Retry-After") != "")
	lavassert.Equal(t, "connection ends", out.Header().Get("Connection"), "close")
}
