package lavconn

import (
	"bufio"
	"context"
	"net"
	"net/netip"
	"sync"
	"syscall"
	"time"
)

// keepPart is the part of the time for which an endpoint keeps an idle
// connection after which this side gives it up, so that a request doesn't meet
// the endpoint's close.
const keepPart = 0.6

// Dialer opens a connection to an endpoint.
type Dialer func(ctx context.Context, address netip.AddrPort) (net.Conn, error)

// Pool keeps idle connections to endpoints. It is safe for concurrent use.
type Pool struct {
	dial Dialer
	// perAddress bounds the idle connections to one address.
	perAddress int

	mu   sync.Mutex
	idle map[netip.AddrPort][]*conn
}

// New returns a pool that opens connections by dial and keeps at most so many
// idle ones for each address.
func New(dial Dialer, perAddress int) *Pool {
	return &Pool{dial: dial, perAddress: perAddress, idle: make(map[netip.AddrPort][]*conn)}
}

// conn is one connection and what is known of it.
type conn struct {
	net.Conn
	pool    *Pool
	address netip.AddrPort
	reader  *bufio.Reader
	// uses counts the exchanges begun.
	uses int
	// sent is the request of the running exchange.
	sent    *sending
	writers sync.WaitGroup
	// until is when an idle connection is no longer used.
	until time.Time
	once  sync.Once
	// check is the silence after which watcher looks at the endpoint.
	check   time.Duration
	watcher *time.Timer
}

func (c *conn) close() {
	// The connection is of no use any more; an error of its end says nothing.
	c.once.Do(func() { _ = c.Close() })
}

// take returns an idle connection that still stands, or a new one.
func (p *Pool) take(ctx context.Context, address netip.AddrPort, fresh bool) (*conn, error) {
	for !fresh {
		c := p.pop(address)
		if c == nil {
			break
		}
		if time.Now().Before(c.until) && c.quiet() && c.SetReadDeadline(time.Time{}) == nil {
			return c, nil
		}
		c.close()
	}
	raw, err := p.dial(ctx, address)
	if err != nil {
		return nil, err
	}
	return &conn{Conn: raw, pool: p, address: address, reader: newReader(raw)}, nil
}

// pop takes the connection that was used last, which most likely stands.
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

// put keeps a connection for another exchange.
func (p *Pool) put(c *conn, keep time.Duration) {
	c.until = time.Now().Add(time.Duration(float64(keep) * keepPart))
	p.mu.Lock()
	idle := p.idle[c.address]
	full := len(idle) >= p.perAddress
	if !full {
		p.idle[c.address] = append(idle, c)
	}
	p.mu.Unlock()
	if full {
		c.close()
	}
}

// Sweep closes idle connections whose time is over, and those to addresses for
// which keep is false.
func (p *Pool) Sweep(keep func(netip.AddrPort) bool) {
	now := time.Now()
	var old []*conn
	p.mu.Lock()
	for address, idle := range p.idle {
		kept := idle[:0]
		for _, c := range idle {
			if keep(address) && now.Before(c.until) {
				kept = append(kept, c)
			} else {
				old = append(old, c)
			}
		}
		if len(kept) == 0 {
			delete(p.idle, address)
		} else {
			p.idle[address] = kept
		}
	}
	p.mu.Unlock()
	for _, c := range old {
		c.close()
	}
}

// quiet reports whether an idle connection is open and has no bytes waiting.
// Bytes that come while no request waits belong to none. Connections that are
// no sockets, as in tests, count as quiet.
func (c *conn) quiet() bool {
	socket, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, got := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = got == syscall.EAGAIN
		return true
	})
	return err == nil && quiet
}
