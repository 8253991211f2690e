package httpconn

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"chestnutshed.example/chestnutshed/internal/core/status"
)

const (
	// concurrentBody is the size, in bytes, from which a request body is written
	// while the response is read. Smaller ones fit into the socket's send buffer.
	concurrentBody = 16 << 10
	// idleFraction is the fraction of the server's keep-alive timeout after which
	// an idle connection is not reused.
	idleFraction = 0.6
	// defaultKeepAlive is the keep-alive timeout assumed for servers that send
	// no Keep-Alive header.
	defaultKeepAlive = 8 * time.Second
	// maxHeader bounds the status line and headers of a response, in bytes. It is
	// four times the platform's limit for the headers of callers.
	maxHeader = 64 << 10
	// unlimited is the value of limit.N while a body is read: its readers enforce
	// the limit for bodies.
	unlimited = 1 << 62
	// maxInterim is the number of interim responses (1xx) to a request after
	// which it fails.
	maxInterim = 8
	// maxErrorText bounds the text of an error that quotes a response, in bytes.
	maxErrorText = 200
	// maxMismatched is the number of responses to other requests after which a
	// request fails.
	maxMismatched = 3
	// An error on a reused connection means that the connection was stale, not
	// that a response was lost, if the connection had been idle for at least
	// staleIdleTime and the error came within staleErrorTime. The latter is
	// several one-way delays between availability zones.
	staleIdleTime  = 50 * time.Millisecond
	staleErrorTime = 25 * time.Millisecond
	// idleCapFor is how long, after a stale connection, no connection is reused
	// that was idle for at least half as long as the stale one.
	idleCapFor = 20 * time.Second
)

// PortRefused reports whether a port refuses connections, which means that the process
// behind it has ended.
func PortRefused(address string, timeout time.Duration) bool {
	conn, err := net.DialTimeout("tcp", address, timeout)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	_ = conn.Close()
	return false
}

// ErrNotSent is returned when no byte of a request was sent.
var ErrNotSent = errors.New("request not sent")

// Options configure a pool.
type Options struct {
	// DialTimeout is the timeout of a connection attempt.
	DialTimeout time.Duration
	// MaxIdle is the maximum number of idle connections.
	MaxIdle int
	// MaxBody is the maximum size of a response body, in bytes.
	MaxBody int64
	// Budget bounds the memory of large response bodies while they are read. Nil
	// is unlimited.
	Budget *Budget
	// Match says which request a response with header h belongs to. Nil accepts every
	// response.
	Match func(req *Request, h http.Header) Match
}

// Match says which request a response belongs to.
type Match int

// A response belongs to the request that was just sent, to another one, which its own may
// follow, or names none. The latter fails the request, since it may belong to any.
const (
	Matched Match = iota
	OtherRequest
	NoRequest
)

// Pool is a connection pool for one address. A connection carries one request at a
// time. It is not reused after an error, a mismatched response, unexpected bytes or a
// context that ended.
type Pool struct {
	address string
	options Options

	mu             sync.Mutex
	idle           []*clientConn
	dials, resends uint64
	// idleCap is the idle time from which connections are not reused. It applies
	// until idleCapUntil, after a connection that was idle for longer was stale.
	idleCap      time.Duration
	idleCapUntil time.Time
}

// Reuse says which idle connections a request may use.
type Reuse struct {
	// MaxIdleTime bounds how long the connection has been idle. 0 is unlimited.
	MaxIdleTime time.Duration
	// Retry sends the request again, on a new connection, when the idle connection
	// was stale. Set it only for requests that may be repeated.
	Retry bool
	// Fresh uses a new connection. On an idle one, a response to an earlier attempt of
	// the same request may follow.
	Fresh bool
	// OnSend is called once a connection is open, before the request is written to it.
	OnSend func()
}

// clientConn is a connection of a pool.
type clientConn struct {
	conn  net.Conn
	limit *io.LimitedReader
	in    *bufio.Reader
	out   *bufio.Writer
	// expires is when the server may close the connection, with a margin.
	expires time.Time
	// idleSince is zero until the first response.
	idleSince time.Time
}

// NewPool returns an empty pool for an address.
func NewPool(address string, o Options) *Pool { return &Pool{address: address, options: o} }

// Address is the address that the pool connects to.
func (p *Pool) Address() string { return p.address }

// Dials is the number of connection attempts so far, failed ones included.
func (p *Pool) Dials() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.dials
}

// Resends is the number of requests that were sent again after a stale connection.
func (p *Pool) Resends() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.resends
}

