package lavnode_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"lavenderrack.example/lavenderrack/lavclient"
	"lavenderrack.example/lavenderrack/lavfake"
	"lavenderrack.example/lavenderrack/lavfront"
	"lavenderrack.example/lavenderrack/lavnode"
	"lavenderrack.example/lavenderrack/lavrelease"
	"lavenderrack.example/lavenderrack/lavrequest"
	"lavenderrack.example/lavenderrack/lavsettings"
	"lavenderrack.example/lavenderrack/lavstore"

	"github.com/cockroachdb/errors"
	"github.com/phuslu/log"
	"github.com/uber-go/tally/v4"
)

// fleet is a system with one entry host, engine and order endpoint per failure domain.
// It runs in real time on the loopback interface.
type fleet struct {
	store   *lavfake.Store
	engines map[string]*lavfake.Engine
	orders  *lavfake.OrderServer
	client  *lavclient.Client
	// south is a client in the failure domain south.
	south *lavclient.Client
}

const token = "till-7"

var domains = []string{"north", "east", "south"}

func startFleet(t *testing.T) *fleet {
	t.Helper()
	f := &fleet{store: lavfake.NewStore(), engines: make(map[string]*lavfake.Engine), orders: lavfake.NewStandaloneOrderServer()}
	store := serveHTTP(t, f.store.Handler())
	hosts := serveHTTP(t, lavfake.NewHostList())
	note := lavrelease.Note{ID: "first"}
	note.Add.Models = []lavrelease.Model{{Name: "caption", Version: "1"}}
	note.Add.Services = []lavrelease.Service{{Name: "orders", NotRepeatable: []string{"/orders"}}}
	note.Add.Customers = []lavrelease.Customer{{Name: "owambo-stickers", Share: 1, Credentials: []string{lavfront.HashCredential(token)}}}
	var seeds []netip.AddrPort
	for i, domain := range domains {
		note.Add.FailureDomains = append(note.Add.FailureDomains, lavrelease.FailureDomain{Name: domain})
		note.Add.Hosts = append(note.Add.Hosts, lavrelease.Host{Name: "rack-" + domain, FailureDomain: domain})
		engine := lavfake.NewEngine(lavfake.EngineSettings{
			MemoryTokens: 100_000, PrefillRate: 200_000, DecodeRate: 400, Step: 5 * time.Millisecond,
			ColdLimit: 2_000, ColdTime: time.Second, Models: []string{"caption"},
		})
		f.engines[domain] = engine
		note.Add.Endpoints = append(note.Add.Endpoints,
			lavrelease.Endpoint{Name: "engine-" + domain, Host: "rack-" + domain, Addr: serveHTTP(t, engine.Handler())},
			lavrelease.Endpoint{Name: "orders-" + domain, Host: "rack-" + domain, Service: "orders", Addr: serveHTTP(t, f.orders.Handler())})
		seeds = append(seeds, startNode(t, i, domain, store, hosts))
	}
	publish(t, f.store, note)
	f.client = lavclient.New(lavclient.Settings{Seeds: seeds, Credential: token}, &http.Client{})
	f.south = lavclient.New(lavclient.Settings{Seeds: seeds, Credential: token, FailureDomain: "south"}, &http.Client{})
	return f
}

func serveHTTP(t *testing.T, handler http.Handler) netip.AddrPort {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.CloseClientConnections)
	return netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))
}

func startNode(t *testing.T, i int, domain string, store, hosts netip.AddrPort) netip.AddrPort {
	t.Helper()
	settings := lavsettings.Default()
	settings.Host = fmt.Sprintf("entry-%d", i)
	settings.FailureDomain = domain
	reserved := reservedPorts{}
	settings.Entry, settings.Mesh, settings.Admin = reserved.reserve(t), reserved.reserve(t), reserved.reserve(t)
	settings.Stores = []string{"http://" + store.String()}
	settings.HostList = "http://" + hosts.String()
	settings.DrainTimeout = lavrelease.Duration(time.Second)
	node := lavnode.New(settings, lavnode.Dependencies{
		Listen: reserved.listen,
		Client: &http.Client{},
		Logger: &log.Logger{Level: log.ErrorLevel},
		Scope:  tally.NoopScope,
	})
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- node.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-ended; err != nil {
			t.Errorf("node %d: %v", i, err)
		}
	})
	return settings.Entry
}

// reservedPorts holds, by address, listeners that are opened before their node starts,
// so that no other process can take the addresses in the meantime.
type reservedPorts map[string]net.Listener

// reserve opens a listener at a free loopback address and returns the address.
func (p reservedPorts) reserve(t *testing.T) netip.AddrPort {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p[l.Addr().String()] = l
	return netip.MustParseAddrPort(l.Addr().String())
}

