package lavengine

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"math"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"lavenderrack.example/lavenderrack/lavresponse"

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

// Pin is the state that an engine must have when a connection to it is opened.
type Pin struct {
	Incarnation Incarnation
	// Cold is true if the engine may be cold.
	Cold bool
}

// Timeouts and limits of pinned connections.
const (
	pinCheckTimeout   = 2 * time.Second
	pinIdleTimeout    = time.Minute
	pinMaxIdlePerHost = 64
	pinUnusedTimeout  = 5 * time.Minute
)

// PinnedClients provides HTTP clients whose connections reach one incarnation of
// an engine only. On each new connection a client first requests the engine's
// load report, which names the incarnation. It closes the connection if the
// incarnation is a different one, or if the engine is cold and the pin expects a
// warm one. A connection ends with the process that it leads to, so a prompt
// meant for a warm engine never reaches a cold engine that has replaced it.
//
// Each pin has a connection pool of its own. To close idle connections in all
// pools, use CloseIdleConnections.
type PinnedClients struct {
	// unpinned is the client for calls that may reach any incarnation.
	unpinned *http.Client
	dial     func(ctx context.Context, network, address string) (net.Conn, error)
	// replies is what the replies of all engines that are held may take together.
	replies *lavresponse.Budget

	mu      sync.Mutex
	clients map[netip.AddrPort]*pinnedClient
}

// pinnedClient is the client of one engine for its current pin.
type pinnedClient struct {
	pin      Pin
	client   *http.Client
	lastUsed time.Time
}

// NewPinnedClients returns pinned clients that dial in the same way as client.
func NewPinnedClients(client *http.Client) *PinnedClients {
	client = lavresponse.Checked(client)
	return &PinnedClients{
		unpinned: client,
		dial:     lavresponse.Dial(client),
		replies:  lavresponse.BudgetOf(client),
		clients:  make(map[netip.AddrPort]*pinnedClient),
	}
}

// Client returns the client of an engine. If the pin has changed, it replaces
// the client of the earlier pin and closes that one's idle connections.
func (p *PinnedClients) Client(now time.Time, addr netip.AddrPort, pin Pin) *http.Client {
	p.mu.Lock()
	defer p.mu.Unlock()
	entry := p.clients[addr]
	if entry == nil || entry.pin != pin {
		if entry != nil {
			entry.client.CloseIdleConnections()
		}
		entry = p.newPinnedClient(pin)
		p.clients[addr] = entry
		p.evictUnused(now)
	}
	entry.lastUsed = now
	return entry.client
}

// evictUnused removes the clients of engines that have not been used for
// pinUnusedTimeout.
func (p *PinnedClients) evictUnused(now time.Time) {
	for addr, entry := range p.clients {
		if !entry.lastUsed.IsZero() && now.Sub(entry.lastUsed) > pinUnusedTimeout {
			entry.client.CloseIdleConnections()
			delete(p.clients, addr)
		}
	}
}

// CloseIdleConnections closes all idle connections, pinned or not.
func (p *PinnedClients) CloseIdleConnections() {
	p.unpinned.CloseIdleConnections()
	p.Close()
}

// Close closes all idle pinned connections.
func (p *PinnedClients) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, entry := range p.clients {
		entry.client.CloseIdleConnections()
	}
}

func (p *PinnedClients) newPinnedClient(pin Pin) *pinnedClient {
	transport := &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			return p.dialVerified(ctx, network, address, pin)
		},
		MaxIdleConnsPerHost: pinMaxIdlePerHost,
		IdleConnTimeout:     pinIdleTimeout,
	}
	return &pinnedClient{pin: pin, client: lavresponse.NewClient(&http.Client{Transport: transport})}
}

// dialVerified opens a connection and checks that the engine matches the pin.
func (p *PinnedClients) dialVerified(ctx context.Context, network, address string, pin Pin) (net.Conn, error) {
	conn, err := p.dial(ctx, network, address)
	if err != nil {
		return nil, err
	}
	report, err := fetchReport(conn, address, p.replies)
	switch {
	case err != nil:
	case report.Incarnation != pin.Incarnation:
		err = ErrRestarted
	case report.Cold && !pin.Cold:
		err = ErrTurnedCold
	}
	if err != nil {
		_ = conn.Close()
		// This is reported as a dial error, because no request was sent.
		return nil, &net.OpError{Op: "dial", Net: network, Err: err}
	}
	return conn, nil
}

// fetchReport requests a load report on a new connection. The connection can be
// used for other requests afterwards. The report is taken from the budget replies while
// it is read.
func fetchReport(conn net.Conn, address string, replies *lavresponse.Budget) (LoadReport, error) {
	var report LoadReport
	if err := conn.SetDeadline(time.Now().Add(pinCheckTimeout)); err != nil {
		return report, err
	}
	request, err := http.NewRequestWithContext(context.Background(), http.MethodGet, "http://"+address+"/load", http.NoBody)
	if err != nil {
		return report, err
	}
	if err := request.Write(conn); err != nil {
		return report, err
	}
	received := &io.LimitedReader{R: conn, N: lavresponse.MaxHeadBytes}
	reader := bufio.NewReader(received)
	response, err := http.ReadResponse(reader, request)
	if err != nil {
		return report, err
	}
	defer func() { _ = response.Body.Close() }()
	// ReadAll limits the body.
	received.N = math.MaxInt64
	if err := lavresponse.CheckHead(response); err != nil {
		return report, err
	}
	if response.StatusCode != http.StatusOK {
		return report, errors.Newf("load report has the status %d", response.StatusCode)
	}
	text, err := replies.ReadAll(response.Body, maxReplyBytes)
	defer text.Release()
	if err != nil {
		return report, err
	}
	if err := json.Unmarshal(text.Bytes, &report); err != nil {
		return report, err
	}
	if reader.Buffered() > 0 || response.Close {
		return report, errors.New("engine closes the connection after each response")
	}
	return report, conn.SetDeadline(time.Time{})
}

// PinnedEngine is an engine whose prompts reach only an engine that matches a
// pin. All other calls may reach any incarnation.
type PinnedEngine struct {
	Engine
	submitter Engine
}

// NewPinnedEngine returns the engine at addr, whose prompts are sent only if it
// matches the pin.
func NewPinnedEngine(pins *PinnedClients, addr netip.AddrPort, pin Pin) *PinnedEngine {
	base := "http://" + addr.String()
	return &PinnedEngine{
		Engine:    &HTTP{client: pins.unpinned, baseURL: base, closeIdle: pins.CloseIdleConnections, replies: pins.replies},
		submitter: &HTTP{client: pins.Client(time.Now(), addr, pin), baseURL: base, closeIdle: pins.CloseIdleConnections, replies: pins.replies},
	}
}

// Submit implements Engine.
func (p *PinnedEngine) Submit(ctx context.Context, s Submission) (Stream, error) {
	return p.submitter.Submit(ctx, s)
}
