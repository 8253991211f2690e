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

	"chestnutshed.example/chestnutshed/internal/policy/intake"
	"chestnutshed.example/chestnutshed/internal/traffic/bodies"
	"chestnutshed.example/chestnutshed/internal/traffic/httpconn"
	"github.com/VictoriaMetrics/metrics"
	"github.com/matryer/is"
	"github.com/sirupsen/logrus"
)

// unsized hides the length of a body, so that it is sent in chunks.
type unsized struct{ io.Reader }

// describe reads the wait of a request's body from its headers.
func describe(_ time.Time, r *httpconn.Request) (intake.Body, bool) {
	wait, _ := time.ParseDuration(r.Header.Get("Wait"))
	return intake.Body{Until: r.Received.Add(wait)}, r.Header.Get("Unwanted") == ""
}

// serveUploads returns a server with a limit for each request body and a bound for all, in
// bytes.
func serveUploads(t *testing.T, limit, bound int64, h httpconn.Handler) (*httpconn.Server, *bodies.Gate) {
	t.Helper()
	s, err := httpconn.Listen("127.0.0.1:0", func() httpconn.Limits {
		return httpconn.Limits{Header: 16 << 10, Body: limit, HeaderTimeout: time.Second, IdleTimeout: timeout}
	}, h)
	is.New(t).NoErr(err)
	log := logrus.New()
	log.SetOutput(io.Discard)
	gate := bodies.New(bodies.Options{Bound: func() int64 { return bound }, Describe: describe, Metrics: metrics.NewSet(), Log: logrus.NewEntry(log)})
	s.Intake = gate
	go func() { _ = s.Serve(context.Background()) }()
	t.Cleanup(s.Close)
	return s, gate
}

// Request bodies had no bound but the limit for each, and several at once took a node over
// its memory limit. Those that exceed the bound are now dropped, and their connections stay
// usable.
func TestRequestBodiesBounded(t *testing.T) {
	t.Parallel()
	const limit, clients = 2 << 20, 8
	for _, test := range []struct {
		name    string
		size    int
		bound   int64
		chunked bool
		// whole is whether no body is dropped.
		whole bool
	}{
		{"small", 60 << 10, 8 << 20, false, true},
		{"small, chunked", 60 << 10, 8 << 20, true, true},
		{"large", limit, 5 << 20, false, false},
		{"large, chunked", limit, 5 << 20, true, false},
		{"medium, chunked", 300 << 10, 20 << 20, true, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			var whole, dropped atomic.Int64
			s, gate := serveUploads(t, limit, test.bound, func(_ context.Context, r *httpconn.Request) *httpconn.Response {
				if r.NoRoom != nil {
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
			waitHeld(t, gate, 0, 0)
		})
	}
}

// waitHeld waits until bodies hold between least and most bytes.
func waitHeld(t *testing.T, g *bodies.Gate, least, most int64) {
	t.Helper()
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if held := g.Held(); held >= least && held <= most {
			return
		}
	}
	t.Errorf("%d bytes held, not %d to %d", g.Held(), least, most)
}

// A body that is cut off gives its memory back.
func TestRequestRoomReleased(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	const size = 1 << 20
	s, gate := serveUploads(t, size, 4*size, func(context.Context, *httpconn.Request) *httpconn.Response {
		return &httpconn.Response{Status: http.StatusOK}
	})
	for _, head := range []string{
		fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", size),
		"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n80000\r\n",
	} {
		c, _ := dial(t, s.Address())
		_, err := io.WriteString(c, head+strings.Repeat("x", size/2))
		is.NoErr(err)
		waitHeld(t, gate, size/2, 2*size)
		is.NoErr(c.Close())
		waitHeld(t, gate, 0, 0)
	}
}

// A body that is dropped kept its room until its last byte was in.
func TestDroppedBodyReleasesRoom(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	const limit = 1 << 20
	s, gate := serveUploads(t, limit, limit/2, func(_ context.Context, r *httpconn.Request) *httpconn.Response {
		return &httpconn.Response{Status: http.StatusOK, Body: []byte(fmt.Sprint(r.NoRoom != nil))}
	})
	c, in := dial(t, s.Address())
	// There is room for the first buffers only.
	_, err := io.WriteString(c, "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n80000\r\n"+strings.Repeat("x", limit/2)+"\r\n")
	is.NoErr(err)
	time.Sleep(200 * time.Millisecond)
	waitHeld(t, gate, 0, 0)
	_, err = io.WriteString(c, "0\r\n\r\n")
	is.NoErr(err)
	resp, body := read(t, in)
	is.Equal(resp.StatusCode, http.StatusOK)
	is.Equal(body, "true")
}

// A body without room is refused before it is read, in the order of the requests. Its
// connection stays usable, unless the caller may leave out the body.
func TestRefusedBeforeBody(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	const size, bound = 1 << 20, 1 << 20
	hold := make(chan struct{})
	s, gate := serveUploads(t, size, bound, func(_ context.Context, r *httpconn.Request) *httpconn.Response {
		if r.Target == "/hold" {
			<-hold
		}
		return &httpconn.Response{Status: http.StatusOK, Body: []byte(fmt.Sprintf("%s %d %t", r.Target, len(r.Body), r.NoRoom != nil))}
	})
	body := strings.Repeat("x", size)
	head := func(target, headers string) string {
		return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\n%sContent-Length: %d\r\n\r\n", target, headers, size)
	}
	holder, holderIn := dial(t, s.Address())
	_, err := io.WriteString(holder, head("/hold", "")+body)
	is.NoErr(err)
	waitHeld(t, gate, size, size)

	c, in := dial(t, s.Address())
	_, err = io.WriteString(c, "GET /first HTTP/1.1\r\nHost: h\r\n\r\n"+head("/unread", ""))
	is.NoErr(err)
	for _, want := range []string{"/first 0 false", "/unread 0 true"} {
		resp, got := read(t, in)
		is.Equal(got, want)
		is.True(!resp.Close)
	}
	waiting, waitingIn := dial(t, s.Address())
	_, err = io.WriteString(waiting, head("/waits", "Wait: 5s\r\n")+body)
	is.NoErr(err)
	time.Sleep(50 * time.Millisecond)
	close(hold)
	_, got := read(t, holderIn)
	is.Equal(got, fmt.Sprintf("/hold %d false", size))
	_, got = read(t, waitingIn)
	is.Equal(got, fmt.Sprintf("/waits %d false", size))
	waitHeld(t, gate, 0, 0)

	_, err = io.WriteString(c, body+head("/again", "")+body)
	is.NoErr(err)
	_, got = read(t, in)
	is.Equal(got, fmt.Sprintf("/again %d false", size))
	_, err = io.WriteString(c, head("/unwanted", "Unwanted: 1\r\nExpect: 100-continue\r\n"))
	is.NoErr(err)
	resp, got := read(t, in)
	is.Equal(got, "/unwanted 0 true")
	is.True(resp.Close)
}
