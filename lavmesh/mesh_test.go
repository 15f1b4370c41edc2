package lavmesh_test

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"fmt"
	"io"
	"log"
	"math/big"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"lavenderrack.example/lavenderrack/lavassert"
	"lavenderrack.example/lavenderrack/lavfakenet"
	"lavenderrack.example/lavenderrack/lavmember"
	"lavenderrack.example/lavenderrack/lavmesh"

	"github.com/coder/websocket"
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

func TestMesh(t *testing.T) {
	t.Run("every member receives a broadcast once, with its sender", func(t *testing.T) {
		withFleet(t, 25, nil, func(t *testing.T, f *fleet) {
			_, err := f.peers[7].mesh.Broadcast(lavmesh.TopicLoad, "hello")
			lavassert.NoError(t, err)
			time.Sleep(time.Second)
			for i, p := range f.peers {
				want := "[entry-07-a: hello]"
				if i == 7 {
					want = "[]"
				}
				lavassert.Equal(t, p.self.Host, fmt.Sprint(p.messages()), want)
			}
			lavassert.AtMost(t, "links of 25 members", f.linkCount(), 25*2*5)
		})
	})
	t.Run("a call opens a link that closes when idle", func(t *testing.T) {
		withFleet(t, 25, nil, func(t *testing.T, f *fleet) {
			before := f.linkCount()
			for to := 1; to < 25; to++ {
				lavassert.NoError(t, f.call(0, to, time.Second))
			}
			lavassert.True(t, "links were opened", f.linkCount() > before)
			time.Sleep(time.Minute)
			lavassert.Equal(t, "links", f.linkCount(), before)
		})
	})
	t.Run("simultaneous dials leave one link", func(t *testing.T) {
		withFleet(t, 2, nil, func(t *testing.T, f *fleet) {
			lavassert.Equal(t, "ends of links", f.linkCount(), 2)
		})
	})
	t.Run("a silent link is detected and replaced", func(t *testing.T) {
		withFleet(t, 2, nil, func(t *testing.T, f *fleet) {
			// The result must not depend on which end calls or which end
			// dialled.
			for range 2 {
				f.network.Blackhole("entry-00", "entry-01")
				lavassert.NoError(t, f.call(0, 1, silentCallTimeout))
				lavassert.NoError(t, f.call(1, 0, silentCallTimeout))
				time.Sleep(time.Second)
				f.network.Blackhole("entry-00", "entry-01")
				lavassert.NoError(t, f.call(1, 0, silentCallTimeout))
				lavassert.NoError(t, f.call(0, 1, silentCallTimeout))
				time.Sleep(time.Second)
			}
			f.network.Blackhole("entry-00", "entry-01")
			time.Sleep(10 * time.Second)
			lavassert.NoError(t, f.call(1, 0, silentCallTimeout))
			lavassert.Equal(t, "ends of links", f.linkCount(), 2)
		})
	})
	t.Run("concurrent calls from both ends replace a silent link once", func(t *testing.T) {
		withFleet(t, 2, nil, func(t *testing.T, f *fleet) {
			for range 20 {
				f.network.Blackhole("entry-00", "entry-01")
				var calls sync.WaitGroup
				for from := range 2 {
					for range 5 {
						calls.Go(func() { lavassert.Equal(t, "call", f.call(from, 1-from, silentCallTimeout), nil) })
					}
				}
				calls.Wait()
				time.Sleep(time.Second)
				lavassert.Equal(t, "ends of links", f.linkCount(), 2)
			}
		})
	})
	t.Run("packet loss causes few new connections and no lost replies", func(t *testing.T) {
		withFleet(t, 2, nil, func(t *testing.T, f *fleet) {
			f.lossy.Store(true)
			const calls, pause = 50, 100 * time.Millisecond
			for range calls {
				lavassert.NoError(t, f.call(0, 1, time.Second))
				time.Sleep(pause)
			}
			lavassert.AtMost(t, "links replaced", f.peers[0].replacedLinks(), 2*calls/5)
		})
	})
	t.Run("a slow handler keeps its link", func(t *testing.T) {
		withFleet(t, 2, nil, func(t *testing.T, f *fleet) {
			f.peers[1].handlerDelay = 700 * time.Millisecond
			lavassert.NoError(t, f.call(0, 1, time.Second))
			lavassert.Equal(t, "messages received", len(f.peers[1].messages()), 1)
			lavassert.Equal(t, "links replaced", f.peers[0].replacedLinks(), 0)
		})
	})
	t.Run("messages to a slow peer are dropped without blocking the sender", func(t *testing.T) {
		withFleet(t, 3, nil, func(t *testing.T, f *fleet) {
			f.network.SetPartitioned("entry-00", "entry-01", true)
			began := time.Now()
			for range 2000 {
				_, err := f.peers[0].mesh.Broadcast(lavmesh.TopicLoad, "x")
				lavassert.NoError(t, err)
			}
			lavassert.Equal(t, "time to broadcast", time.Since(began), 0)
			dropped := f.peers[0].scope.Snapshot().Counters()["mesh.dropped+"]
			lavassert.True(t, "messages were dropped", dropped != nil && dropped.Value() > 0)
			f.network.SetPartitioned("entry-00", "entry-01", false)
			lavassert.Eventually(t, "peer is reachable again", func() bool { return f.call(0, 1, time.Second) == nil })
		})
	})
	t.Run("an invalid frame closes only its own link", func(t *testing.T) {
		withFleet(t, 2, nil, func(t *testing.T, f *fleet) {
			for _, frame := range [][]byte{nil, {0xff}, []byte("text"), make([]byte, 1<<16), {0xa2, 1, 2, 2, 99}} {
				conn, _, err := websocket.Dial(t.Context(), "ws://10.0.0.1:81/mesh", &websocket.DialOptions{
					HTTPClient: &http.Client{Transport: f.peers[1].client},
					HTTPHeader: http.Header{"Lav-Mesh-Member": {`{"Incarnation":"stranger"}`}},
				})
				lavassert.NoError(t, err)
				lavassert.NoError(t, conn.Write(t.Context(), websocket.MessageBinary, frame))
				_, _, err = conn.Read(t.Context())
				lavassert.True(t, "link is closed", err != nil)
				_ = conn.CloseNow()
			}
			lavassert.NoError(t, f.call(1, 0, time.Second))
		})
	})
	t.Run("a handshake without an incarnation is rejected", func(t *testing.T) {
		withFleet(t, 2, nil, func(t *testing.T, f *fleet) {
			for _, header := range []string{"", "{", "{}", `{"Incarnation":""}`} {
				_, _, err := websocket.Dial(t.Context(), "ws://10.0.0.1:81/mesh", &websocket.DialOptions{
					HTTPClient: &http.Client{Transport: f.peers[1].client},
					HTTPHeader: http.Header{"Lav-Mesh-Member": {header}},
				})
				lavassert.True(t, "handshake rejected", err != nil)
			}
		})
	})
}

