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
)

const (
	// concurrentBody is the size in bytes from which a body is written while
	// the answer is read: smaller ones fit into the socket's buffer.
	concurrentBody = 16 << 10
	// idleMargin is the part of the other end's idle time after which a
	// connection is not used again.
	idleMargin = 0.6
	// defaultIdle is the idle time of ends that don't tell theirs.
	defaultIdle = 8 * time.Second
	// maxHead bounds the head of an answer, in bytes: four times what callers' heads
	// may have on the users' platform.
	maxHead = 64 << 10
	// unlimited is the limit while a body is read, which has one of its own.
	unlimited = 1 << 62
	// interim bounds the answers with a status below 200 before a final one.
	interim = 8
	// maxText bounds what an error quotes of an answer, in bytes.
	maxText = 200
	// foreign bounds the number of answers to earlier requests that are skipped.
	foreign = 3
	// forgottenRest and forgottenTime tell a connection that the other end has
	// forgotten from an answer that was lost: it had rested for at least the
	// first, and its reset came within the second, several ways between zones.
	forgottenRest = 50 * time.Millisecond
	forgottenTime = 25 * time.Millisecond
	// doubtFor is how long connections that rested half as long as a forgotten
	// one are not used.
	doubtFor = 20 * time.Second
)

// ErrNotSent marks an exchange of which no byte was sent.
var ErrNotSent = errors.New("the request was not sent")

// Options of a pool.
type Options struct {
	// DialTimeout bounds the time to connect.
	DialTimeout time.Duration
	// MaxIdle bounds the idle connections kept.
	MaxIdle int
	// MaxBody bounds an answer's body, in bytes.
	MaxBody int64
	// Budget bounds the large bodies that are read at the same time; nil is no
	// bound.
	Budget *Budget
	// Match reports whether an answer belongs to a request; nil takes all.
	Match func(req *Request, h http.Header) bool
}

// Pool keeps connections to one address. A connection carries one request at a
// time and is not used again after anything unusual.
type Pool struct {
	address string
	options Options

	mu    sync.Mutex
	idle  []*clientConn
	dials uint64
	// trusted is how long connections may rest until doubtUntil, after the
	// other end forgot one that had rested for longer.
	trusted    time.Duration
	doubtUntil time.Time
}

// Reuse says which idle connections a request may take.
type Reuse struct {
	// MaxIdleTime bounds the time that the connection was idle; 0 is no bound.
	MaxIdleTime time.Duration
	// Retry lets a request that can be repeated go on a fresh connection when
	// the other end has forgotten the idle one.
	Retry bool
}

type clientConn struct {
	conn  net.Conn
	limit *io.LimitedReader
	in    *bufio.Reader
	out   *bufio.Writer
	until time.Time
	since time.Time
}

// NewPool returns a pool without connections.
func NewPool(address string, o Options) *Pool { return &Pool{address: address, options: o} }

// Dials is the number of connections made so far.
func (p *Pool) Dials() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.dials
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

// Do sends a request and reads the whole answer. It returns an error that wraps
// ErrNotSent when nothing was sent.
func (p *Pool) Do(ctx context.Context, r *Request, reuse Reuse) (*Response, error) {
	c, err := p.get(ctx, reuse.MaxIdleTime)
	if err != nil {
		return nil, err
	}
	rested, began := c.rested(time.Now()), time.Now()
	resp, err := p.exchange(ctx, c, r)
	if !forgotten(err, rested, time.Since(began)) {
		return resp, err
	}
	p.doubt(time.Now(), rested)
	if !reuse.Retry {
		return resp, err
	}
	fresh, dialErr := p.dial(ctx)
	if dialErr != nil {
		// The request was sent once: the dial's error would say that it wasn't.
		return nil, fmt.Errorf("on a forgotten connection: %w (%s)", err, dialErr.Error())
	}
	return p.exchange(ctx, fresh, r)
}

// exchange uses a connection for one request.
func (p *Pool) exchange(ctx context.Context, c *clientConn, r *Request) (*Response, error) {
	stop := context.AfterFunc(ctx, func() { _ = c.conn.SetDeadline(time.Unix(1, 0)) })
	resp, keep, err := c.exchange(r, p.options)
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

// forgotten reports whether an exchange failed since the other end had dropped
// the connection while it rested.
func forgotten(err error, rested, took time.Duration) bool {
	if err == nil || rested < forgottenRest || took > forgottenTime {
		return false
	}
	return errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE) ||
		errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF)
}

// doubt shortens the rest of connections for a while.
func (p *Pool) doubt(now time.Time, rested time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.After(p.doubtUntil) || rested/2 < p.trusted {
		p.trusted = rested / 2
	}
	p.doubtUntil = now.Add(doubtFor)
}

