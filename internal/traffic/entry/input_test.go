package entry_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"chestnutshed.example/chestnutshed/internal/standin/deployment"
	"chestnutshed.example/chestnutshed/internal/standin/rig"
	"github.com/matryer/is"
)

// startSmall starts the small deployment and stops it when the test ends.
func startSmall(t *testing.T) *rig.Rig {
	t.Helper()
	d, err := deployment.Load("small")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	t.Cleanup(cancel)
	r, err := rig.Start(ctx, d, rig.DiscardLogger())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = r.Stop() })
	return r
}

// raw sends text on a new connection and reads one response. It returns reason
// "cut" if there is none, and no reason if the response has no JSON error.
func raw(t *testing.T, address, text string) (status int, reason, ran string) {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(30 * time.Second))
	if _, err := io.WriteString(conn, text); err != nil {
		return 0, "cut", ""
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, "cut", ""
	}
	defer func() { _ = resp.Body.Close() }()
	var doc struct {
		Error struct{ Reason, Ran string }
	}
	body, _ := io.ReadAll(resp.Body)
	_ = json.Unmarshal(body, &doc)
	return resp.StatusCode, doc.Error.Reason, doc.Error.Ran
}

// Malformed, ambiguous and unauthorised requests are refused, and no target gets
// them.
func TestMalformedRequests(t *testing.T) {
	r := startSmall(t)
	const key = "Authorization: Bearer example-acme\r\n"
	get := func(path, headers string) string {
		return "GET " + path + " HTTP/1.1\r\nHost: h\r\n" + headers + "Connection: close\r\n\r\n"
	}
	post := func(headers, body string) string {
		return "POST /pay HTTP/1.1\r\nHost: h\r\n" + key + headers + "Connection: close\r\n\r\n" + body
	}
	tests := []struct {
		name, text string
		wantStatus int
		wantReason string
	}{
		{"valid request", get("/look/1", key), 200, ""},
		{"two Authorization headers", get("/look/1", key+key), 401, "bad-key"},
		{"scheme other than Bearer", get("/look/1", "Authorization: Basic eDp5\r\n"), 401, "bad-key"},
		{"key also in the query", get("/look/1?k=example-acme", key), 400, "bad-request"},
		{"key also in another header", get("/look/1", key+"X-Key: example-acme\r\n"), 400, "bad-request"},
		{"unknown key on an open route", get("/list", "Authorization: Bearer x\r\n"), 401, "bad-key"},
		{"forged call header", get("/look/1", key+"Chestnut-Meta: {}\r\n"), 400, "bad-request"},
		{"forged fleet header", get("/look/1", key+"chestnut-fleet: x\r\n"), 400, "bad-request"},
		{"dot segments", get("/look/../look/1", key), 400, "bad-request"},
		{"encoded slash", get("/look/a%2fb", key), 400, "bad-request"},
		{"encoded dots", get("/look/%2e%2e", key), 400, "bad-request"},
		{"empty segment", get("//look/1", key), 400, "bad-request"},
		{"backslash", get("/look\\1", key), 400, "bad-request"},
		{"absolute target", get("http://other/look/1", key), 400, "bad-request"},
		{"upgrade", get("/look/1", key+"Upgrade: h2c\r\n"), 400, "bad-request"},
		{"TRACE method", strings.Replace(get("/look/1", key), "GET", "TRACE", 1), 400, "bad-request"},
		{"long path", get("/look/"+strings.Repeat("x", 9000), key), 400, "bad-request"},
		{"no ticket", post("Content-Length: 1\r\n", "x"), 400, "bad-ticket"},
		{"malformed ticket", post("Idempotency-Key: abc\r\nContent-Length: 1\r\n", "x"), 400, "bad-ticket"},
		{"two tickets", post("Idempotency-Key: a\r\nIdempotency-Key: b\r\nContent-Length: 1\r\n", "x"), 400, "bad-ticket"},
		{"tickets by GET", get("/chestnut/tickets", key), 400, "bad-request"},
		{"too many tickets", "POST /chestnut/tickets?n=5000 HTTP/1.1\r\nHost: h\r\n" + key + "Connection: close\r\n\r\n", 400, "bad-request"},
		{"tickets without a key", "POST /chestnut/tickets HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n", 401, "bad-key"},
		// net/http refuses the following itself, without a JSON error.
		{"two Content-Length headers", post("Content-Length: 1\r\nContent-Length: 2\r\n", "xy"), 400, ""},
		{"unsupported transfer coding", post("Transfer-Encoding: gzip, chunked\r\n", "0\r\n\r\n"), 501, ""},
		{"headers too large", get("/look/1", key+strings.Repeat("X-A: "+strings.Repeat("y", 1000)+"\r\n", 100)), 431, ""},
		{"space before the colon of a header", get("/look/1", "Authorization : Bearer example-acme\r\n"), 400, ""},
	}
	for _, tt := range tests {
		status, reason, ran := raw(t, r.CallerAddresses()[0], tt.text)
		if status != tt.wantStatus || reason != tt.wantReason {
			t.Errorf("%s: got %d %q, want %d %q", tt.name, status, reason, tt.wantStatus, tt.wantReason)
		}
		if reason != "" && ran != "no" {
			t.Errorf("%s: got ran %q, want \"no\"", tt.name, ran)
		}
	}
	for _, m := range r.Members {
		for _, rec := range m.Target.Records() {
			if rec.Path != "/look/1" && rec.Path != "/part/7" {
				t.Errorf("refused request reached a target: %s %s", rec.Method, rec.Path)
			}
		}
	}
}

