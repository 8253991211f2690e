package entry_test

import (
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// A connection whose headers never end is closed, and a request whose body never
// ends is refused. No target gets such a request.
func TestSlowCallers(t *testing.T) {
	t.Parallel()
	r := startSmall(t)
	ticket := issueTicket(t, r.CallerAddresses()[0])
	head := "POST /pay HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer example-acme\r\nIdempotency-Key: " + ticket + "\r\n"
	tests := []struct {
		name, sent string
		// want is a part of the response before the node closes the connection.
		want string
	}{
		{"headers that never end", head, ""},
		{"a body that never ends", head + "Content-Length: 10\r\n\r\nx", `"ran":"no"`},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			conn, err := net.Dial("tcp", r.CallerAddresses()[0])
			is.NoErr(err)
			defer func() { _ = conn.Close() }()
			_ = conn.SetDeadline(time.Now().Add(time.Minute))
			_, err = io.WriteString(conn, tt.sent)
			is.NoErr(err)
			text, err := io.ReadAll(conn) // returns when the node closes the connection
			is.NoErr(err)
			is.True(strings.Contains(string(text), tt.want))
		})
	}
	for _, m := range r.Members {
		is.New(t).Equal(len(m.Target.Records()), 0)
	}
}
