package httpconn

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"chestnutshed.example/chestnutshed/internal/core/clock"
)

const (
	// maxPipelined is the maximum number of requests in flight on one connection.
	maxPipelined = 32
	// bodyTimeout is the timeout for reading a whole body, from the end of its
	// headers.
	bodyTimeout = 20 * time.Second
	// writeTimeout is the timeout for writing a response to the caller.
	writeTimeout = 20 * time.Second
	// lingerTimeout is how long a half-closed connection is still read. Closing
	// it with unread bytes would send a reset, which can destroy the last response.
	lingerTimeout = 500 * time.Millisecond
	// acceptBackoff is the backoff after a failed accept.
	acceptBackoff = 10 * time.Millisecond
	// shutdownPoll is how often Shutdown checks for requests in flight.
	shutdownPoll = 5 * time.Millisecond
	// bufferSize is the size of a connection's read buffer and of its write
	// buffer, in bytes. Most requests fit.
	bufferSize = 2 << 10
	// responseOverhead is an estimate of a response's memory beside its body, in bytes.
	responseOverhead = 2 << 10
)

// Handler returns the response to a request, or nil to close the connection. The
// context is cancelled when the caller disconnects.
type Handler func(ctx context.Context, r *Request) *Response

// Intake decides which request bodies a server reads.
type Intake interface {
	// Admit returns the room for the body of a request whose headers were read, or why there
	// is none. It may wait. The length is -1 if unknown; the room is then for FirstBuffer
	// bytes.
	Admit(ctx context.Context, r *Request, length int64) (Room, *NoRoom)
}

// Room is the memory for one body, until its response is written.
type Room interface {
	// Resize changes the number of bytes. It reports false if there is no room for more.
	Resize(bytes int64) bool
	Release()
}

// NoRoom says why a body was not read.
type NoRoom struct {
	// After is when room is expected. Never is set if the body is too large for the server.
	After time.Duration
	Never bool
}

// Limits bound what callers may send. Header and Body are in bytes.
type Limits struct {
	Header int
	Body   int64
	// HeaderTimeout is the timeout for the request headers, from their first byte.
	HeaderTimeout time.Duration
	// IdleTimeout closes a connection without requests in flight.
	IdleTimeout time.Duration
	// Connections is a soft limit on open connections. Above it, a response closes
	// its connection. From twice the limit on, each new connection closes an idle
	// one. 0 is unlimited.
	Connections int
}

// Server accepts connections on one address.
type Server struct {
	listener net.Listener
	handler  Handler
	limits   func() Limits
	// OnError is called with errors that no caller caused. Nil ignores them. Set it
	// before Serve.
	OnError func(error)
	// OnPanic is called when the handler panics, with the value and the stack. The
	// request is then answered with 502, since it may have run. Nil ignores it. Set it
	// before Serve.
	OnPanic func(value any, stack []byte)
	// Intake decides which request bodies are read. Nil reads all. Set it before Serve.
	Intake Intake

	mu       sync.Mutex
	conns    map[*serverConn]struct{}
	draining bool
	// shuttingDown is set by Shutdown and Close. New connections are then closed
	// while they are idle.
	shuttingDown bool
	inFlight     atomic.Int64
	unwritten    atomic.Int64
	workers      workers
}

// Listen returns a server that listens on address. It calls limits for each request,
// so that a change applies to open connections.
func Listen(address string, limits func() Limits, h Handler) (*Server, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w", address, err)
	}
	return &Server{listener: l, handler: h, limits: limits, conns: map[*serverConn]struct{}{}}, nil
}

// Address is the address that the server listens on.
func (s *Server) Address() string { return s.listener.Addr().String() }

// InFlight is the number of requests in flight.
func (s *Server) InFlight() int { return int(s.inFlight.Load()) }

// Unwritten is the memory of the responses that wait for their callers to read, in bytes.
func (s *Server) Unwritten() int64 { return s.unwritten.Load() }

// Serve accepts connections until Close. It returns nil after Close.
func (s *Server) Serve(ctx context.Context) error {
	for {
		c, err := s.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			// Most likely out of file descriptors. Retry once some are closed.
			if s.OnError != nil {
				s.OnError(fmt.Errorf("accept connection: %w", err))
			}
			time.Sleep(acceptBackoff)
			continue
		}
		s.evictIdle()
		conn := s.newConn(c)
		go s.serve(ctx, conn)
	}
}

