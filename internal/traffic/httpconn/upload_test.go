package httpconn_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"chestnutshed.example/chestnutshed/internal/traffic/httpconn"
	"github.com/matryer/is"
)

// unsized hides the length of a body, so that it is sent in chunks.
type unsized struct{ io.Reader }

// serveUploads returns a server with a limit for each request body and a budget for all, in
// bytes.
func serveUploads(t *testing.T, limit, budget int64, h httpconn.Handler) *httpconn.Server {
	t.Helper()
	s, err := httpconn.Listen("127.0.0.1:0", func() httpconn.Limits {
		return httpconn.Limits{Header: 16 << 10, Body: limit, HeaderTimeout: time.Second, IdleTimeout: timeout}
	}, h)
	is.New(t).NoErr(err)
	s.Budget = httpconn.NewBudget(budget)
	go func() { _ = s.Serve(context.Background()) }()
	t.Cleanup(s.Close)
	return s
}

// Request bodies had no bound but the limit for each, and several at once took a node over
// its memory limit. Those that exceed the budget are now read and dropped, and their
// connections stay usable.
func TestRequestBodiesBounded(t *testing.T) {
	t.Parallel()
	const limit, clients = 2 << 20, 8
	for _, test := range []struct {
		name    string
		size    int
		budget  int64
		chunked bool
		// whole is whether no body is dropped.
		whole bool
	}{
		{"small", 60 << 10, 0, false, true},
		{"small, chunked", 60 << 10, 0, true, true},
		{"large", limit, 5 << 20, false, false},
		{"large, chunked", limit, 5 << 20, true, false},
		{"medium, chunked", 300 << 10, 20 << 20, true, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			var whole, dropped atomic.Int64
			s := serveUploads(t, limit, test.budget, func(_ context.Context, r *httpconn.Request) *httpconn.Response {
				if r.Discarded {
					dropped.Add(1)
					return &httpconn.Response{Status: http.StatusServiceUnavailable}
				}
				whole.Add(1)
				time.Sleep(200 * time.Millisecond) // the body is held meanwhile
				return &httpconn.Response{Status: http.StatusOK, Body: []byte(fmt.Sprint(len(r.Body), bytes.Count(r.Body, []byte("x"))))}
			})

			var group sync.WaitGroup
			for range clients {
				group.Go(func() {
					transport := &http.Transport{}
					defer transport.CloseIdleConnections()
					for range 3 {
						var body io.Reader = strings.NewReader(strings.Repeat("x", test.size))
						if test.chunked {
							body = unsized{body}
						}
						req, err := http.NewRequest(http.MethodPost, "http://"+s.Address(), body)
						is.NoErr(err)
						resp, err := transport.RoundTrip(req)
						is.NoErr(err)
						got, err := io.ReadAll(resp.Body)
						is.NoErr(err)
						if resp.StatusCode == http.StatusOK {
							is.Equal(string(got), fmt.Sprint(test.size, test.size))
						}
						is.True(!resp.Close)
					}
				})
			}
			group.Wait()
			is.Equal(whole.Load()+dropped.Load(), int64(3*clients))
			is.True(whole.Load() > 0)
			is.Equal(dropped.Load() == 0, test.whole)
			waitUsed(t, s.Budget, 0, 0)
		})
	}
}

// waitUsed waits until between least and most bytes of a budget are used.
func waitUsed(t *testing.T, b *httpconn.Budget, least, most int64) {
	t.Helper()
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if used := b.Used(); used >= least && used <= most {
			return
		}
	}
	t.Errorf("%d bytes used, not %d to %d", b.Used(), least, most)
}

// A body that is cut off gives its memory back.
func TestRequestBudgetReleased(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	const size = 1 << 20
	s := serveUploads(t, size, 4*size, func(context.Context, *httpconn.Request) *httpconn.Response {
		return &httpconn.Response{Status: http.StatusOK}
	})
	for _, head := range []string{
		fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", size),
		"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n80000\r\n",
	} {
		c, _ := dial(t, s.Address())
		_, err := io.WriteString(c, head+strings.Repeat("x", size/2))
		is.NoErr(err)
		waitUsed(t, s.Budget, size/2, 2*size)
		is.NoErr(c.Close())
		waitUsed(t, s.Budget, 0, 0)
	}
}

// A body that is dropped kept what it had taken of the budget until its last byte was in.
func TestDroppedBodyReleasesBudget(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	const limit = 1 << 20
	s := serveUploads(t, limit, limit/2, func(_ context.Context, r *httpconn.Request) *httpconn.Response {
		return &httpconn.Response{Status: http.StatusOK, Body: []byte(fmt.Sprint(r.Discarded))}
	})
	c, in := dial(t, s.Address())
	// The budget has room for the first buffers only.
	_, err := io.WriteString(c, "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n80000\r\n"+strings.Repeat("x", limit/2)+"\r\n")
	is.NoErr(err)
	time.Sleep(200 * time.Millisecond)
	waitUsed(t, s.Budget, 0, 0)
	_, err = io.WriteString(c, "0\r\n\r\n")
	is.NoErr(err)
	resp, body := read(t, in)
	is.Equal(resp.StatusCode, http.StatusOK)
	is.Equal(body, "true")
}
