package strict

import (
	"context"
	"fmt"
	"net"
	"net/http"
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
		return NewConn(conn), nil
	}
	return &Transport{base}
}
