// Package listen runs the HTTP servers of a process, with time limits that
// slow clients can't stretch, and with certificates reloaded from their files.
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
	// headerTimeout bounds the time to send a request's headers.
	headerTimeout = 5 * time.Second
	// readTimeout bounds the time to send a whole request.
	readTimeout = 20 * time.Second
	// idleTimeout bounds an idle connection.
	idleTimeout = 90 * time.Second
	// maxHeader bounds a request's headers, in bytes.
	maxHeader = 64 << 10
	// reloadAfter is how long certificate files are taken as unchanged.
	reloadAfter = 5 * time.Second
)

// Server is one running listener.
type Server struct {
	http     *http.Server
	listener net.Listener
}

// Start opens the listener and serves it as a duty of the kernel.
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
		ReadHeaderTimeout: headerTimeout,
		ReadTimeout:       readTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeader,
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

// Address is the address that the server listens on.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Stop closes the listener and waits for requests under way until ctx is done.
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

// files is a certificate that is read again when its files change.
type files struct {
	conf settings.TLS

	mu      sync.Mutex
	cert    *tls.Certificate
	checked time.Time
	changed time.Time
}

// ServerTLS returns the configuration of a listener. With a CA, clients must
// show a certificate of it.
func ServerTLS(t settings.TLS) (*tls.Config, error) {
	f := &files{conf: t}
	if _, err := f.get(time.Now()); err != nil {
		return nil, err
	}
	config := &tls.Config{
		MinVersion:     tls.VersionTLS13,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return f.get(time.Now()) },
	}
	if t.CA == "" {
		return config, nil
	}
	pool, err := authorities(t.CA)
	if err != nil {
		return nil, err
	}
	config.ClientCAs = pool
	config.ClientAuth = tls.RequireAndVerifyClientCert
	return config, nil
}

// ClientTLS returns the configuration for calls to listeners with the same
// settings, or nil when they don't use TLS. Peers go by IP, so the certificate
// is checked against the authority and not against a name.
func ClientTLS(t settings.TLS) (*tls.Config, error) {
	if !t.Enabled() {
		return nil, nil
	}
	if t.CA == "" {
		return nil, trace.BadParameter("tls: peers need a ca to check each other")
	}
	pool, err := authorities(t.CA)
	if err != nil {
		return nil, err
	}
	f := &files{conf: t}
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return f.get(time.Now())
		},
		InsecureSkipVerify: true, // VerifyConnection checks the chain without a name.
		VerifyConnection:   func(c tls.ConnectionState) error { return verify(c, pool) },
	}, nil
}

func verify(c tls.ConnectionState, pool *x509.CertPool) error {
	options := x509.VerifyOptions{Roots: pool, Intermediates: x509.NewCertPool()}
	for _, cert := range c.PeerCertificates[1:] {
		options.Intermediates.AddCert(cert)
	}
	if _, err := c.PeerCertificates[0].Verify(options); err != nil {
		return fmt.Errorf("verify peer certificate: %w", err)
	}
	return nil
}

func authorities(path string) (*x509.CertPool, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read ca: %w", trace.ConvertSystemError(err))
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(text) {
		return nil, trace.BadParameter("%s holds no certificate", path)
	}
	return pool, nil
}

// get returns the certificate, read again when its file has changed. A file
// that can't be read leaves the last good one in force.
func (f *files) get(now time.Time) (*tls.Certificate, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.cert != nil && now.Sub(f.checked) < reloadAfter {
		return f.cert, nil
	}
	f.checked = now
	info, err := os.Stat(f.conf.Cert)
	if err == nil && f.cert != nil && info.ModTime().Equal(f.changed) {
		return f.cert, nil
	}
	cert, loadErr := tls.LoadX509KeyPair(f.conf.Cert, f.conf.Key)
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
