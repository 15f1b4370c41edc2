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
	"lavenderrack.example/lavenderrack/lavfront"
	"lavenderrack.example/lavenderrack/lavnode"
	"lavenderrack.example/lavenderrack/lavrelease"
	"lavenderrack.example/lavenderrack/lavscenario"
	"lavenderrack.example/lavenderrack/lavsettings"

	"github.com/cockroachdb/errors"
	"github.com/phuslu/log"
	"github.com/uber-go/tally/v4"
)

// Names and addresses of a world.
const (
	platformHost = "platform"
	storeAddr    = "10.9.0.1:8500"
	hostListAddr = "10.9.0.2:80"
	serviceName  = "orders"
	drainTimeout = time.Minute
	// startApart is the time between the starts of two entry hosts, so that
	// their periodic work doesn't fall on the same instants.
	startApart = 37 * time.Millisecond
)

// System is a whole system in memory.
type System struct {
	scenario  *lavscenario.Scenario
	policy    Policy
	network   *lavfakenet.Network
	store     *lavfake.Store
	hostList  *lavfake.HostList
	engines   []*lavfake.Engine
	book      *lavfake.OrderBook
	servers   []*lavfake.Orders
	nodes     []*node
	clients   map[string]*lavclient.Client
	listeners []*http.Server
	// idle closes the connections that each HTTP client keeps.
	idle []func()
	// note numbers the releases.
	note int
	ctx  context.Context
	stop context.CancelFunc

	mu  sync.Mutex
	err error
	// unnoticed counts cold overloads before anybody could know.
	unnoticed int
}

// node is one entry host with its process.
type node struct {
	settings lavsettings.Settings
	place    lavfakenet.Place
	cancel   context.CancelFunc
	ended    chan error
}

// NewSystem starts a world and waits until it serves.
func NewSystem(ctx context.Context, s *lavscenario.Scenario, policy Policy, seed uint64) (*System, error) {
	ctx, stop := context.WithCancel(ctx)
	w := &System{
		scenario: s,
		policy:   policy,
		store:    lavfake.NewStore(),
		hostList: lavfake.NewHostList(),
		book:     lavfake.NewOrderBook(),
		clients:  make(map[string]*lavclient.Client),
		ctx:      ctx,
		stop:     stop,
	}
	w.network = lavfakenet.New(seed, w.link)
	if err := w.start(); err != nil {
		return nil, errors.CombineErrors(err, w.Close())
	}
	return w, nil
}

func (w *System) start() error {
	platform := lavfakenet.Place{Host: platformHost}
	if err := w.serve(platform, storeAddr, w.store.Handler()); err != nil {
		return err
	}
	if err := w.serve(platform, hostListAddr, w.hostList); err != nil {
		return err
	}
	w.hostList.Set(w.hosts()...)
	note, err := w.firstNote()
	if err != nil {
		return err
	}
	if err := w.Publish(note); err != nil {
		return err
	}
	for i := range w.scenario.Fleet.EntryHosts {
		w.nodes = append(w.nodes, w.newNode(i))
		w.startNode(i)
		time.Sleep(startApart)
	}
	w.newClients()
	return w.ready()
}

// ready waits until every entry host sends callers to all of them.
func (w *System) ready() error {
	const patience = time.Minute
	for began := time.Now(); time.Since(began) < patience; time.Sleep(time.Second) {
		for _, c := range w.clients {
			if len(c.Entries(w.ctx)) == len(w.nodes) {
				// One round of load reports more.
				time.Sleep(2 * time.Second)
				return nil
			}
		}
	}
	return errors.New("the system didn't become ready")
}

// Close ends every process and connection of the world.
func (w *System) Close() error {
	for _, n := range w.nodes {
		n.cancel()
		w.fail(<-n.ended)
	}
	for _, closeIdle := range w.idle {
		closeIdle()
	}
	for _, s := range w.listeners {
		w.fail(s.Close())
	}
	w.stop()
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.err
}

// fail notes an error of a part of the world, for Close to return.
func (w *System) fail(err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.err = errors.CombineErrors(w.err, err)
}