// CloseIdle closes all idle connections.
func (p *Pool) CloseIdle() {
	p.mu.Lock()
	idle := p.idle
	p.idle = nil
	p.mu.Unlock()
	for _, c := range idle {
		_ = c.conn.Close()
	}
}

// Do sends a request and reads the whole response. The error wraps ErrNotSent when
// nothing was sent.
func (p *Pool) Do(ctx context.Context, r *Request, reuse Reuse) (*Response, error) {
	c, err := p.get(ctx, reuse)
	if err != nil {
		return nil, err
	}
	if reuse.OnSend != nil {
		reuse.OnSend()
	}
	idleTime, start := c.idleTime(time.Now()), time.Now()
	resp, err := p.exchange(ctx, c, r)
	if !isStale(err, idleTime, time.Since(start)) {
		return resp, err
	}
	p.capIdle(time.Now(), idleTime)
	if !reuse.Retry {
		return resp, err
	}
	fresh, dialErr := p.dial(ctx)
	if dialErr != nil {
		// Don't wrap the dial error: it contains ErrNotSent, but the request was
		// sent on the stale connection.
		return nil, fmt.Errorf("stale connection: %w (new connection failed: %s)", err, dialErr.Error())
	}
	p.mu.Lock()
	p.resends++
	p.mu.Unlock()
	return p.exchange(ctx, fresh, r)
}

// exchange sends one request on a connection and puts the connection back or closes
// it. After a timeout it closes all idle connections too, unless ctx ended.
func (p *Pool) exchange(ctx context.Context, c *clientConn, r *Request) (*Response, error) {
	stop := context.AfterFunc(ctx, c.interrupt)
	watch := watchWindow(c.conn)
	resp, keep, err := c.exchange(r, p.options)
	watch.stop()
	if !stop() {
		keep = false
	}
	if !keep || err != nil {
		_ = c.conn.Close()
	} else {
		p.put(c)
	}
	if err != nil && isTimeout(err) && ctx.Err() == nil {
		p.CloseIdle()
	}
	return resp, err
}

// isStale reports whether an exchange failed because the server had dropped the
// connection while it was idle.
func isStale(err error, idleTime, took time.Duration) bool {
	if err == nil || idleTime < staleIdleTime || took > staleErrorTime {
		return false
	}
	return errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE) ||
		errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF)
}

// capIdle caps the idle time of reused connections at half of idleTime, for
// idleCapFor. A lower cap that still applies stays.
func (p *Pool) capIdle(now time.Time, idleTime time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.After(p.idleCapUntil) || idleTime/2 < p.idleCap {
		p.idleCap = idleTime / 2
	}
	p.idleCapUntil = now.Add(idleCapFor)
}

func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}

// get returns an idle connection that is fit for reuse, or a new one. Idle ones that
// are not fit are closed.
func (p *Pool) get(ctx context.Context, reuse Reuse) (*clientConn, error) {
	if reuse.Fresh {
		return p.dial(ctx)
	}
	for {
		c, idleCap := p.takeIdle(time.Now())
		if c == nil {
			return p.dial(ctx)
		}
		now := time.Now()
		fresh := (reuse.MaxIdleTime == 0 || c.idleTime(now) < reuse.MaxIdleTime) && (idleCap == 0 || c.idleTime(now) < idleCap)
		if fresh && now.Before(c.expires) && c.in.Buffered() == 0 && healthy(c.conn) {
			return c, nil
		}
		_ = c.conn.Close()
	}
}

// idleTime is how long the connection has been idle, 0 for a new one.
func (c *clientConn) idleTime(now time.Time) time.Duration {
	if c.idleSince.IsZero() {
		return 0
	}
	return now.Sub(c.idleSince)
}

// takeIdle removes the most recently used idle connection and returns it with the cap
// on its idle time, 0 for no cap. It returns nil when no connection is idle.
func (p *Pool) takeIdle(now time.Time) (*clientConn, time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := len(p.idle)
	if n == 0 {
		return nil, 0
	}
	c := p.idle[n-1]
	p.idle = p.idle[:n-1]
	if now.After(p.idleCapUntil) {
		return c, 0
	}
	return c, max(p.idleCap, time.Nanosecond)
}

// put adds a connection to the idle ones, or closes it when there are enough.
func (p *Pool) put(c *clientConn) {
	c.idleSince = time.Now()
	p.mu.Lock()
	if len(p.idle) < p.options.MaxIdle {
		p.idle = append(p.idle, c)
		c = nil
	}
	// Connections are reused last in, first out. The oldest one may never be
	// taken again, so close it here once it has expired.
	var old *clientConn
	if len(p.idle) > 0 && !p.idle[0].expires.After(time.Now()) {
		old, p.idle = p.idle[0], p.idle[1:]
	}
	p.mu.Unlock()
	for _, c := range []*clientConn{c, old} {
		if c != nil {
			_ = c.conn.Close()
		}
	}
}