// maxScanned bounds the connections that evictIdle checks.
const maxScanned = 64

// evictIdle closes one idle connection when twice the soft limit is reached.
func (s *Server) evictIdle() {
	limit := 2 * s.limits().Connections
	s.mu.Lock()
	defer s.mu.Unlock()
	if limit == 0 || len(s.conns) < limit {
		return
	}
	n := 0
	for c := range s.conns {
		if n++; n > maxScanned {
			return
		}
		if c.closeIdle() {
			return
		}
	}
}

// overLimit reports whether responses should close their connections.
func (s *Server) overLimit() bool {
	limit := s.limits().Connections
	s.mu.Lock()
	defer s.mu.Unlock()
	return limit > 0 && len(s.conns) > limit
}

// Drain closes each connection after its next response that leaves no request in
// flight.
func (s *Server) Drain() {
	s.mu.Lock()
	s.draining = true
	conns := make([]*serverConn, 0, len(s.conns))
	for c := range s.conns {
		conns = append(conns, c)
	}
	s.mu.Unlock()
	for _, c := range conns {
		c.drain()
	}
}

// Close stops accepting and closes all connections.
func (s *Server) Close() {
	_ = s.listener.Close()
	s.mu.Lock()
	s.shuttingDown = true
	for c := range s.conns {
		_ = c.conn.Close()
	}
	s.mu.Unlock()
	s.workers.stop()
}

// Shutdown stops accepting and closes idle connections at once. It closes the others
// when no request is in flight any more, or at the deadline. Requests that arrive just
// before Shutdown still get their response.
func (s *Server) Shutdown(deadline time.Time) {
	_ = s.listener.Close()
	s.mu.Lock()
	s.shuttingDown = true
	for c := range s.conns {
		c.closeIdle()
	}
	s.mu.Unlock()
	for s.InFlight() > 0 && time.Now().Before(deadline) {
		time.Sleep(shutdownPoll)
	}
	s.Close()
}

type serverConn struct {
	server *Server
	conn   net.Conn
	limit  *io.LimitedReader
	in     *bufio.Reader
	out    *bufio.Writer
	// slots holds a value for each request in flight, up to maxPipelined.
	slots chan struct{}

	mu sync.Mutex
	// pending is the number of requests that were read and whose response is not yet
	// written.
	pending int
	// closing is set once no further request is accepted on the connection.
	closing  bool
	draining bool
}

// newConn registers a connection. Serve calls it before the next accept, so that the
// connection limit holds.
func (s *Server) newConn(conn net.Conn) *serverConn {
	limit := &io.LimitedReader{R: conn}
	c := &serverConn{
		server: s, conn: conn, limit: limit,
		in: bufio.NewReaderSize(limit, bufferSize), out: bufio.NewWriterSize(conn, bufferSize),
		slots: make(chan struct{}, maxPipelined),
	}
	// No user timeout: it would close connections of callers that read slowly. Callers
	// that are gone are detected by keep-alive while a request runs, by writeTimeout and
	// by the idle timeout.
	setKeepAlive(conn)
	s.mu.Lock()
	c.draining = s.draining
	s.conns[c] = struct{}{}
	shuttingDown := s.shuttingDown
	s.mu.Unlock()
	if shuttingDown {
		// Accepted before the listener was closed, but registered too late for
		// Shutdown or Close to see it.
		c.closeIdle()
	}
	return c
}

func (s *Server) serve(ctx context.Context, c *serverConn) {
	c.readRequests(ctx)
	s.mu.Lock()
	delete(s.conns, c)
	s.mu.Unlock()
	_ = c.conn.Close()
}

// closeIdle closes the connection if it has no request in flight. It reports whether it
// did.
func (c *serverConn) closeIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pending > 0 || c.closing {
		return false
	}
	c.closing = true
	_ = c.conn.Close()
	return true
}

// drain closes the connection after a response that leaves no request in flight. An
// idle connection stays open for one more request, which may already be on its way.
func (c *serverConn) drain() {
	c.mu.Lock()
	c.draining = true
	c.mu.Unlock()
}

