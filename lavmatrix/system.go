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

// Names and addresses of a system.
const (
	platformHost = "platform"
	storeAddr    = "10.9.0.1:8500"
	hostListAddr = "10.9.0.2:80"
	model        = "caption"
	service      = "orders"
	customer     = "owambo-stickers"
	token        = "till-7"
	crashMarker  = "poison"
	callerPrefix = "caller-"
)

// domains are the failure domains; engineDomains says where each engine is. A
// prompt that is longer than one engine's memory needs three in one domain.
var (
	domains       = []string{"north", "east", "south"}
	engineDomains = []string{"north", "north", "north", "east", "south"}
	serverDomains = []string{"north", "east"}
)

// system is a whole system in memory.
type system struct {
	ctx      context.Context
	stop     context.CancelFunc
	network  *lavfakenet.Network
	store    *lavfake.Store
	hostList *lavfake.HostList
	engines  []*lavfake.Engine
	book     *lavfake.OrderBook
	hosts    []*host
	servers  []*http.Server
	idle     []func()
	callers  []*http.Client
	lossy    atomic.Bool
	trigger  trigger
	// work counts what must end before the promises are judged.
	work sync.WaitGroup

	mu      sync.Mutex
	broken  []string
	calls   []*call
	orders  map[string][]*call
	notes   []published
	reached map[lavstep.Step]int
	// unnoticed counts, for each engine, the overloads that came before any
	// load report could show that it had turned cold.
	unnoticed []int
}

func newSystem(ctx context.Context) *system {
	ctx, stop := context.WithCancel(ctx)
	s := &system{
		stop:     stop,
		store:    lavfake.NewStore(),
		hostList: lavfake.NewHostList(),
		book:     lavfake.NewOrderBook(),
		orders:   make(map[string][]*call),
		reached:  make(map[lavstep.Step]int),
	}
	s.unnoticed = make([]int, len(engineDomains))
	s.ctx = lavstep.WithFaultInjector(ctx, s.probe)
	s.network = lavfakenet.New(1, s.link)
	return s
}

// breaks notes a broken promise.
func (s *system) breaks(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.broken = append(s.broken, fmt.Sprintf(format, args...))
}

// link tells the paths: failure domains are five milliseconds apart.
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

func (s *system) start() error {
	platform := lavfakenet.HostInfo{Host: platformHost}
	if err := s.serve(platform, storeAddr, s.store.Handler()); err != nil {
		return err
	}
	if err := s.serve(platform, hostListAddr, s.hostList); err != nil {
		return err
	}
	note, err := s.firstNote()
	if err != nil {
		return err
	}
	s.hostList.Set(hostStates(note, "")...)
	if _, err := lavrelease.Publish(s.ctx, s.store, note); err != nil {
		return err
	}
	s.notes = append(s.notes, published{id: note.ID, verdict: lavrelease.VerdictInForce})
	for i := range domains {
		h := newHost(s, i)
		s.hosts = append(s.hosts, h)
		s.callers = append(s.callers, s.client(lavfakenet.HostInfo{Host: fmt.Sprint(callerPrefix, i), FailureDomain: domains[i]}))
		h.start()
		time.Sleep(37 * time.Millisecond)
	}
	return s.ready()
}

// ready waits until every host answers a prompt.
func (s *system) ready() error {
	const patience = time.Minute
	for began := time.Now(); time.Since(began) < patience; time.Sleep(time.Second) {
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
	return errors.New("not every host serves")
}

// serve runs an HTTP server at a place.
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

// client returns an HTTP client at a place.
func (s *system) client(place lavfakenet.HostInfo) *http.Client {
	transport := &http.Transport{
		DialContext:         s.network.Host(place).DialContext,
		MaxIdleConnsPerHost: 16,
		IdleConnTimeout:     time.Minute,
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.idle = append(s.idle, transport.CloseIdleConnections)
	return &http.Client{Transport: transport}
}

// firstNote starts the engines and servers and lists them in a release note.
func (s *system) firstNote() (*lavrelease.Note, error) {
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
		handler := lavfake.NewOrderServer(s.book).Handler()
		if err := s.addEndpoint(n, fmt.Sprint("server-", i), domain, 100+i, lavrelease.Endpoint{Service: service}, handler); err != nil {
			return nil, err
		}
	}
	return n, nil
}

func (s *system) addEndpoint(n *lavrelease.Note, name, domain string, i int, e lavrelease.Endpoint, handler http.Handler) error {
	e.Name, e.Host = name, name
	e.Addr = netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, 0, byte(i)}), 8000)
	n.Add.Hosts = append(n.Add.Hosts, lavrelease.Host{Name: name, FailureDomain: domain})
	n.Add.Endpoints = append(n.Add.Endpoints, e)
	return s.serve(lavfakenet.HostInfo{Host: name, FailureDomain: domain}, e.Addr.String(), handler)
}

// engineMemory is an engine's memory in tokens.
const engineMemory = 40_000

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

// hostStates lists the hosts of a note, one of which may be leaving.
func hostStates(n *lavrelease.Note, leaving string) []lavendpoint.HostState {
	var states []lavendpoint.HostState
	for _, h := range n.Add.Hosts {
		states = append(states, lavendpoint.HostState{Name: h.Name, Leaving: h.Name == leaving})
	}
	return states
}

// close ends every process and connection.
func (s *system) close() {
	for _, h := range s.hosts {
		h.end()
	}
	for _, closeIdle := range s.idle {
		closeIdle()
	}
	for _, server := range s.servers {
		_ = server.Close()
	}
	for _, e := range s.engines {
		e.Close()
	}
	s.stop()
	time.Sleep(lingerTime)
}

// lingerTime is longer than anything that a process which died leaves behind
// goes on for: its steps fail, but its goroutines have to end with the bubble.
const lingerTime = 30 * time.Minute
