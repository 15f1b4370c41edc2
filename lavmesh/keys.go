package lavmesh

import (
	"crypto/tls"
	"crypto/x509"
	"net/http"
	"os"
	"slices"
	"sync"
	"time"

	"lavenderrack.example/lavenderrack/lavmember"

	"github.com/cockroachdb/errors"
)

// keysCheck is how often the files of the keys are looked at for a change.
const keysCheck = 5 * time.Second

// Keys are a host's certificate and key, and the authority that all hosts of
// the fleet trust. They are read from files, and read again as the files
// change, so that keys are rotated without a restart. A certificate names its
// host as a DNS name.
type Keys struct {
	cert, key, authority string

	mu      sync.Mutex
	pair    *tls.Certificate
	roots   *x509.CertPool
	checked time.Time
	changed time.Time
}

// NewKeys reads the keys from those files.
func NewKeys(cert, key, authority string) (*Keys, error) {
	k := &Keys{cert: cert, key: key, authority: authority}
	return k, k.read()
}

func (k *Keys) read() error {
	pair, err := tls.LoadX509KeyPair(k.cert, k.key)
	if err != nil {
		return err
	}
	text, err := os.ReadFile(k.authority)
	if err != nil {
		return err
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(text) {
		return errors.Newf("%s holds no certificate", k.authority)
	}
	k.pair, k.roots = &pair, roots
	return nil
}

// current returns the newest keys that are whole. Files that are being written
// are read at a later time.
func (k *Keys) current() (*tls.Certificate, *x509.CertPool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := time.Now()
	if now.Sub(k.checked) < keysCheck {
		return k.pair, k.roots
	}
	k.checked = now
	if newest := k.newest(); newest.After(k.changed) && k.read() == nil {
		k.changed = newest
	}
	return k.pair, k.roots
}

// newest is when the last of the files was written.
func (k *Keys) newest() time.Time {
	var newest time.Time
	for _, name := range []string{k.cert, k.key, k.authority} {
		if info, err := os.Stat(name); err == nil && info.ModTime().After(newest) {
			newest = info.ModTime()
		}
	}
	return newest
}

// ServerConfig returns the settings of a mesh listener. Each handshake takes the
// newest keys and asks the peer for its certificate.
func (k *Keys) ServerConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			pair, roots := k.current()
			return &tls.Config{
				MinVersion:   tls.VersionTLS13,
				Certificates: []tls.Certificate{*pair},
				ClientAuth:   tls.RequireAndVerifyClientCert,
				ClientCAs:    roots,
			}, nil
		},
	}
}

// client returns the settings to dial one host, whose certificate must name it.
func (k *Keys) client(host string) *tls.Config {
	pair, roots := k.current()
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{*pair},
		RootCAs:      roots,
		ServerName:   host,
	}
}

// UseTLS makes the mesh dial by TLS with those keys and accept only peers that
// have a certificate of the authority. It is called before Serve; the listener
// in front of ServeHTTP uses keys.Server().
func (m *Mesh) UseTLS(keys *Keys) { m.keys = keys }

// clientFor returns the client that dials a peer.
func (m *Mesh) clientFor(peer lavmember.Member) *http.Client {
	if m.keys == nil {
		return m.client
	}
	transport, ok := m.client.Transport.(*http.Transport)
	if !ok {
		transport = http.DefaultTransport.(*http.Transport)
	}
	transport = transport.Clone()
	transport.TLSClientConfig = m.keys.client(peer.Host)
	// One connection a link: nothing stays behind in this transport.
	transport.DisableKeepAlives = true
	return &http.Client{Transport: transport}
}

// checkPeer holds a peer to the host that its certificate names.
func (m *Mesh) checkPeer(r *http.Request, peer lavmember.Member) error {
	if m.keys == nil {
		return nil
	}
	if r.TLS == nil || len(r.TLS.PeerCertificates) == 0 {
		return errors.New("the mesh takes TLS only")
	}
	if !slices.Contains(r.TLS.PeerCertificates[0].DNSNames, peer.Host) {
		return errors.Newf("the certificate doesn't name host %s", peer.Host)
	}
	return nil
}