// readRequests reads requests and runs them until the connection ends. It returns when
// all handlers have returned. Their context is cancelled if the caller disconnects.
func (c *serverConn) readRequests(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var responses sync.WaitGroup
	// last is closed when the response to the last request read is written.
	last := make(chan struct{})
	close(last)
	for {
		next, err := c.readRequest(ctx)
		if err != nil {
			break
		}
		req := next.request
		c.mu.Lock()
		if c.closing {
			c.mu.Unlock()
			req.release()
			break
		}
		c.pending++
		c.mu.Unlock()
		done := make(chan struct{})
		previous := last
		last = done
		c.server.inFlight.Add(1)
		responses.Add(1)
		c.server.workers.run(func() {
			defer responses.Done()
			defer close(done)
			defer c.server.inFlight.Add(-1)
			defer req.release()
			c.respond(ctx, next, previous, cancel)
		})
		if next.last {
			c.setClosing()
			break
		}
		if next.unread == nil {
			continue
		}
		// The refusal is on its way. Reading on keeps the connection usable, and a reset
		// could destroy the refusal.
		if err = discard(next.unread, next.limit); errors.Is(err, errTooLarge) {
			c.setClosing()
		}
		if err != nil {
			break
		}
	}
	if c.isClosing() {
		responses.Wait()
		c.linger()
		return
	}
	cancel()
	responses.Wait()
}

// setClosing makes the response to the last request read the last one on the connection.
func (c *serverConn) setClosing() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closing = true
}

func (c *serverConn) isClosing() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closing
}

// incoming is a request that was read, or the rejection of one.
type incoming struct {
	request *Request
	// rejection is the response to a request that is malformed or exceeds a limit.
	rejection *Response
	// last is set if no further request can be read from the connection.
	last bool
	// unread is the rest of a body without room, of at most limit bytes.
	unread io.Reader
	limit  int64
}

func rejected(r *Request, resp *Response) incoming {
	return incoming{request: r, rejection: resp, last: true}
}

// readRequest reads one request. The error means that the connection ended.
func (c *serverConn) readRequest(ctx context.Context) (incoming, error) {
	select {
	case c.slots <- struct{}{}:
	case <-ctx.Done():
		return incoming{}, ctx.Err()
	}
	limits := c.server.limits()
	c.limit.N = int64(limits.Header)
	_ = c.conn.SetReadDeadline(c.idleDeadline(limits))
	for {
		if _, err := c.in.Peek(1); err == nil {
			break
		} else if !c.keepWaiting(err, limits) {
			return incoming{}, fmt.Errorf("wait for request: %w", err)
		}
	}
	_ = c.conn.SetReadDeadline(time.Now().Add(limits.HeaderTimeout))
	req, err := http.ReadRequest(c.in)
	if err != nil {
		if resp := c.rejectHeader(err); resp != nil {
			return rejected(nil, resp), nil
		}
		return incoming{}, fmt.Errorf("read headers: %w", err)
	}
	r := &Request{Method: req.Method, Target: req.RequestURI, Host: req.Host, Header: req.Header, Received: clock.Now()}
	if req.Body == http.NoBody || req.ContentLength == 0 {
		return incoming{request: r}, nil
	}
	c.limit.N = unlimited
	return c.readBody(ctx, r, req, limits.Body)
}

// readBody reads the body of a request, if there is room for it.
func (c *serverConn) readBody(ctx context.Context, r *Request, req *http.Request, limit int64) (incoming, error) {
	expects := req.Header.Get("Expect") != ""
	if req.ContentLength > limit {
		return rejected(r, &Response{Status: http.StatusRequestEntityTooLarge}), nil
	}
	r.room, r.NoRoom = c.server.admit(ctx, r, req.ContentLength)
	_ = c.conn.SetReadDeadline(time.Now().Add(bodyTimeout))
	if r.NoRoom != nil {
		// Without "100 Continue" the caller may or may not send the body.
		return incoming{request: r, last: expects, unread: req.Body, limit: limit}, nil
	}
	if expects {
		c.sendContinue()
	}
	var err error
	r.Body, err = readRequestBody(req.Body, req.ContentLength, limit, r.room)
	if err == nil {
		return incoming{request: r}, nil
	}
	r.release()
	r.room = nil
	switch {
	case errors.Is(err, errNoRoom):
		r.NoRoom = &NoRoom{}
		return incoming{request: r, unread: req.Body, limit: limit}, nil
	case errors.Is(err, errTooLarge):
		return rejected(r, &Response{Status: http.StatusRequestEntityTooLarge}), nil
	}
	return incoming{}, err
}

