// Package listen runs the HTTP servers of a process. Fixed timeouts protect them
// from slow clients, and certificates are reloaded if their files have changed.
package listen

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"chestnutshed.example/chestnutshed/internal/config/settings"
	"chestnutshed.example/chestnutshed/internal/core/kernel"
	"github.com/gravitational/trace"
)

const (
	// readHeaderTimeout bounds the time to read a request's headers.
	readHeaderTimeout = 5 * time.Second
	// readTimeout bounds the time to read a whole request.
	readTimeout = 20 * time.Second
	// idleTimeout bounds how long a connection may stay idle.
	idleTimeout = 90 * time.Second
	// maxHeaderBytes bounds the size of a request's headers, in bytes.
	maxHeaderBytes = 64 << 10
	// certCheckInterval is the minimum time between checks of a certificate file
	// for changes.
	certCheckInterval = 5 * time.Second
)

// Server is one running listener.
type Server struct {
	http     *http.Server
	listener net.Listener
}

// Start opens the listener and serves it in a background task of the kernel.
func Start(k *kernel.Kernel, name string, l settings.Listener, h http.Handler) (*Server, error) {
	listener, err := net.Listen("tcp", l.Address)
	if err != nil {
		return nil, fmt.Errorf("open %s listener: %w", name, err)
	}
	if l.TLS.Enabled() {
		config, err := ServerTLS(l.TLS)
		if err != nil {
			_ = listener.Close()
			return nil, fmt.Errorf("%s listener: %w", name, err)
		}
		listener = tls.NewListener(listener, config)
	}
	s := &Server{listener: listener, http: &http.Server{
		Handler:           h,
		ReadHeaderTimeout: readHeaderTimeout,
		ReadTimeout:       readTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          log.New(io.Discard, "", 0),
	}}
	k.Go(func(context.Context) error {
		if err := s.http.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			return fmt.Errorf("serve %s listener: %w", name, err)
		}
		return nil
	})
	return s, nil
}

// Address is the host:port that the server listens on.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Stop closes the listener and waits for open requests until ctx is done, then
// closes all connections.
func (s *Server) Stop(ctx context.Context) error {
	if s == nil {
		return nil
	}
	if err := s.http.Shutdown(ctx); err != nil {
		_ = s.http.Close()
		return fmt.Errorf("shut down listener: %w", err)
	}
	return nil
}

// keyPair is a certificate with its key, reloaded if the certificate file has
// changed.
type keyPair struct {
	paths settings.TLS

	mu      sync.Mutex
	cert    *tls.Certificate
	checked time.Time
	changed time.Time
}

// ServerTLS returns the TLS configuration of a listener. If a CA is set, clients
// must present a certificate that it signed.
func ServerTLS(t settings.TLS) (*tls.Config, error) {
	f := &keyPair{paths: t}
	if _, err := f.certificate(time.Now()); err != nil {
		return nil, err
	}
	config := &tls.Config{
		MinVersion:     tls.VersionTLS13,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return f.certificate(time.Now()) },
	}
	if t.CA == "" {
		return config, nil
	}
	pool, err := loadCAs(t.CA)
	if err != nil {
		return nil, err
	}
	config.ClientCAs = pool
	config.ClientAuth = tls.RequireAndVerifyClientCert
	return config, nil
}

// ClientTLS returns the configuration for calls to listeners with the same
// settings, or nil if they don't use TLS. Peers are addressed by IP, so their
// certificates are verified against the CA but not against a host name.
func ClientTLS(t settings.TLS) (*tls.Config, error) {
	if !t.Enabled() {
		return nil, nil
	}
	if t.CA == "" {
		return nil, trace.BadParameter("tls: a ca is required to verify peers")
	}
	pool, err := loadCAs(t.CA)
	if err != nil {
		return nil, err
	}
	f := &keyPair{paths: t}
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return f.certificate(time.Now())
		},
		InsecureSkipVerify: true, // VerifyConnection verifies the chain, without the host name.
		VerifyConnection:   func(c tls.ConnectionState) error { return verifyPeer(c, pool) },
	}, nil
}

func verifyPeer(c tls.ConnectionState, pool *x509.CertPool) error {
	options := x509.VerifyOptions{Roots: pool, Intermediates: x509.NewCertPool()}
	for _, cert := range c.PeerCertificates[1:] {
		options.Intermediates.AddCert(cert)
	}
	if _, err := c.PeerCertificates[0].Verify(options); err != nil {
		return fmt.Errorf("verify peer certificate: %w", err)
	}
	return nil
}

func loadCAs(path string) (*x509.CertPool, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read ca: %w", trace.ConvertSystemError(err))
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(text) {
		return nil, trace.BadParameter("%s contains no PEM certificate", path)
	}
	return pool, nil
}

// certificate returns the certificate, reloaded if its file has changed. If that
// fails, the last valid certificate stays in use.
func (f *keyPair) certificate(now time.Time) (*tls.Certificate, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.cert != nil && now.Sub(f.checked) < certCheckInterval {
		return f.cert, nil
	}
	f.checked = now
	info, err := os.Stat(f.paths.Cert)
	if err == nil && f.cert != nil && info.ModTime().Equal(f.changed) {
		return f.cert, nil
	}
	cert, loadErr := tls.LoadX509KeyPair(f.paths.Cert, f.paths.Key)
	if loadErr != nil {
		if f.cert != nil {
			return f.cert, nil
		}
		return nil, fmt.Errorf("load certificate: %w", loadErr)
	}
	f.cert = &cert
	if err == nil {
		f.changed = info.ModTime()
	}
	return f.cert, nil
}
