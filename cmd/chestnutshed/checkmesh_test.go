package main

import (
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"

	"chestnutshed.example/chestnutshed/internal/config/confsync"
	"chestnutshed.example/chestnutshed/internal/core/command"
	"github.com/matryer/is"
)

const (
	meshOld = "testdata/mesh-old.json"
	meshNew = "testdata/mesh-new.json"
)

// serveConfiguration starts a node that serves a file as its configuration, and returns its
// address.
func serveConfiguration(t *testing.T, path string) string {
	t.Helper()
	text, err := os.ReadFile(path)
	is.New(t).NoErr(err)
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+confsync.ConfigPath, func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(text) })
	s := httptest.NewServer(mux)
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://")
}

// Operators check a configuration before they send it: what has no effect, what contradicts
// itself, and what changes, from a file or from a node.
func TestCheckMesh(t *testing.T) {
	is := is.New(t)
	out, code := runCommand("check", "--mesh", meshOld)
	is.Equal(code, command.OK)
	checkGolden(t, "mesh-old.txt", out)
	out, code = runCommand("check", "--mesh", "--against", meshOld, meshNew)
	is.Equal(code, command.OK)
	checkGolden(t, "mesh-new.txt", out)
	fromNode, code := runCommand("check", "--mesh", "--node", "127.0.0.1:1", "--node", serveConfiguration(t, meshOld), meshNew)
	is.Equal(code, command.OK)
	is.Equal(fromNode, out)
	out, code = runCommand("check", "--mesh", "--json", "--against", meshOld, meshNew)
	is.Equal(code, command.OK)
	checkGolden(t, "mesh-new-json.txt", out)
	for _, key := range []string{"example-one", "example-three"} {
		is.True(!strings.Contains(out, key)) // keys are secret
	}
}

func TestCheckMeshExitCodes(t *testing.T) {
	const invalid = "testdata/mesh-invalid.json"
	for _, test := range []struct {
		name   string
		args   []string
		want   int
		output string
	}{
		{"no findings", []string{"--strict", meshOld}, command.OK, "version 6 is valid"},
		{"findings", []string{"--strict", meshNew}, command.Failed, "findings and risky changes"},
		{"risky changes", []string{"--strict", "--against", meshNew, meshOld}, command.Failed, "not above version 7"},
		{"the same version", []string{"--against", meshOld, meshOld}, command.OK, "not above version 6"},
		{"invalid", []string{invalid}, command.Usage, "must begin and end with a slash"},
		{"missing", []string{"not-there"}, command.Usage, "not-there"},
		{"invalid version in force", []string{"--against", invalid, meshNew}, command.Usage, "invalid.json"},
		{"node that does not answer", []string{"--node", "127.0.0.1:1", meshNew}, command.Failed, "did not answer"},
	} {
		out, code := runCommand(append([]string{"check", "--mesh"}, test.args...)...)
		if code != test.want || !strings.Contains(out, test.output) {
			t.Errorf("%s: got exit code %d and %q, want %d and output with %q", test.name, code, out, test.want, test.output)
		}
	}
}