// authority is a certificate authority that signs the certificates of a fleet.
type authority struct {
	t    *testing.T
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	dir  string
}

func newAuthority(t *testing.T) *authority {
	t.Helper()
	a := &authority{t: t, dir: t.TempDir()}
	a.key = newKey(t)
	a.cert = &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "fleet"}, IsCA: true, BasicConstraintsValid: true,
		NotBefore: time.Unix(0, 0), NotAfter: time.Unix(1<<33, 0), KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, a.cert, a.cert, &a.key.PublicKey, a.key)
	lavassert.NoError(t, err)
	a.write("ca.pem", "CERTIFICATE", der)
	return a
}

func newKey(t *testing.T) *ecdsa.PrivateKey {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	lavassert.NoError(t, err)
	return key
}

func (a *authority) write(name, kind string, der []byte) {
	a.t.Helper()
	text := pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
	lavassert.NoError(a.t, os.WriteFile(filepath.Join(a.dir, name), text, 0o600))
}

// issue writes a new certificate and private key for a host.
func (a *authority) issue(host string, until time.Time) {
	a.t.Helper()
	key := newKey(a.t)
	cert := &x509.Certificate{
		SerialNumber: big.NewInt(2), Subject: pkix.Name{CommonName: host}, DNSNames: []string{host},
		NotBefore: time.Unix(0, 0), NotAfter: until, KeyUsage: x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, cert, a.cert, &key.PublicKey, a.key)
	lavassert.NoError(a.t, err)
	secret, err := x509.MarshalECPrivateKey(key)
	lavassert.NoError(a.t, err)
	a.write(host+".pem", "CERTIFICATE", der)
	a.write(host+".key", "EC PRIVATE KEY", secret)
}

