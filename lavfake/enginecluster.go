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

// EngineCluster is a set of engines on a network in memory, each on a host of its own
// that has its name.
type EngineCluster struct {
	Network *lavfakenet.Network
	Engines []*Engine

	names   []string
	domains []string
	addrs   []netip.AddrPort
	servers []*http.Server
	clients []*http.Transport
}

// NewEngineCluster returns a rack without engines. Every path has that delay.
func NewEngineCluster(seed uint64, delay time.Duration) *EngineCluster {
	return &EngineCluster{Network: lavfakenet.New(seed, func(_, _ lavfakenet.HostInfo) lavfakenet.Link {
		return lavfakenet.Link{Delay: delay}
	})}
}

// Add starts an engine in that failure domain and returns its name.
func (r *EngineCluster) Add(domain string, settings EngineSettings) (string, error) {
	i := len(r.Engines)
	name := fmt.Sprintf("engine-%02d", i)
	addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, 0, byte(i + 1)}), 8000)
	l, err := r.Network.Host(lavfakenet.HostInfo{Host: name, FailureDomain: domain}).Listen("tcp", addr.String())
	if err != nil {
		return "", err
	}
	e := NewEngine(settings)
	server := &http.Server{Handler: e.Handler(), ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(l) }()
	r.Engines = append(r.Engines, e)
	r.names = append(r.names, name)
	r.domains = append(r.domains, domain)
	r.addrs = append(r.addrs, addr)
	r.servers = append(r.servers, server)
	return name, nil
}

// Client returns an HTTP client on a host of that name.
func (r *EngineCluster) Client(host string) *http.Client {
	transport := &http.Transport{DialContext: r.Network.Host(lavfakenet.HostInfo{Host: host}).DialContext}
	r.clients = append(r.clients, transport)
	return &http.Client{Transport: transport}
}

// Dial returns a function that reaches the engines with that client.
func (r *EngineCluster) Dial(client *http.Client) func(e *lavendpoint.Endpoint) lavengine.Engine {
	return func(e *lavendpoint.Endpoint) lavengine.Engine {
		return lavengine.NewHTTP(client, "http://"+e.Addr.String())
	}
}

// Snapshot returns what the engines say of themselves now.
func (r *EngineCluster) Snapshot() *lavendpoint.Snapshot {
	s := &lavendpoint.Snapshot{}
	for i, e := range r.Engines {
		phase := lavendpoint.PhaseReady
		report := e.report()
		switch {
		case e.isDown():
			phase = lavendpoint.PhaseOut
		case report.Cold:
			phase = lavendpoint.PhaseCold
		}
		s.Endpoints = append(s.Endpoints, lavendpoint.Endpoint{
			Name: r.names[i], Host: r.names[i], FailureDomain: r.domains[i], Addr: r.addrs[i],
			Phase: phase, Report: report, Heard: time.Now(),
		})
	}
	return s
}

// errDown means that an engine answers nothing.
var errDown = errors.New("engine is down")

// Confirm returns what an engine says of itself now.
func (r *EngineCluster) Confirm(_ context.Context, e *lavendpoint.Endpoint) (lavengine.LoadReport, error) {
	i := slices.Index(r.names, e.Name)
	if i < 0 || r.Engines[i].isDown() {
		return lavengine.LoadReport{}, errDown
	}
	return r.Engines[i].report(), nil
}

// reportEvery is how often the engines are taken to report.
const reportEvery = 100 * time.Millisecond

// Changed returns a channel that is closed at the next reports.
func (r *EngineCluster) Changed() <-chan struct{} {
	changed := make(chan struct{})
	time.AfterFunc(reportEvery, func() { close(changed) })
	return changed
}

// Close stops the engines and closes every connection.
func (r *EngineCluster) Close(ctx context.Context) error {
	for _, c := range r.clients {
		c.CloseIdleConnections()
	}
	for i, server := range r.servers {
		if err := server.Close(); err != nil {
			return err
		}
		r.Engines[i].Close()
	}
	return ctx.Err()
}
