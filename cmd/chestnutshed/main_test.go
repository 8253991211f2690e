package main

import (
	"bytes"
	"encoding/json"
	"flag"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"chestnutshed.example/chestnutshed/internal/config/manifest"
	"chestnutshed.example/chestnutshed/internal/core/command"
	"chestnutshed.example/chestnutshed/internal/standin/platform"
	"github.com/matryer/is"
)

var update = flag.Bool("update", false, "rewrite the golden files")

const smallManifest = "../../examples/small.jsonc"

// runCommand runs a command line. It returns standard output and standard error
// together, and the exit code.
func runCommand(args ...string) (string, int) {
	var out bytes.Buffer
	code := program(&out).Run(args, &out, &out)
	return out.String(), code
}

// checkGolden compares got with a golden file.
func checkGolden(t *testing.T, name, got string) {
	t.Helper()
	path := filepath.Join("testdata", name)
	if *update {
		if err := os.WriteFile(path, []byte(got), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if got != string(want) {
		t.Errorf("%s: got\n%s\nwant\n%s", name, got, want)
	}
}

// editedManifest applies replacements to the small manifest and returns the path of
// the result. The pairs are old and new strings.
func editedManifest(t *testing.T, pairs ...string) string {
	t.Helper()
	text, err := os.ReadFile(smallManifest)
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "changed.jsonc")
	if err := os.WriteFile(path, []byte(strings.NewReplacer(pairs...).Replace(string(text))), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// Scripts rely on the exit codes: a wrong argument or file gives Usage, a platform
// or node that does not answer gives Failed.
func TestExitCodes(t *testing.T) {
	bad := editedManifest(t, `"rate": 10000`, `"rate": -1`)
	tests := []struct {
		name   string
		args   []string
		want   int
		output string
	}{
		{"help", []string{"--help"}, command.OK, "Available commands"},
		{"help of a command", []string{"ship", "--help"}, command.OK, "exit code 3"},
		{"no command", nil, command.Usage, "command"},
		{"unknown command", []string{"dance"}, command.Usage, "dance"},
		{"unknown flag", []string{"check", "--dance", smallManifest}, command.Usage, "dance"},
		{"a valid manifest", []string{"check", smallManifest}, command.OK, "small is valid"},
		{"an invalid manifest", []string{"check", bad}, command.Usage, "organisations[0].rate: must be above 0"},
		{"missing file", []string{"check", "not-there"}, command.Usage, "not-there"},
		{"valid settings", []string{"check", "--settings", "../../examples/mexico.settings.jsonc"}, command.OK, "valid"},
		{"manifest as settings", []string{"check", "--settings", smallManifest}, command.Usage, "unknown field"},
		{"diff without a platform", []string{"diff", smallManifest}, command.Usage, "--platform"},
		{"ship of an invalid manifest", []string{"ship", "--platform", "http://127.0.0.1:1", "--reviewed", "0", "--by", "x", bad}, command.Usage, "rate"},
		{"unreachable platform", []string{"diff", "--platform", "http://127.0.0.1:1", smallManifest}, command.Failed, "the platform did not answer"},
		{"unreachable node", []string{"state", "--node", "127.0.0.1:1"}, command.Failed, "node 127.0.0.1:1 did not answer"},
		{"settings without a secret", []string{"node", "--settings", "../../examples/mexico.settings.jsonc"}, command.Usage, "secret"},
	}
	for _, tt := range tests {
		out, code := runCommand(tt.args...)
		if code != tt.want || !strings.Contains(out, tt.output) {
			t.Errorf("%s: got exit code %d and %q, want %d and output with %q", tt.name, code, out, tt.want, tt.output)
		}
	}
}

// Two operators ship at the same time: the second one has reviewed version 0, but
// version 1 is active by then. The ship must fail, and succeed after a new review.
func TestDiffAndShip(t *testing.T) {
	is := is.New(t)
	server := httptest.NewServer(platform.New().Handler())
	defer server.Close()
	platformArgs := []string{"--platform", server.URL}
	out, code := runCommand(append([]string{"diff", smallManifest}, platformArgs...)...)
	is.Equal(code, command.OK)
	checkGolden(t, "diff-first.txt", out)
	_, code = runCommand(append([]string{"ship", "--reviewed", "0", "--by", "morning", smallManifest}, platformArgs...)...)
	is.Equal(code, command.OK)
	next := editedManifest(t, `"rate": 10000, "burst": 10000, "keys": ["`+manifest.Digest("example-other"), `"rate": 50, "burst": 10000, "keys": ["`+manifest.Digest("example-new"),
		`"importance": "critical"`, `"importance": "low"`, `"open": true`, `"open": false`, `{"name": "back"}`, `{"name": "back"}, {"name": "third"}`)
	out, code = runCommand(append([]string{"diff", next}, platformArgs...)...)
	is.Equal(code, command.OK)
	checkGolden(t, "diff-next.txt", out)
	out, code = runCommand(append([]string{"ship", "--reviewed", "0", "--by", "afternoon", next}, platformArgs...)...)
	is.Equal(code, command.Conflict)
	is.True(strings.Contains(out, "version 1 by morning"))
	_, code = runCommand(append([]string{"ship", "--reviewed", "1", "--by", "afternoon", next}, platformArgs...)...)
	is.Equal(code, command.OK)
	out, _ = runCommand(append([]string{"diff", next}, platformArgs...)...)
	is.Equal(out, "no changes\nreviewed version: 2\n")
}

// The node finds an organisation by the digest of its key. A digest that does not
// match the printed key would lock the organisation out.
func TestKeyDigest(t *testing.T) {
	is := is.New(t)
	out, code := runCommand("key", "--json")
	is.Equal(code, command.OK)
	var k keyResult
	is.NoErr(json.Unmarshal([]byte(out), &k))
	is.Equal(manifest.Digest(k.Key), k.Digest)
	is.True(len(k.Key) >= 43) // 32 random bytes
}
