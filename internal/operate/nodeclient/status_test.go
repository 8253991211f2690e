package nodeclient_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"testing"

	"chestnutshed.example/chestnutshed/internal/config/settings"
	"chestnutshed.example/chestnutshed/internal/operate/nodeclient"
	"github.com/matryer/is"
)

// answering starts a server that answers each request with a status line, and returns its
// address.
func answering(t *testing.T, status string) string {
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
			if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
				_, _ = fmt.Fprintf(c, "HTTP/1.1 %s Text\r\nContent-Length: 2\r\n\r\n{}", status)
			}
			_ = c.Close()
		}
	}()
	return l.Addr().String()
}

// A node answers with a status that no response can have. It is not taken for success: a
// drain that may not have begun was reported as begun.
func TestImpossibleStatus(t *testing.T) {
	for _, status := range []string{"000", "020", "099", "100", "101", "199", "600", "999", "+20", "20", "0200"} {
		is := is.New(t)
		client, err := nodeclient.New(settings.TLS{})
		is.NoErr(err)
		address := answering(t, status)
		is.True(client.Drain(t.Context(), address) != nil)
		_, err = client.Dump(t.Context(), address)
		is.True(err != nil)
	}
}