// listen returns the listener that is reserved for the address.
func (p reservedPorts) listen(_, address string) (net.Listener, error) {
	l := p[address]
	if l == nil {
		return nil, errors.Newf("no listener is reserved for %s", address)
	}
	return l, nil
}

func publish(t *testing.T, s lavstore.Store, n lavrelease.Note) {
	t.Helper()
	if _, err := lavrelease.Publish(t.Context(), s, &n); err != nil {
		t.Fatalf("publish %s: %v", n.ID, err)
	}
}

// complete sends one streaming prompt and checks the text and the outcome of the
// response.
func (f *fleet) complete(t *testing.T, prompt string, tokens int) {
	t.Helper()
	body, err := json.Marshal(map[string]any{"model": "caption", "prompt": prompt, "max_tokens": tokens, "stream": true})
	if err != nil {
		t.Fatal(err)
	}
	response, err := f.client.Do(t.Context(), lavclient.Call{Path: "/v1/completions", Body: body, Timeout: 10 * time.Second})
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	if got, want := readStream(t, response.Body), lavfake.AnswerText(prompt, 0, tokens); got != want {
		t.Fatalf("status %d, answer %q, want %q", response.StatusCode, got, want)
	}
	if got := response.Trailer.Get(lavrequest.HeaderOutcome); got != "Done" {
		t.Fatalf("outcome %q, want Done", got)
	}
}

func readStream(t *testing.T, body io.Reader) string {
	t.Helper()
	var text strings.Builder
	lines := bufio.NewScanner(body)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok || data == "[DONE]" {
			continue
		}
		var chunk struct{ Choices []struct{ Text string } }
		if err := json.Unmarshal([]byte(data), &chunk); err != nil || len(chunk.Choices) != 1 {
			t.Fatalf("event %q: %v", data, err)
		}
		text.WriteString(chunk.Choices[0].Text)
	}
	return text.String()
}

// order sends one order, a call that may not be repeated, and returns its outcome.
func (f *fleet) order(t *testing.T, key, content string) string {
	t.Helper()
	response, err := f.client.Do(t.Context(), lavclient.Call{Path: "/services/orders/orders", Body: []byte(content), Kind: lavrequest.KindOrder, Key: key, Timeout: 5 * time.Second})
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	return response.Header.Get(lavrequest.HeaderOutcome)
}

func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for range 400 {
		if holds() {
			return
		}
		time.Sleep(25 * time.Millisecond)
	}
	t.Fatalf("condition never met: %s", what)
}

// awaitReady waits until the directory lists all entry hosts and an order runs.
func (f *fleet) awaitReady(t *testing.T) {
	t.Helper()
	eventually(t, "the directory lists three entries", func() bool { return len(f.client.Entries(t.Context())) == len(domains) })
	eventually(t, "an order runs", func() bool { return f.order(t, "probe", "probe") == "Done" })
}

func TestEndToEnd(t *testing.T) {
	f := startFleet(t)
	f.awaitReady(t)

	t.Run("streamed answers are complete", func(t *testing.T) {
		for i := range 12 {
			f.complete(t, fmt.Sprintf("design a sticker pack %d", i), 16)
		}
	})
	t.Run("an order sent twice runs once", func(t *testing.T) {
		for range 2 {
			if got := f.order(t, "order-1", "40 spokes"); got != "Done" {
				t.Errorf("outcome %q, want Done", got)
			}
		}
		if n := f.orders.Runs()["40 spokes"]; n != 1 {
			t.Errorf("order ran %d times, want 1", n)
		}
	})
	t.Run("a failure domain is withdrawn and restored", func(t *testing.T) {
		publish(t, f.store, lavrelease.Note{ID: "out", Base: 1, Withdraw: lavrelease.Names{FailureDomains: []string{"south"}}})
		time.Sleep(time.Second)
		before := f.engines["south"].Counts().Submitted
		for i := range 12 {
			f.complete(t, fmt.Sprintf("while south is out %d", i), 8)
		}
		if n := f.engines["south"].Counts().Submitted - before; n != 0 {
			t.Errorf("%d prompts went to a failure domain that is withdrawn", n)
		}
		publish(t, f.store, lavrelease.Note{ID: "back", Base: 2, Add: lavrelease.Items{FailureDomains: []lavrelease.FailureDomain{{Name: "south"}}}})
		// Entry hosts prefer engines of their own failure domain. While all engines
		// are idle, only prompts of callers in the south are certain to go there.
		f.client = f.south
		eventually(t, "the engine in the south gets prompts again", func() bool {
			f.complete(t, fmt.Sprintf("south is back %d", time.Now().UnixNano()), 8)
			return f.engines["south"].Counts().Submitted > before
		})
	})
}
