package lavnode_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"lavenderrack.example/lavenderrack/lavassert"
	"lavenderrack.example/lavenderrack/lavfake"
	"lavenderrack.example/lavenderrack/lavfakenet"
	"lavenderrack.example/lavenderrack/lavfront"
	"lavenderrack.example/lavenderrack/lavnode"
	"lavenderrack.example/lavenderrack/lavrelease"
	"lavenderrack.example/lavenderrack/lavsettings"

	"github.com/phuslu/log"
	"github.com/uber-go/tally/v4"
)

// Sizes of a testSystem, and the name of the host that runs its store and host list.
const (
	systemHosts        = 3
	systemEngines      = 4
	systemOrderServers = 3
	platformHost       = "platform"
)

// testSystem is a complete system in virtual time: entry hosts, engines and order
// servers of one failure domain on a simulated network.
type testSystem struct {
	network      *lavfakenet.Network
	store        *lavfake.Store
	engines      []*lavfake.Engine
	servers      []*lavfake.OrderServer
	orderBook    *lavfake.OrderBook
	note         lavrelease.Note
	stopHosts    []func()
	closeServers []func()
	transports   []*http.Transport
	caller       *http.Client
}

// systemAddr returns the i-th address of a group: 1 engines, 2 order servers,
// 3 additional services, 4, 5 and 6 the entry, mesh and admin addresses of the entry
// hosts, 9 the store and the host list.
func systemAddr(group, i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(group), 0, byte(i + 1)}), 80)
}

func entryName(i int) string { return fmt.Sprint("entry-", i) }

// runWithSystem runs body with a system whose hosts are ready, and stops the system
// afterwards. services are the handlers of additional services by service name, each
// of which gets one endpoint.
func runWithSystem(t *testing.T, services map[string]http.Handler, body func(t *testing.T, sys *testSystem)) {
	t.Helper()
	runSynctest(t, func(t *testing.T) {
		sys := &testSystem{store: lavfake.NewStore(), orderBook: lavfake.NewOrderBook()}
		sys.network = lavfakenet.New(1, func(_, _ lavfakenet.HostInfo) lavfakenet.Link { return lavfakenet.Link{Delay: 2 * time.Millisecond} })
		sys.caller = sys.newClient("caller")
		sys.caller.CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
		sys.serve(t, platformHost, systemAddr(9, 0), sys.store.Handler())
		sys.serve(t, platformHost, systemAddr(9, 1), lavfake.NewHostList())
		sys.publishRelease(t, services)
		for i := range systemHosts {
			sys.startHost(t, i)
		}
		time.Sleep(8 * time.Second)
		body(t, sys)
		for _, stop := range sys.stopHosts {
			stop()
		}
		for _, transport := range sys.transports {
			transport.CloseIdleConnections()
		}
		for _, closeServer := range sys.closeServers {
			closeServer()
		}
		synctest.Wait()
	})
}

func (sys *testSystem) serve(t *testing.T, host string, addr netip.AddrPort, handler http.Handler) {
	t.Helper()
	l, err := sys.network.Host(lavfakenet.HostInfo{Host: host}).Listen("tcp", addr.String())
	lavassert.NoError(t, err)
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(l) }()
	sys.closeServers = append(sys.closeServers, func() { _ = server.Close() })
}

// publishRelease starts the endpoints and publishes a release that contains them.
func (sys *testSystem) publishRelease(t *testing.T, services map[string]http.Handler) {
	t.Helper()
	n := &sys.note
	n.ID = "first"
	n.Add.Models = []lavrelease.Model{{Name: "caption", Version: "1"}}
	n.Add.FailureDomains = []lavrelease.FailureDomain{{Name: "north"}}
	n.Add.Services = []lavrelease.Service{{Name: "orders", NotRepeatable: []string{"/orders"}}}
	for _, name := range []string{"till", "shop"} {
		n.Add.Customers = append(n.Add.Customers, lavrelease.Customer{Name: name, Share: 1, Credentials: []string{lavfront.HashCredential(name)}})
	}
	for i := range systemEngines {
		e := lavfake.NewEngine(lavfake.EngineSettings{
			MemoryTokens: 60_000, PrefillRate: 50_000, DecodeRate: 100, Step: 10 * time.Millisecond,
			ColdLimit: 20_000, ColdTime: time.Second, DownTime: 300 * time.Millisecond, Heartbeat: time.Second,
			StreamRetention: time.Minute, Models: []string{"caption"}, CrashMarker: "CRASH",
		})
		sys.engines = append(sys.engines, e)
		sys.closeServers = append(sys.closeServers, e.Close)
		sys.addEndpoint(t, fmt.Sprint("engine-", i), systemAddr(1, i), "", e.Handler())
	}
	for i := range systemOrderServers {
		s := lavfake.NewOrderServer(sys.orderBook)
		sys.servers = append(sys.servers, s)
		sys.addEndpoint(t, fmt.Sprint("orders-", i), systemAddr(2, i), "orders", s.Handler())
	}
	i := 0
	for name, handler := range services {
		n.Add.Services = append(n.Add.Services, lavrelease.Service{Name: name, NotRepeatable: []string{"/once"}})
		sys.addEndpoint(t, name, systemAddr(3, i), name, handler)
		i++
	}
	_, err := lavrelease.Publish(t.Context(), sys.store, n)
	lavassert.NoError(t, err)
}

