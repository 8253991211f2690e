package httpconn_test

import (
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
	address, err := a.Listen(t.Context())
	is.New(t).NoErr(err)
	return address
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
				address, err := broken.Listen(t.Context(), func(c *net.TCPConn) {
					_, _ = c.Read(make([]byte, 1))
					a.Send(c, c)
				})
				is.New(t).NoErr(err)
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

// malformedNames are names of fields that no head can have.
func malformedNames() []string {
	names := []string{"X Bad", "X-Bad ", "Content-Length ", "Transfer-Encoding ", "Content Length", " X-Bad", "\tX-Bad", " Content-Length", " ", "X-Bad\u00a0", "X-Bäd", "X(Bad)", ""}
	for c := range byte(0x20) {
		if c != '\n' {
			names = append(names, "X"+string(c)+"Bad", "X-Bad"+string(c))
		}
	}
	return append(names, "X\x7fBad")
}

// A target in trouble sent an answer in whose head the name of a field held a blank. The line
// was passed on, or did not tell the length of the body, which then was another one.
func TestMalformedNames(t *testing.T) {
	const line = "HTTP/1.1 200 OK\r\n"
	for _, test := range []struct{ name, method, before, after string }{
		{"with length", "GET", line, "Content-Length: 2\r\n\r\nab"},
		{"without length", "GET", line, "\r\nab"},
		{"in chunks", "GET", line, "Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n"},
		{"last line", "GET", line + "Content-Length: 2\r\nX-Good: 1\r\n", "\r\nab"},
		{"answer to HEAD", "HEAD", line, "Content-Length: 2\r\n\r\n"},
		{"no content", "GET", "HTTP/1.1 204 No Content\r\n", "\r\n"},
		{"not modified", "GET", "HTTP/1.1 304 Not Modified\r\n", "\r\n"},
		{"failure", "GET", "HTTP/1.1 503 Service Unavailable\r\n", "Content-Length: 0\r\n\r\n"},
		{"interim answer", "GET", "HTTP/1.1 103 Early Hints\r\n", "\r\n" + line + "Content-Length: 2\r\n\r\nab"},
		{"last line of interim answer", "GET", "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 103 Early Hints\r\nX-Good: 1\r\n", "\r\n" + line + "Content-Length: 2\r\n\r\nab"},
		{"after interim answer", "GET", "HTTP/1.1 103 Early Hints\r\n\r\n" + line + "X-Good: 1\r\n", "Content-Length: 2\r\n\r\nab"},
		{"after answer to another request", "GET", response("0", "x\r\n y") + line + "ID: 1\r\n", "Content-Length: 2\r\n\r\nab"},
		{"trailer", "GET", line + "Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n", "\r\n"},
	} {
		for _, name := range malformedNames() {
			address, conns := scriptedServer(t, false, test.before+name+": 2\r\n"+test.after)
			p := pool(address)
			req := get("1")
			req.Method = test.method
			resp, err := p.Do(t.Context(), req, httpconn.Reuse{})
			if err == nil {
				t.Errorf("%s, name %q: passed on as %d %q with header %v", test.name, name, resp.Status, resp.Body, resp.Header)
			}
			if errors.Is(err, httpconn.ErrNotSent) {
				t.Errorf("%s, name %q: request taken for not sent", test.name, name)
			}
			_, _ = p.Do(t.Context(), req, httpconn.Reuse{})
			if n := conns.Load(); n != 2 {
				t.Errorf("%s, name %q: %d connections, so the first was used again", test.name, name, n)
			}
		}
	}
}

// Names of all characters that a name can have are passed on.
func TestWellFormedNames(t *testing.T) {
	is := is.New(t)
	const name = "!#$%&'*+-.^_`|~09azAZ"
	address, _ := scriptedServer(t, false, "HTTP/1.1 200 OK\r\n"+name+": a b\tc\r\nContent-Length: 2\r\n\r\nab")
	resp, err := pool(address).Do(t.Context(), get("1"), httpconn.Reuse{})
	is.NoErr(err)
	is.Equal(string(resp.Body), "ab")
	is.Equal(resp.Header[http.CanonicalHeaderKey(name)], []string{"a b\tc"})
}

// An answer to HEAD with the length of the body that GET would get was lost, since that many
// bytes were waited for.
func TestAnswersWithoutBody(t *testing.T) {
	for _, status := range []int{200, 204, 304, 404, 503} {
		for _, line := range []string{"", "Content-Length: 0\r\n", "Content-Length: 2\r\n", "Content-Length: 70000\r\n", "Content-Length: 9000000000000\r\n", "Transfer-Encoding: chunked\r\n"} {
			is := is.New(t)
			address, _ := scriptedServer(t, true, fmt.Sprintf("HTTP/1.1 %d Text\r\n%s\r\n", status, line))
			req := get("1")
			req.Method = http.MethodHead
			resp, err := pool(address).Do(t.Context(), req, httpconn.Reuse{})
			if err != nil {
				t.Errorf("%d, %q: answer lost: %v", status, line, err)
				continue
			}
			is.Equal(resp.Status, status)
			is.Equal(len(resp.Body), 0)
		}
	}
}

// The answer to HEAD tells no length but that of a body that the handler has.
func TestLengthOfAnswerToHead(t *testing.T) {
	for _, body := range []string{"", "ab"} {
		is := is.New(t)
		s := serve(t, func(context.Context, *httpconn.Request) *httpconn.Response {
			return &httpconn.Response{Status: 200, Body: []byte(body)}
		})
		c, in := dial(t, s.Address())
		for range 2 {
			_, err := c.Write([]byte("HEAD / HTTP/1.1\r\nHost: h\r\n\r\n"))
			is.NoErr(err)
			resp, err := http.ReadResponse(in, &http.Request{Method: http.MethodHead})
			is.NoErr(err)
			is.Equal(resp.StatusCode, 200)
			is.Equal(resp.Header.Get("Content-Length") == "", body == "")
		}
	}
}

// An answer in HTTP/1.0 that names a transfer encoding was passed on with the sizes of its
// chunks in the body.
func TestTransferEncodingOfOldAnswer(t *testing.T) {
	const chunks = "2\r\nab\r\n0\r\n\r\n"
	for _, test := range []struct {
		text, body string
		fails      bool
	}{
		{"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks, "", true},
		{"HTTP/1.0 200 OK\r\nID: 1\r\ntransfer-encoding:chunked\r\nContent-Length: 2\r\n\r\n" + chunks, "", true},
		{"HTTP/1.0 103 Early Hints\r\n\r\nHTTP/1.0 200 OK\r\nTRANSFER-ENCODING: gzip\r\n\r\nab", "", true},
		{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks, "ab", false},
		{"HTTP/1.0 200 OK\r\nTransfer-Encodings: chunked\r\nX: Transfer-Encoding: chunked\r\n\r\nTransfer-Encoding: a", "Transfer-Encoding: a", false},
		{"HTTP/1.0 200 OK\r\nContent-Length: 2\r\n\r\nab", "ab", false},
	} {
		address, _ := scriptedServer(t, false, test.text)
		resp, err := pool(address).Do(t.Context(), get("1"), httpconn.Reuse{})
		switch {
		case err == nil && test.fails:
			t.Errorf("%q: passed on with body %q", test.text, resp.Body)
		case err != nil && !test.fails:
			t.Errorf("%q: lost: %v", test.text, err)
		case err == nil && string(resp.Body) != test.body:
			t.Errorf("%q: passed on with body %q", test.text, resp.Body)
		}
	}
}

// A control byte in the value of a field makes an answer malformed.
func TestControlBytesInValues(t *testing.T) {
	for c := range byte(0x20) {
		if c == '\t' || c == '\n' {
			continue
		}
		address, _ := scriptedServer(t, false, "HTTP/1.1 200 OK\r\nX-Bad: a"+string(c)+"b: c\r\nContent-Length: 2\r\n\r\nab")
		if resp, err := pool(address).Do(t.Context(), get("1"), httpconn.Reuse{}); err == nil {
			t.Errorf("value with byte %#x passed on in %v", c, resp.Header)
		}
	}
}
