package httpconn_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"chestnutshed.example/chestnutshed/internal/traffic/httpconn"
	"github.com/matryer/is"
)

const patience = 5 * time.Second

func limits() httpconn.Limits {
	return httpconn.Limits{Header: 1 << 10, Body: 1 << 10, HeaderTimeout: time.Second, IdleTimeout: patience, Connections: 8}
}

func serve(t *testing.T, h httpconn.Handler) *httpconn.Server {
	t.Helper()
	s, err := httpconn.Listen("127.0.0.1:0", limits, h)
	is.New(t).NoErr(err)
	go func() { _ = s.Serve(context.Background()) }()
	t.Cleanup(s.Close)
	return s
}

func dial(t *testing.T, address string) (net.Conn, *bufio.Reader) {
	t.Helper()
	c, err := net.Dial("tcp", address)
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(patience))
	return c, bufio.NewReader(c)
}

func read(t *testing.T, in *bufio.Reader) (*http.Response, string) {
	t.Helper()
	resp, err := http.ReadResponse(in, nil)
	is.New(t).NoErr(err)
	body, err := io.ReadAll(resp.Body)
	is.New(t).NoErr(err)
	return resp, string(body)
}

// Requests sent ahead run at once and are answered in their order.
func TestPipeline(t *testing.T) {
	is := is.New(t)
	second := make(chan struct{})
	s := serve(t, func(_ context.Context, r *httpconn.Request) *httpconn.Response {
		if r.Target == "/1" {
			<-second
		} else {
			close(second)
		}
		return &httpconn.Response{Status: 200, Body: []byte(r.Target)}
	})
	c, in := dial(t, s.Address())
	_, _ = io.WriteString(c, "GET /1 HTTP/1.1\r\nHost: h\r\n\r\nGET /2 HTTP/1.1\r\nHost: h\r\n\r\n")
	_, body := read(t, in)
	is.Equal(body, "/1")
	_, body = read(t, in)
	is.Equal(body, "/2")
}

// A caller that closes its connection ends the context of its requests.
func TestCallerLeaves(t *testing.T) {
	is := is.New(t)
	started, left := make(chan struct{}), make(chan struct{})
	s := serve(t, func(ctx context.Context, _ *httpconn.Request) *httpconn.Response {
		close(started)
		<-ctx.Done()
		close(left)
		return nil
	})
	c, _ := dial(t, s.Address())
	_, _ = io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	<-started
	_ = c.Close()
	select {
	case <-left:
	case <-time.After(patience):
		is.Fail() // the close was not seen
	}
}

func TestRefusals(t *testing.T) {
	s := serve(t, func(context.Context, *httpconn.Request) *httpconn.Response {
		return &httpconn.Response{Status: 200}
	})
	for _, test := range []struct {
		name, text string
		status     int
	}{
		{"headers too large", "GET / HTTP/1.1\r\nHost: h\r\nX: " + strings.Repeat("x", 8<<10) + "\r\n\r\n", 431},
		{"body too large", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5000\r\n\r\n", 413},
		{"chunks too large", "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n600\r\n" + strings.Repeat("x", 0x600) + "\r\n0\r\n\r\n", 413},
		{"malformed", "nonsense\r\n\r\n", 400},
		{"two lengths", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab", 400},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			c, in := dial(t, s.Address())
			_, _ = io.WriteString(c, test.text)
			resp, _ := read(t, in)
			is.Equal(resp.StatusCode, test.status)
			is.True(resp.Close)
		})
	}
}

// After Drain, an open connection gets its answers, the last of which closes
// it, and an idle one still serves its next request.
func TestDrain(t *testing.T) {
	is := is.New(t)
	started, end := make(chan struct{}, 2), make(chan struct{})
	s := serve(t, func(_ context.Context, r *httpconn.Request) *httpconn.Response {
		if r.Target == "/slow" {
			started <- struct{}{}
			<-end
		}
		return &httpconn.Response{Status: 200}
	})
	idle, idleIn := dial(t, s.Address())
	_, _ = io.WriteString(idle, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	resp, _ := read(t, idleIn)
	is.True(!resp.Close)
	busy, busyIn := dial(t, s.Address())
	_, _ = io.WriteString(busy, "GET /slow HTTP/1.1\r\nHost: h\r\n\r\nGET /slow HTTP/1.1\r\nHost: h\r\n\r\n")
	<-started
	<-started
	s.Drain()
	close(end)
	resp, _ = read(t, busyIn)
	is.Equal(resp.StatusCode, 200)
	resp, _ = read(t, busyIn)
	is.True(resp.Close)
	_, _ = io.WriteString(idle, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	resp, _ = read(t, idleIn)
	is.Equal(resp.StatusCode, 200)
	is.True(resp.Close)
}

// script is a server that answers each connection's requests with given bytes,
// then closes it or holds it open.
func script(t *testing.T, hold bool, answers ...string) (string, *atomic.Int32) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = l.Close() })
	conns := &atomic.Int32{}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			conns.Add(1)
			go func() {
				defer func() { _ = c.Close() }()
				in := bufio.NewReader(c)
				for _, a := range answers {
					req, err := http.ReadRequest(in)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, req.Body)
					_, _ = io.WriteString(c, a)
				}
				if hold {
					_, _ = io.Copy(io.Discard, in)
				}
			}()
		}
	}()
	return l.Addr().String(), conns
}