// link tells the paths of the scenario's fleet.
func (w *System) link(from, to lavfakenet.Place) lavfakenet.Link {
	f := w.scenario.Fleet
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

func linkOf(l lavscenario.Link) lavfakenet.Link {
	return lavfakenet.Link{Delay: time.Duration(l.Delay), Jitter: time.Duration(l.Jitter), Loss: l.Loss, Resend: time.Duration(l.Resend)}
}

const callerPrefix = "caller-"

func isCaller(p lavfakenet.Place) bool {
	return len(p.Host) > len(callerPrefix) && p.Host[:len(callerPrefix)] == callerPrefix
}

// serve runs an HTTP server at a place.
func (w *System) serve(place lavfakenet.Place, address string, handler http.Handler) error {
	l, err := w.network.Host(place).Listen("tcp", address)
	if err != nil {
		return err
	}
	s := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	w.listeners = append(w.listeners, s)
	go func() { _ = s.Serve(l) }()
	return nil
}

// client returns an HTTP client at a place.
func (w *System) client(place lavfakenet.Place) *http.Client {
	transport := &http.Transport{
		DialContext:         w.network.Host(place).DialContext,
		MaxIdleConnsPerHost: 64,
		IdleConnTimeout:     time.Minute,
	}
	w.idle = append(w.idle, transport.CloseIdleConnections)
	return &http.Client{Transport: transport}
}

func (w *System) domain(i int) string {
	return w.scenario.Fleet.FailureDomains[i%len(w.scenario.Fleet.FailureDomains)]
}

// firstNote starts the engines and servers and lists them in a release note.
func (w *System) firstNote() (*lavrelease.Note, error) {
	f := w.scenario.Fleet
	n := &lavrelease.Note{}
	for _, name := range f.Models {
		n.Add.Models = append(n.Add.Models, lavrelease.Model{Name: name, Version: "1"})
	}
	for _, name := range f.FailureDomains {
		n.Add.FailureDomains = append(n.Add.FailureDomains, lavrelease.FailureDomain{Name: name, Region: "one"})
	}
	for _, c := range w.scenario.Customers {
		n.Add.Customers = append(n.Add.Customers, lavrelease.Customer{Name: c.Name, Share: c.Share, Credentials: []string{lavfront.HashCredential(credential(c.Name))}})
	}
	n.Add.Services = []lavrelease.Service{{Name: serviceName, NotRepeatable: []string{"/orders"}}}
	for i := range f.EntryHosts {
		n.Add.Hosts = append(n.Add.Hosts, lavrelease.Host{Name: entryHost(i), FailureDomain: w.domain(i)})
	}
	for i := range f.Engines {
		e := lavfake.NewEngine(w.engineSettings(i))
		w.engines = append(w.engines, e)
		if err := w.addEndpoint(n, engineHost(i), i, lavrelease.Endpoint{MemoryTokens: f.Engine.MemoryTokens}, e.Handler()); err != nil {
			return nil, err
		}
	}
	for i := range f.Servers {
		host := serverHost(i)
		server := lavfake.NewOrderServer(w.book)
		w.servers = append(w.servers, server)
		if err := w.addEndpoint(n, host, f.Engines+i, lavrelease.Endpoint{Service: serviceName}, server.Handler()); err != nil {
			return nil, err
		}
	}
	return n, nil
}

func (w *System) addEndpoint(n *lavrelease.Note, host string, i int, e lavrelease.Endpoint, handler http.Handler) error {
	e.Name, e.Host = host, host
	e.Addr = netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(i >> 8), byte(i)}), 8000)
	n.Add.Hosts = append(n.Add.Hosts, lavrelease.Host{Name: host, FailureDomain: w.domain(i)})
	n.Add.Endpoints = append(n.Add.Endpoints, e)
	return w.serve(lavfakenet.Place{Host: host, FailureDomain: w.domain(i)}, e.Addr.String(), handler)
}

