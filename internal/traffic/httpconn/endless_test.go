package httpconn_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"chestnutshed.example/chestnutshed/internal/standin/endless"
	"chestnutshed.example/chestnutshed/internal/traffic/httpconn"
	"github.com/matryer/is"
)

// A target whose answer begins with megabytes and never ends took the budget for large
// answers until the route's timeout. Whole answers of sound targets failed meanwhile.
func TestEndlessBodyLeavesBudget(t *testing.T) {
	t.Parallel()
	// The beginnings of the endless answers fill the budget together.
	const budget, sound, endlessCalls, begun = 8 << 20, 1 << 20, 5, 1550 << 10
	for _, test := range []struct {
		name, again string
		pause       time.Duration
	}{
		{"full speed", strings.Repeat("x", 64<<10), 0},
		{"trickle", "x", 10 * time.Millisecond},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			shared := httpconn.NewBudget(budget)
			options := httpconn.Options{DialTimeout: time.Second, MaxIdle: 4, MaxBody: 7 << 20, Budget: shared}
			head := "HTTP/1.1 200 OK\r\n\r\n"
			address, closed, err := endless.Listen(t.Context(), head+strings.Repeat("x", begun), test.again, test.pause)
			is.NoErr(err)
			whole := serve(t, func(context.Context, *httpconn.Request) *httpconn.Response {
				return &httpconn.Response{Status: http.StatusOK, Body: make([]byte, sound)}
			})
			ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
			defer cancel()
			get := &httpconn.Request{Method: "GET", Target: "/", Host: "h", Header: http.Header{}}
			lost := make(chan error, endlessCalls)
			for range endlessCalls {
				go func() {
					_, err := httpconn.NewPool(address, options).Do(ctx, get, httpconn.Reuse{})
					lost <- err
				}()
			}
			time.Sleep(200 * time.Millisecond)
			p := httpconn.NewPool(whole.Address(), options)
			for range 8 {
				resp, err := p.Do(ctx, get, httpconn.Reuse{})
				is.NoErr(err)
				is.Equal(len(resp.Body), sound)
			}
			for range endlessCalls {
				is.True(<-lost != nil)
				<-closed // the connection is closed
			}
		})
	}
}

// A sound answer that had more than half of what each endless one had taken could not take
// their share of the budget, and failed.
func TestSoundBodyBesideEndless(t *testing.T) {
	t.Parallel()
	// The first part of the sound answer and the beginnings of the endless ones fill the
	// budget together.
	const budget, first, rest = 8 << 20, 900 << 10, 400 << 10
	withLength := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", first+rest)
	withoutLength := "HTTP/1.1 200 OK\r\n\r\n"
	for _, test := range []struct {
		name, head   string
		endlessCalls int
		begun        int
	}{
		{"larger ones", withLength, 5, 1408 << 10},
		{"larger ones, answer without length", withoutLength, 5, 1408 << 10},
		{"many smaller ones", withLength, 28, 256 << 10},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			options := httpconn.Options{DialTimeout: time.Second, MaxIdle: 4, MaxBody: 7 << 20, Budget: httpconn.NewBudget(budget)}
			ctx, cancel := context.WithTimeout(context.Background(), timeout)
			defer cancel()
			get := &httpconn.Request{Method: "GET", Target: "/", Host: "h", Header: http.Header{}}

			l, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			defer func() { _ = l.Close() }()
			begun, filled := make(chan struct{}), make(chan struct{})
			go func() {
				c, err := l.Accept()
				if err != nil {
					return
				}
				// Unread bytes would reset the connection when it is closed.
				_, _ = http.ReadRequest(bufio.NewReader(c))
				_, _ = io.WriteString(c, test.head+strings.Repeat("x", first))
				close(begun)
				<-filled
				_, _ = io.WriteString(c, strings.Repeat("x", rest))
				_ = c.Close()
			}()
			type result struct {
				resp *httpconn.Response
				err  error
			}
			sound := make(chan result, 1)
			go func() {
				resp, err := httpconn.NewPool(l.Addr().String(), options).Do(ctx, get, httpconn.Reuse{})
				sound <- result{resp, err}
			}()
			<-begun
			time.Sleep(200 * time.Millisecond)

			address, _, err := endless.Listen(t.Context(), withoutLength+strings.Repeat("x", test.begun), "x", 10*time.Millisecond)
			is.NoErr(err)
			for range test.endlessCalls {
				go func() { _, _ = httpconn.NewPool(address, options).Do(ctx, get, httpconn.Reuse{}) }()
			}
			time.Sleep(time.Second)
			close(filled)
			r := <-sound
			is.NoErr(r.err)
			is.Equal(len(r.resp.Body), first+rest)
		})
	}
}

// Answers without end fail at the limit or the timeout, in every part and at any speed, and
// their connection is closed.
func TestEndlessAnswers(t *testing.T) {
	t.Parallel()
	ok := "HTTP/1.1 200 OK\r\n"
	chunked := ok + "Transfer-Encoding: chunked\r\n\r\n"
	for _, test := range []struct{ name, begin, again string }{
		{"no HTTP", "", "x"},
		{"status line", "HTTP/1.1 200 ", "O"},
		{"header line", ok + "A: ", "b"},
		{"header lines", ok, "A: b\r\n"},
		{"interim answers", "", "HTTP/1.1 102 Processing\r\n\r\n"},
		{"chunk extension", chunked + "1;", "a"},
		{"chunk size", chunked, "0"},
		{"chunks", chunked, "1\r\nx\r\n"},
		{"trailers", chunked + "0\r\n", "A: b\r\n"},
		{"body", ok + "\r\n", "x"},
		{"longer than its length", ok + "Content-Length: 3\r\n\r\n", "x"},
	} {
		for _, speed := range []struct {
			name  string
			times int
			pause time.Duration
		}{{"full speed", 4096, 0}, {"trickle", 1, 20 * time.Millisecond}} {
			t.Run(fmt.Sprintf("%s, %s", test.name, speed.name), func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				address, closed, err := endless.Listen(t.Context(), test.begin, strings.Repeat(test.again, speed.times), speed.pause)
				is.NoErr(err)
				p := httpconn.NewPool(address, httpconn.Options{DialTimeout: time.Second, MaxIdle: 4, MaxBody: 1 << 20, Budget: httpconn.NewBudget(1 << 20)})
				const allowed = 1500 * time.Millisecond
				ctx, cancel := context.WithTimeout(context.Background(), allowed)
				defer cancel()
				began := time.Now()
				resp, err := p.Do(ctx, &httpconn.Request{Method: "GET", Target: "/", Host: "h", Header: http.Header{}}, httpconn.Reuse{})
				is.True(time.Since(began) < allowed+time.Second)
				if test.name == "longer than its length" {
					is.NoErr(err)
					is.Equal(len(resp.Body), 3)
					_, err = p.Do(ctx, &httpconn.Request{Method: "GET", Target: "/", Host: "h", Header: http.Header{}}, httpconn.Reuse{Fresh: true})
					is.NoErr(err) // and the first connection is not used again
					p.CloseIdle()
				} else {
					is.True(err != nil)
				}
				select {
				case <-closed:
				case <-time.After(timeout):
					is.Fail() // the connection stays open
				}
			})
		}
	}
}
