package lavmesh_test

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"fmt"
	"math/big"
	"os"
	"path/filepath"
	"testing"
	"time"

	"lavenderrack.example/lavenderrack/lavassert"
	"lavenderrack.example/lavenderrack/lavmesh"
)

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