// A body over the limit or with malformed chunks never reaches a target. With both
// Content-Length and chunks the request may pass, but a second request smuggled
// behind the chunks must not.
func TestMalformedBodies(t *testing.T) {
	is := is.New(t)
	r := startSmall(t)
	ticket := issueTicket(t, r.CallerAddresses()[0])
	head := "POST /pay HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer example-acme\r\nIdempotency-Key: " + ticket + "\r\n"
	status, reason, ran := raw(t, r.CallerAddresses()[0], head+"Content-Length: 70000\r\nConnection: close\r\n\r\n"+strings.Repeat("x", 70000))
	is.Equal(status, 413)
	is.Equal(reason, "too-large")
	is.Equal(ran, "no")
	chunk := "11170\r\n" + strings.Repeat("x", 70000) + "\r\n0\r\n\r\n"
	status, reason, _ = raw(t, r.CallerAddresses()[0], head+"Transfer-Encoding: chunked\r\nConnection: close\r\n\r\n"+chunk)
	is.Equal(status, 413)
	is.Equal(reason, "too-large")
	status, reason, ran = raw(t, r.CallerAddresses()[0], head+"Transfer-Encoding: chunked\r\nConnection: close\r\n\r\nzz\r\n")
	is.Equal(status, 400)
	is.Equal(reason, "bad-request")
	is.Equal(ran, "no")
	for _, m := range r.Members {
		is.Equal(len(m.Target.Records()), 0)
	}
	both := "Content-Length: 4\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n1\r\ny\r\n0\r\n\r\nGET /look/1 HTTP/1.1\r\nHost: h\r\n\r\n"
	status, _, _ = raw(t, r.CallerAddresses()[0], head+both)
	is.True(status == 200 || status == 400)
	for _, m := range r.Members {
		for _, rec := range m.Target.Records() {
			is.True(rec.Path != "/look/1") // the smuggled request is not served
		}
	}
}

// issueTicket requests one ticket from a node.
func issueTicket(t *testing.T, entry string) string {
	t.Helper()
	req, err := http.NewRequest(http.MethodPost, fmt.Sprintf("http://%s/chestnut/tickets", entry), nil)
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer example-acme")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	var reply struct{ Tickets []string }
	if err := json.NewDecoder(resp.Body).Decode(&reply); err != nil {
		t.Fatal(err)
	}
	return reply.Tickets[0]
}
