package httpconn

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"chestnutshed.example/chestnutshed/internal/core/status"
	"chestnutshed.example/chestnutshed/internal/core/strict"
	"chestnutshed.example/chestnutshed/internal/policy/connreuse"
)

const (
	// concurrentBody is the size, in bytes, from which a request body is written
	// while the response is read. Smaller ones fit into the socket's send buffer.
	concurrentBody = 16 << 10
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
	// maxRefused is the number of refused requests that a connection remembers. Beyond
	// it, requests that must not follow a refused attempt of their own do not use it.
	maxRefused = 256
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
	// Refused says whether a response is a refusal, and ID names a request over all its
	// attempts. Without them, Reuse.Separate uses a new connection.
	Refused func(*Response) bool
	ID      func(*Request) string
	// OnOpen is called with the reason of each new connection. Nil ignores it.
	OnOpen func(connreuse.Reason)
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

	mu      sync.Mutex
	idle    []*clientConn
	maxIdle int
	resends uint64
	ledger  connreuse.Ledger
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
	// Fresh uses a new connection.
	Fresh bool
	// Separate uses no connection that has carried a refused attempt of the same
	// request, since its response may follow once more.
	Separate bool
	// FinishTime returns how long the request goes on after its context was cancelled,
	// so that its connection is kept. Nil ends it at once.
	FinishTime func() time.Duration
	// OnSend is called once a connection is open, before the request is written to it.
	OnSend func()
}

// clientConn is a connection of a pool.
type clientConn struct {
	conn net.Conn
	// stream is conn as limit, in and out use it.
	stream *strict.Conn
	limit  *io.LimitedReader
	in     *bufio.Reader
	out    *bufio.Writer
	// expires is when the server may close the connection, with a margin.
	expires time.Time
	// idleSince is zero until the first response.
	idleSince time.Time
	// refused are the requests on this connection that were refused.
	refused []string
}

// NewPool returns an empty pool for an address.
func NewPool(address string, o Options) *Pool {
	return &Pool{address: address, options: o, maxIdle: o.MaxIdle}
}

// SetMaxIdle changes the maximum number of idle connections.
func (p *Pool) SetMaxIdle(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.maxIdle = n
}

// Address is the address that the pool connects to.
func (p *Pool) Address() string { return p.address }

// Dials is the number of connection attempts so far, failed ones included.
func (p *Pool) Dials() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ledger.Total()
}

// Opened is the number of connection attempts so far by their reason.
func (p *Pool) Opened() map[connreuse.Reason]uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ledger.Counts()
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
		p.lose(c, connreuse.Broken)
	}
}

// Do sends a request and reads the whole response. The error wraps ErrNotSent when
// nothing was sent.
func (p *Pool) Do(ctx context.Context, r *Request, reuse Reuse) (*Response, error) {
	c, err := p.get(ctx, r, reuse)
	if err != nil {
		return nil, err
	}
	if reuse.OnSend != nil {
		reuse.OnSend()
	}
	resp, stale, err := p.exchange(ctx, c, r, reuse)
	if !stale || !reuse.Retry {
		return resp, err
	}
	fresh, dialErr := p.dial(ctx, "")
	if dialErr != nil {
		// Don't wrap the dial error: it contains ErrNotSent, but the request was
		// sent on the stale connection.
		return nil, fmt.Errorf("stale connection: %w (new connection failed: %s)", err, dialErr.Error())
	}
	p.mu.Lock()
	p.resends++
	p.mu.Unlock()
	resp, _, err = p.exchange(ctx, fresh, r, reuse)
	return resp, err
}

// exchange sends one request on a connection and puts the connection back or closes
// it. After a timeout it closes all idle connections too, unless ctx ended. Stale reports
// whether the server had dropped the connection while it was idle.
func (p *Pool) exchange(ctx context.Context, c *clientConn, r *Request, reuse Reuse) (resp *Response, stale bool, err error) {
	start := time.Now()
	idleTime := c.idleTime(start)
	end := interruptAfter(ctx, c, reuse.FinishTime)
	watch := watchWindow(c.conn)
	resp, keep, err := c.exchange(r, p.options)
	watch.stop()
	interrupted := !end.stop()
	if stale = isStale(err, idleTime, time.Since(start)); stale {
		p.capIdle(time.Now(), idleTime)
	}
	switch {
	case interrupted && errors.Is(ctx.Err(), context.Canceled):
		p.lose(c, connreuse.Cancelled)
	case interrupted:
		p.lose(c, connreuse.Deadline)
	case stale:
		p.lose(c, connreuse.Stale)
	case err != nil:
		p.lose(c, connreuse.Broken)
	case !keep:
		p.lose(c, connreuse.Ended)
	default:
		p.recordRefusal(c, r, resp)
		p.put(c)
	}
	if err != nil && isTimeout(err) && ctx.Err() == nil {
		p.CloseIdle()
	}
	return resp, stale, err
}

