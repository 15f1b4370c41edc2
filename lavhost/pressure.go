package lavhost

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"time"

	"lavenderrack.example/lavenderrack/lavconn"
	"lavenderrack.example/lavenderrack/lavpressure"
	"lavenderrack.example/lavenderrack/platform"

	"github.com/cockroachdb/errors"
)

const (
	// callerBufferBytes bounds the send buffer of a connection from a caller. The kernel's own
	// bound is some megabytes.
	callerBufferBytes = 16 << 10
	// endpointBufferBytes bounds the receive buffer of a connection to an endpoint. It is large
	// enough for 10 MB a second at a round trip of 6 ms.
	endpointBufferBytes = 64 << 10
	// bufferOverhead is how many times a socket's buffer the kernel holds for it.
	bufferOverhead = 2
	// firstBodyBytes is the size of the first buffer for a body.
	firstBodyBytes = 4 << 10
	// minBodyRetryAfter and maxBodyRetryAfter bound the Retry-After time of a caller whose body
	// was refused. Stalled callers are cut off sooner than that.
	minBodyRetryAfter = 600 * time.Millisecond
	maxBodyRetryAfter = 1200 * time.Millisecond
)

// newAccount returns the account of what the host holds for its requests, or nil if the settings
// don't ask for one.
func (h *Host) newAccount() *lavpressure.Account {
	if !h.settings.Policies.Pressure || h.settings.MemoryBytes <= 0 {
		return nil
	}
	buffers := lavpressure.Buffers{Caller: bufferOverhead * callerBufferBytes, Endpoint: bufferOverhead * endpointBufferBytes}
	return lavpressure.New(lavpressure.Bound(h.settings.MemoryBytes), buffers, h.deps.Scope)
}

// boundedListener bounds the socket buffers of the connections that it accepts.
type boundedListener struct{ net.Listener }

// Accept implements net.Listener.
func (l boundedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if socket, ok := c.(*net.TCPConn); ok {
		// Without the bound the connection works as well, and holds more.
		_ = socket.SetWriteBuffer(callerBufferBytes)
	}
	return c, err
}

// boundReceiveBuffers returns a dialer whose connections have bounded receive buffers.
func boundReceiveBuffers(dial lavconn.Dialer) lavconn.Dialer {
	return func(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
		c, err := dial(ctx, address)
		if socket, ok := c.(*net.TCPConn); ok {
			// Without the bound the connection works as well, and holds more.
			_ = socket.SetReadBuffer(endpointBufferBytes)
		}
		return c, err
	}
}

// receiveBody reads a body until the deadline, up to a size limit and as far as the account allows. It
// returns the status to refuse the request with if the body was not read.
func receiveBody(w http.ResponseWriter, r *http.Request, limit int64, hold *lavpressure.Hold, wait *bodyWait) ([]byte, int) {
	// It also limits how long the server reads the rest of a body that is refused. A server without
	// deadlines, as in tests, waits longer.
	_ = wait.control.SetReadDeadline(wait.deadline)
	defer wait.watch()()
	if r.ContentLength > limit {
		return nil, http.StatusRequestEntityTooLarge
	}
	if !hold.MayReceive(max(r.ContentLength, 0)) {
		return nil, http.StatusServiceUnavailable
	}
	body, err := readCounted(http.MaxBytesReader(w, r.Body, limit), r.ContentLength, hold)
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, http.StatusRequestEntityTooLarge
	case errors.Is(err, errNoMemory):
		return nil, http.StatusServiceUnavailable
	case err != nil && !time.Now().Before(wait.deadline):
		return nil, http.StatusRequestTimeout
	case err != nil:
		return nil, http.StatusBadRequest
	}
	_ = wait.control.SetReadDeadline(time.Time{})
	return body, 0
}

// errNoMemory means that the account doesn't allow the rest of a body.
var errNoMemory = errors.New("no memory for the body")

// readCounted reads a body whose declared length is negative if it is unknown. The hold counts the
// buffer, which grows with what has arrived and not with what was declared.
func readCounted(from io.Reader, declared int64, hold *lavpressure.Hold) ([]byte, error) {
	size := int64(firstBodyBytes)
	if declared >= 0 {
		// One more byte shows the end of the body without a larger buffer.
		size = min(size, declared+1)
	}
	body := make([]byte, 0, size)
	hold.AddBody(size)
	for {
		n, err := from.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if errors.Is(err, io.EOF) {
			return body, nil
		}
		if err != nil {
			return nil, err
		}
		if len(body) < cap(body) {
			continue
		}
		grow := int64(cap(body))
		if declared >= 0 {
			grow = min(grow, declared+1-int64(cap(body)))
		}
		if !hold.MayReceive(grow) {
			return nil, errNoMemory
		}
		hold.AddBody(grow)
		body = append(make([]byte, 0, int64(cap(body))+grow), body...)
	}
}

// refuseBody answers a request whose body was not read. The connection ends, so that the rest of
// the body needn't be received.
func (i *ingress) refuseBody(w http.ResponseWriter, request platform.Request, status int) {
	platform.SetClose(w.Header())
	if status != http.StatusServiceUnavailable {
		i.refuse(w, request, status, "body not read")
		return
	}
	held, bound := i.account.Held()
	i.logger.Warn().Str("Request", request.ID).Int("Status", status).Int64("HeldBytes", held).Int64("BoundBytes", bound).
		Str("Why", errNoMemory.Error()).Msg("request refused")
	wait := minBodyRetryAfter + rand.N(maxBodyRetryAfter-minBodyRetryAfter)
	platform.SetRefusalHeaders(w.Header(), request.ID, wait)
	w.WriteHeader(status)
	_, _ = io.WriteString(w, errNoMemory.Error()+"\n")
}
