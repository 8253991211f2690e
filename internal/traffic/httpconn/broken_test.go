package httpconn_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"chestnutshed.example/chestnutshed/internal/standin/broken"
	"chestnutshed.example/chestnutshed/internal/traffic/httpconn"
	"github.com/matryer/is"
)

// answeringServer sends an answer on each connection once it has read the headers of the
// first request, and returns its address.
func answeringServer(t *testing.T, a broken.Answer) string {
	t.Helper()
	return listen(t, func(c *net.TCPConn) {
		req, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			_ = c.Close()
			return
		}
		a.Send(c, req.Body)
	})
}

// listen calls f for each connection to the address that it returns.
func listen(t *testing.T, f func(c *net.TCPConn)) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go f(c.(*net.TCPConn))
		}
	}()
	return l.Addr().String()
}

// upload sends a request with a body to an address and returns the response.
func upload(t *testing.T, address, method string, size int) (*httpconn.Response, error) {
	t.Helper()
	p := httpconn.NewPool(address, httpconn.Options{DialTimeout: time.Second, MaxIdle: 4, MaxBody: 8 << 20, Budget: httpconn.NewBudget(64 << 20)})
	defer p.CloseIdle()
	ctx, cancel := context.WithTimeout(t.Context(), timeout)
	defer cancel()
	return p.Do(ctx, &httpconn.Request{Method: method, Target: "/", Host: "h", Header: http.Header{}, Body: make([]byte, size)}, httpconn.Reuse{})
}

// uploadSizes are sizes of uploads, from none to one that no socket buffers hold, in bytes.
var uploadSizes = []int{0, 1 << 10, 12 << 10, 1 << 20, 8 << 20}

// eachEarlyAnswer runs a test for an answer that comes while the upload is written, for each
// size of the upload, at several moments.
func eachEarlyAnswer(t *testing.T, a broken.Answer, f func(t *testing.T, a broken.Answer, size int)) {
	for _, size := range uploadSizes {
		for _, read := range []int64{0, 10 << 10, 300 << 10} {
			if read > int64(size) {
				continue
			}
			for _, pause := range []time.Duration{0, time.Millisecond, 20 * time.Millisecond} {
				a.Read, a.Pause = read, pause
				t.Run(fmt.Sprintf("upload of %d bytes, %d read, %v", size, read, pause), func(t *testing.T) {
					t.Parallel()
					for range 4 {
						f(t, a, size)
					}
				})
			}
		}
	}
}

// A target answered a long upload at once without a length, sent part of the body and reset
// the connection. The write of the upload got the error, the read of the body a regular end,
// and the caller the part as the whole answer.
func TestResetDuringUpload(t *testing.T) {
	for _, status := range []string{"200 OK", "503 Service Unavailable"} {
		for _, part := range []int{0, 1, 100 << 10} {
			a := broken.Answer{Text: "HTTP/1.1 " + status + "\r\n\r\n" + strings.Repeat("x", part), End: broken.Reset}
			t.Run(fmt.Sprintf("%s, part of %d bytes", status, part), func(t *testing.T) {
				eachEarlyAnswer(t, a, func(t *testing.T, a broken.Answer, size int) {
					resp, err := upload(t, answeringServer(t, a), "POST", size)
					if err == nil {
						t.Errorf("reset taken for the end of a body of %d bytes", len(resp.Body))
					}
					if errors.Is(err, httpconn.ErrNotSent) {
						t.Error("request taken for not sent")
					}
				})
			})
		}
	}
}

// Whole answers that come before the upload has ended are passed on: those with a length,
// however the connection ends, and those without if it is closed in order.
func TestWholeAnswerDuringUpload(t *testing.T) {
	body := strings.Repeat("x", 20<<10) // fits into the first window, so that a reset does not discard any of it
	sized := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	chunked := fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(body), body)
	for _, test := range []struct {
		name, text string
		end        broken.End
	}{
		{"length, reset", sized, broken.Reset},
		{"length, closed", sized, broken.Close},
		{"length, kept", sized, broken.Keep},
		{"chunks, reset", chunked, broken.Reset},
		{"chunks, kept", chunked, broken.Keep},
		{"no length, closed", "HTTP/1.1 200 OK\r\n\r\n" + body, broken.Close},
		{"no length, closed and then reset", "HTTP/1.1 200 OK\r\n\r\n" + body, broken.CloseThenReset},
	} {
		t.Run(test.name, func(t *testing.T) {
			eachEarlyAnswer(t, broken.Answer{Text: test.text, End: test.end}, func(t *testing.T, a broken.Answer, size int) {
				resp, err := upload(t, answeringServer(t, a), "POST", size)
				if err != nil {
					t.Errorf("answer lost: %v", err)
					return
				}
				is.New(t).Equal(len(resp.Body), len(body))
			})
		})
	}
}

// A whole answer to a small upload that came at its first bytes was lost if the connection
// ended before the rest was written.
func TestWholeAnswerDuringSmallUpload(t *testing.T) {
	for _, size := range []int{1 << 10, 4 << 10, 15 << 10} {
		for _, a := range []broken.Answer{
			{Text: "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole", End: broken.Reset},
			{Text: "HTTP/1.1 200 OK\r\n\r\nwhole", End: broken.CloseThenReset},
		} {
			t.Run(fmt.Sprintf("%d bytes, %s", size, a.End), func(t *testing.T) {
				address := listen(t, func(c *net.TCPConn) {
					_, _ = c.Read(make([]byte, 1))
					a.Send(c, c)
				})
				lost := 0
				for range 500 {
					if resp, err := upload(t, address, "POST", size); err != nil || string(resp.Body) != "whole" {
						lost++
					}
				}
				if lost > 0 {
					t.Errorf("%d of 500 answers lost", lost)
				}
			})
		}
	}
}