func (w *System) engineSettings(i int) lavfake.EngineSettings {
	e := w.scenario.Fleet.Engine
	return lavfake.EngineSettings{
		Name:         engineHost(i),
		MemoryTokens: e.MemoryTokens,
		CacheTokens:  e.CacheTokens,
		Seed:         uint64(i) + 1,
		EventLoss:    eventLoss,
		PrefillRate:  e.PrefillRate,
		DecodeRate:   e.DecodeRate,
		Step:         time.Duration(e.Step),
		ColdLimit:    e.ColdLimit,
		ColdTime:     time.Duration(e.ColdTime),
		Lag:          time.Duration(e.Lag),
		Models:       w.scenario.Fleet.Models,
		ChecksFence:  true,
		CrashMarker:  crashMarker,
	}
}

// eventLoss is the share of cache events that are lost.
const eventLoss = 0.01

// crashMarker is the text by which a prompt kills the engine that runs it.
const crashMarker = "\x01crash\x01"

func engineHost(i int) string { return fmt.Sprintf("engine-%d", i) }

func serverHost(i int) string { return fmt.Sprintf("server-%d", i) }

func entryHost(i int) string { return fmt.Sprintf("entry-%d", i) }

func credential(customer string) string { return "token-of-" + customer }

// Publish makes the next release.
func (w *System) Publish(n *lavrelease.Note) error {
	n.ID = fmt.Sprintf("note-%d", w.note)
	n.Base = lavrelease.Version(w.note)
	w.note++
	_, err := lavrelease.Publish(w.ctx, w.store, n)
	return err
}

func (w *System) newNode(i int) *node {
	addr := func(port uint16) netip.AddrPort {
		return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)}), port)
	}
	settings := lavsettings.Default()
	settings.Host = entryHost(i)
	settings.FailureDomain = w.domain(i)
	settings.Entry, settings.Mesh, settings.Admin = addr(8080), addr(8081), addr(8082)
	settings.Stores = []string{"http://" + storeAddr}
	settings.HostList = "http://" + hostListAddr
	settings.DrainTimeout = lavrelease.Duration(drainTimeout)
	return &node{settings: settings, place: lavfakenet.Place{Host: settings.Host, FailureDomain: settings.FailureDomain}}
}

// startNode starts the process of an entry host.
func (w *System) startNode(i int) {
	n := w.nodes[i]
	process := lavnode.New(n.settings, lavnode.Edges{
		Listen: func(network, address string) (net.Listener, error) {
			return w.network.Host(n.place).Listen(network, address)
		},
		Client: w.client(n.place),
		Logger: &log.Logger{Level: log.ErrorLevel},
		Scope:  tally.NoopScope,
		Policy: w.policy.Routing(),
		Queue:  w.policy.Queue(),
	})
	ctx, cancel := context.WithCancel(w.ctx)
	n.cancel = cancel
	n.ended = make(chan error, 1)
	go func() { n.ended <- process.Run(ctx) }()
}

// newClients makes one client for each customer in each failure domain.
func (w *System) newClients() {
	var seeds []netip.AddrPort
	for _, n := range w.nodes {
		seeds = append(seeds, n.settings.Entry)
	}
	for _, domain := range w.scenario.Fleet.FailureDomains {
		for _, c := range w.scenario.Customers {
			place := lavfakenet.Place{Host: callerPrefix + c.Name + "-" + domain, FailureDomain: domain}
			settings := lavclient.Settings{Seeds: seeds, Near: domain, Credential: credential(c.Name)}
			w.clients[clientKey(c.Name, domain)] = lavclient.New(settings, w.client(place))
		}
	}
}

func clientKey(customer, domain string) string { return customer + " " + domain }

// hosts lists every host as live.
func (w *System) hosts() []lavendpoint.HostState {
	var hosts []lavendpoint.HostState
	for i := range w.scenario.Fleet.Engines {
		hosts = append(hosts, lavendpoint.HostState{Name: engineHost(i)})
	}
	for i := range w.scenario.Fleet.Servers {
		hosts = append(hosts, lavendpoint.HostState{Name: serverHost(i)})
	}
	for i := range w.scenario.Fleet.EntryHosts {
		hosts = append(hosts, lavendpoint.HostState{Name: entryHost(i)})
	}
	return hosts
}
