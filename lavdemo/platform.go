package lavdemo

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"time"

	"lavenderrack.example/lavenderrack/lavendpoint"
	"lavenderrack.example/lavenderrack/lavfake"

	"github.com/cockroachdb/errors"
)

// engine is one fake model engine with its host, failure domain and address.
type engine struct {
	name          string
	host          string
	failureDomain string
	addr          netip.AddrPort
	fake          *lavfake.Engine
}

// orderServer is one fake server of the order service with its host, failure
// domain and address.
type orderServer struct {
	name          string
	host          string
	failureDomain string
	addr          netip.AddrPort
	fake          *lavfake.OrderServer
}

// platform holds the fake services that the entry hosts depend on: the
// key-value service, the host list, the weight store, the engines and the order
// servers.
type platform struct {
	store           *lavfake.Store
	storeAddr       netip.AddrPort
	hostList        *lavfake.HostList
	hostListAddr    netip.AddrPort
	weightStoreAddr netip.AddrPort
	orderBook       *lavfake.OrderBook
	engines         []*engine
	orderServers    []*orderServer
	httpServers     []*http.Server
}

// startPlatform starts all fake services and lists their hosts as live.
func startPlatform(ctx context.Context) (*platform, error) {
	p := &platform{
		store:     lavfake.NewStore(),
		hostList:  lavfake.NewLaggingHostList(hostListLag),
		orderBook: lavfake.NewOrderBook(),
	}
	if err := p.start(ctx); err != nil {
		p.close()
		return nil, err
	}
	p.publishHostList("")
	return p, nil
}

// start creates the fake services and serves each on its own port. After the
// first error it serves nothing more and returns that error.
func (p *platform) start(ctx context.Context) error {
	var err error
	serve := func(handler http.Handler) netip.AddrPort {
		if err != nil {
			return netip.AddrPort{}
		}
		var addr netip.AddrPort
		addr, err = p.serve(ctx, handler)
		return addr
	}
	p.storeAddr = serve(p.store.Handler())
	p.hostListAddr = serve(p.hostList)
	p.weightStoreAddr = serve(lavfake.NewWeightStore(weightStoreBytesPerSecond))
	for i := range engineCount {
		domain := failureDomains[i%len(failureDomains)]
		e := &engine{name: fmt.Sprintf("engine-%d", i), host: fmt.Sprintf("rack-%s-%d", domain, i), failureDomain: domain, fake: newEngine(i)}
		e.addr = serve(e.fake.Handler())
		p.engines = append(p.engines, e)
	}
	for i := range orderServerCount {
		domain := failureDomains[i%len(failureDomains)]
		o := &orderServer{name: fmt.Sprintf("orders-%d", i), host: "shop-" + domain, failureDomain: domain, fake: lavfake.NewOrderServer(p.orderBook)}
		o.addr = serve(o.fake.Handler())
		p.orderServers = append(p.orderServers, o)
	}
	return err
}

// newEngine returns the i-th engine. Engines with an even index check fencing
// tokens.
func newEngine(i int) *lavfake.Engine {
	return lavfake.NewEngine(lavfake.EngineSettings{
		Name:         fmt.Sprintf("engine-%d", i),
		MemoryTokens: engineMemoryTokens,
		PrefillRate:  enginePrefillTokensPerSecond,
		DecodeRate:   engineDecodeTokensPerSecond,
		Step:         engineBatchInterval,
		ColdLimit:    engineWarmupLimitTokens,
		ColdTime:     engineWarmupTime,
		DownTime:     engineRestartTime,
		CacheTokens:  engineCacheTokens,
		Lag:          engineReportLag,
		EventLoss:    engineEventLossRate,
		Seed:         uint64(i),
		Heartbeat:    engineHeartbeatInterval,
		Models:       []string{modelName},
		ChecksFence:  i%2 == 0,
	})
}

// serve serves the handler on a free loopback port and returns its address.
func (p *platform) serve(ctx context.Context, handler http.Handler) (netip.AddrPort, error) {
	listener, err := listenLoopback(ctx)
	if err != nil {
		return netip.AddrPort{}, err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: 10 * time.Second, ErrorLog: discardLogger()}
	p.httpServers = append(p.httpServers, server)
	go func() {
		// Serve returns a non-nil error even after a regular close.
		_ = server.Serve(listener)
	}()
	return listenerAddr(listener)
}

// listenLoopback opens a TCP listener on a free loopback port.
func listenLoopback(ctx context.Context) (net.Listener, error) {
	var config net.ListenConfig
	return config.Listen(ctx, "tcp", "127.0.0.1:0")
}

// listenerAddr returns the address of a TCP listener.
func listenerAddr(listener net.Listener) (netip.AddrPort, error) {
	addr, ok := listener.Addr().(*net.TCPAddr)
	if !ok {
		return netip.AddrPort{}, errors.Newf("listener address %v is not a TCP address", listener.Addr())
	}
	return addr.AddrPort(), nil
}

// close closes all servers and their connections.
func (p *platform) close() {
	for _, s := range p.httpServers {
		_ = s.Close()
	}
}

// publishHostList sets the host list to all endpoint hosts. The host named
// leavingHost is marked as leaving; an empty name marks none.
func (p *platform) publishHostList(leavingHost string) {
	var hosts []lavendpoint.HostState
	for _, e := range p.engines {
		hosts = append(hosts, lavendpoint.HostState{Name: e.host, Leaving: e.host == leavingHost})
	}
	for _, o := range p.orderServers {
		hosts = append(hosts, lavendpoint.HostState{Name: o.host, Leaving: o.host == leavingHost})
	}
	p.hostList.Set(hosts...)
}