func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}

func (p *Pool) get(ctx context.Context, mostRest time.Duration) (*clientConn, error) {
	for {
		c, trusted := p.take(time.Now())
		if c == nil {
			return p.dial(ctx)
		}
		now := time.Now()
		fresh := (mostRest == 0 || c.rested(now) < mostRest) && (trusted == 0 || c.rested(now) < trusted)
		if fresh && now.Before(c.until) && c.in.Buffered() == 0 && quiet(c.conn) {
			return c, nil
		}
		_ = c.conn.Close()
	}
}

// rested is how long a connection was idle; 0 for one that is new.
func (c *clientConn) rested(now time.Time) time.Duration {
	if c.since.IsZero() {
		return 0
	}
	return now.Sub(c.since)
}

// take returns the connection used last and how long it may have rested; 0 is
// no bound.
func (p *Pool) take(now time.Time) (*clientConn, time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := len(p.idle)
	if n == 0 {
		return nil, 0
	}
	c := p.idle[n-1]
	p.idle = p.idle[:n-1]
	if now.After(p.doubtUntil) {
		return c, 0
	}
	return c, max(p.trusted, time.Nanosecond)
}

func (p *Pool) put(c *clientConn) {
	c.since = time.Now()
	p.mu.Lock()
	if len(p.idle) < p.options.MaxIdle {
		p.idle = append(p.idle, c)
		c = nil
	}
	// The oldest are not used again once they are past their time.
	var old *clientConn
	if len(p.idle) > 0 && !p.idle[0].until.After(time.Now()) {
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
	tune(conn)
	limit := &io.LimitedReader{R: conn}
	return &clientConn{
		conn: conn, limit: limit, in: bufio.NewReaderSize(limit, bufferSize), out: bufio.NewWriterSize(conn, bufferSize),
	}, nil
}

// exchange sends one request and reads its answer. Keep reports whether the
// connection can carry another one.
func (c *clientConn) exchange(r *Request, o Options) (resp *Response, keep bool, err error) {
	sent := make(chan error, 1)
	if len(r.Body) >= concurrentBody {
		go func() { sent <- writeRequest(c.out, r) }()
	} else if err := writeRequest(c.out, r); err != nil {
		// Bytes may have left before the error.
		return nil, false, err
	} else {
		sent <- nil
	}
	strange := false
	for range foreign {
		resp, keep, err = c.readAnswer(r.Method, o)
		if err != nil {
			return nil, false, err
		}
		if o.Match == nil || o.Match(r, resp.Header) {
			break
		}
		// An answer to an earlier request; ours is behind it.
		resp, strange = nil, true
	}
	if resp == nil {
		return nil, false, errors.New("the answers belong to other requests")
	}
	select {
	case err := <-sent:
		keep = keep && err == nil
	case <-time.After(bodyTail):
		keep = false
	}
	return resp, keep && !strange && c.in.Buffered() == 0, nil
}

// bodyTail is how long the rest of a body may take once the answer is there.
const bodyTail = 200 * time.Millisecond

// readAnswer reads one final answer, passing over interim ones.
func (c *clientConn) readAnswer(method string, o Options) (*Response, bool, error) {
	stub := &http.Request{Method: method}
	for range interim {
		c.limit.N = maxHead
		resp, err := http.ReadResponse(c.in, stub)
		switch {
		case err != nil && c.limit.N <= 0:
			return nil, false, fmt.Errorf("read answer: %w", errTooLarge)
		case err != nil:
			return nil, false, fmt.Errorf("read answer: %w", brief(err))
		}
		c.limit.N = unlimited
		if resp.StatusCode >= 100 && resp.StatusCode < 200 && resp.StatusCode != http.StatusSwitchingProtocols {
			continue
		}
		body, err := readBody(resp.Body, resp.ContentLength, o.MaxBody, o.Budget)
		if err != nil {
			return nil, false, err
		}
		c.until = time.Now().Add(time.Duration(float64(idleTime(resp.Header)) * idleMargin))
		framed := resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
		return &Response{Status: resp.StatusCode, Header: resp.Header, Body: body}, framed && !resp.Close, nil
	}
	return nil, false, errors.New("interim answers without a final one")
}

// brief shortens an error that quotes what was read.
func brief(err error) error {
	if text := err.Error(); len(text) > maxText {
		return errors.New(text[:maxText])
	}
	return err
}

// idleTime is how long the other end keeps an idle connection open.
func idleTime(h http.Header) time.Duration {
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if name != "timeout" {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil {
			return time.Duration(seconds) * time.Second
		}
	}
	return defaultIdle
}
