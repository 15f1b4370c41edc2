package lavmatrix

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"lavenderrack.example/lavenderrack/lavendpoint"
	"lavenderrack.example/lavenderrack/lavfake"
	"lavenderrack.example/lavenderrack/lavfakenet"
	"lavenderrack.example/lavenderrack/lavfront"
	"lavenderrack.example/lavenderrack/lavrelease"
	"lavenderrack.example/lavenderrack/lavstep"

	"github.com/cockroachdb/errors"
)

// Names, addresses and credentials in the simulated system.
const (
	platformHost = "platform"
	storeAddr    = "10.9.0.1:8500"
	hostListAddr = "10.9.0.2:80"
	model        = "caption"
	service      = "orders"
	customer     = "owambo-stickers"
	token        = "till-7"
	// crashMarker is the text in a prompt that crashes the engine that runs it.
	crashMarker  = "poison"
	callerPrefix = "caller-"
)

var (
	// domains lists the failure domains. Each has one entry host.
	domains = []string{"north", "east", "south"}
	// engineDomains and serverDomains hold the failure domain of each engine and
	// each order server. A prompt that exceeds the memory of one engine needs
	// three engines in one domain.
	engineDomains = []string{"north", "north", "north", "east", "south"}
	serverDomains = []string{"north", "east"}
)

// system is a complete simulated system: the entry hosts, the fakes that they
// call and the record of what the callers observed.
type system struct {
	ctx       context.Context
	stop      context.CancelFunc
	network   *lavfakenet.Network
	store     *lavfake.Store
	hostList  *lavfake.HostList
	engines   []*lavfake.Engine
	orderBook *lavfake.OrderBook
	hosts     []*host
	servers   []*http.Server
	// closeIdle has a function for each HTTP client that closes its idle
	// connections.
	closeIdle []func()
	// callers has the HTTP client of the callers in each failure domain.
	callers []*http.Client
	// lossy is true while links lose packets.
	lossy   atomic.Bool
	trigger trigger
	// work counts the goroutines that must end before the guarantees are
	// checked.
	work sync.WaitGroup

	mu sync.Mutex
	// violations describes the guarantees that were violated.
	violations []string
	// calls has every call that has ended.
	calls []*call
	// orders has the calls of each order that have ended, by idempotency key.
	orders map[string][]*call
	notes  []publishedNote
	// reached is how often each step was reached while the trigger was armed.
	reached map[lavstep.Step]int
	// unavoidableOverloads counts, for each engine, the overloads while cold that
	// happened before a load report could show that the engine had turned cold.
	unavoidableOverloads []int
}

// newSystem returns a system that has not been started.
func newSystem(ctx context.Context) *system {
	ctx, stop := context.WithCancel(ctx)
	s := &system{
		stop:      stop,
		store:     lavfake.NewStore(),
		hostList:  lavfake.NewHostList(),
		orderBook: lavfake.NewOrderBook(),
		orders:    make(map[string][]*call),
		reached:   make(map[lavstep.Step]int),
	}
	s.unavoidableOverloads = make([]int, len(engineDomains))
	s.ctx = lavstep.WithFaultInjector(ctx, s.probe)
	s.network = lavfakenet.New(1, s.link)
	return s
}

// recordViolation records the violation of a guarantee.
func (s *system) recordViolation(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.violations = append(s.violations, fmt.Sprintf(format, args...))
}

// link returns the properties of the network path between two places. The
// one-way delay is 1 ms within a failure domain and 5 ms between domains.
func (s *system) link(from, to lavfakenet.HostInfo) lavfakenet.Link {
	l := lavfakenet.Link{Delay: time.Millisecond, Jitter: time.Millisecond}
	if from.FailureDomain != to.FailureDomain {
		l.Delay = 5 * time.Millisecond
	}
	if s.lossy.Load() {
		l.Jitter, l.Loss, l.Resend = 30*time.Millisecond, 0.2, 200*time.Millisecond
	}
	return l
}

// start starts the fakes and the entry hosts, publishes the first release and
// waits until every host serves.
func (s *system) start() error {
	platform := lavfakenet.HostInfo{Host: platformHost}
	if err := s.serve(platform, storeAddr, s.store.Handler()); err != nil {
		return err
	}
	if err := s.serve(platform, hostListAddr, s.hostList); err != nil {
		return err
	}
	note, err := s.initialNote()
	if err != nil {
		return err
	}
	s.hostList.Set(hostStates(note, "")...)
	if _, err := lavrelease.Publish(s.ctx, s.store, note); err != nil {
		return err
	}
	s.notes = append(s.notes, publishedNote{id: note.ID, verdict: lavrelease.VerdictInForce})
	for i := range domains {
		h := newHost(s, i)
		s.hosts = append(s.hosts, h)
		s.callers = append(s.callers, s.client(lavfakenet.HostInfo{Host: fmt.Sprint(callerPrefix, i), FailureDomain: domains[i]}))
		h.start()
		time.Sleep(37 * time.Millisecond)
	}
	return s.waitUntilServing()
}

