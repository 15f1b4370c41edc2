package lavexperiment

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"lavenderrack.example/lavenderrack/lavclient"
	"lavenderrack.example/lavenderrack/lavendpoint"
	"lavenderrack.example/lavenderrack/lavfake"
	"lavenderrack.example/lavenderrack/lavfakenet"
	"lavenderrack.example/lavenderrack/lavnode"
	"lavenderrack.example/lavenderrack/lavrelease"
	"lavenderrack.example/lavenderrack/lavscenario"
	"lavenderrack.example/lavenderrack/lavsettings"

	"github.com/cockroachdb/errors"
	"github.com/phuslu/log"
	"github.com/uber-go/tally/v4"
)

// Names, addresses and times of a simulated system.
const (
	platformHost = "platform"
	storeAddr    = "10.9.0.1:8500"
	hostListAddr = "10.9.0.2:80"
	serviceName  = "orders"
	drainTimeout = time.Minute
	// startInterval is the delay between the starts of two entry hosts. It spreads
	// their periodic work, which would otherwise run at the same instants.
	startInterval = 37 * time.Millisecond
)

// System is a complete simulated system: entry hosts, fake engines and servers,
// clients and the network between them.
type System struct {
	scenario  *lavscenario.Scenario
	policy    Policy
	network   *lavfakenet.Network
	store     *lavfake.Store
	hostList  *lavfake.HostList
	engines   []*lavfake.Engine
	orderBook *lavfake.OrderBook
	servers   []*lavfake.OrderServer
	nodes     []*node
	// clients has the client of each customer and failure domain, by clientKey.
	clients map[string]*lavclient.Client
	// httpServers has all HTTP servers that Close stops.
	httpServers []*http.Server
	// closeIdle has a function for each HTTP client that closes its idle
	// connections.
	closeIdle []func()
	// published is the number of releases published so far, which is the version of
	// the head.
	published int
	ctx       context.Context
	stop      context.CancelFunc

	mu sync.Mutex
	// err combines the errors that Close returns.
	err error
	// unavoidableOverloads is the number of overloads of cold engines that
	// happened before a load report could show that the engine had turned cold.
	unavoidableOverloads int
}

// node is an entry host and its current process.
type node struct {
	settings lavsettings.Settings
	place    lavfakenet.HostInfo
	cancel   context.CancelFunc
	ended    chan error
}

// NewSystem starts a system and waits until it is ready.
func NewSystem(ctx context.Context, s *lavscenario.Scenario, policy Policy, seed uint64) (*System, error) {
	ctx, stop := context.WithCancel(ctx)
	sys := &System{
		scenario:  s,
		policy:    policy,
		store:     lavfake.NewStore(),
		hostList:  lavfake.NewHostList(),
		orderBook: lavfake.NewOrderBook(),
		clients:   make(map[string]*lavclient.Client),
		ctx:       ctx,
		stop:      stop,
	}
	sys.network = lavfakenet.New(seed, sys.link)
	if err := sys.start(); err != nil {
		return nil, errors.CombineErrors(err, sys.Close())
	}
	return sys, nil
}

// start starts the fakes and the entry hosts, publishes the first release and
// waits until the system is ready.
func (sys *System) start() error {
	platform := lavfakenet.HostInfo{Host: platformHost}
	if err := sys.serve(platform, storeAddr, sys.store.Handler()); err != nil {
		return err
	}
	if err := sys.serve(platform, hostListAddr, sys.hostList); err != nil {
		return err
	}
	sys.hostList.Set(sys.hostStates()...)
	note, err := sys.initialNote()
	if err != nil {
		return err
	}
	if err := sys.Publish(note); err != nil {
		return err
	}
	for i := range sys.scenario.Fleet.EntryHosts {
		sys.nodes = append(sys.nodes, sys.newNode(i))
		sys.startNode(i)
		time.Sleep(startInterval)
	}
	sys.newClients()
	return sys.waitUntilReady()
}

// waitUntilReady waits until a client knows all entry hosts, and then for the
// first load reports of the engines.
func (sys *System) waitUntilReady() error {
	const readyTimeout = time.Minute
	for began := time.Now(); time.Since(began) < readyTimeout; time.Sleep(time.Second) {
		for _, c := range sys.clients {
			if len(c.Entries(sys.ctx)) == len(sys.nodes) {
				// Wait for another round of load reports.
				time.Sleep(2 * time.Second)
				return nil
			}
		}
	}
	return errors.New("clients did not discover all entry hosts within a minute")
}

// Close stops all entry hosts, servers and connections. It returns the errors
// that occurred during the run.
func (sys *System) Close() error {
	for _, n := range sys.nodes {
		n.cancel()
		sys.recordError(<-n.ended)
	}
	for _, closeIdle := range sys.closeIdle {
		closeIdle()
	}
	for _, s := range sys.httpServers {
		sys.recordError(s.Close())
	}
	sys.stop()
	sys.mu.Lock()
	defer sys.mu.Unlock()
	return sys.err
}

// recordError records an error that Close returns.
func (sys *System) recordError(err error) {
	sys.mu.Lock()
	defer sys.mu.Unlock()
	sys.err = errors.CombineErrors(sys.err, err)
}

