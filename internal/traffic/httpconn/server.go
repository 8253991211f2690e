package httpconn

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"chestnutshed.example/chestnutshed/internal/core/clock"
)

const (
	// ahead is the number of requests read from a connection before the first
	// of them is answered.
	ahead = 32
	// bodyTimeout bounds the time to send a whole body once its headers are in.
	bodyTimeout = 20 * time.Second
	// writeTimeout bounds the time that a caller takes to read an answer.
	writeTimeout = 20 * time.Second
	// lingerTimeout is how long a closed connection is read on, so that its
	// last answer is not lost to a reset.
	lingerTimeout = 500 * time.Millisecond
	// acceptPause is the time to the next try after a failed accept.
	acceptPause = 10 * time.Millisecond
	// finishPoll is the time between looks whether all requests are answered.
	finishPoll = 5 * time.Millisecond
	// bufferSize is the size of a connection's buffers, in bytes: most requests
	// fit into one.
	bufferSize = 2 << 10
)

// Handler answers one request. It returns nil to close the connection. The
// context ends when the caller has gone.
type Handler func(ctx context.Context, r *Request) *Response

// Limits bound what a caller may send.
type Limits struct {
	Header        int
	Body          int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
	// Connections is the number of open connections from which answers close
	// theirs; at twice that, idle ones are closed for new ones. 0 is no limit.
	Connections int
}

// Server accepts connections on one address.
type Server struct {
	listener net.Listener
	handler  Handler
	limits   func() Limits
	// OnError hears of errors that are no caller's; set it before Serve.
	OnError func(error)

	mu       sync.Mutex
	conns    map[*serverConn]struct{}
	draining bool
	// finishing is set once idle connections are closed.
	finishing bool
	busy      atomic.Int64
	workers   workers
}

// Listen opens a server. Limits is asked for each request.
func Listen(address string, limits func() Limits, h Handler) (*Server, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w", address, err)
	}
	return &Server{listener: l, handler: h, limits: limits, conns: map[*serverConn]struct{}{}}, nil
}

// Address is the address that the server listens on.
func (s *Server) Address() string { return s.listener.Addr().String() }

// InFlight is the number of requests that have no answer yet.
func (s *Server) InFlight() int { return int(s.busy.Load()) }

// Serve accepts connections until Close. It returns nil after Close.
func (s *Server) Serve(ctx context.Context) error {
	for {
		c, err := s.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			// Out of descriptors, most likely: others will be given back.
			if s.OnError != nil {
				s.OnError(fmt.Errorf("accept connection: %w", err))
			}
			time.Sleep(acceptPause)
			continue
		}
		s.makeRoom()
		conn := s.open(c)
		go s.serve(ctx, conn)
	}
}

// looked bounds the connections looked at for an idle one to close.
const looked = 64

// makeRoom closes an idle connection when there are too many.
func (s *Server) makeRoom() {
	most := 2 * s.limits().Connections
	s.mu.Lock()
	defer s.mu.Unlock()
	if most == 0 || len(s.conns) < most {
		return
	}
	n := 0
	for c := range s.conns {
		if n++; n > looked {
			return
		}
		if c.closeIdle() {
			return
		}
	}
}

// crowded reports whether answers should close their connections.
func (s *Server) crowded() bool {
	most := s.limits().Connections
	s.mu.Lock()
	defer s.mu.Unlock()
	return most > 0 && len(s.conns) > most
}

// Drain makes every answer from now on close its connection.
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

// Close stops accepting and ends all connections.
func (s *Server) Close() {
	_ = s.listener.Close()
	s.mu.Lock()
	s.finishing = true
	for c := range s.conns {
		_ = c.conn.Close()
	}
	s.mu.Unlock()
	s.workers.stop()
}

// Shutdown stops accepting, ends the connections without a request at once, and
// the others when their requests are answered or the time is over. What came in
// since the server seemed idle is answered.
func (s *Server) Shutdown(until time.Time) {
	_ = s.listener.Close()
	s.mu.Lock()
	s.finishing = true
	for c := range s.conns {
		c.closeIdle()
	}
	s.mu.Unlock()
	for s.InFlight() > 0 && time.Now().Before(until) {
		time.Sleep(finishPoll)
	}
	s.Close()
}

type serverConn struct {
	server *Server
	conn   net.Conn
	limit  *io.LimitedReader
	in     *bufio.Reader
	out    *bufio.Writer
	slots  chan struct{}

	mu sync.Mutex
	// open is the number of requests read and not yet answered.
	open int
	// closing is set once no further request is taken from the connection.
	closing  bool
	draining bool
}

// open counts a connection before the next one is accepted.
func (s *Server) open(conn net.Conn) *serverConn {
	limit := &io.LimitedReader{R: conn}
	c := &serverConn{
		server: s, conn: conn, limit: limit,
		in: bufio.NewReaderSize(limit, bufferSize), out: bufio.NewWriterSize(conn, bufferSize),
		slots: make(chan struct{}, ahead),
	}
	tune(conn)
	s.mu.Lock()
	c.draining = s.draining
	s.conns[c] = struct{}{}
	finishing := s.finishing
	s.mu.Unlock()
	if finishing {
		// Accepted before the listener closed, and not seen among the idle ones.
		c.closeIdle()
	}
	return c
}

func (s *Server) serve(ctx context.Context, c *serverConn) {
	c.read(ctx)
	s.mu.Lock()
	delete(s.conns, c)
	s.mu.Unlock()
	_ = c.conn.Close()
}

// closeIdle closes the connection unless it has a request without an answer.
func (c *serverConn) closeIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.open > 0 || c.closing {
		return false
	}
	c.closing = true
	_ = c.conn.Close()
	return true
}

