package lavfakenet

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"lavenderrack.example/lavenderrack/lavpause"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
)

// Link describes the network path from one host to another, in one direction.
type Link struct {
	Delay  time.Duration
	Jitter time.Duration
	// Loss is the fraction of packets that are lost. Each lost packet arrives
	// later by the additional delay Resend, which stands for its
	// retransmission.
	Loss   float64
	Resend time.Duration
}

// HostInfo identifies a host and its failure domain.
type HostInfo struct {
	Host          string
	FailureDomain string
}

// hostPair is an unordered pair of host names.
type hostPair struct{ a, b string }

func newHostPair(a, b string) hostPair {
	if b < a {
		a, b = b, a
	}
	return hostPair{a: a, b: b}
}

// Network connects the hosts.
type Network struct {
	linkBetween func(from, to HostInfo) Link

	mu        sync.Mutex
	seed      uint64
	listeners map[string]*listener
	// dialCount is the number of connections dialled. It provides a distinct
	// local port for each one.
	dialCount   int
	pipes       map[*pipe]struct{}
	down        map[string]bool
	partitioned map[hostPair]bool
}

// New returns a network. The function linkBetween returns the properties of the
// link between two hosts. Random jitter and loss depend on seed.
func New(seed uint64, linkBetween func(from, to HostInfo) Link) *Network {
	return &Network{
		linkBetween: linkBetween,
		seed:        seed,
		listeners:   make(map[string]*listener),
		pipes:       make(map[*pipe]struct{}),
		down:        make(map[string]bool),
		partitioned: make(map[hostPair]bool),
	}
}

// Host provides one host's access to the network.
type Host struct {
	info    HostInfo
	network *Network
}

// Host returns the network access of the given host.
func (n *Network) Host(info HostInfo) *Host { return &Host{info: info, network: n} }

// Errors that callers of the network see.
var (
	errRefused = errors.New("connection refused")
	errReset   = errors.New("connection reset by peer")
)

// Listen opens a listener at address.
func (h *Host) Listen(_, address string) (net.Listener, error) {
	n := h.network
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.listeners[address] != nil {
		return nil, &net.OpError{Op: "listen", Net: "tcp", Err: errors.Newf("address %s is already in use", address)}
	}
	l := &listener{host: h, address: address, incoming: make(chan net.Conn, 1024), done: make(chan struct{})}
	n.listeners[address] = l
	return l, nil
}

// DialContext connects to address. Its signature matches
// http.Transport.DialContext.
func (h *Host) DialContext(ctx context.Context, _, address string) (net.Conn, error) {
	n := h.network
	n.mu.Lock()
	l := n.listeners[address]
	if l == nil || n.down[l.host.info.Host] || n.down[h.info.Host] {
		n.mu.Unlock()
		return nil, dialError(errRefused)
	}
	link := n.linkBetween(h.info, l.host.info)
	partitioned := n.partitioned[newHostPair(h.info.Host, l.host.info.Host)]
	n.mu.Unlock()
	if partitioned {
		return h.retryDial(ctx, address)
	}
	if err := lavpause.For(ctx, 2*link.Delay); err != nil {
		return nil, dialError(err)
	}
	return n.connect(h, l)
}

// redialInterval is the interval between attempts to connect to a partitioned
// host.
const redialInterval = 250 * time.Millisecond

// retryDial waits and tries to connect again, as TCP retransmits the SYN
// packet.
func (h *Host) retryDial(ctx context.Context, address string) (net.Conn, error) {
	if err := lavpause.For(ctx, redialInterval); err != nil {
		return nil, dialError(err)
	}
	return h.DialContext(ctx, "tcp", address)
}

func dialError(err error) error { return &net.OpError{Op: "dial", Net: "tcp", Err: err} }

func (n *Network) connect(h *Host, l *listener) (net.Conn, error) {
	out := newPipe(n, h.info, l.host.info)
	in := newPipe(n, l.host.info, h.info)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.dialCount++
	localAddr := addr(fmt.Sprintf("%s:%d", h.info.Host, n.dialCount))
	client := &conn{in: in, out: out, local: localAddr, remote: addr(l.address)}
	server := &conn{in: out, out: in, local: addr(l.address), remote: localAddr}
	// The listener may have closed, or a host may have gone down, while the
	// handshake was in transit.
	if n.listeners[l.address] != l || n.down[l.host.info.Host] || n.down[h.info.Host] {
		return nil, dialError(errRefused)
	}
	select {
	case l.incoming <- server:
		n.pipes[out] = struct{}{}
		n.pipes[in] = struct{}{}
		return client, nil
	default:
		return nil, dialError(errRefused)
	}
}

// packetRandom returns a random number generator for a packet that is sent now.
// It depends only on the seed, the two hosts and the time, so that a run is
// reproducible even if goroutines that are ready at the same instant run in a
// different order.
func (n *Network) packetRandom(from, to HostInfo) *rand.Rand {
	pairHash := xxhash.Sum64String(from.Host + " " + to.Host)
	return rand.New(rand.NewPCG(n.seed^pairHash, uint64(time.Now().UnixNano())))
}

// SetDown takes a host down, which resets its connections, or brings it up
// again.
func (n *Network) SetDown(host string, down bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.down[host] = down
	if !down {
		return
	}
	for p := range n.pipes {
		if p.from.Host == host || p.to.Host == host {
			p.abort(errReset)
			delete(n.pipes, p)
		}
	}
}

// SetPartitioned starts or ends a partition between two hosts. Data sent during
// the partition arrives after it ends.
func (n *Network) SetPartitioned(a, b string, partitioned bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.partitioned[newHostPair(a, b)] = partitioned
	for p := range n.pipes {
		if newHostPair(p.from.Host, p.to.Host) == newHostPair(a, b) {
			p.setPartitioned(partitioned)
		}
	}
}

// Blackhole makes the open connections between two hosts deliver no further
// data, without closing them. New connections work.
func (n *Network) Blackhole(a, b string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for p := range n.pipes {
		if newHostPair(p.from.Host, p.to.Host) == newHostPair(a, b) {
			p.blackhole()
			delete(n.pipes, p)
		}
	}
}

// packetDelay returns the delay of a packet, including random jitter and
// retransmission.
func (n *Network) packetDelay(from, to HostInfo) time.Duration {
	n.mu.Lock()
	l := n.linkBetween(from, to)
	n.mu.Unlock()
	random := n.packetRandom(from, to)
	d := l.Delay
	if l.Jitter > 0 {
		d += time.Duration(random.Int64N(int64(l.Jitter)))
	}
	if l.Loss > 0 && random.Float64() < l.Loss {
		d += l.Resend
	}
	return d
}

func (n *Network) removePipe(p *pipe) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.pipes, p)
}

// addr is an address in the network.
type addr string

// Network implements net.Addr.
func (a addr) Network() string { return "tcp" }

// String implements net.Addr.
func (a addr) String() string { return fmt.Sprint(string(a)) }

// listener accepts connections from the network.
type listener struct {
	host     *Host
	address  string
	incoming chan net.Conn
	once     sync.Once
	done     chan struct{}
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.incoming:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *listener) Close() error {
	l.once.Do(func() {
		close(l.done)
		n := l.host.network
		n.mu.Lock()
		delete(n.listeners, l.address)
		n.mu.Unlock()
		l.closePending()
	})
	return nil
}

// closePending closes the connections that have not been accepted.
func (l *listener) closePending() {
	for {
		select {
		case c := <-l.incoming:
			_ = c.Close()
		default:
			return
		}
	}
}

// Addr implements net.Listener.
func (l *listener) Addr() net.Addr { return addr(l.address) }
