package lavnode_test

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"lavenderrack.example/lavenderrack/lavassert"
	"lavenderrack.example/lavenderrack/lavfake"
	"lavenderrack.example/lavenderrack/lavfakenet"
	"lavenderrack.example/lavenderrack/lavnode"
	"lavenderrack.example/lavenderrack/lavrelease"
	"lavenderrack.example/lavenderrack/lavsettings"

	"github.com/phuslu/log"
	"github.com/uber-go/tally/v4"
)

// cluster is a fleet of entry hosts on a simulated network, with a store, a host list
// and engines. It runs in virtual time and must be used within runSynctest.
type cluster struct {
	t              *testing.T
	network        *lavfakenet.Network
	store          *lavfake.Store
	hostList       *lavfake.HostList
	hosts          []*host
	engines        map[string]*lavfake.Engine
	servers        []*http.Server
	adjustSettings func(s *lavsettings.Settings)
}

// host is one entry host, which can be killed and restarted. node is nil while it is
// stopped.
type host struct {
	name   string
	node   *lavnode.Node
	scope  tally.TestScope
	client *http.Transport
	cancel context.CancelFunc
	ended  chan error
}

const (
	storeAddr    = "10.9.0.1:80"
	hostListAddr = "10.9.0.2:80"
)

func domainOf(i int) string { return domains[i%len(domains)] }

// newCluster starts a store, a host list and n entry hosts. The hosts are assigned to
// the failure domains in rotation.
func newCluster(t *testing.T, n int) *cluster {
	t.Helper()
	c := &cluster{t: t, store: lavfake.NewStore(), hostList: lavfake.NewHostList(), engines: make(map[string]*lavfake.Engine)}
	c.network = lavfakenet.New(1, func(from, to lavfakenet.HostInfo) lavfakenet.Link {
		if from.FailureDomain == to.FailureDomain {
			return lavfakenet.Link{Delay: 200 * time.Microsecond}
		}
		return lavfakenet.Link{Delay: 5 * time.Millisecond, Jitter: time.Millisecond}
	})
	c.serve("store", "north", storeAddr, c.store.Handler())
	c.serve("list", "north", hostListAddr, c.hostList)
	for i := range n {
		c.hosts = append(c.hosts, &host{name: fmt.Sprintf("entry-%03d", i)})
		c.start(i)
	}
	return c
}

func (c *cluster) serve(name, domain, address string, handler http.Handler) {
	l, err := c.network.Host(lavfakenet.HostInfo{Host: name, FailureDomain: domain}).Listen("tcp", address)
	lavassert.NoError(c.t, err)
	server := &http.Server{Handler: handler}
	go func() { _ = server.Serve(l) }()
	c.servers = append(c.servers, server)
}

// engineAddr returns the address of the i-th engine.
func engineAddr(i int) netip.AddrPort {
	return netip.MustParseAddrPort(fmt.Sprintf("10.2.%d.%d:8000", i/250, i%250+1))
}

func engineName(i int) string { return fmt.Sprintf("engine-%04d", i) }

// initialNote starts the given number of engines and returns the note of the first
// release, which contains them.
func (c *cluster) initialNote(engines int) lavrelease.Note {
	n := lavrelease.Note{ID: "first"}
	n.Add.Models = []lavrelease.Model{{Name: "caption", Version: "1"}}
	for _, domain := range domains {
		n.Add.FailureDomains = append(n.Add.FailureDomains, lavrelease.FailureDomain{Name: domain, Region: "inland"})
	}
	for i := range engines {
		name := fmt.Sprintf("rack-%04d", i)
		engine := lavfake.NewEngine(lavfake.EngineSettings{
			MemoryTokens: 100_000, PrefillRate: 200_000, DecodeRate: 400, Step: 5 * time.Millisecond,
			ColdLimit: 2_000, ColdTime: 5 * time.Second, Models: []string{"caption"},
		})
		endpoint := engineName(i)
		c.engines[endpoint] = engine
		c.serve(name, domainOf(i), engineAddr(i).String(), engine.Handler())
		n.Add.Hosts = append(n.Add.Hosts, lavrelease.Host{Name: name, FailureDomain: domainOf(i)})
		n.Add.Endpoints = append(n.Add.Endpoints, lavrelease.Endpoint{Name: endpoint, Host: name, Addr: engineAddr(i)})
	}
	return n
}