func (c *serverConn) idleDeadline(limits Limits) time.Time {
	return time.Now().Add(limits.IdleTimeout)
}

// keepWaiting reports whether to wait on for a request after an error of the read. Only a
// timeout with requests in flight qualifies: such a connection is not idle. A timeout
// without any sets closing.
func (c *serverConn) keepWaiting(err error, limits Limits) bool {
	var timeout net.Error
	if !errors.As(err, &timeout) || !timeout.Timeout() {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pending == 0 {
		c.closing = true
		return false
	}
	_ = c.conn.SetReadDeadline(c.idleDeadline(limits))
	return true
}

// rejectHeader is the response to headers that are malformed or too large. It is nil when
// the headers ended early or timed out.
func (c *serverConn) rejectHeader(err error) *Response {
	var timeout net.Error
	switch {
	case c.limit.N <= 0:
		return &Response{Status: http.StatusRequestHeaderFieldsTooLarge}
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.As(err, &timeout):
		return nil
	}
	return &Response{Status: http.StatusBadRequest}
}

// sendContinue sends "100 Continue" to a caller that waits for it with its body. It sends
// nothing while earlier responses are outstanding, which must come first.
func (c *serverConn) sendContinue() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pending == 0 {
		_, _ = c.out.WriteString("HTTP/1.1 100 Continue\r\n\r\n")
		_ = c.out.Flush()
	}
}

// respond runs the handler, unless there is a rejection, and writes the response after
// the previous one.
func (c *serverConn) respond(ctx context.Context, in incoming, previous <-chan struct{}, cancel func()) {
	resp, method := in.rejection, http.MethodGet
	if in.request != nil {
		method = in.request.Method
	}
	if resp == nil {
		resp = c.server.handle(ctx, in.request)
	}
	if resp != nil {
		size := int64(len(resp.Body)) + responseOverhead
		c.server.unwritten.Add(size)
		defer c.server.unwritten.Add(-size)
	}
	<-previous
	overLimit := c.server.overLimit()
	if resp == nil {
		cancel()
		_ = c.conn.Close()
		return
	}
	c.mu.Lock()
	last := c.pending == 1
	// While an unread body is still on its way, closing could destroy the response.
	if in.last || (last && in.unread == nil && (c.draining || resp.Close || overLimit)) {
		c.closing = true
	}
	out := *resp
	out.Close = c.closing && last
	c.mu.Unlock()
	_ = c.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	err := writeResponse(c.out, method, &out)
	c.mu.Lock()
	c.pending--
	c.mu.Unlock()
	if err != nil {
		cancel()
		_ = c.conn.Close()
		return
	}
	<-c.slots
	if out.Close {
		// Wake the reader: it waits for a request that would not be accepted.
		_ = c.conn.SetReadDeadline(time.Unix(1, 0))
	}
}

// admit asks for room for the body of a request. A panic refuses only this request.
func (s *Server) admit(ctx context.Context, r *Request, length int64) (room Room, none *NoRoom) {
	if s.Intake == nil {
		return nil, nil
	}
	defer func() {
		if value := recover(); value != nil {
			if s.OnPanic != nil {
				s.OnPanic(value, debug.Stack())
			}
			room, none = nil, &NoRoom{}
		}
	}()
	return s.Intake.Admit(ctx, r, length)
}

// handle runs the handler. A panic ends only this request.
func (s *Server) handle(ctx context.Context, req *Request) (resp *Response) {
	defer func() {
		if value := recover(); value != nil {
			if s.OnPanic != nil {
				s.OnPanic(value, debug.Stack())
			}
			resp = &Response{Status: http.StatusBadGateway}
		}
	}()
	return s.handler(ctx, req)
}

// linger half-closes the connection and discards what the caller still sends, for up
// to lingerTimeout.
func (c *serverConn) linger() {
	if tcp, ok := c.conn.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
	}
	_ = c.conn.SetReadDeadline(time.Now().Add(lingerTimeout))
	_, _ = io.Copy(io.Discard, c.conn)
}
