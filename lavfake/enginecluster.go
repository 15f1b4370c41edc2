package lavfake

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"slices"
	"time"

	"lavenderrack.example/lavenderrack/lavendpoint"
	"lavenderrack.example/lavenderrack/lavengine"
	"lavenderrack.example/lavenderrack/lavfakenet"

	"github.com/cockroachdb/errors"
)

// EngineCluster is a set of engines on an in-memory network. Each engine runs
// on its own host, which has the engine's name.
type EngineCluster struct {
	Network *lavfakenet.Network
	Engines []*Engine

	names   []string
	domains []string
	addrs   []netip.AddrPort
	servers []*http.Server
	clients []*http.Transport
}

// NewEngineCluster returns a cluster without engines. All network links have
// the given delay.
func NewEngineCluster(seed uint64, delay time.Duration) *EngineCluster {
	return &EngineCluster{Network: lavfakenet.New(seed, func(_, _ lavfakenet.HostInfo) lavfakenet.Link {
		return lavfakenet.Link{Delay: delay}
	})}
}

// Add starts an engine in the given failure domain and returns its name.
func (c *EngineCluster) Add(domain string, settings EngineSettings) (string, error) {
	i := len(c.Engines)
	name := fmt.Sprintf("engine-%02d", i)
	addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, 0, byte(i + 1)}), 8000)
	l, err := c.Network.Host(lavfakenet.HostInfo{Host: name, FailureDomain: domain}).Listen("tcp", addr.String())
	if err != nil {
		return "", err
	}
	e := NewEngine(settings)
	server := &http.Server{Handler: e.Handler(), ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(l) }()
	c.Engines = append(c.Engines, e)
	c.names = append(c.names, name)
	c.domains = append(c.domains, domain)
	c.addrs = append(c.addrs, addr)
	c.servers = append(c.servers, server)
	return name, nil
}

// Client returns an HTTP client that connects from the named host.
func (c *EngineCluster) Client(host string) *http.Client {
	transport := &http.Transport{DialContext: c.Network.Host(lavfakenet.HostInfo{Host: host}).DialContext}
	c.clients = append(c.clients, transport)
	return &http.Client{Transport: transport}
}

// Dial returns a function that returns, for an endpoint, an engine client that
// uses the given HTTP client.
func (c *EngineCluster) Dial(client *http.Client) func(e *lavendpoint.Endpoint) lavengine.Engine {
	return func(e *lavendpoint.Endpoint) lavengine.Engine {
		return lavengine.NewHTTP(client, "http://"+e.Addr.String())
	}
}

// Snapshot returns a snapshot of the endpoints with their currently visible
// load reports.
func (c *EngineCluster) Snapshot() *lavendpoint.Snapshot {
	s := &lavendpoint.Snapshot{}
	for i, e := range c.Engines {
		phase := lavendpoint.PhaseReady
		report := e.visibleReport()
		switch {
		case e.isDown():
			phase = lavendpoint.PhaseOut
		case report.Cold:
			phase = lavendpoint.PhaseCold
		}
		s.Endpoints = append(s.Endpoints, lavendpoint.Endpoint{
			Name: c.names[i], Host: c.names[i], FailureDomain: c.domains[i], Addr: c.addrs[i],
			Phase: phase, Report: report, Heard: time.Now(),
		})
	}
	return s
}

// errDown means that the engine does not respond.
var errDown = errors.New("engine does not respond")

// Confirm returns the currently visible load report of an engine. It returns an
// error if the engine is unknown or down.
func (c *EngineCluster) Confirm(_ context.Context, e *lavendpoint.Endpoint) (lavengine.LoadReport, error) {
	i := slices.Index(c.names, e.Name)
	if i < 0 || c.Engines[i].isDown() {
		return lavengine.LoadReport{}, errDown
	}
	return c.Engines[i].visibleReport(), nil
}

// reportInterval is the assumed interval between load reports.
const reportInterval = 100 * time.Millisecond

// Changed returns a channel that is closed when the next load reports are due.
func (c *EngineCluster) Changed() <-chan struct{} {
	changed := make(chan struct{})
	time.AfterFunc(reportInterval, func() { close(changed) })
	return changed
}

// Close stops the engines and closes all connections.
func (c *EngineCluster) Close(ctx context.Context) error {
	for _, transport := range c.clients {
		transport.CloseIdleConnections()
	}
	for i, server := range c.servers {
		if err := server.Close(); err != nil {
			return err
		}
		c.Engines[i].Close()
	}
	return ctx.Err()
}
