package strict

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
)

// Transport is an http.Transport whose responses are whole.
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
