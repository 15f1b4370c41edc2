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

// keysCheckInterval is the minimum time between checks of the key files for
// changes.
const keysCheckInterval = 5 * time.Second

// Keys holds a host's TLS certificate, its private key and the certificate
// authority that all hosts of the fleet trust. They are loaded from files and
// reloaded when the files change, so that keys can be rotated without a
// restart. Each certificate must contain its host's name as a DNS name.
type Keys struct {
	certFile, keyFile, caFile string

	mu          sync.Mutex
	certificate *tls.Certificate
	caPool      *x509.CertPool
	checkedAt   time.Time
	modifiedAt  time.Time
}

// NewKeys loads the certificate, the private key and the authority's
// certificate from PEM files.
func NewKeys(certFile, keyFile, caFile string) (*Keys, error) {
	k := &Keys{certFile: certFile, keyFile: keyFile, caFile: caFile}
	return k, k.load()
}

func (k *Keys) load() error {
	certificate, err := tls.LoadX509KeyPair(k.certFile, k.keyFile)
	if err != nil {
		return err
	}
	pemData, err := os.ReadFile(k.caFile)
	if err != nil {
		return err
	}
	caPool := x509.NewCertPool()
	if !caPool.AppendCertsFromPEM(pemData) {
		return errors.Newf("%s contains no PEM certificate", k.caFile)
	}
	k.certificate, k.caPool = &certificate, caPool
	return nil
}

// current returns the most recent keys that could be loaded. If the files have
// changed but cannot be loaded, for example because they are still being
// written, the previous keys are returned and loading is retried later.
func (k *Keys) current() (*tls.Certificate, *x509.CertPool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := time.Now()
	if now.Sub(k.checkedAt) < keysCheckInterval {
		return k.certificate, k.caPool
	}
	k.checkedAt = now
	if latest := k.lastModified(); latest.After(k.modifiedAt) && k.load() == nil {
		k.modifiedAt = latest
	}
	return k.certificate, k.caPool
}

// lastModified returns the latest modification time of the key files.
func (k *Keys) lastModified() time.Time {
	var latest time.Time
	for _, name := range []string{k.certFile, k.keyFile, k.caFile} {
		if info, err := os.Stat(name); err == nil && info.ModTime().After(latest) {
			latest = info.ModTime()
		}
	}
	return latest
}

// ServerConfig returns the TLS configuration of a mesh listener. Each handshake
// uses the current keys and requires a client certificate.
func (k *Keys) ServerConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			certificate, caPool := k.current()
			return &tls.Config{
				MinVersion:   tls.VersionTLS13,
				Certificates: []tls.Certificate{*certificate},
				ClientAuth:   tls.RequireAndVerifyClientCert,
				ClientCAs:    caPool,
			}, nil
		},
	}
}

// clientConfig returns the TLS configuration for dialling a host. The host's
// certificate must be valid for its name.
func (k *Keys) clientConfig(host string) *tls.Config {
	certificate, caPool := k.current()
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{*certificate},
		RootCAs:      caPool,
		ServerName:   host,
	}
}

// UseTLS makes the mesh dial over TLS with the given keys and accept only peers
// with a certificate that the authority has signed. It must be called before
// Serve. The listener in front of ServeHTTP must use keys.ServerConfig().
func (m *Mesh) UseTLS(keys *Keys) { m.keys = keys }

// httpClientFor returns the HTTP client for dialling a peer.
func (m *Mesh) httpClientFor(peer lavmember.Member) *http.Client {
	if m.keys == nil {
		return m.client
	}
	transport, ok := m.client.Transport.(*http.Transport)
	if !ok {
		transport = http.DefaultTransport.(*http.Transport)
	}
	transport = transport.Clone()
	transport.TLSClientConfig = m.keys.clientConfig(peer.Host)
	// The transport is used for one link only, so it need not keep idle
	// connections.
	transport.DisableKeepAlives = true
	return &http.Client{Transport: transport}
}

// verifyPeerHost returns an error unless the peer's certificate is valid for
// the host name that the peer claims.
func (m *Mesh) verifyPeerHost(r *http.Request, peer lavmember.Member) error {
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
