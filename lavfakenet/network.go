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

// Link is the state of the path between two hosts, one way.
type Link struct {
	Delay  time.Duration
	Jitter time.Duration
	// Loss is the share of packets lost; each costs Resend more delay.
	Loss   float64
	Resend time.Duration
}

// HostInfo is where a host stands.
type HostInfo struct {
	Host          string
	FailureDomain string
}

// path is an unordered pair of hosts.
type path struct{ a, b string }

func pathOf(a, b string) path {
	if b < a {
		a, b = b, a
	}
	return path{a: a, b: b}
}

// Network joins the hosts.
type Network struct {
	links func(from, to HostInfo) Link

	mu        sync.Mutex
	seed      uint64
	listeners map[string]*listener
	// dialled counts connections, for the ports of those who dialled.
	dialled int
	conns   map[*pipe]struct{}
	down    map[string]bool
	cut     map[path]bool
}

// New returns a network whose links are told by links. Jitter and loss are
// drawn from seed.
func New(seed uint64, links func(from, to HostInfo) Link) *Network {
	return &Network{
		links:     links,
		seed:      seed,
		listeners: make(map[string]*listener),
		conns:     make(map[*pipe]struct{}),
		down:      make(map[string]bool),
		cut:       make(map[path]bool),
	}
}

// Host is one host's access to the network.
type Host struct {
	place   HostInfo
	network *Network
}

// Host returns the access of a host at that place.
func (n *Network) Host(place HostInfo) *Host { return &Host{place: place, network: n} }

// Errors of the network, as a dialler sees them.
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
		return nil, &net.OpError{Op: "listen", Net: "tcp", Err: errors.Newf("address %s is in use", address)}
	}
	l := &listener{host: h, address: address, incoming: make(chan net.Conn, 1024), done: make(chan struct{})}
	n.listeners[address] = l
	return l, nil
}

// DialContext connects to address. It is fit for http.Transport.
func (h *Host) DialContext(ctx context.Context, _, address string) (net.Conn, error) {
	n := h.network
	n.mu.Lock()
	l := n.listeners[address]
	if l == nil || n.down[l.host.place.Host] || n.down[h.place.Host] {
		n.mu.Unlock()
		return nil, dialError(errRefused)
	}
	link := n.links(h.place, l.host.place)
	blocked := n.cut[pathOf(h.place.Host, l.host.place.Host)]
	n.mu.Unlock()
	if blocked {
		return h.redial(ctx, address)
	}
	if err := lavpause.For(ctx, 2*link.Delay); err != nil {
		return nil, dialError(err)
	}
	return n.connect(h, l)
}

// redialEvery is how often a connection is tried again over a path that is cut.
const redialEvery = 250 * time.Millisecond

// redial waits and tries again, as the packets that open a connection do.
func (h *Host) redial(ctx context.Context, address string) (net.Conn, error) {
	if err := lavpause.For(ctx, redialEvery); err != nil {
		return nil, dialError(err)
	}
	return h.DialContext(ctx, "tcp", address)
}

func dialError(err error) error { return &net.OpError{Op: "dial", Net: "tcp", Err: err} }

func (n *Network) connect(h *Host, l *listener) (net.Conn, error) {
	out := newPipe(n, h.place, l.host.place)
	back := newPipe(n, l.host.place, h.place)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.dialled++
	own := addr(fmt.Sprintf("%s:%d", h.place.Host, n.dialled))
	client := &conn{in: back, out: out, local: own, remote: addr(l.address)}
	server := &conn{in: out, out: back, local: addr(l.address), remote: own}
	// The listener may have gone while the packets were on their way.
	if n.listeners[l.address] != l || n.down[l.host.place.Host] || n.down[h.place.Host] {
		return nil, dialError(errRefused)
	}
	select {
	case l.incoming <- server:
		n.conns[out] = struct{}{}
		n.conns[back] = struct{}{}
		return client, nil
	default:
		return nil, dialError(errRefused)
	}
}

// drawn returns random numbers for a packet that leaves now. They depend on the
// two ends and the time alone, so that a run repeats even where the order of
// goroutines at one instant doesn't.
func (n *Network) drawn(from, to HostInfo) *rand.Rand {
	path := xxhash.Sum64String(from.Host + " " + to.Host)
	return rand.New(rand.NewPCG(n.seed^path, uint64(time.Now().UnixNano())))
}

// SetDown takes a host down, which resets its connections, or brings it back.
func (n *Network) SetDown(host string, down bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.down[host] = down
	if !down {
		return
	}
	for p := range n.conns {
		if p.from.Host == host || p.to.Host == host {
			p.fail(errReset)
			delete(n.conns, p)
		}
	}
}

// SetPartitioned cuts the path between two hosts or mends it. What was sent meanwhile
// arrives once the path is mended.
func (n *Network) SetPartitioned(a, b string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[pathOf(a, b)] = cut
	for p := range n.conns {
		if pathOf(p.from.Host, p.to.Host) == pathOf(a, b) {
			p.hold(cut)
		}
	}
}

// Blackhole makes the open connections between two hosts deliver nothing for
// good, without closing them. New ones work.
func (n *Network) Blackhole(a, b string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for p := range n.conns {
		if pathOf(p.from.Host, p.to.Host) == pathOf(a, b) {
			p.silence()
			delete(n.conns, p)
		}
	}
}

// delay draws the time that a packet takes from one place to another.
func (n *Network) delay(from, to HostInfo) time.Duration {
	n.mu.Lock()
	l := n.links(from, to)
	n.mu.Unlock()
	random := n.drawn(from, to)
	d := l.Delay
	if l.Jitter > 0 {
		d += time.Duration(random.Int64N(int64(l.Jitter)))
	}
	if l.Loss > 0 && random.Float64() < l.Loss {
		d += l.Resend
	}
	return d
}

func (n *Network) forget(p *pipe) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.conns, p)
}

// addr is an address of the network.
type addr string

// Network implements net.Addr.
func (a addr) Network() string { return "tcp" }

// String implements net.Addr.
func (a addr) String() string { return fmt.Sprint(string(a)) }

// listener accepts connections of the network.
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
		l.reset()
	})
	return nil
}

// reset ends the connections that nobody has accepted.
func (l *listener) reset() {
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
