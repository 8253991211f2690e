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
	"chestnutshed.example/chestnutshed/internal/traffic/wire"
	"github.com/gravitational/trace"
)

const (
	// dialTimeout bounds the opening of a connection.
	dialTimeout = time.Second
	// silence is how long a connection may show no sign of life while an
	// answer is awaited.
	silence = 1200 * time.Millisecond
	// idleConns is the number of idle connections kept to one peer.
	idleConns = 64
	// idleTime closes idle connections to a peer.
	idleTime = 30 * time.Second
	// maxControl bounds the answer to a control message, in bytes.
	maxControl = 16 << 20
	// controlHeaders is about what HTTP adds to a control message and its
	// answer, in bytes.
	controlHeaders = 400
	// maxPeers bounds the peers that connections are kept for.
	maxPeers = 1024
)

// ErrNoHeartbeat means that a connection showed no sign of life.
var ErrNoHeartbeat = errors.New("the connection is silent")

// ErrNotSent means that no connection could be made: nothing was sent.
var ErrNotSent = errors.New("no connection")

// Client calls other nodes. It keeps a pool of connections for each of them.
type Client struct {
	proof string
	tls   *tls.Config

	// messages and bytes count control messages and their answers.
	messages atomic.Uint64
	bytes    atomic.Uint64

	mu    sync.Mutex
	peers map[string]*peer
}

// ControlTraffic is the number of control messages sent so far, and the bytes of
// their bodies and answers.
func (c *Client) ControlTraffic() (messages, bytes uint64) { return c.messages.Load(), c.bytes.Load() }

type peer struct {
	transport *http.Transport
	used      time.Time
}

// NewClient returns a client with a node's settings.
func NewClient(s settings.Settings) (*Client, error) {
	config, err := listen.ClientTLS(s.Peers.TLS)
	if err != nil {
		return nil, fmt.Errorf("peers: %w", err)
	}
	return &Client{proof: Proof(s.FleetSecret()), tls: config, peers: map[string]*peer{}}, nil
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
	p.used = now
	return p
}

// evict drops the peer that was not used for longest when there are too many.
func (c *Client) evict() {
	if len(c.peers) < maxPeers {
		return
	}
	var oldest string
	for address, p := range c.peers {
		if oldest == "" || p.used.Before(c.peers[oldest].used) {
			oldest = address
		}
	}
	c.peers[oldest].transport.CloseIdleConnections()
	delete(c.peers, oldest)
}

func (c *Client) transport() *http.Transport {
	dialer := &net.Dialer{Timeout: dialTimeout, Control: limitUnacked}
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
			}
			return conn, nil
		},
		TLSClientConfig:     c.tls,
		TLSHandshakeTimeout: dialTimeout,
		MaxIdleConnsPerHost: idleConns,
		IdleConnTimeout:     idleTime,
		DisableCompression:  true,
		// Answers of targets may have large headers.
		MaxResponseHeaderBytes: 1 << 20,
	}
}

// limitUnacked closes connections whose sent data isn't acknowledged in time.
func limitUnacked(_, _ string, conn syscall.RawConn) error {
	const tcpUserTimeout = 18
	var optErr error
	err := conn.Control(func(fd uintptr) {
		optErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(silence.Milliseconds()))
	})
	return errors.Join(err, optErr)
}

// Reply is a peer's answer to a call.
type Reply struct {
	Outcome wire.Outcome
	Header  http.Header
	Body    []byte
}

// onceReader is a body that net/http can't send twice by itself: all sends are
// counted, so none may happen out of sight.
type onceReader struct{ *bytes.Reader }

// Send sends one call to a peer's handler and returns its whole reply. The
// error wraps ErrNotSent when nothing can have run, ErrSilent when the
// connection died, or tells that the reply was cut or answers another call.
func (c *Client) Send(ctx context.Context, address, path string, call wire.Call, header http.Header, body []byte) (Reply, error) {
	meta, err := wire.Encode(call)
	if err != nil {
		return Reply{}, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	p := c.peer(time.Now(), address)
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watchdog := time.AfterFunc(silence, func() { cancel(ErrNoHeartbeat) })
	defer watchdog.Stop()
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		Got1xxResponse: func(int, textproto.MIMEHeader) error {
			watchdog.Reset(silence)
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
	req.Header.Set(wire.SecretHeader, c.proof)
	resp, err := p.transport.RoundTrip(req)
	if err != nil {
		return Reply{}, c.failed(ctx, err)
	}
	defer func() { _ = resp.Body.Close() }()
	return c.readReply(ctx, p, resp, call)
}

func (c *Client) readReply(ctx context.Context, p *peer, resp *http.Response, call wire.Call) (Reply, error) {
	if resp.StatusCode != http.StatusOK {
		return Reply{}, trace.ConnectionProblem(nil, "peer answered %s", resp.Status)
	}
	outcome, err := wire.DecodeOutcome(resp.Header, call.ID)
	if err != nil {
		p.transport.CloseIdleConnections()
		return Reply{}, fmt.Errorf("read outcome: %w", err)
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, call.MaxResponseBytes+1))
	if err != nil {
		return Reply{}, c.failed(ctx, err)
	}
	if int64(len(body)) > call.MaxResponseBytes {
		return Reply{}, trace.LimitExceeded("answer over %d bytes", call.MaxResponseBytes)
	}
	return Reply{Outcome: outcome, Header: resp.Header, Body: body}, nil
}

// failed names the cause of an error. After a silent connection, idle ones to
// all peers are distrusted: whatever lost track of one may have lost more.
func (c *Client) failed(ctx context.Context, err error) error {
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

// PostJSON sends a control message as JSON and decodes the JSON answer into reply.
func (c *Client) PostJSON(ctx context.Context, address, path string, message, reply any) error {
	text, err := json.Marshal(message)
	if err != nil {
		return fmt.Errorf("encode message: %w", err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.url(address, path), onceReader{bytes.NewReader(text)})
	if err != nil {
		return fmt.Errorf("make request: %w", err)
	}
	req.ContentLength = int64(len(text))
	req.Header.Set(wire.SecretHeader, c.proof)
	p := c.peer(time.Now(), address)
	resp, err := p.transport.RoundTrip(req)
	if err != nil {
		p.transport.CloseIdleConnections()
		return fmt.Errorf("ask peer: %w", err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return trace.ConnectionProblem(nil, "peer answered %s", resp.Status)
	}
	answer, err := io.ReadAll(io.LimitReader(resp.Body, maxControl))
	c.messages.Add(1)
	c.bytes.Add(uint64(len(text) + len(answer) + controlHeaders))
	if err != nil {
		return fmt.Errorf("read answer: %w", err)
	}
	if err := json.Unmarshal(answer, reply); err != nil {
		return fmt.Errorf("decode answer: %w", err)
	}
	return nil
}

// CloseIdle closes all idle connections.
func (c *Client) CloseIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range c.peers {
		p.transport.CloseIdleConnections()
	}
}
