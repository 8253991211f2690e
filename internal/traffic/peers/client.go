package peers

import (
	"bytes"
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"chestnutshed.example/chestnutshed/internal/config/settings"
	"chestnutshed.example/chestnutshed/internal/core/listen"
	"chestnutshed.example/chestnutshed/internal/core/strict"
	"chestnutshed.example/chestnutshed/internal/traffic/wire"
	"github.com/gravitational/trace"
)

const (
	// dialTimeout is the timeout of a connection attempt, and of a TLS handshake.
	dialTimeout = time.Second
	// heartbeatTimeout is how long a call waits for the next heartbeat or the
	// response. It is also the TCP user timeout, and three times the heartbeat
	// interval.
	heartbeatTimeout = 1200 * time.Millisecond
	// maxIdleConns is the maximum number of idle connections to one peer.
	maxIdleConns = 64
	// idleConnTimeout is how long an idle connection to a peer is kept.
	idleConnTimeout = 30 * time.Second
	// maxControlResponse bounds the response to a control message, in bytes.
	maxControlResponse = 16 << 20
	// controlOverhead is an estimate of the HTTP headers of a control message and
	// its response together, in bytes.
	controlOverhead = 400
	// maxPeers bounds the number of connection pools, one for each peer.
	maxPeers = 1024
)

// ErrNoHeartbeat is returned when neither a response nor a heartbeat came in time.
var ErrNoHeartbeat = errors.New("no response or heartbeat from peer")

// ErrNotSent is returned when nothing was sent, usually because no connection could
// be made.
var ErrNotSent = errors.New("request not sent")

// Client calls other nodes. It keeps a connection pool for each of them.
type Client struct {
	token string
	tls   *tls.Config

	// messages counts control messages, bytes their size and that of their
	// responses with an estimate of the headers.
	messages atomic.Uint64
	bytes    atomic.Uint64

	mu    sync.Mutex
	peers map[string]*peer
}

// ControlTraffic is the number of control messages with a response so far, and the
// bytes of their bodies and responses with an estimate of the headers.
func (c *Client) ControlTraffic() (messages, bytes uint64) { return c.messages.Load(), c.bytes.Load() }

type peer struct {
	transport *strict.Transport
	lastUsed  time.Time
}

// NewClient returns a client with a node's settings. It fails when the TLS settings or
// their files are invalid.
func NewClient(s settings.Settings) (*Client, error) {
	config, err := listen.ClientTLS(s.Peers.TLS)
	if err != nil {
		return nil, fmt.Errorf("peers: %w", err)
	}
	return &Client{token: Token(s.FleetSecret()), tls: config, peers: map[string]*peer{}}, nil
}

func (c *Client) peer(now time.Time, address string) *peer {
	c.mu.Lock()
	defer c.mu.Unlock()
	p, ok := c.peers[address]
	if !ok {
		c.evict()
		p = &peer{transport: c.transport()}
		c.peers[address] = p
	}
	p.lastUsed = now
	return p
}

// evict drops the least recently used peer when there are maxPeers.
func (c *Client) evict() {
	if len(c.peers) < maxPeers {
		return
	}
	var oldest string
	for address, p := range c.peers {
		if oldest == "" || p.lastUsed.Before(c.peers[oldest].lastUsed) {
			oldest = address
		}
	}
	c.peers[oldest].transport.CloseIdleConnections()
	delete(c.peers, oldest)
}

func (c *Client) transport() *strict.Transport {
	dialer := &net.Dialer{Timeout: dialTimeout, Control: setUserTimeout}
	return strict.NewTransport(&http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
			}
			return conn, nil
		},
		TLSClientConfig:     c.tls,
		TLSHandshakeTimeout: dialTimeout,
		MaxIdleConnsPerHost: maxIdleConns,
		IdleConnTimeout:     idleConnTimeout,
		DisableCompression:  true,
		// Responses of targets may have large headers.
		MaxResponseHeaderBytes: 1 << 20,
	})
}

// setUserTimeout sets TCP_USER_TIMEOUT, which closes a connection whose data is not
// acknowledged within heartbeatTimeout.
func setUserTimeout(_, _ string, conn syscall.RawConn) error {
	const tcpUserTimeout = 18
	var optErr error
	err := conn.Control(func(fd uintptr) {
		optErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(heartbeatTimeout.Milliseconds()))
	})
	return errors.Join(err, optErr)
}