func (a *authority) keys(host string) *lavmesh.Keys {
	a.t.Helper()
	file := func(name string) string { return filepath.Join(a.dir, name) }
	k, err := lavmesh.NewKeys(file(host+".pem"), file(host+".key"), file("ca.pem"))
	lavassert.NoError(a.t, err)
	return k
}

func TestKeys(t *testing.T) {
	hostOf := func(i int) string { return fmt.Sprintf("entry-%02d", i) }
	late := time.Unix(1<<33, 0)
	own, foreign := newAuthority(t), newAuthority(t)
	for i := range 2 {
		own.issue(hostOf(i), late)
		foreign.issue(hostOf(i), late)
	}
	t.Run("peers with certificates of one authority are linked", func(t *testing.T) {
		withFleet(t, 2, func(_ *testing.T, i int) *lavmesh.Keys { return own.keys(hostOf(i)) }, func(t *testing.T, f *fleet) {
			lavassert.NoError(t, f.call(0, 1, time.Second))
			lavassert.NoError(t, f.call(1, 0, time.Second))
		})
	})
	t.Run("foreign authorities, missing keys and keys of other hosts are rejected", func(t *testing.T) {
		for _, second := range []func() *lavmesh.Keys{
			func() *lavmesh.Keys { return foreign.keys(hostOf(1)) },
			func() *lavmesh.Keys { return nil },
			func() *lavmesh.Keys { return own.keys(hostOf(0)) },
		} {
			withFleet(t, 2, func(_ *testing.T, i int) *lavmesh.Keys {
				if i == 0 {
					return own.keys(hostOf(0))
				}
				return second()
			}, func(t *testing.T, f *fleet) {
				lavassert.Equal(t, "links", f.linkCount(), 0)
				lavassert.True(t, "call from 0 to 1 fails", f.call(0, 1, time.Second) != nil)
				lavassert.True(t, "call from 1 to 0 fails", f.call(1, 0, time.Second) != nil)
			})
		}
	})
	t.Run("new keys are loaded without a restart", func(t *testing.T) {
		// The clock of a synctest bubble starts at midnight on 1 January 2000.
		soon := time.Date(2000, 1, 1, 0, 10, 0, 0, time.UTC)
		for i := range 2 {
			own.issue(hostOf(i), soon)
		}
		withFleet(t, 2, func(_ *testing.T, i int) *lavmesh.Keys { return own.keys(hostOf(i)) }, func(t *testing.T, f *fleet) {
			lavassert.NoError(t, f.call(0, 1, time.Second))
			time.Sleep(20 * time.Minute)
			f.network.Blackhole(hostOf(0), hostOf(1))
			time.Sleep(20 * time.Second)
			lavassert.Equal(t, "links with expired certificates", f.linkCount(), 0)
			for i := range 2 {
				own.issue(hostOf(i), late)
			}
			time.Sleep(20 * time.Second)
			lavassert.NoError(t, f.call(0, 1, time.Second))
		})
	})
}
