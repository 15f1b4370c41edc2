package lavmesh_test

import (
	"context"
	"crypto/tls"
	"fmt"
	"io"
	"log"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"lavenderrack.example/lavenderrack/lavassert"
	"lavenderrack.example/lavenderrack/lavfakenet"
	"lavenderrack.example/lavenderrack/lavmember"
	"lavenderrack.example/lavenderrack/lavmesh"

	"github.com/uber-go/tally/v4"
)

// fleet is a set of meshes that are connected by an in-memory network.
type fleet struct {
	t       *testing.T
	network *lavfakenet.Network
	// lossy enables packet loss on all paths.
	lossy      atomic.Bool
	mu         sync.Mutex
	members    []lavmember.Member
	peers      []*peer
	cancel     context.CancelFunc
	goroutines sync.WaitGroup
}

type peer struct {
	fleet  *fleet
	self   lavmember.Member
	mesh   *lavmesh.Mesh
	scope  tally.TestScope
	client *http.Transport
	server *http.Server
	// handlerDelay is the time that the peer's handler takes.
	handlerDelay time.Duration
	mu           sync.Mutex
	received     []string
}

func (p *peer) Self() lavmember.Member { return p.self }

func (p *peer) View() *lavmember.View {
	p.fleet.mu.Lock()
	defer p.fleet.mu.Unlock()
	return &lavmember.View{Members: p.fleet.members}
}

// messages returns the messages that the peer received, as "sender: text".
func (p *peer) messages() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.received
}

// withFleet runs body with n connected meshes. If keys is not nil, it returns
// the TLS keys of the peer with the given index; nil keys disable TLS for that
// peer.
func withFleet(t *testing.T, n int, keys func(t *testing.T, i int) *lavmesh.Keys, body func(t *testing.T, f *fleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := &fleet{t: t}
		f.network = lavfakenet.New(1, func(_, _ lavfakenet.HostInfo) lavfakenet.Link {
			l := lavfakenet.Link{Delay: 2 * time.Millisecond}
			if f.lossy.Load() {
				l.Loss, l.Resend = 0.2, 200*time.Millisecond
			}
			return l
		})
		for i := range n {
			name := fmt.Sprintf("entry-%02d", i)
			f.members = append(f.members, lavmember.Member{
				Incarnation: name + "-a", Host: name, Mesh: netip.MustParseAddrPort(fmt.Sprintf("10.0.0.%d:81", i+1)),
			})
		}
		ctx, cancel := context.WithCancel(context.WithoutCancel(t.Context()))
		f.cancel = cancel
		for i := range n {
			f.start(ctx, i, keys)
		}
		defer f.stop()
		time.Sleep(5 * time.Second)
		body(t, f)
	})
}

func (f *fleet) start(ctx context.Context, i int, keys func(t *testing.T, i int) *lavmesh.Keys) {
	p := &peer{fleet: f, self: f.members[i], scope: tally.NewTestScope("", nil)}
	access := f.network.Host(lavfakenet.HostInfo{Host: p.self.Host})
	p.client = &http.Transport{DialContext: access.DialContext}
	p.mesh = lavmesh.New(p, &http.Client{Transport: p.client})
	p.mesh.SetMetricsScope(p.scope)
	p.mesh.Handle(lavmesh.TopicLoad, func(_ context.Context, from string, body []byte) (any, error) {
		var text string
		err := lavmesh.Decode(body, &text)
		time.Sleep(p.handlerDelay)
		p.mu.Lock()
		defer p.mu.Unlock()
		p.received = append(p.received, from+": "+text)
		return "received " + text, err
	})
	l, err := access.Listen("tcp", p.self.Mesh.String())
	lavassert.NoError(f.t, err)
	if keys != nil {
		if k := keys(f.t, i); k != nil {
			p.mesh.UseTLS(k)
			l = tls.NewListener(l, k.ServerConfig())
		}
	}
	mux := http.NewServeMux()
	mux.Handle(lavmesh.Path, p.mesh)
	p.server = &http.Server{Handler: mux, ErrorLog: log.New(io.Discard, "", 0)}
	f.goroutines.Go(func() { _ = p.server.Serve(l) })
	f.goroutines.Go(func() { _ = p.mesh.Serve(ctx) })
	f.peers = append(f.peers, p)
}

func (f *fleet) stop() {
	f.cancel()
	for _, p := range f.peers {
		_ = p.server.Close()
		p.client.CloseIdleConnections()
	}
	f.goroutines.Wait()
}

// call makes a call from one peer to another.
func (f *fleet) call(from, to int, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(f.t.Context(), timeout)
	defer cancel()
	var reply string
	return f.peers[from].mesh.Call(ctx, f.members[to].Incarnation, lavmesh.TopicLoad, "x", &reply)
}

func (f *fleet) linkCount() int {
	n := 0
	for _, p := range f.peers {
		n += len(p.mesh.ConnectedPeers())
	}
	return n
}

// silentCallTimeout is the time limit of a call on a link that has gone silent.
// It covers detecting the silence, dialling a new link and repeating the call.
const silentCallTimeout = 150 * time.Millisecond

// replacedLinks returns how many silent links the peer has replaced.
func (p *peer) replacedLinks() int {
	c, ok := p.scope.Snapshot().Counters()["mesh.replaced+"]
	if !ok {
		return 0
	}
	return int(c.Value())
}