func answer(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nID: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

func pool(address string) *httpconn.Pool {
	return httpconn.NewPool(address, httpconn.Options{
		DialTimeout: time.Second, MaxIdle: 4, MaxBody: 1 << 10,
		Match: func(r *httpconn.Request, h http.Header) bool {
			return h.Get("ID") == "" || h.Get("ID") == r.Header.Get("ID")
		},
	})
}

func get(id string) *httpconn.Request {
	return &httpconn.Request{Method: "GET", Target: "/", Host: "h", Header: http.Header{"Id": {id}}}
}

func TestAnswers(t *testing.T) {
	for _, test := range []struct {
		name    string
		answers []string
		body    string
		wrong   bool
		// conns is the number of connections that two exchanges take.
		conns int32
	}{
		{"plain", []string{answer("1", "a"), answer("2", "b")}, "a", false, 1},
		{"bytes after the answer", []string{answer("1", "a") + answer("1", "a"), answer("2", "b")}, "a", false, 2},
		{"answer to another request first", []string{answer("0", "x") + answer("1", "a")}, "a", false, 2},
		{"cut short", []string{"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nab"}, "", true, 2},
		{"no answer", []string{"\r\n\r\n"}, "", true, 2},
		{"interim answer first", []string{"HTTP/1.1 103 Early Hints\r\n\r\n" + answer("1", "a"), answer("2", "b")}, "a", false, 1},
		{"over the limit", []string{answer("1", strings.Repeat("x", 2<<10))}, "", true, 2},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			address, conns := script(t, !test.wrong, test.answers...)
			p := pool(address)
			ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
			defer cancel()
			resp, err := p.Do(ctx, get("1"), httpconn.Reuse{})
			if test.wrong {
				is.True(err != nil)
				is.True(!errors.Is(err, httpconn.ErrNotSent))
				return
			}
			is.NoErr(err)
			is.Equal(string(resp.Body), test.body)
			time.Sleep(20 * time.Millisecond)
			_, _ = p.Do(ctx, get("2"), httpconn.Reuse{})
			is.Equal(conns.Load(), test.conns)
		})
	}
}

func TestNotSent(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	address := l.Addr().String()
	_ = l.Close()
	_, err = pool(address).Do(context.Background(), get("1"), httpconn.Reuse{})
	is.True(errors.Is(err, httpconn.ErrNotSent))
}

// An idle connection that the other end has closed is not used again.
func TestClosedWhileIdle(t *testing.T) {
	is := is.New(t)
	closed := make(chan struct{})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for n := 0; ; n++ {
			c, err := l.Accept()
			if err != nil {
				return
			}
			in := bufio.NewReader(c)
			if _, err := http.ReadRequest(in); err != nil {
				continue
			}
			_, _ = io.WriteString(c, answer("", "x"))
			_ = c.Close()
			if n == 0 {
				close(closed)
			}
		}
	}()
	p := pool(l.Addr().String())
	_, err = p.Do(context.Background(), get("1"), httpconn.Reuse{})
	is.NoErr(err)
	<-closed
	time.Sleep(20 * time.Millisecond)
	_, err = p.Do(context.Background(), get("2"), httpconn.Reuse{})
	is.NoErr(err)
	is.Equal(p.Dials(), uint64(2))
}

// A connection that the other end has forgotten without notice costs a request
// that can be repeated a fresh connection, and others one failure: afterwards
// connections that rested as long are not used.
func TestForgottenWhileIdle(t *testing.T) {
	const rest = 120 * time.Millisecond
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go forget(c, rest)
		}
	}()
	for _, again := range []bool{true, false} {
		p := pool(l.Addr().String())
		failed := 0
		for range 6 {
			if _, err := p.Do(context.Background(), get("1"), httpconn.Reuse{Retry: again}); err != nil {
				failed++
			}
			time.Sleep(rest * 3 / 2)
		}
		if again {
			is.Equal(failed, 0)
		} else {
			is.Equal(failed, 1)
		}
	}
}

