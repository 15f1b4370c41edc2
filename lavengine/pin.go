package lavengine

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrRestarted means that an engine has restarted since its load report. The
// request was not sent.
var ErrRestarted = errors.New("engine has restarted")

// Times and sizes of pinned connections.
const (
	pinTimeout      = 2 * time.Second
	pinIdle         = time.Minute
	pinIdlePerHost  = 64
	pinUnusedPeriod = 5 * time.Minute
)

// Pins gives HTTP clients whose connections reach one incarnation of an engine
// and no other. Each new connection first asks for the engine's load, whose
// report names the incarnation, and is closed if it is another. A connection
// ends with the process that it leads to, so that a prompt which was meant for
// a warm engine never reaches the cold one that has come in its place.
//
// Each incarnation has a pool of connections of its own, so that what closes
// idle connections must do so in all pools: see DropIdle.
type Pins struct {
	// client is that of the connections which lead to any incarnation.
	client *http.Client
	dial   func(ctx context.Context, network, address string) (net.Conn, error)

	mu      sync.Mutex
	clients map[netip.AddrPort]*pinned
}

// pinned is the client of one engine's present incarnation.
type pinned struct {
	incarnation Incarnation
	client      *http.Client
	transport   *http.Transport
	used        time.Time
}

// NewPins returns pins that dial as client does.
func NewPins(client *http.Client) *Pins {
	dial := (&net.Dialer{}).DialContext
	if t, ok := client.Transport.(*http.Transport); ok && t.DialContext != nil {
		dial = t.DialContext
	}
	return &Pins{client: client, dial: dial, clients: make(map[netip.AddrPort]*pinned)}
}

// Client returns the client for an engine's incarnation. Clients of an earlier
// one are dropped, with their idle connections.
func (p *Pins) Client(now time.Time, addr netip.AddrPort, incarnation Incarnation) *http.Client {
	p.mu.Lock()
	defer p.mu.Unlock()
	have := p.clients[addr]
	if have == nil || have.incarnation != incarnation {
		if have != nil {
			have.transport.CloseIdleConnections()
		}
		have = p.newPinned(incarnation)
		p.clients[addr] = have
		p.tidy(now)
	}
	have.used = now
	return have.client
}

// tidy drops clients of engines that are no longer used.
func (p *Pins) tidy(now time.Time) {
	for addr, have := range p.clients {
		if !have.used.IsZero() && now.Sub(have.used) > pinUnusedPeriod {
			have.transport.CloseIdleConnections()
			delete(p.clients, addr)
		}
	}
}

// DropIdle closes all idle connections, pinned or not.
func (p *Pins) DropIdle() {
	p.client.CloseIdleConnections()
	p.Close()
}

// Close closes all idle pinned connections.
func (p *Pins) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, have := range p.clients {
		have.transport.CloseIdleConnections()
	}
}

func (p *Pins) newPinned(incarnation Incarnation) *pinned {
	transport := &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			return p.connect(ctx, network, address, incarnation)
		},
		MaxIdleConnsPerHost: pinIdlePerHost,
		IdleConnTimeout:     pinIdle,
	}
	return &pinned{incarnation: incarnation, transport: transport, client: &http.Client{Transport: transport}}
}

// connect dials and checks who answers.
func (p *Pins) connect(ctx context.Context, network, address string, want Incarnation) (net.Conn, error) {
	conn, err := p.dial(ctx, network, address)
	if err != nil {
		return nil, err
	}
	got, err := askIncarnation(conn, address)
	if err == nil && got != want {
		err = ErrRestarted
	}
	if err != nil {
		_ = conn.Close()
		// To the caller a connection that leads elsewhere is none.
		return nil, &net.OpError{Op: "dial", Net: network, Err: err}
	}
	return conn, nil
}

// askIncarnation asks for a load report on a connection that is not used yet,
// and leaves the connection as it was.
func askIncarnation(conn net.Conn, address string) (Incarnation, error) {
	if err := conn.SetDeadline(time.Now().Add(pinTimeout)); err != nil {
		return "", err
	}
	request, err := http.NewRequestWithContext(context.Background(), http.MethodGet, "http://"+address+"/load", http.NoBody)
	if err != nil {
		return "", err
	}
	if err := request.Write(conn); err != nil {
		return "", err
	}
	reader := bufio.NewReader(conn)
	answer, err := http.ReadResponse(reader, request)
	if err != nil {
		return "", err
	}
	defer func() { _ = answer.Body.Close() }()
	var report LoadReport
	if err := json.NewDecoder(io.LimitReader(answer.Body, maxReplyBytes)).Decode(&report); err != nil {
		return "", err
	}
	if _, err := io.Copy(io.Discard, answer.Body); err != nil {
		return "", err
	}
	if reader.Buffered() > 0 || answer.Close {
		return "", errors.New("engine doesn't keep connections")
	}
	return report.Incarnation, conn.SetDeadline(time.Time{})
}

// Pinned is an engine whose prompts reach one incarnation only. All else is
// for any.
type Pinned struct {
	Engine
	pinned Engine
}

// NewPinned returns the engine at addr, with prompts for that incarnation.
func NewPinned(pins *Pins, addr netip.AddrPort, incarnation Incarnation) *Pinned {
	base := "http://" + addr.String()
	return &Pinned{
		Engine: &HTTP{client: pins.client, base: base, dropIdle: pins.DropIdle},
		pinned: &HTTP{client: pins.Client(time.Now(), addr, incarnation), base: base, dropIdle: pins.DropIdle},
	}
}

// Submit implements Engine.
func (p *Pinned) Submit(ctx context.Context, s Submission) (Stream, error) {
	return p.pinned.Submit(ctx, s)
}