// lose closes a connection for a reason.
func (p *Pool) lose(c *clientConn, reason connreuse.Reason) {
	p.mu.Lock()
	p.ledger.Lost(time.Now(), reason)
	p.mu.Unlock()
	_ = c.conn.Close()
}

// recordRefusal notes on a connection that it has carried a refused attempt.
func (p *Pool) recordRefusal(c *clientConn, r *Request, resp *Response) {
	if p.options.Refused != nil && p.options.ID != nil && len(c.refused) < maxRefused && p.options.Refused(resp) {
		c.refused = append(c.refused, p.options.ID(r))
	}
}

// carriedRefused reports whether a refused attempt of a request may have been on the
// connection.
func (c *clientConn) carriedRefused(id string) bool {
	return len(c.refused) >= maxRefused || slices.Contains(c.refused, id)
}

// interruption ends an exchange when its context has ended, at once or some time later.
type interruption struct {
	conn    *clientConn
	unwatch func() bool

	mu             sync.Mutex
	timer          *time.Timer
	stopped, fired bool
}

func interruptAfter(ctx context.Context, c *clientConn, finishTime func() time.Duration) *interruption {
	i := &interruption{conn: c}
	i.unwatch = context.AfterFunc(ctx, func() {
		wait := time.Duration(0)
		if finishTime != nil && errors.Is(ctx.Err(), context.Canceled) {
			wait = finishTime()
		}
		if wait <= 0 {
			i.fire()
			return
		}
		i.mu.Lock()
		defer i.mu.Unlock()
		if !i.stopped {
			i.timer = time.AfterFunc(wait, i.fire)
		}
	})
	return i
}

func (i *interruption) fire() {
	i.mu.Lock()
	defer i.mu.Unlock()
	if !i.stopped {
		i.fired = true
		i.conn.interrupt()
	}
}