// A request that comes just before a server finishes gets its whole answer; an
// idle connection ends at once, and nothing is waited for without end.
func TestFinish(t *testing.T) {
	is := is.New(t)
	entered, release := make(chan struct{}), make(chan struct{})
	s := serve(t, func(context.Context, *httpconn.Request) *httpconn.Response {
		close(entered)
		<-release
		return &httpconn.Response{Status: 200, Body: []byte("whole")}
	})
	busy, err := net.Dial("tcp", s.Address())
	is.NoErr(err)
	idle, err := net.Dial("tcp", s.Address())
	is.NoErr(err)
	_, err = io.WriteString(busy, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	is.NoErr(err)
	<-entered
	finished := make(chan struct{})
	go func() {
		s.Shutdown(time.Now().Add(5 * time.Second))
		close(finished)
	}()
	_ = idle.SetReadDeadline(time.Now().Add(time.Second))
	_, err = idle.Read(make([]byte, 1))
	is.True(err != nil && !errors.Is(err, os.ErrDeadlineExceeded))
	close(release)
	resp, err := http.ReadResponse(bufio.NewReader(busy), nil)
	is.NoErr(err)
	body, err := io.ReadAll(resp.Body)
	is.NoErr(err)
	is.Equal(string(body), "whole")
	<-finished
}

// A request that went out on a forgotten connection doesn't count as not sent,
// also when there is no fresh connection for its second try.
func TestForgottenAndGone(t *testing.T) {
	const rest = 120 * time.Millisecond
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		_ = l.Close()
		forget(c, rest)
	}()
	p := pool(l.Addr().String())
	_, err = p.Do(context.Background(), get("1"), httpconn.Reuse{})
	is.NoErr(err)
	time.Sleep(rest * 3 / 2)
	_, err = p.Do(context.Background(), get("1"), httpconn.Reuse{Retry: true})
	is.True(err != nil)
	is.True(!errors.Is(err, httpconn.ErrNotSent))
}

// forget answers requests, and resets those that come after a rest.
func forget(c net.Conn, rest time.Duration) {
	in, last := bufio.NewReader(c), time.Now()
	for {
		if _, err := http.ReadRequest(in); err != nil {
			return
		}
		if time.Since(last) > rest {
			_ = c.(*net.TCPConn).SetLinger(0)
			_ = c.Close()
			return
		}
		_, _ = io.WriteString(c, answer("", "x"))
		last = time.Now()
	}
}

// Callers that come back on a new connection each time don't use up the
// descriptors: answers close their connections once there are many, and idle
// ones make room.
func TestManyConnections(t *testing.T) {
	is := is.New(t)
	s := serve(t, func(context.Context, *httpconn.Request) *httpconn.Response {
		return &httpconn.Response{Status: 200}
	})
	closed := 0
	for range 40 {
		c, in := dial(t, s.Address())
		_, _ = io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		resp, _ := read(t, in)
		is.Equal(resp.StatusCode, 200)
		if resp.Close {
			closed++
		}
	}
	is.True(closed >= 24)
	var idle []net.Conn
	for range 40 {
		c, _ := dial(t, s.Address())
		idle = append(idle, c)
	}
	open := len(idle)
	for range 200 { // until all are accepted, on a busy machine too
		if open = stillOpen(idle); open <= 20 {
			break
		}
	}
	is.True(open <= 20)
}

// stillOpen counts the connections that the other end has not closed.
func stillOpen(conns []net.Conn) int {
	open := 0
	for _, c := range conns {
		_ = c.SetReadDeadline(time.Now().Add(time.Millisecond))
		if _, err := c.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
			open++
		}
	}
	return open
}

// A body of unknown length that is cut is an error, whatever its size: only the last
// chunk ends it.
func TestCutChunks(t *testing.T) {
	for _, size := range []int{0, 1, 4 << 10, 64 << 10, 100 << 10} {
		for _, whole := range []bool{true, false} {
			t.Run(fmt.Sprint(size, whole), func(t *testing.T) {
				is := is.New(t)
				l, err := net.Listen("tcp", "127.0.0.1:0")
				is.NoErr(err)
				t.Cleanup(func() { _ = l.Close() })
				go func() {
					c, err := l.Accept()
					if err != nil {
						return
					}
					defer func() { _ = c.Close() }()
					_, _ = http.ReadRequest(bufio.NewReader(c))
					text := "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
					if size > 0 {
						text += fmt.Sprintf("%x\r\n%s\r\n", size, strings.Repeat("x", size))
					}
					if whole {
						text += "0\r\n\r\n"
					}
					_, _ = io.WriteString(c, text)
				}()
				p := httpconn.NewPool(l.Addr().String(), httpconn.Options{DialTimeout: time.Second, MaxBody: 1 << 20, Budget: httpconn.NewBudget(1 << 20)})
				ctx, cancel := context.WithTimeout(context.Background(), patience)
				defer cancel()
				resp, err := p.Do(ctx, &httpconn.Request{Method: "GET", Target: "/", Host: "h"}, httpconn.Reuse{})
				is.Equal(err == nil, whole)
				if whole {
					is.Equal(len(resp.Body), size)
				}
			})
		}
	}
}