func (p *Pool) dial(ctx context.Context) (*clientConn, error) {
	p.mu.Lock()
	p.dials++
	p.mu.Unlock()
	d := net.Dialer{Timeout: p.options.DialTimeout, KeepAlive: -1}
	conn, err := d.DialContext(ctx, "tcp", p.address)
	if err != nil {
		return nil, fmt.Errorf("connect to %s: %w: %w", p.address, ErrNotSent, err)
	}
	setKeepAlive(conn)
	setUserTimeout(conn, userTimeout)
	limit := &io.LimitedReader{R: conn}
	return &clientConn{
		conn: conn, limit: limit, in: bufio.NewReaderSize(limit, bufferSize), out: bufio.NewWriterSize(conn, bufferSize),
	}, nil
}

// exchange sends one request and reads its response. Keep reports whether the
// connection can be reused.
func (c *clientConn) exchange(r *Request, o Options) (resp *Response, keep bool, err error) {
	sent := make(chan error, 1)
	if len(r.Body) >= concurrentBody {
		go func() { sent <- writeRequest(c.out, r) }()
	} else if err := writeRequest(c.out, r); err != nil {
		// Some bytes may have been sent before the error, so not ErrNotSent.
		return nil, false, err
	} else {
		sent <- nil
	}
	mismatched := false
	for range maxMismatched {
		resp, keep, err = c.readResponse(r.Method, o)
		if err != nil {
			return nil, false, err
		}
		match := Matched
		if o.Match != nil {
			match = o.Match(r, resp.Header)
		}
		if match == NoRequest {
			return nil, false, errors.New("response names no request")
		}
		if match == Matched {
			break
		}
		resp, mismatched = nil, true
	}
	if resp == nil {
		return nil, false, errors.New("responses belong to other requests")
	}
	select {
	case err := <-sent:
		keep = keep && err == nil
	case <-time.After(bodyWriteGrace):
		keep = false
	}
	return resp, keep && !mismatched && c.in.Buffered() == 0, nil
}

// bodyWriteGrace is how long the write of the request body may still take after
// the response has been read.
const bodyWriteGrace = 200 * time.Millisecond

// readResponse reads one final response and skips interim ones.
func (c *clientConn) readResponse(method string, o Options) (*Response, bool, error) {
	stub := &http.Request{Method: method}
	for range maxInterim {
		c.limit.N = maxHeader
		resp, err := http.ReadResponse(c.in, stub)
		switch {
		case err != nil && c.limit.N <= 0:
			return nil, false, fmt.Errorf("read response: %w", errTooLarge)
		case err != nil:
			return nil, false, fmt.Errorf("read response: %w", truncateError(err))
		}
		c.limit.N = unlimited
		if resp.StatusCode >= 100 && resp.StatusCode < 200 && resp.StatusCode != http.StatusSwitchingProtocols {
			continue
		}
		if !status.Final(resp.StatusCode) {
			return nil, false, fmt.Errorf("read response: status %d is no final one", resp.StatusCode)
		}
		taken := o.Budget.share(resp.ContentLength, c.interrupt)
		body, err := readResponseBody(resp.Body, resp.ContentLength, o.MaxBody, taken)
		if err != nil {
			return nil, false, err
		}
		c.expires = time.Now().Add(time.Duration(float64(keepAliveTimeout(resp.Header)) * idleFraction))
		framed := resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
		return &Response{Status: resp.StatusCode, Header: resp.Header, Body: body}, framed && !resp.Close && !taken.isRevoked(), nil
	}
	return nil, false, errors.New("too many interim responses without a final one")
}

// interrupt ends a read that is under way.
func (c *clientConn) interrupt() { _ = c.conn.SetDeadline(time.Unix(1, 0)) }

// truncateError limits the text of an error that quotes the bytes read.
func truncateError(err error) error {
	if text := err.Error(); len(text) > maxErrorText {
		return errors.New(text[:maxErrorText])
	}
	return err
}

// keepAliveTimeout is how long the server keeps an idle connection open, from its
// Keep-Alive header.
func keepAliveTimeout(h http.Header) time.Duration {
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if name != "timeout" {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil {
			return time.Duration(seconds) * time.Second
		}
	}
	return defaultKeepAlive
}
