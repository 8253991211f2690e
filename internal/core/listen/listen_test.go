package listen_test

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"io"
	"math/big"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"chestnutshed.example/chestnutshed/internal/config/settings"
	"chestnutshed.example/chestnutshed/internal/core/kernel"
	"chestnutshed.example/chestnutshed/internal/core/listen"
	"github.com/matryer/is"
)

// testCA issues certificates for tests.
type testCA struct {
	t    *testing.T
	dir  string
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

func newTestCA(t *testing.T) *testCA {
	t.Helper()
	a := &testCA{t: t, dir: t.TempDir()}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "authority"}, IsCA: true, BasicConstraintsValid: true,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour), KeyUsage: x509.KeyUsageCertSign,
	}
	a.key, _ = ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	raw, err := x509.CreateCertificate(rand.Reader, template, template, &a.key.PublicKey, a.key)
	if err != nil {
		t.Fatal(err)
	}
	a.cert, _ = x509.ParseCertificate(raw)
	a.writePEM("ca.pem", "CERTIFICATE", raw)
	return a
}

func (a *testCA) writePEM(name, kind string, raw []byte) string {
	path := filepath.Join(a.dir, name)
	if err := os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: raw}), 0o600); err != nil {
		a.t.Fatal(err)
	}
	return path
}

// issue writes a certificate with this common name and returns its settings.
func (a *testCA) issue(name string, serial int64) settings.TLS {
	key, _ := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(serial), Subject: pkix.Name{CommonName: name},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
	}
	raw, err := x509.CreateCertificate(rand.Reader, template, a.cert, &key.PublicKey, a.key)
	if err != nil {
		a.t.Fatal(err)
	}
	keyRaw, _ := x509.MarshalECPrivateKey(key)
	return settings.TLS{
		Cert: a.writePEM(name+".pem", "CERTIFICATE", raw),
		Key:  a.writePEM(name+".key", "EC PRIVATE KEY", keyRaw),
		CA:   filepath.Join(a.dir, "ca.pem"),
	}
}

func get(address string, config *tls.Config) (string, error) {
	client := &http.Client{Transport: &http.Transport{TLSClientConfig: config, DisableKeepAlives: true}}
	resp, err := client.Get("https://" + address)
	if err != nil {
		return "", err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return string(body), err
}

// A listener with a CA accepts only clients with a certificate of that CA, and a
// client rejects servers whose certificate is of another CA.
func TestMutualTLS(t *testing.T) {
	is := is.New(t)
	ours, theirs := newTestCA(t), newTestCA(t)
	k := kernel.New()
	is.NoErr(k.Start(context.Background()))
	hello := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "hello") })
	server, err := listen.Start(k, "peers", settings.Listener{Address: "127.0.0.1:0", TLS: ours.issue("node", 2)}, hello)
	is.NoErr(err)
	defer func() { _ = server.Stop(context.Background()) }()
	tests := []struct {
		name string
		tls  settings.TLS
		ok   bool
	}{
		{"certificate of our CA", ours.issue("peer", 3), true},
		{"certificate and CA of another fleet", theirs.issue("peer", 4), false},
		{"certificate of another CA, our CA", settings.TLS{
			Cert: theirs.issue("x", 5).Cert, Key: filepath.Join(theirs.dir, "x.key"), CA: filepath.Join(ours.dir, "ca.pem"),
		}, false},
	}
	for _, tt := range tests {
		config, err := listen.ClientTLS(tt.tls)
		is.NoErr(err)
		body, err := get(server.Address(), config)
		if (err == nil && body == "hello") != tt.ok {
			t.Errorf("%s: got %q, %v", tt.name, body, err)
		}
	}
	_, err = get(server.Address(), &tls.Config{InsecureSkipVerify: true})
	is.True(err != nil) // no client certificate
}

func TestTLSSettings(t *testing.T) {
	is := is.New(t)
	none, err := listen.ClientTLS(settings.TLS{})
	is.NoErr(err)
	is.True(none == nil)
	_, err = listen.ClientTLS(settings.TLS{Cert: "c", Key: "k"})
	is.True(err != nil) // peers can't be verified without a CA
	_, err = listen.ServerTLS(settings.TLS{Cert: "/not/there", Key: "/not/there"})
	is.True(err != nil)
}