// stop reports whether the exchange was not interrupted. It is not interrupted afterwards.
func (i *interruption) stop() bool {
	i.unwatch()
	i.mu.Lock()
	defer i.mu.Unlock()
	i.stopped = true
	if i.timer != nil {
		i.timer.Stop()
	}
	return !i.fired
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

// get returns an idle connection that is fit for the request, or a new one. Idle ones that
// are fit for none are closed.
func (p *Pool) get(ctx context.Context, r *Request, reuse Reuse) (*clientConn, error) {
	if reuse.Fresh || reuse.Separate && (p.options.ID == nil || p.options.Refused == nil) {
		return p.dial(ctx, connreuse.Separate)
	}
	for {
		c, left := p.takeIdle(time.Now(), r, reuse)
		if c == nil {
			return p.dial(ctx, left)
		}
		if c.in.Buffered() == 0 && healthy(c.conn) {
			return c, nil
		}
		p.lose(c, connreuse.Ended)
	}
}

// idleTime is how long the connection has been idle, 0 for a new one.
func (c *clientConn) idleTime(now time.Time) time.Duration {
	if c.idleSince.IsZero() {
		return 0
	}
	return now.Sub(c.idleSince)
}

// takeIdle removes the most recently used idle connection that is fit for the request. It
// returns nil when there is none, with the reason why connections were left idle.
func (p *Pool) takeIdle(now time.Time, r *Request, reuse Reuse) (*clientConn, connreuse.Reason) {
	id := ""
	if reuse.Separate {
		id = p.options.ID(r)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	limits := connreuse.Limits{Request: reuse.MaxIdleTime}
	if !now.After(p.idleCapUntil) {
		limits.Server = max(p.idleCap, time.Nanosecond)
	}
	left := connreuse.Reason("")
	for n := len(p.idle) - 1; n >= 0; n-- {
		c := p.idle[n]
		verdict := connreuse.Decide(connreuse.Connection{
			Idle: c.idleTime(now), Expired: !now.Before(c.expires), Refused: reuse.Separate && c.carriedRefused(id),
		}, limits)
		switch v := verdict.(type) {
		case connreuse.Leave:
			left = v.Reason
			continue
		case connreuse.Close:
			_ = c.conn.Close()
			p.ledger.Lost(now, v.Reason)
		}
		p.idle = slices.Delete(p.idle, n, n+1)
		if verdict == (connreuse.Use{}) {
			return c, ""
		}
	}
	return nil, left
}

// put adds a connection to the idle ones, or closes it when there are enough.
func (p *Pool) put(c *clientConn) {
	c.idleSince = time.Now()
	p.mu.Lock()
	if len(p.idle) < p.maxIdle {
		p.idle = append(p.idle, c)
		c = nil
	} else {
		p.ledger.Lost(c.idleSince, connreuse.Surplus)
	}
	// Connections are reused last in, first out. The oldest one may never be
	// taken again, so close it here once it has expired.
	var old *clientConn
	if len(p.idle) > 0 && !p.idle[0].expires.After(time.Now()) {
		old, p.idle = p.idle[0], p.idle[1:]
		p.ledger.Lost(time.Now(), connreuse.Expired)
	}
	p.mu.Unlock()
	for _, c := range []*clientConn{c, old} {
		if c != nil {
			_ = c.conn.Close()
		}
	}
}

// dial opens a connection. Left is the reason why idle ones were left, empty if there were
// none.
func (p *Pool) dial(ctx context.Context, left connreuse.Reason) (*clientConn, error) {
	p.mu.Lock()
	reason := p.ledger.Opened(time.Now(), left)
	p.mu.Unlock()
	if p.options.OnOpen != nil {
		p.options.OnOpen(reason)
	}
	d := net.Dialer{Timeout: p.options.DialTimeout, KeepAlive: -1}
	conn, err := d.DialContext(ctx, "tcp", p.address)
	if err != nil {
		return nil, fmt.Errorf("connect to %s: %w: %w", p.address, ErrNotSent, err)
	}
	setKeepAlive(conn)
	setUserTimeout(conn, userTimeout)
	stream := strict.NewConn(conn)
	limit := &io.LimitedReader{R: stream}
	return &clientConn{
		conn: conn, stream: stream, limit: limit, in: bufio.NewReaderSize(limit, bufferSize), out: bufio.NewWriterSize(stream, bufferSize),
	}, nil
}

// exchange sends one request and reads its response. Keep reports whether the
// connection can be reused.
func (c *clientConn) exchange(r *Request, o Options) (resp *Response, keep bool, err error) {
	// A response may come before an error of the write, so it is read in any case. Some bytes
	// may have been sent by then, so the error is not ErrNotSent.
	sent := make(chan error, 1)
	write := func() { sent <- writeRequest(c.out, r) }
	if len(r.Body) >= concurrentBody {
		go write()
	} else {
		write()
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
	read, _ := c.in.Peek(c.in.Buffered())
	c.stream.StartHead(read)
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
		if err := errors.Join(c.stream.CheckHead(), strict.CheckHeader(resp.Header)); err != nil {
			return nil, false, fmt.Errorf("read response: %w", err)
		}
		if resp.StatusCode >= 100 && resp.StatusCode < 200 && resp.StatusCode != http.StatusSwitchingProtocols {
			continue
		}
		if !status.Final(resp.StatusCode) {
			return nil, false, fmt.Errorf("read response: status %d is no final one", resp.StatusCode)
		}
		length := resp.ContentLength
		if resp.Body == http.NoBody {
			length = 0 // an answer to HEAD may tell that of the body for GET
		}
		taken := o.Budget.share(length, c.interrupt)
		body, err := readResponseBody(resp.Body, length, o.MaxBody, taken)
		if err != nil {
			return nil, false, err
		}
		if err := strict.CheckHeader(resp.Trailer); err != nil {
			return nil, false, fmt.Errorf("read trailer: %w", err)
		}
		c.expires = time.Now().Add(connreuse.Expiry(keepAliveTimeout(resp.Header)))
		framed := length >= 0 || len(resp.TransferEncoding) > 0
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