// drain lets the next answer close the connection. An idle one stays open
// until its next request, so that none is lost on its way.
func (c *serverConn) drain() {
	c.mu.Lock()
	c.draining = true
	c.mu.Unlock()
}

// read takes requests off the connection until it ends. It returns when all
// requests read are answered or the caller has gone.
func (c *serverConn) read(ctx context.Context) {
	ctx, gone := context.WithCancel(ctx)
	defer gone()
	var answers sync.WaitGroup
	turn := make(chan struct{})
	close(turn)
	for {
		req, refusal, err := c.next(ctx)
		if refusal == nil && err != nil {
			break
		}
		c.mu.Lock()
		if c.closing {
			c.mu.Unlock()
			break
		}
		c.open++
		c.mu.Unlock()
		mine := make(chan struct{})
		before := turn
		turn = mine
		c.server.busy.Add(1)
		answers.Add(1)
		c.server.workers.run(func() {
			defer answers.Done()
			defer close(mine)
			defer c.server.busy.Add(-1)
			c.answer(ctx, req, refusal, before, gone)
		})
		if refusal != nil {
			break
		}
	}
	if c.isClosing() {
		answers.Wait()
		c.linger()
		return
	}
	gone()
	answers.Wait()
}

func (c *serverConn) isClosing() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closing
}

// next reads one request. It returns a refusal for one that breaks a limit.
func (c *serverConn) next(ctx context.Context) (*Request, *Response, error) {
	select {
	case c.slots <- struct{}{}:
	case <-ctx.Done():
		return nil, nil, ctx.Err()
	}
	limits := c.server.limits()
	c.limit.N = int64(limits.Header)
	_ = c.conn.SetReadDeadline(c.idleDeadline(limits))
	for {
		if _, err := c.in.Peek(1); err == nil {
			break
		} else if !c.waitOn(err, limits) {
			return nil, nil, fmt.Errorf("wait for request: %w", err)
		}
	}
	_ = c.conn.SetReadDeadline(time.Now().Add(limits.HeaderTimeout))
	req, err := http.ReadRequest(c.in)
	if err != nil {
		return nil, c.refuseHead(err), err
	}
	r := &Request{Method: req.Method, Target: req.RequestURI, Host: req.Host, Header: req.Header, Received: clock.Now()}
	if req.Body == http.NoBody || req.ContentLength == 0 {
		return r, nil, nil
	}
	c.limit.N = unlimited
	if req.Header.Get("Expect") != "" {
		c.sayContinue()
	}
	_ = c.conn.SetReadDeadline(time.Now().Add(bodyTimeout))
	r.Body, err = readBody(req.Body, req.ContentLength, limits.Body, nil)
	if errors.Is(err, errTooLarge) {
		return r, &Response{Status: http.StatusRequestEntityTooLarge}, err
	}
	return r, nil, err
}

func (c *serverConn) idleDeadline(limits Limits) time.Time {
	return time.Now().Add(limits.IdleTimeout)
}

// waitOn reports whether to go on waiting for a request: a connection with
// unanswered requests is not idle.
func (c *serverConn) waitOn(err error, limits Limits) bool {
	var timeout net.Error
	if !errors.As(err, &timeout) || !timeout.Timeout() {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.open == 0 {
		c.closing = true
		return false
	}
	_ = c.conn.SetReadDeadline(c.idleDeadline(limits))
	return true
}

// refuseHead is the answer to headers that are malformed or too large.
func (c *serverConn) refuseHead(err error) *Response {
	var timeout net.Error
	switch {
	case c.limit.N <= 0:
		return &Response{Status: http.StatusRequestHeaderFieldsTooLarge}
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.As(err, &timeout):
		return nil
	}
	return &Response{Status: http.StatusBadRequest}
}

// sayContinue asks for the body of a caller that waits to be asked, unless
// earlier answers are still to come.
func (c *serverConn) sayContinue() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.open == 0 {
		_, _ = c.out.WriteString("HTTP/1.1 100 Continue\r\n\r\n")
		_ = c.out.Flush()
	}
}

// answer runs the handler and writes its response once all earlier ones are
// written.
func (c *serverConn) answer(ctx context.Context, req *Request, refusal *Response, before <-chan struct{}, gone func()) {
	resp, method := refusal, http.MethodGet
	if req != nil {
		method = req.Method
	}
	if resp == nil {
		resp = c.server.handler(ctx, req)
	}
	<-before
	crowded := c.server.crowded()
	if resp == nil {
		gone()
		_ = c.conn.Close()
		return
	}
	c.mu.Lock()
	c.open--
	if refusal != nil {
		c.closing = true
	}
	if c.open == 0 && (c.draining || resp.Close || crowded) {
		c.closing = true
	}
	out := *resp
	out.Close = c.closing && c.open == 0
	c.mu.Unlock()
	_ = c.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	if err := writeResponse(c.out, method, &out); err != nil {
		gone()
		_ = c.conn.Close()
		return
	}
	<-c.slots
	if out.Close {
		// Wakes the reader, which waits for a request that will not be taken.
		_ = c.conn.SetReadDeadline(time.Unix(1, 0))
	}
}

// linger half-closes the connection and reads what is still under way, so that
// the last answer reaches the caller.
func (c *serverConn) linger() {
	if half, ok := c.conn.(*net.TCPConn); ok {
		_ = half.CloseWrite()
	}
	_ = c.conn.SetReadDeadline(time.Now().Add(lingerTimeout))
	_, _ = io.Copy(io.Discard, c.conn)
}