// start starts the i-th host as a new process at its previous address.
func (c *cluster) start(i int) {
	h := c.hosts[i]
	addr := func(port uint16) netip.AddrPort {
		return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(i / 250), byte(i%250 + 1)}), port)
	}
	settings := lavsettings.Default()
	settings.Host, settings.FailureDomain = h.name, domainOf(i)
	settings.Entry, settings.Mesh, settings.Admin = addr(8080), addr(8081), addr(8082)
	settings.Stores, settings.HostList = []string{"http://" + storeAddr}, "http://"+hostListAddr
	settings.DrainTimeout = lavrelease.Duration(time.Minute)
	if c.adjustSettings != nil {
		c.adjustSettings(&settings)
	}
	access := c.network.Host(lavfakenet.HostInfo{Host: h.name, FailureDomain: domainOf(i)})
	h.client = &http.Transport{DialContext: access.DialContext, MaxIdleConnsPerHost: 4, IdleConnTimeout: 10 * time.Second}
	h.scope = tally.NewTestScope("", nil)
	h.node = lavnode.New(settings, lavnode.Dependencies{
		Listen: access.Listen,
		Client: &http.Client{Transport: h.client},
		Logger: &log.Logger{Level: log.PanicLevel},
		Scope:  h.scope,
	})
	ctx, cancel := context.WithCancel(context.WithoutCancel(c.t.Context()))
	h.cancel, h.ended = cancel, make(chan error, 1)
	go func() { h.ended <- h.node.Run(ctx) }()
}

// stop drains the i-th host and waits until it has ended. An error is only logged,
// because a host that is disconnected from the network may end with one.
func (c *cluster) stop(i int) {
	h := c.hosts[i]
	h.cancel()
	if err := <-h.ended; err != nil {
		c.t.Logf("%s ended: %v", h.name, err)
	}
	h.client.CloseIdleConnections()
	h.node = nil
}

// kill disconnects the i-th host from the network, so that nothing that it sends
// while it ends is received, and stops it.
func (c *cluster) kill(i int) {
	h := c.hosts[i]
	c.network.SetDown(h.name, true)
	c.stop(i)
	c.network.SetDown(h.name, false)
}

// close stops all hosts, then the servers.
func (c *cluster) close() {
	for i, h := range c.hosts {
		if h.node != nil {
			h.cancel()
			defer c.stop(i)
		}
	}
	for _, s := range c.servers {
		defer func() { _ = s.Close() }()
	}
}

// hostsByVersion returns the number of hosts on which each version is in force.
func (c *cluster) hostsByVersion() map[float64]int {
	counts := make(map[float64]int)
	for _, h := range c.hosts {
		counts[h.gauge("release+")]++
	}
	return counts
}

func (h *host) gauge(name string) float64 {
	if g, ok := h.scope.Snapshot().Gauges()[name]; ok {
		return g.Value()
	}
	return 0
}

func (h *host) counter(name string) int64 {
	if c, ok := h.scope.Snapshot().Counters()[name]; ok {
		return c.Value()
	}
	return 0
}

// awaitVersion waits until the version is in force on all hosts, at most one minute,
// and returns the time that this took.
func (c *cluster) awaitVersion(version lavrelease.Version) time.Duration {
	c.t.Helper()
	began := time.Now()
	for time.Since(began) < time.Minute {
		if c.hostsByVersion()[float64(version)] == len(c.hosts) {
			return time.Since(began)
		}
		time.Sleep(10 * time.Millisecond)
	}
	c.t.Fatalf("version %d is not in force everywhere: %v", version, c.hostsByVersion())
	return 0
}

// awaitMembers waits until the views of all running hosts have n members.
func (c *cluster) awaitMembers(n int) {
	c.t.Helper()
	lavassert.Eventually(c.t, fmt.Sprintf("%d members everywhere", n), func() bool {
		for _, h := range c.hosts {
			if h.node != nil && h.gauge("members+") != float64(n) {
				return false
			}
		}
		return true
	})
}
