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

const (
	worldHosts   = 3
	worldEngines = 4
	worldServers = 3
	platform     = "platform"
)

// callsWorld is a whole system in virtual time: entry hosts, engines of one
// failure domain, and order servers.
type callsWorld struct {
	network *lavfakenet.Network
	store   *lavfake.Store
	engines []*lavfake.Engine
	servers []*lavfake.OrderServer
	book    *lavfake.OrderBook
	note    lavrelease.Note
	stops   []func()
	closes  []func()
	clients []*http.Transport
	caller  *http.Client
}

func worldAddr(group, i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(group), 0, byte(i + 1)}), 80)
}

func entryName(i int) string { return fmt.Sprint("entry-", i) }

// inCallsWorld runs body in a world that serves. More endpoints of plain
// services are given by name.
func inCallsWorld(t *testing.T, services map[string]http.Handler, body func(t *testing.T, w *callsWorld)) {
	t.Helper()
	bubble(t, func(t *testing.T) {
		w := &callsWorld{store: lavfake.NewStore(), book: lavfake.NewOrderBook()}
		w.network = lavfakenet.New(1, func(_, _ lavfakenet.HostInfo) lavfakenet.Link { return lavfakenet.Link{Delay: 2 * time.Millisecond} })
		w.caller = w.client("caller")
		w.caller.CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
		w.serve(t, platform, worldAddr(9, 0), w.store.Handler())
		w.serve(t, platform, worldAddr(9, 1), lavfake.NewHostList())
		w.release(t, services)
		for i := range worldHosts {
			w.start(t, i)
		}
		time.Sleep(8 * time.Second)
		body(t, w)
		for _, stop := range w.stops {
			stop()
		}
		for _, c := range w.clients {
			c.CloseIdleConnections()
		}
		for _, c := range w.closes {
			c()
		}
		synctest.Wait()
	})
}

func (w *callsWorld) serve(t *testing.T, host string, addr netip.AddrPort, handler http.Handler) {
	t.Helper()
	l, err := w.network.Host(lavfakenet.HostInfo{Host: host}).Listen("tcp", addr.String())
	lavassert.NoError(t, err)
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(l) }()
	w.closes = append(w.closes, func() { _ = server.Close() })
}

// release starts the endpoints and publishes them.
func (w *callsWorld) release(t *testing.T, services map[string]http.Handler) {
	t.Helper()
	n := &w.note
	n.ID = "first"
	n.Add.Models = []lavrelease.Model{{Name: "caption", Version: "1"}}
	n.Add.FailureDomains = []lavrelease.FailureDomain{{Name: "north"}}
	n.Add.Services = []lavrelease.Service{{Name: "orders", NotRepeatable: []string{"/orders"}}}
	for _, name := range []string{"till", "shop"} {
		n.Add.Customers = append(n.Add.Customers, lavrelease.Customer{Name: name, Share: 1, Credentials: []string{lavfront.HashCredential(name)}})
	}
	for i := range worldEngines {
		e := lavfake.NewEngine(lavfake.EngineSettings{
			MemoryTokens: 60_000, PrefillRate: 50_000, DecodeRate: 100, Step: 10 * time.Millisecond,
			ColdLimit: 20_000, ColdTime: time.Second, DownTime: 300 * time.Millisecond, Heartbeat: time.Second,
			StreamRetention: time.Minute, Models: []string{"caption"}, CrashMarker: "CRASH",
		})
		w.engines = append(w.engines, e)
		w.closes = append(w.closes, e.Close)
		w.endpoint(t, fmt.Sprint("engine-", i), worldAddr(1, i), "", e.Handler())
	}
	for i := range worldServers {
		s := lavfake.NewOrderServer(w.book)
		w.servers = append(w.servers, s)
		w.endpoint(t, fmt.Sprint("orders-", i), worldAddr(2, i), "orders", s.Handler())
	}
	i := 0
	for name, handler := range services {
		n.Add.Services = append(n.Add.Services, lavrelease.Service{Name: name, NotRepeatable: []string{"/once"}})
		w.endpoint(t, name, worldAddr(3, i), name, handler)
		i++
	}
	_, err := lavrelease.Publish(t.Context(), w.store, n)
	lavassert.NoError(t, err)
}

