package lavconn

import (
	"bufio"
	"context"
	"net"
	"net/netip"
	"sync"
	"syscall"
	"time"

	"lavenderrack.example/lavenderrack/lavresponse"
)

// idleTimeoutFactor is the fraction of the endpoint's idle timeout after which
// an idle connection is no longer used. It is below 1 so that a request is not
// sent while the endpoint closes the connection.
const idleTimeoutFactor = 0.6

// readBufferBytes is large enough for a response header and several events.
const readBufferBytes = 4 << 10

// Dialer opens a connection to an endpoint.
type Dialer func(ctx context.Context, address netip.AddrPort) (net.Conn, error)

// Pool keeps idle connections to endpoints. It is safe for concurrent use.
type Pool struct {
	dial Dialer
	// maxIdlePerAddress is the maximum number of idle connections per address.
	maxIdlePerAddress int

	mu   sync.Mutex
	idle map[netip.AddrPort][]*conn
}

// New returns a pool that opens connections with dial and keeps at most
// maxIdlePerAddress idle connections per address.
func New(dial Dialer, maxIdlePerAddress int) *Pool {
	return &Pool{dial: dial, maxIdlePerAddress: maxIdlePerAddress, idle: make(map[netip.AddrPort][]*conn)}
}

// conn is a connection and its state.
type conn struct {
	*lavresponse.Conn
	pool    *Pool
	address netip.AddrPort
	// received limits the bytes that reader takes from the connection.
	received *limitedReader
	reader   *bufio.Reader
	// uses is the number of exchanges started on the connection.
	uses int
	// lastWrite is the write of the current exchange's request.
	lastWrite *requestWrite
	writers   sync.WaitGroup
	// idleDeadline is the time after which an idle connection is not used.
	idleDeadline time.Time
	closeOnce    sync.Once
	// probeAfter is the time without received data after which probeTimer
	// fires.
	probeAfter time.Duration
	probeTimer *time.Timer
	// probes guards probedExchange, which is the number of the exchange that is probed, 0 for none.
	probes         sync.Mutex
	probedExchange int
	// silence watches the current exchange. It is nil if nothing is to be watched.
	silence *silenceWatch
}

func (c *conn) close() {
	// The connection is not used any more, so an error on closing is
	// irrelevant.
	c.closeOnce.Do(func() { _ = c.Close() })
}

// take returns an idle connection that is still usable, or a new one.
func (p *Pool) take(ctx context.Context, address netip.AddrPort, fresh bool) (*conn, error) {
	for !fresh {
		c := p.pop(address)
		if c == nil {
			break
		}
		if time.Now().Before(c.idleDeadline) && c.isReusable() && c.SetReadDeadline(time.Time{}) == nil {
			return c, nil
		}
		c.close()
	}
	raw, err := p.dial(ctx, address)
	if err != nil {
		return nil, err
	}
	wrapped := lavresponse.NewConn(raw)
	received := &limitedReader{Reader: wrapped}
	reader := bufio.NewReaderSize(received, readBufferBytes)
	return &conn{Conn: wrapped, pool: p, address: address, received: received, reader: reader}, nil
}

// pop removes and returns the most recently used idle connection, which is the
// most likely to be still open.
func (p *Pool) pop(address netip.AddrPort) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	idle := p.idle[address]
	if len(idle) == 0 {
		return nil
	}
	c := idle[len(idle)-1]
	p.idle[address] = idle[:len(idle)-1]
	return c
}

// put returns a connection to the pool.
func (p *Pool) put(c *conn, idleTimeout time.Duration) {
	c.idleDeadline = time.Now().Add(time.Duration(float64(idleTimeout) * idleTimeoutFactor))
	p.mu.Lock()
	idle := p.idle[c.address]
	full := len(idle) >= p.maxIdlePerAddress
	if !full {
		p.idle[c.address] = append(idle, c)
	}
	p.mu.Unlock()
	if full {
		c.close()
	}
}

// Sweep closes expired idle connections, and all idle connections to addresses
// for which keep returns false.
func (p *Pool) Sweep(keep func(netip.AddrPort) bool) {
	now := time.Now()
	var expired []*conn
	p.mu.Lock()
	for address, idle := range p.idle {
		kept := idle[:0]
		for _, c := range idle {
			if keep(address) && now.Before(c.idleDeadline) {
				kept = append(kept, c)
			} else {
				expired = append(expired, c)
			}
		}
		if len(kept) == 0 {
			delete(p.idle, address)
		} else {
			p.idle[address] = kept
		}
	}
	p.mu.Unlock()
	for _, c := range expired {
		c.close()
	}
}

// isReusable reports whether an idle connection is open and has no data to
// read. Data that arrives when no request is pending belongs to no request.
// Connections that are not sockets, such as those of tests, always count as
// reusable.
func (c *conn) isReusable() bool {
	dialled := c.Conn.Conn
	socket, ok := dialled.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	reusable := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, errno := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		reusable = errno == syscall.EAGAIN
		return true
	})
	return err == nil && reusable
}
