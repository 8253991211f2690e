package httpconn_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"testing"

	"chestnutshed.example/chestnutshed/internal/traffic/httpconn"
	"github.com/matryer/is"
)

// statusResponse returns a complete response whose status is this text.
func statusResponse(status string) string {
	return "HTTP/1.1 " + status + " Text\r\nID: 1\r\nContent-Length: 2\r\n\r\nab"
}

// A server sends a status that no response can have. The request may have run, so it fails
// with an error that is not ErrNotSent. An interim status is no response either if none
// follows.
func TestImpossibleStatuses(t *testing.T) {
	statuses := []string{"+20", "+200", "-20", "-200", " 20", "20", "0200", "2e2", "0x2", "2 0", "", "२००", "20a", "2\x000"}
	for code := range 1000 {
		if code < 200 || code > 599 {
			statuses = append(statuses, fmt.Sprintf("%03d", code))
		}
	}
	for _, status := range statuses {
		address, _ := scriptedServer(t, false, statusResponse(status))
		resp, err := pool(address).Do(t.Context(), get("1"), httpconn.Reuse{})
		if err == nil {
			t.Errorf("status %q taken for a response with status %d", status, resp.Status)
		}
		if errors.Is(err, httpconn.ErrNotSent) {
			t.Errorf("status %q: request taken for not sent", status)
		}
	}
}

// A connection with a status that no response can have is not used again.
func TestImpossibleStatusEndsConnection(t *testing.T) {
	for _, status := range []string{"000", "101", "600", "+20"} {
		is := is.New(t)
		address, conns := scriptedServer(t, true, statusResponse(status), response("2", "b"))
		p := pool(address)
		_, err := p.Do(t.Context(), get("1"), httpconn.Reuse{})
		is.True(err != nil)
		_, _ = p.Do(t.Context(), get("1"), httpconn.Reuse{})
		is.Equal(conns.Load(), int32(2))
	}
}

// All statuses that responses can have are passed on, also undefined ones.
func TestPossibleStatuses(t *testing.T) {
	for code := 200; code < 600; code++ {
		address, _ := scriptedServer(t, false, statusResponse(fmt.Sprint(code)))
		resp, err := pool(address).Do(t.Context(), get("1"), httpconn.Reuse{})
		if err != nil || resp.Status != code {
			t.Errorf("status %d: got %+v, error %v", code, resp, err)
		}
	}
}

// A handler that returns a status that no response can have gives the caller 502, without
// what the handler said.
func TestImpossibleStatusNotWritten(t *testing.T) {
	for _, code := range []int{-1, 0, 20, 99, 100, 101, 199, 600, 999, 2000} {
		is := is.New(t)
		s := serve(t, func(context.Context, *httpconn.Request) *httpconn.Response {
			return &httpconn.Response{Status: code, Header: http.Header{"Unrun": {"1"}}, Body: []byte("ab")}
		})
		c, in := dial(t, s.Address())
		_, _ = io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		resp, body := read(t, in)
		is.Equal(resp.StatusCode, http.StatusBadGateway)
		is.Equal(body, "")
		is.Equal(resp.Header.Get("Unrun"), "")
		is.True(resp.Close)
	}
}