func (w *callsWorld) endpoint(t *testing.T, name string, addr netip.AddrPort, service string, handler http.Handler) {
	t.Helper()
	w.note.Add.Hosts = append(w.note.Add.Hosts, lavrelease.Host{Name: name, FailureDomain: "north"})
	w.note.Add.Endpoints = append(w.note.Add.Endpoints, lavrelease.Endpoint{Name: name, Host: name, Addr: addr, Service: service, MemoryTokens: 60_000})
	w.serve(t, name, addr, handler)
}

func (w *callsWorld) client(host string) *http.Client {
	transport := &http.Transport{DialContext: w.network.Host(lavfakenet.HostInfo{Host: host}).DialContext, DisableKeepAlives: host == "caller"}
	w.clients = append(w.clients, transport)
	return &http.Client{Transport: transport}
}

// start starts an entry host.
func (w *callsWorld) start(t *testing.T, i int) {
	t.Helper()
	place := lavfakenet.HostInfo{Host: entryName(i)}
	settings := lavsettings.Default()
	settings.Host, settings.FailureDomain = place.Host, "north"
	settings.Entry, settings.Mesh, settings.Admin = worldAddr(4, i), worldAddr(5, i), worldAddr(6, i)
	settings.Stores = []string{"http://" + worldAddr(9, 0).String()}
	settings.HostList = "http://" + worldAddr(9, 1).String()
	settings.DrainTimeout = lavrelease.Duration(time.Minute)
	settings.TokenKey = "key of the fleet"
	node := lavnode.New(settings, lavnode.Edges{
		Listen: func(network, address string) (net.Listener, error) {
			return w.network.Host(place).Listen(network, address)
		},
		Client: w.client(place.Host),
		Logger: &log.Logger{Level: log.ErrorLevel},
		Scope:  tally.NoopScope,
	})
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- node.Run(ctx) }()
	w.stops = append(w.stops, func() {
		cancel()
		lavassert.NoError(t, <-ended)
	})
}

// request is one call of an entry host.
type request struct {
	method, path, body string
	customer           string
	header             map[string]string
}

// reply is its answer, read to the end.
type reply struct {
	status  int
	header  http.Header
	trailer http.Header
	body    string
	err     error
}

// outcome returns the outcome of the header or the trailer.
func (r *reply) outcome() string {
	if o := r.trailer.Get("Lav-Outcome"); o != "" {
		return o
	}
	return r.header.Get("Lav-Outcome")
}

// open sends a request to an entry host.
func (w *callsWorld) open(ctx context.Context, t *testing.T, host int, q request) (*http.Response, error) {
	t.Helper()
	r, err := http.NewRequestWithContext(ctx, q.method, "http://"+worldAddr(4, host).String()+q.path, strings.NewReader(q.body))
	lavassert.NoError(t, err)
	if q.customer == "" {
		q.customer = "till"
	}
	r.Header.Set("Authorization", "Bearer "+q.customer)
	for name, value := range q.header {
		r.Header.Set(name, value)
	}
	return w.caller.Do(r)
}

func (w *callsWorld) call(t *testing.T, host int, q request) *reply {
	t.Helper()
	answer, err := w.open(t.Context(), t, host, q)
	if err != nil {
		return &reply{err: err}
	}
	defer func() { _ = answer.Body.Close() }()
	body, err := io.ReadAll(answer.Body)
	return &reply{status: answer.StatusCode, header: answer.Header, trailer: answer.Trailer, body: string(body), err: err}
}

func order(key, content string) request {
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

// events reads the text of a stream, up to so many events if above zero, and
// the ID of the last one.
func events(t *testing.T, body io.Reader, most int) (text, last string, whole bool) {
	t.Helper()
	lines := bufio.NewScanner(body)
	for n := 0; (most == 0 || n < most) && lines.Scan(); {
		name, value, _ := strings.Cut(lines.Text(), ": ")
		switch {
		case name == "id":
			last = value
		case name == "data" && value == "[DONE]":
			return text, last, true
		case name == "data":
			var chunk struct{ Choices []struct{ Text string } }
			if json.Unmarshal([]byte(value), &chunk) == nil && len(chunk.Choices) == 1 {
				text += chunk.Choices[0].Text
			}
			n++
		}
	}
	return text, last, false
}
