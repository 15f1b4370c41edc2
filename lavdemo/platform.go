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

// engine is one model engine and where it stands.
type engine struct {
	name   string
	host   string
	domain string
	addr   netip.AddrPort
	fake   *lavfake.Engine
}

// orderServer is one server of the order service and where it stands.
type orderServer struct {
	name   string
	host   string
	domain string
	addr   netip.AddrPort
	fake   *lavfake.OrderServer
}

// platform is everything outside of the system.
type platform struct {
	store       *lavfake.Store
	storeAddr   netip.AddrPort
	hostList    *lavfake.HostList
	hostAddr    netip.AddrPort
	weightsAddr netip.AddrPort
	book        *lavfake.OrderBook
	engines     []*engine
	orders      []*orderServer
	servers     []*http.Server
}

func startPlatform(ctx context.Context) (*platform, error) {
	p := &platform{
		store:    lavfake.NewStore(),
		hostList: lavfake.NewLaggingHostList(hostListLag),
		book:     lavfake.NewOrderBook(),
	}
	if err := p.start(ctx); err != nil {
		p.close()
		return nil, err
	}
	p.showHosts("")
	return p, nil
}

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
	p.hostAddr = serve(p.hostList)
	p.weightsAddr = serve(lavfake.NewWeightStore(weightBytesRate))
	for i := range engineCount {
		domain := failureDomains[i%len(failureDomains)]
		e := &engine{name: fmt.Sprintf("engine-%d", i), host: fmt.Sprintf("rack-%s-%d", domain, i), domain: domain, fake: newEngine(i)}
		e.addr = serve(e.fake.Handler())
		p.engines = append(p.engines, e)
	}
	for i := range orderServerCount {
		domain := failureDomains[i%len(failureDomains)]
		o := &orderServer{name: fmt.Sprintf("orders-%d", i), host: "shop-" + domain, domain: domain, fake: lavfake.NewOrderServer(p.book)}
		o.addr = serve(o.fake.Handler())
		p.orders = append(p.orders, o)
	}
	return err
}

func newEngine(i int) *lavfake.Engine {
	return lavfake.NewEngine(lavfake.EngineSettings{
		Name:         fmt.Sprintf("engine-%d", i),
		MemoryTokens: engineMemoryTokens,
		PrefillRate:  enginePrefillRate,
		DecodeRate:   engineDecodeRate,
		Step:         engineStep,
		ColdLimit:    engineColdLimit,
		ColdTime:     engineColdTime,
		DownTime:     engineDownTime,
		CacheTokens:  engineCacheTokens,
		Lag:          engineLag,
		EventLoss:    engineEventLoss,
		Seed:         uint64(i),
		Heartbeat:    engineHeartbeat,
		Models:       []string{model},
		ChecksFence:  i%2 == 0,
	})
}

// serve answers on a free port of loopback.
func (p *platform) serve(ctx context.Context, handler http.Handler) (netip.AddrPort, error) {
	on, err := listen(ctx)
	if err != nil {
		return netip.AddrPort{}, err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: 10 * time.Second, ErrorLog: silent()}
	p.servers = append(p.servers, server)
	go func() {
		// Serve always ends with an error; close says when.
		_ = server.Serve(on)
	}()
	return addrOf(on)
}

func listen(ctx context.Context) (net.Listener, error) {
	var config net.ListenConfig
	return config.Listen(ctx, "tcp", "127.0.0.1:0")
}

func addrOf(on net.Listener) (netip.AddrPort, error) {
	addr, ok := on.Addr().(*net.TCPAddr)
	if !ok {
		return netip.AddrPort{}, errors.Newf("listener on %v", on.Addr())
	}
	return addr.AddrPort(), nil
}

func (p *platform) close() {
	for _, s := range p.servers {
		_ = s.Close()
	}
}

// showHosts lists all endpoint hosts as live, but for the one that leaves.
func (p *platform) showHosts(leaving string) {
	var hosts []lavendpoint.HostState
	for _, e := range p.engines {
		hosts = append(hosts, lavendpoint.HostState{Name: e.host, Leaving: e.host == leaving})
	}
	for _, o := range p.orders {
		hosts = append(hosts, lavendpoint.HostState{Name: o.host, Leaving: o.host == leaving})
	}
	p.hostList.Set(hosts...)
}