// Reply is a peer's reply to a call.
type Reply struct {
	Outcome wire.Outcome
	Header  http.Header
	Body    []byte
}

// onceReader hides the type of its reader, so that net/http cannot rewind the body and
// retry the request by itself. All sends must be counted.
type onceReader struct{ *bytes.Reader }

// Send sends one call to a peer's handler and returns its whole reply. The error wraps
// ErrNotSent when the call cannot have run, and ErrNoHeartbeat when the peer stopped
// responding. Other errors include a truncated reply and one to another call.
func (c *Client) Send(ctx context.Context, address, path string, call wire.Call, header http.Header, body []byte) (Reply, error) {
	meta, err := wire.Encode(call)
	if err != nil {
		return Reply{}, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	p := c.peer(time.Now(), address)
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watchdog := time.AfterFunc(heartbeatTimeout, func() { cancel(ErrNoHeartbeat) })
	defer watchdog.Stop()
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		Got1xxResponse: func(int, textproto.MIMEHeader) error {
			watchdog.Reset(heartbeatTimeout)
			return nil
		},
	})
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.url(address, path), onceReader{bytes.NewReader(body)})
	if err != nil {
		return Reply{}, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	req.ContentLength = int64(len(body))
	req.Header = header.Clone()
	req.Header.Set(wire.CallHeader, meta)
	req.Header.Set(wire.SecretHeader, c.token)
	resp, err := p.transport.RoundTrip(req)
	if err != nil {
		return Reply{}, c.sendError(ctx, err)
	}
	defer func() { _ = resp.Body.Close() }()
	return c.readReply(ctx, p, resp, call)
}

func (c *Client) readReply(ctx context.Context, p *peer, resp *http.Response, call wire.Call) (Reply, error) {
	if resp.StatusCode != http.StatusOK {
		return Reply{}, trace.ConnectionProblem(nil, "peer responded with status %s", resp.Status)
	}
	outcome, err := wire.DecodeOutcome(resp.Header, call.ID)
	if err != nil {
		p.transport.CloseIdleConnections()
		return Reply{}, fmt.Errorf("read outcome: %w", err)
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, call.MaxResponseBytes+1))
	if err != nil {
		return Reply{}, c.sendError(ctx, err)
	}
	if int64(len(body)) > call.MaxResponseBytes {
		return Reply{}, trace.LimitExceeded("response body exceeds %d bytes", call.MaxResponseBytes)
	}
	return Reply{Outcome: outcome, Header: resp.Header, Body: body}, nil
}

// sendError adds the cause of an error. After a missing heartbeat it closes the idle
// connections to all peers: what broke one connection may have broken others.
func (c *Client) sendError(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); errors.Is(cause, ErrNoHeartbeat) {
		c.CloseIdle()
		return fmt.Errorf("send call: %w", ErrNoHeartbeat)
	}
	return fmt.Errorf("send call: %w", err)
}

func (c *Client) url(address, path string) string {
	if c.tls != nil {
		return "https://" + address + path
	}
	return "http://" + address + path
}

// PostJSON sends a control message as JSON and decodes the JSON response into reply.
func (c *Client) PostJSON(ctx context.Context, address, path string, message, reply any) error {
	text, err := json.Marshal(message)
	if err != nil {
		return fmt.Errorf("encode message: %w", err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.url(address, path), onceReader{bytes.NewReader(text)})
	if err != nil {
		return fmt.Errorf("create request: %w", err)
	}
	req.ContentLength = int64(len(text))
	req.Header.Set(wire.SecretHeader, c.token)
	p := c.peer(time.Now(), address)
	resp, err := p.transport.RoundTrip(req)
	if err != nil {
		p.transport.CloseIdleConnections()
		return fmt.Errorf("send control message: %w", err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return trace.ConnectionProblem(nil, "peer responded with status %s", resp.Status)
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxControlResponse))
	c.messages.Add(1)
	c.bytes.Add(uint64(len(text) + len(body) + controlOverhead))
	if err != nil {
		return fmt.Errorf("read response: %w", err)
	}
	if err := json.Unmarshal(body, reply); err != nil {
		return fmt.Errorf("decode response: %w", err)
	}
	return nil
}

// CloseIdle closes the idle connections to all peers.
func (c *Client) CloseIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range c.peers {
		p.transport.CloseIdleConnections()
	}
}