// waitUntilServing waits until every entry host answers a prompt.
func (s *system) waitUntilServing() error {
	const startTimeout = time.Minute
	for began := time.Now(); time.Since(began) < startTimeout; time.Sleep(time.Second) {
		served := 0
		for i := range s.hosts {
			if s.send(newPrompt(fmt.Sprint("warm up ", i, time.Now()), 50, 5*time.Second), i).answered() {
				served++
			}
		}
		if served == len(s.hosts) {
			s.calls = nil
			return nil
		}
	}
	return errors.New("entry hosts did not all answer a prompt within a minute")
}

// serve starts an HTTP server at a place of the simulated network.
func (s *system) serve(place lavfakenet.HostInfo, address string, handler http.Handler) error {
	l, err := s.network.Host(place).Listen("tcp", address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	s.servers = append(s.servers, server)
	go func() { _ = server.Serve(l) }()
	return nil
}

// client returns an HTTP client that connects from a place of the simulated
// network.
func (s *system) client(place lavfakenet.HostInfo) *http.Client {
	transport := &http.Transport{
		DialContext:         s.network.Host(place).DialContext,
		MaxIdleConnsPerHost: 16,
		IdleConnTimeout:     time.Minute,
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closeIdle = append(s.closeIdle, transport.CloseIdleConnections)
	return &http.Client{Transport: transport}
}

// initialNote starts the engines and order servers and returns the release note
// that adds them, the entry hosts, the model, the service and the customer.
func (s *system) initialNote() (*lavrelease.Note, error) {
	n := &lavrelease.Note{ID: "first"}
	n.Add.Models = []lavrelease.Model{{Name: model, Version: "1"}}
	n.Add.Services = []lavrelease.Service{{Name: service, NotRepeatable: []string{"/orders"}}}
	n.Add.Customers = []lavrelease.Customer{{Name: customer, Share: 1, Credentials: []string{lavfront.HashCredential(token)}}}
	for i, domain := range domains {
		n.Add.FailureDomains = append(n.Add.FailureDomains, lavrelease.FailureDomain{Name: domain, Region: "one"})
		n.Add.Hosts = append(n.Add.Hosts, lavrelease.Host{Name: entryHost(i), FailureDomain: domain})
	}
	for i, domain := range engineDomains {
		e := lavfake.NewEngine(engineSettings(i))
		s.engines = append(s.engines, e)
		if err := s.addEndpoint(n, engineHost(i), domain, i, lavrelease.Endpoint{MemoryTokens: engineMemory}, e.Handler()); err != nil {
			return nil, err
		}
	}
	for i, domain := range serverDomains {
		handler := lavfake.NewOrderServer(s.orderBook).Handler()
		if err := s.addEndpoint(n, fmt.Sprint("server-", i), domain, 100+i, lavrelease.Endpoint{Service: service}, handler); err != nil {
			return nil, err
		}
	}
	return n, nil
}

// addEndpoint adds an endpoint and its host to the note and serves the handler
// at the endpoint's address.
func (s *system) addEndpoint(n *lavrelease.Note, name, domain string, i int, e lavrelease.Endpoint, handler http.Handler) error {
	e.Name, e.Host = name, name
	e.Addr = netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, 0, byte(i)}), 8000)
	n.Add.Hosts = append(n.Add.Hosts, lavrelease.Host{Name: name, FailureDomain: domain})
	n.Add.Endpoints = append(n.Add.Endpoints, e)
	return s.serve(lavfakenet.HostInfo{Host: name, FailureDomain: domain}, e.Addr.String(), handler)
}

// engineMemory is the KV cache capacity of an engine, in tokens.
const engineMemory = 40_000

// engineSettings returns the settings of the fake engine with index i. Only
// engines with an even index reject requests with outdated fencing numbers.
func engineSettings(i int) lavfake.EngineSettings {
	return lavfake.EngineSettings{
		Name:         engineHost(i),
		MemoryTokens: engineMemory,
		CacheTokens:  engineMemory,
		PrefillRate:  60_000,
		DecodeRate:   200,
		Step:         10 * time.Millisecond,
		ColdLimit:    3_000,
		ColdTime:     4 * time.Second,
		DownTime:     time.Second,
		Lag:          200 * time.Millisecond,
		Heartbeat:    time.Second,
		CrashMarker:  crashMarker,
		Models:       []string{model},
		ChecksFence:  i%2 == 0,
	}
}

func engineHost(i int) string { return fmt.Sprint("engine-", i) }

func entryHost(i int) string { return fmt.Sprint("entry-", i) }

// hostStates returns the host list entries for the hosts of a note. The host
// named leaving is marked as leaving.
func hostStates(n *lavrelease.Note, leaving string) []lavendpoint.HostState {
	var states []lavendpoint.HostState
	for _, h := range n.Add.Hosts {
		states = append(states, lavendpoint.HostState{Name: h.Name, Leaving: h.Name == leaving})
	}
	return states
}

// close stops all processes, servers and connections.
func (s *system) close() {
	for _, h := range s.hosts {
		h.end()
	}
	for _, closeIdle := range s.closeIdle {
		closeIdle()
	}
	for _, server := range s.servers {
		_ = server.Close()
	}
	for _, e := range s.engines {
		e.Close()
	}
	s.stop()
	time.Sleep(goroutineExitTime)
}

// goroutineExitTime is how long close waits for the goroutines of killed
// processes. Their steps fail, but all goroutines have to end before the
// synctest bubble does.
const goroutineExitTime = 30 * time.Minute