// link returns the properties of the network path between two places, as the
// scenario's fleet defines them.
func (sys *System) link(from, to lavfakenet.HostInfo) lavfakenet.Link {
	f := sys.scenario.Fleet
	l := linkOf(f.Path)
	if from.FailureDomain == to.FailureDomain || from.Host == platformHost || to.Host == platformHost {
		l = linkOf(f.Local)
	}
	if isCaller(from) || isCaller(to) {
		c := linkOf(f.Caller)
		l.Delay += c.Delay
		l.Jitter += c.Jitter
		l.Loss += c.Loss
	}
	return l
}

// linkOf converts a link of a scenario to one of the fake network.
func linkOf(l lavscenario.Link) lavfakenet.Link {
	return lavfakenet.Link{Delay: time.Duration(l.Delay), Jitter: time.Duration(l.Jitter), Loss: l.Loss, Resend: time.Duration(l.Resend)}
}

// callerPrefix is the prefix of the names of the callers' hosts.
const callerPrefix = "caller-"

// isCaller reports whether a place is the host of a caller.
func isCaller(p lavfakenet.HostInfo) bool {
	return len(p.Host) > len(callerPrefix) && p.Host[:len(callerPrefix)] == callerPrefix
}

// serve starts an HTTP server at a place of the simulated network.
func (sys *System) serve(place lavfakenet.HostInfo, address string, handler http.Handler) error {
	l, err := sys.network.Host(place).Listen("tcp", address)
	if err != nil {
		return err
	}
	s := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	sys.httpServers = append(sys.httpServers, s)
	go func() { _ = s.Serve(l) }()
	return nil
}

// client returns an HTTP client that connects from a place of the simulated
// network.
func (sys *System) client(place lavfakenet.HostInfo) *http.Client {
	transport := &http.Transport{
		DialContext:         sys.network.Host(place).DialContext,
		MaxIdleConnsPerHost: 64,
		IdleConnTimeout:     time.Minute,
	}
	sys.closeIdle = append(sys.closeIdle, transport.CloseIdleConnections)
	return &http.Client{Transport: transport}
}

// domain returns the failure domain with index i, modulo the number of domains.
func (sys *System) domain(i int) string {
	return sys.scenario.Fleet.FailureDomains[i%len(sys.scenario.Fleet.FailureDomains)]
}

// Publish publishes a note as the next release. It sets the ID and the base of
// the note.
func (sys *System) Publish(n *lavrelease.Note) error {
	n.ID = fmt.Sprintf("note-%d", sys.published)
	n.Base = lavrelease.Version(sys.published)
	sys.published++
	_, err := lavrelease.Publish(sys.ctx, sys.store, n)
	return err
}

// newNode returns the entry host with index i without starting it.
func (sys *System) newNode(i int) *node {
	addr := func(port uint16) netip.AddrPort {
		return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)}), port)
	}
	settings := lavsettings.Default()
	settings.Host = entryHost(i)
	settings.FailureDomain = sys.domain(i)
	settings.Entry, settings.Mesh, settings.Admin = addr(8080), addr(8081), addr(8082)
	settings.Stores = []string{"http://" + storeAddr}
	settings.HostList = "http://" + hostListAddr
	settings.DrainTimeout = lavrelease.Duration(drainTimeout)
	return &node{settings: settings, place: lavfakenet.HostInfo{Host: settings.Host, FailureDomain: settings.FailureDomain}}
}

// startNode starts a process of the entry host with index i.
func (sys *System) startNode(i int) {
	n := sys.nodes[i]
	process := lavnode.New(n.settings, lavnode.Dependencies{
		Listen: func(network, address string) (net.Listener, error) {
			return sys.network.Host(n.place).Listen(network, address)
		},
		Client: sys.client(n.place),
		Logger: &log.Logger{Level: log.ErrorLevel},
		Scope:  tally.NoopScope,
		Policy: sys.policy.Routing(),
		Queue:  sys.policy.Queue(),
	})
	ctx, cancel := context.WithCancel(sys.ctx)
	n.cancel = cancel
	n.ended = make(chan error, 1)
	go func() { n.ended <- process.Run(ctx) }()
}

// newClients creates a client for each customer in each failure domain.
func (sys *System) newClients() {
	var seeds []netip.AddrPort
	for _, n := range sys.nodes {
		seeds = append(seeds, n.settings.Entry)
	}
	for _, domain := range sys.scenario.Fleet.FailureDomains {
		for _, c := range sys.scenario.Customers {
			place := lavfakenet.HostInfo{Host: callerPrefix + c.Name + "-" + domain, FailureDomain: domain}
			settings := lavclient.Settings{Seeds: seeds, FailureDomain: domain, Credential: credential(c.Name)}
			sys.clients[clientKey(c.Name, domain)] = lavclient.New(settings, sys.client(place))
		}
	}
}

// clientKey returns the key of a client in System.clients.
func clientKey(customer, domain string) string { return customer + " " + domain }

// hostStates returns a host list in which every host is live.
func (sys *System) hostStates() []lavendpoint.HostState {
	var hosts []lavendpoint.HostState
	for i := range sys.scenario.Fleet.Engines {
		hosts = append(hosts, lavendpoint.HostState{Name: engineHost(i)})
	}
	for i := range sys.scenario.Fleet.Servers {
		hosts = append(hosts, lavendpoint.HostState{Name: serverHost(i)})
	}
	for i := range sys.scenario.Fleet.EntryHosts {
		hosts = append(hosts, lavendpoint.HostState{Name: entryHost(i)})
	}
	return hosts
}
