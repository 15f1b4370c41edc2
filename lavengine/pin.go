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

var (
	// ErrRestarted means that an engine has restarted since its load report. The
	// request was not sent.
	ErrRestarted = errors.New("engine has restarted")
	// ErrTurnedCold means that an engine has turned cold since its load report.
	// The request was not sent.
	ErrTurnedCold = errors.New("engine has turned cold")
)

// Pin is what an engine must be as a connection to it is opened.
type Pin struct {
	Incarnation Incarnation
	// Cold is true if it may be cold.
	Cold bool
}

// Times and sizes of pinned connections.
const (
	pinTimeout      = 2 * time.Second
	pinIdle         = time.Minute
	pinIdlePerHost  = 64
	pinUnusedPeriod = 5 * time.Minute
)

// PinnedClients gives HTTP clients whose connections reach one incarnation of an engine
// and no other. Each new connection first asks for the engine's load, whose
// report names the incarnation, and is closed if it is another, or if the engine
// is cold and was thought to be warm. A connection ends with the process that it
// leads to, so that a prompt which was meant for a warm engine never reaches the
// cold one that has come in its place.
//
// Each pin has a pool of connections of its own, so that what closes idle
// connections must do so in all pools: see DropIdle.
type PinnedClients struct {
	// client is that of the connections which lead to any incarnation.
	client *http.Client
	dial   func(ctx context.Context, network, address string) (net.Conn, error)

	mu      sync.Mutex
	clients map[netip.AddrPort]*pinned
}

// pinned is the client of one engine as it is thought to be.
type pinned struct {
	pin       Pin
	client    *http.Client
	transport *http.Transport
	used      time.Time
}

// NewPinnedClients returns pins that dial as client does.
func NewPinnedClients(client *http.Client) *PinnedClients {
	dial := (&net.Dialer{}).DialContext
	if t, ok := client.Transport.(*http.Transport); ok && t.DialContext != nil {
		dial = t.DialContext
	}
	return &PinnedClients{client: client, dial: dial, clients: make(map[netip.AddrPort]*pinned)}
}

// Client returns the client for an engine. That for an earlier pin is dropped,
// with its idle connections.
func (p *PinnedClients) Client(now time.Time, addr netip.AddrPort, pin Pin) *http.Client {
	p.mu.Lock()
	defer p.mu.Unlock()
	have := p.clients[addr]
	if have == nil || have.pin != pin {
		if have != nil {
			have.transport.CloseIdleConnections()
		}
		have = p.newPinned(pin)
		p.clients[addr] = have
		p.tidy(now)
	}
	have.used = now
	return have.client
}

// tidy drops clients of engines that are no longer used.
func (p *PinnedClients) tidy(now time.Time) {
	for addr, have := range p.clients {
		if !have.used.IsZero() && now.Sub(have.used) > pinUnusedPeriod {
			have.transport.CloseIdleConnections()
			delete(p.clients, addr)
		}
	}
}

// CloseIdleConnections closes all idle connections, pinned or not.
func (p *PinnedClients) CloseIdleConnections() {
	p.client.CloseIdleConnections()
	p.Close()
}

// Close closes all idle pinned connections.
func (p *PinnedClients) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, have := range p.clients {
		have.transport.CloseIdleConnections()
	}
}

func (p *PinnedClients) newPinned(pin Pin) *pinned {
	transport := &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			return p.connect(ctx, network, address, pin)
		},
		MaxIdleConnsPerHost: pinIdlePerHost,
		IdleConnTimeout:     pinIdle,
	}
	return &pinned{pin: pin, transport: transport, client: &http.Client{Transport: transport}}
}

// connect dials and checks who answers.
func (p *PinnedClients) connect(ctx context.Context, network, address string, want Pin) (net.Conn, error) {
	conn, err := p.dial(ctx, network, address)
	if err != nil {
		return nil, err
	}
	report, err := askReport(conn, address)
	switch {
	case err != nil:
	case report.Incarnation != want.Incarnation:
		err = ErrRestarted
	case report.Cold && !want.Cold:
		err = ErrTurnedCold
	}
	if err != nil {
		_ = conn.Close()
		// To the caller a connection that leads elsewhere is none.
		return nil, &net.OpError{Op: "dial", Net: network, Err: err}
	}
	return conn, nil
}

// askReport asks for a load report on a connection that is not used yet,
// and leaves the connection as it was.
func askReport(conn net.Conn, address string) (LoadReport, error) {
	var report LoadReport
	if err := conn.SetDeadline(time.Now().Add(pinTimeout)); err != nil {
		return report, err
	}
	request, err := http.NewRequestWithContext(context.Background(), http.MethodGet, "http://"+address+"/load", http.NoBody)
	if err != nil {
		return report, err
	}
	if err := request.Write(conn); err != nil {
		return report, err
	}
	reader := bufio.NewReader(conn)
	answer, err := http.ReadResponse(reader, request)
	if err != nil {
		return report, err
	}
	defer func() { _ = answer.Body.Close() }()
	if err := json.NewDecoder(io.LimitReader(answer.Body, maxReplyBytes)).Decode(&report); err != nil {
		return report, err
	}
	if _, err := io.Copy(io.Discard, answer.Body); err != nil {
		return report, err
	}
	if reader.Buffered() > 0 || answer.Close {
		return report, errors.New("engine doesn't keep connections")
	}
	return report, conn.SetDeadline(time.Time{})
}

// PinnedEngine is an engine whose prompts reach one pin only. All else is for any.
type PinnedEngine struct {
	Engine
	pinned Engine
}

// NewPinnedEngine returns the engine at addr, with prompts for it as the pin says.
func NewPinnedEngine(pins *PinnedClients, addr netip.AddrPort, pin Pin) *PinnedEngine {
	base := "http://" + addr.String()
	return &PinnedEngine{
		Engine: &HTTP{client: pins.client, base: base, dropIdle: pins.CloseIdleConnections},
		pinned: &HTTP{client: pins.Client(time.Now(), addr, pin), base: base, dropIdle: pins.CloseIdleConnections},
	}
}

// Submit implements Engine.
func (p *PinnedEngine) Submit(ctx context.Context, s Submission) (Stream, error) {
	return p.pinned.Submit(ctx, s)
}
