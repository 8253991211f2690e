package process_test

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"chestnutshed.example/chestnutshed/internal/standin/process"
	"github.com/matryer/is"
)

// bins are built once for all tests in the package.
var bins process.Binaries

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "chestnutshed")
	if err == nil {
		bins, err = process.Build(dir)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// examplesDir holds the manifests that tests ship.
const examplesDir = "../../../examples"

// waitTimeout is half of the time limit for a test.
const waitTimeout = 60 * time.Second

// newTestbed starts a platform and ships an example manifest. The context ends
// after twice waitTimeout. A failed test logs the output of its nodes.
func newTestbed(t *testing.T, manifest string) (*process.Testbed, context.Context) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 2*waitTimeout)
	t.Cleanup(cancel)
	b := process.New(bins, t.TempDir())
	t.Cleanup(func() {
		b.Close()
		if t.Failed() {
			for i, m := range b.Members {
				t.Logf("node %d: %s", i, m.Node.Log())
			}
		}
	})
	if err := b.StartPlatform(ctx); err != nil {
		t.Fatal(err)
	}
	if out, code := b.Run("ship", "--reviewed", "0", "--by", "test", filepath.Join(examplesDir, manifest)); code != 0 {
		t.Fatal(out)
	}
	return b, ctx
}

// addFrontAndBack starts two targets of service front, which call service back,
// and one target of back.
func addFrontAndBack(ctx context.Context, t *testing.T, b *process.Testbed) {
	t.Helper()
	flags := []string{"--slots", "20", "--time", "5ms"}
	front := append([]string{"--call", "GET:/part/7"}, flags...)
	for zone, service := range []string{"front", "front", "back"} {
		extra := flags
		if service == "front" {
			extra = front
		}
		if _, err := b.AddMember(fmt.Sprint("zone-", zone), service, nil, extra...); err != nil {
			t.Fatal(err)
		}
	}
	if err := b.Ready(ctx, 3, 2); err != nil {
		t.Fatal(err)
	}
}

// Tests authentication, routing and inner calls from end to end, with nodes,
// targets and platform as separate processes.
func TestEndToEnd(t *testing.T) {
	is := is.New(t)
	b, ctx := newTestbed(t, "small.jsonc")
	addFrontAndBack(ctx, t, b)
	tests := []struct {
		name       string
		path, key  string
		wantStatus int
		wantReason string
	}{
		{"valid key of the organisation", "/look/1?x=2", "example-acme", 200, ""},
		{"public route", "/list", "", 200, ""},
		{"no key", "/look/1", "", 401, "no-key"},
		{"unknown key", "/look/1", "example-nobody", 401, "bad-key"},
		{"unknown route", "/nothing", "example-acme", 404, "no-route"},
		{"internal route", "/part/7", "example-acme", 404, "no-route"},
	}
	for _, tt := range tests {
		for _, m := range b.Members {
			a, err := process.Do(ctx, http.DefaultClient, process.Request{Entry: m.CallerAddress(), Method: "GET", Path: tt.path, Key: tt.key})
			is.NoErr(err)
			if a.Status != tt.wantStatus || a.Reason != tt.wantReason {
				t.Errorf("%s: got %d %q %s, want %d %q", tt.name, a.Status, a.Reason, a.Body, tt.wantStatus, tt.wantReason)
			}
			if tt.wantReason != "" {
				is.Equal(a.Ran, "no")
			}
		}
	}
	checkNoKeyForwarded(t, b)
	checkRevokedKey(ctx, t, b)
}

// checkNoKeyForwarded checks that no API key reached a target, in headers, body or
// path, and that all inner calls arrived.
func checkNoKeyForwarded(t *testing.T, b *process.Testbed) {
	t.Helper()
	inner := 0
	for _, m := range b.Members {
		records, err := m.Records()
		if err != nil {
			t.Fatal(err)
		}
		for _, r := range records {
			if strings.Contains(r.Headers+r.Body+r.Path, "example-") {
				t.Errorf("a target received an API key: %+v", r)
			}
			if r.Path == "/part/7" {
				inner++
			}
		}
	}
	if inner != len(b.Members) {
		t.Errorf("%d inner calls, want %d", inner, len(b.Members))
	}
}

// checkRevokedKey ships a manifest without one of the keys and checks that
// requests with that key are then refused, also on an open connection.
func checkRevokedKey(ctx context.Context, t *testing.T, b *process.Testbed) {
	t.Helper()
	is := is.New(t)
	text, err := os.ReadFile(filepath.Join(examplesDir, "small.jsonc"))
	is.NoErr(err)
	lines := strings.Split(string(text), "\n")
	for i, line := range lines {
		if strings.Contains(line, `"acme"`) {
			at := strings.LastIndex(line, `, "sha256:`)
			lines[i] = line[:at] + "]},"
		}
	}
	path := filepath.Join(b.Dir, "next.jsonc")
	is.NoErr(os.WriteFile(path, []byte(strings.Join(lines, "\n")), 0o600))
	second := process.Request{Entry: b.Members[0].CallerAddress(), Method: "GET", Path: "/look/1", Key: "example-acme-second"}
	a, err := process.Do(ctx, http.DefaultClient, second)
	is.NoErr(err)
	is.Equal(a.Status, 200)
	out, code := b.Run("ship", "--reviewed", "1", "--by", "test", "--node", b.Members[0].OperatorAddress(), path)
	if code != 0 || !strings.Contains(out, "in force at 3 nodes") {
		t.Fatal(out)
	}
	a, err = process.Do(ctx, http.DefaultClient, second)
	is.NoErr(err)
	is.Equal(a.Status, 401)
	is.Equal(a.Ran, "no")
}
