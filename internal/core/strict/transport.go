package strict

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"sync"
)

// Transport is an http.Transport whose responses are whole and well-formed.
type Transport struct{ *http.Transport }

// NewTransport returns a transport with the settings of base, which it changes. Connections
// with TLS are left as they are: TLS itself tells whether one has ended in order.
func NewTransport(base *http.Transport) *Transport {
	if base.TLSClientConfig != nil {
		return &Transport{base}
	}
	dial := base.DialContext
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	base.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, fmt.Errorf("dial: %w", err)
		}
		return &patientConn{Conn: NewConn(conn), ended: make(chan struct{})}, nil
	}
	return &Transport{base}
}

// RoundTrip implements http.RoundTripper. The error is trace.BadParameter if the head of the
// response, or of an interim one, is malformed. If its trailer is, so is the last error of its
// body.
func (t *Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	var interim error
	var conn *patientConn // nil with TLS
	hooks := &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			var ok bool
			if conn, ok = info.Conn.(*patientConn); ok {
				conn.StartHead(nil)
			}
		},
		Got1xxResponse: func(_ int, h textproto.MIMEHeader) error {
			// Without effect if the request has such a hook already, so the error is kept as well.
			interim = errors.Join(interim, CheckHeader(http.Header(h)))
			return interim
		},
	}
	resp, err := t.Transport.RoundTrip(req.WithContext(httptrace.WithClientTrace(req.Context(), hooks)))
	if err != nil {
		return nil, err
	}
	malformed := errors.Join(interim, CheckHeader(resp.Header))
	if conn != nil {
		malformed = errors.Join(malformed, conn.CheckHead())
	}
	if malformed != nil {
		_ = resp.Body.Close()
		t.CloseIdleConnections() // that of the response may be among them
		return nil, fmt.Errorf("read response: %w", malformed)
	}
	resp.Body = &checkedBody{resp.Body, resp}
	return resp, nil
}

// checkedBody is the body of a response whose trailer is checked.
type checkedBody struct {
	io.ReadCloser

	response *http.Response
}

// Read reads from the body.
func (b *checkedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		if malformed := CheckHeader(b.response.Trailer); malformed != nil {
			err = fmt.Errorf("read trailer: %w", malformed)
		}
	}
	return n, err
}

// patientConn returns an error of Write once all that was received has been read.
// http.Transport closes the connection at such an error, and would lose a whole response
// that came before it.
type patientConn struct {
	*Conn

	end   sync.Once
	ended chan struct{}
}

// Write writes to the connection. After an error it waits for the end of Read, or for Close.
func (c *patientConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	if err != nil {
		<-c.ended
	}
	return n, err
}

// Read reads from the connection.
func (c *patientConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err != nil {
		c.endRead()
	}
	return n, err
}

// Close closes the connection.
func (c *patientConn) Close() error {
	c.endRead()
	return c.Conn.Close()
}

func (c *patientConn) endRead() { c.end.Do(func() { close(c.ended) }) }