func (sys *testSystem) addEndpoint(t *testing.T, name string, addr netip.AddrPort, service string, handler http.Handler) {
	t.Helper()
	sys.note.Add.Hosts = append(sys.note.Add.Hosts, lavrelease.Host{Name: name, FailureDomain: "north"})
	sys.note.Add.Endpoints = append(sys.note.Add.Endpoints, lavrelease.Endpoint{Name: name, Host: name, Addr: addr, Service: service, MemoryTokens: 60_000})
	sys.serve(t, name, addr, handler)
}

func (sys *testSystem) newClient(host string) *http.Client {
	transport := &http.Transport{DialContext: sys.network.Host(lavfakenet.HostInfo{Host: host}).DialContext, DisableKeepAlives: host == "caller"}
	sys.transports = append(sys.transports, transport)
	return &http.Client{Transport: transport}
}

// startHost starts the i-th entry host.
func (sys *testSystem) startHost(t *testing.T, i int) {
	t.Helper()
	place := lavfakenet.HostInfo{Host: entryName(i)}
	settings := lavsettings.Default()
	settings.Host, settings.FailureDomain = place.Host, "north"
	settings.Entry, settings.Mesh, settings.Admin = systemAddr(4, i), systemAddr(5, i), systemAddr(6, i)
	settings.Stores = []string{"http://" + systemAddr(9, 0).String()}
	settings.HostList = "http://" + systemAddr(9, 1).String()
	settings.DrainTimeout = lavrelease.Duration(time.Minute)
	settings.TokenKey = "token key of the fleet"
	node := lavnode.New(settings, lavnode.Dependencies{
		Listen: func(network, address string) (net.Listener, error) {
			return sys.network.Host(place).Listen(network, address)
		},
		Client: sys.newClient(place.Host),
		Logger: &log.Logger{Level: log.ErrorLevel},
		Scope:  tally.NoopScope,
	})
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- node.Run(ctx) }()
	sys.stopHosts = append(sys.stopHosts, func() {
		cancel()
		lavassert.NoError(t, <-ended)
	})
}

// request is an HTTP request to an entry host. An empty customer stands for "till".
type request struct {
	method, path, body string
	customer           string
	header             map[string]string
}

// reply is the complete response to a request.
type reply struct {
	status  int
	header  http.Header
	trailer http.Header
	body    string
	err     error
}

// outcome returns the outcome in the trailer or, if there is none, in the header.
func (r *reply) outcome() string {
	if o := r.trailer.Get("Lav-Outcome"); o != "" {
		return o
	}
	return r.header.Get("Lav-Outcome")
}

// open sends a request to an entry host and returns the response with an open body.
func (sys *testSystem) open(ctx context.Context, t *testing.T, host int, q request) (*http.Response, error) {
	t.Helper()
	r, err := http.NewRequestWithContext(ctx, q.method, "http://"+systemAddr(4, host).String()+q.path, strings.NewReader(q.body))
	lavassert.NoError(t, err)
	if q.customer == "" {
		q.customer = "till"
	}
	r.Header.Set("Authorization", "Bearer "+q.customer)
	for name, value := range q.header {
		r.Header.Set(name, value)
	}
	return sys.caller.Do(r)
}

func (sys *testSystem) call(t *testing.T, host int, q request) *reply {
	t.Helper()
	response, err := sys.open(t.Context(), t, host, q)
	if err != nil {
		return &reply{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return &reply{status: response.StatusCode, header: response.Header, trailer: response.Trailer, body: string(body), err: err}
}

func orderRequest(key, content string) request {
	return request{
		method: http.MethodPost, path: "/services/orders/orders", body: content,
		header: map[string]string{"Idempotency-Key": key, "Lav-Timeout": "10s"},
	}
}

func promptRequest(t *testing.T, text string, tokens int) request {
	t.Helper()
	body, err := json.Marshal(map[string]any{"model": "caption", "prompt": text, "max_tokens": tokens, "stream": true})
	lavassert.NoError(t, err)
	return request{method: http.MethodPost, path: "/v1/completions", body: string(body), header: map[string]string{"Lav-Timeout": "60s"}}
}

// readEvents reads events of a stream until its end, or at most limit events if
// limit is above zero. It returns their text, the ID of the last event, and whether
// the stream ended with [DONE].
func readEvents(t *testing.T, body io.Reader, limit int) (text, lastID string, complete bool) {
	t.Helper()
	lines := bufio.NewScanner(body)
	for n := 0; (limit == 0 || n < limit) && lines.Scan(); {
		name, value, _ := strings.Cut(lines.Text(), ": ")
		switch {
		case name == "id":
			lastID = value
		case name == "data" && value == "[DONE]":
			return text, lastID, true
		case name == "data":
			var chunk struct{ Choices []struct{ Text string } }
			if json.Unmarshal([]byte(value), &chunk) == nil && len(chunk.Choices) == 1 {
				text += chunk.Choices[0].Text
			}
			n++
		}
	}
	return text, lastID, false
}
