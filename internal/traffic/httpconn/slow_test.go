package httpconn_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"chestnutshed.example/chestnutshed/internal/traffic/httpconn"
	"github.com/matryer/is"
	"golang.org/x/sys/unix"
)

// readerPause is how long slow readers stop reading, longer than the TCP user timeout.
const readerPause = 4 * time.Second

// smallBuffer is the receive buffer of slow readers, in bytes.
const smallBuffer = 4096

// dropSegments makes a socket discard all segments that arrive, as if they were lost.
func dropSegments(t *testing.T, conn net.Conn) {
	t.Helper()
	raw, err := conn.(syscall.Conn).SyscallConn()
	is.New(t).NoErr(err)
	drop := []unix.SockFilter{{Code: unix.BPF_RET | unix.BPF_K, K: 0}}
	var optErr error
	is.New(t).NoErr(raw.Control(func(fd uintptr) {
		optErr = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &unix.SockFprog{Len: uint16(len(drop)), Filter: &drop[0]})
	}))
	is.New(t).NoErr(optErr)
}

func dialSmall(t *testing.T, address string) (net.Conn, *bufio.Reader) {
	t.Helper()
	d := net.Dialer{Control: func(_, _ string, conn syscall.RawConn) error {
		return conn.Control(func(fd uintptr) { _ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, smallBuffer) })
	}}
	c, err := d.Dial("tcp", address)
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(readerPause + timeout))
	return c, bufio.NewReaderSize(c, 512)
}

// A caller that stops reading for some seconds lost the rest of its response: its
// connection was reset after 1.5 s.
func TestSlowReaderGetsWholeResponse(t *testing.T) {
	t.Parallel()
	s := serve(t, func(_ context.Context, r *httpconn.Request) *httpconn.Response {
		size, _ := strconv.Atoi(strings.TrimPrefix(r.Target, "/"))
		return &httpconn.Response{Status: http.StatusOK, Body: make([]byte, size)}
	})
	for _, size := range []int{30_000, 90_000, 8 << 20} {
		t.Run(strconv.Itoa(size), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			c, in := dialSmall(t, s.Address())
			_, err := io.WriteString(c, "GET /"+strconv.Itoa(size)+" HTTP/1.1\r\nHost: h\r\n\r\n")
			is.NoErr(err)
			resp, err := http.ReadResponse(in, nil)
			is.NoErr(err)
			time.Sleep(readerPause)
			n, err := io.Copy(io.Discard, resp.Body)
			is.NoErr(err)
			is.Equal(int(n), size)
		})
	}
}

// A planned stop waits for callers that read slowly.
func TestShutdownWaitsForSlowReader(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	const size = 8 << 20
	s := serve(t, func(context.Context, *httpconn.Request) *httpconn.Response {
		return &httpconn.Response{Status: http.StatusOK, Body: make([]byte, size)}
	})
	c, in := dialSmall(t, s.Address())
	_, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	is.NoErr(err)
	resp, err := http.ReadResponse(in, nil)
	is.NoErr(err)
	s.Drain()
	go s.Shutdown(time.Now().Add(readerPause + timeout))
	time.Sleep(readerPause)
	n, err := io.Copy(io.Discard, resp.Body)
	is.NoErr(err)
	is.Equal(int(n), size)
}

// A target that stops reading a request body for some seconds got only a part of it: the
// connection was reset after 1.5 s.
func TestSlowTargetGetsWholeBody(t *testing.T) {
	t.Parallel()
	for _, size := range []int{8_000, 90_000, 8 << 20} {
		t.Run(strconv.Itoa(size), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			config := net.ListenConfig{Control: func(_, _ string, conn syscall.RawConn) error {
				return conn.Control(func(fd uintptr) { _ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, smallBuffer) })
			}}
			l, err := config.Listen(context.Background(), "tcp", "127.0.0.1:0")
			is.NoErr(err)
			defer func() { _ = l.Close() }()
			received := make(chan int64, 1)
			go func() {
				c, err := l.Accept()
				if err != nil {
					return
				}
				defer func() { _ = c.Close() }()
				r, err := http.ReadRequest(bufio.NewReaderSize(c, 512))
				if err != nil {
					return
				}
				time.Sleep(readerPause)
				n, _ := io.Copy(io.Discard, r.Body)
				received <- n
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
			}()
			p := httpconn.NewPool(l.Addr().String(), httpconn.Options{DialTimeout: time.Second, MaxIdle: 1, MaxBody: 1 << 10})
			ctx, cancel := context.WithTimeout(context.Background(), readerPause+timeout)
			defer cancel()
			resp, err := p.Do(ctx, &httpconn.Request{Method: "POST", Target: "/", Host: "h", Header: http.Header{}, Body: make([]byte, size)}, httpconn.Reuse{})
			is.NoErr(err)
			is.Equal(resp.Status, http.StatusOK)
			is.Equal(<-received, int64(size))
		})
	}
}

// routeTimeout is the timeout of the route of a request to an unreachable peer.
const routeTimeout = 6 * time.Second

// A peer whose segments are lost is detected well before the request's timeout. If its
// window was closed before, the request's timeout ends the wait.
func TestUnreachablePeerDetected(t *testing.T) {
	t.Parallel()
	for _, test := range []struct {
		name string
		size int
		// pause is how long the peer acknowledges but does not read.
		pause time.Duration
		bound time.Duration
	}{
		{"small request", 100, 0, 3 * time.Second},
		{"large request", 1 << 20, 0, 3 * time.Second},
		{"window closed before", 1 << 20, 2 * time.Second, routeTimeout},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			l, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			defer func() { _ = l.Close() }()
			gone := make(chan time.Time, 1)
			p := httpconn.NewPool(l.Addr().String(), httpconn.Options{DialTimeout: time.Second, MaxIdle: 1, MaxBody: 1 << 10})
			go func() {
				c, err := l.Accept()
				if err != nil {
					return
				}
				t.Cleanup(func() { _ = c.Close() })
				time.Sleep(test.pause)
				dropSegments(t, c)
				gone <- time.Now()
			}()
			ctx, cancel := context.WithTimeout(context.Background(), routeTimeout)
			defer cancel()
			wait := make(chan time.Time, 1)
			_, err = p.Do(ctx, &httpconn.Request{Method: "POST", Target: "/", Host: "h", Header: http.Header{}, Body: make([]byte, test.size)}, httpconn.Reuse{OnSend: func() {
				if test.pause == 0 {
					wait <- <-gone // the peer is gone before anything is sent
				}
			}})
			is.True(err != nil)
			if test.pause != 0 {
				wait <- <-gone
			}
			took := time.Since(<-wait)
			t.Log(took, err)
			is.True(took < test.bound)
		})
	}
}

// The request of a caller whose segments are lost is cancelled within seconds.
func TestUnreachableCallerCancelsRequest(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	cancelled := make(chan time.Time, 1)
	started := make(chan struct{})
	s := serve(t, func(ctx context.Context, _ *httpconn.Request) *httpconn.Response {
		close(started)
		<-ctx.Done()
		cancelled <- time.Now()
		return nil
	})
	c, _ := dial(t, s.Address())
	_, _ = io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	<-started
	dropSegments(t, c)
	began := time.Now()
	select {
	case at := <-cancelled:
		t.Log(at.Sub(began))
		is.True(at.Sub(began) < timeout)
	case <-time.After(2 * timeout):
		is.Fail() // the context was not cancelled
	}
}
