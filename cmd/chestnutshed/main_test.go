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

var update = flag.Bool("update", false, "write golden files anew")

const small = "../../examples/small.jsonc"

// run carries out a command line and returns all output and the exit code.
func run(args ...string) (string, int) {
	var out bytes.Buffer
	code := program(&out).Run(args, &out, &out)
	return out.String(), code
}

func golden(t *testing.T, name, got string) {
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

// changed writes the small manifest with changes and returns its path.
func changed(t *testing.T, pairs ...string) string {
	t.Helper()
	text, err := os.ReadFile(small)
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "changed.jsonc")
	if err := os.WriteFile(path, []byte(strings.NewReplacer(pairs...).Replace(string(text))), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

func TestExitCodes(t *testing.T) {
	bad := changed(t, `"rate": 10000`, `"rate": -1`)
	tests := []struct {
		name string
		args []string
		want int
		says string
	}{
		{"help", []string{"--help"}, command.OK, "Available commands"},
		{"help of a command", []string{"ship", "--help"}, command.OK, "exit code 3"},
		{"no command", nil, command.Usage, "command"},
		{"unknown command", []string{"dance"}, command.Usage, "dance"},
		{"unknown flag", []string{"check", "--dance", small}, command.Usage, "dance"},
		{"a valid manifest", []string{"check", small}, command.OK, "small is valid"},
		{"an invalid manifest", []string{"check", bad}, command.Usage, "organisations[0].rate: must be above 0"},
		{"no file", []string{"check", "not-there"}, command.Usage, "not-there"},
		{"valid settings", []string{"check", "--settings", "../../examples/mexico.settings.jsonc"}, command.OK, "valid"},
		{"a manifest is no settings", []string{"check", "--settings", small}, command.Usage, "unknown field"},
		{"diff without a platform", []string{"diff", small}, command.Usage, "--platform"},
		{"ship of an invalid manifest", []string{"ship", "--platform", "http://127.0.0.1:1", "--reviewed", "0", "--by", "x", bad}, command.Usage, "rate"},
		{"no platform there", []string{"diff", "--platform", "http://127.0.0.1:1", small}, command.Failed, "no answer"},
		{"no node there", []string{"state", "--node", "127.0.0.1:1"}, command.Failed, "no answer"},
		{"settings without a secret", []string{"node", "--settings", "../../examples/mexico.settings.jsonc"}, command.Usage, "secret"},
	}
	for _, tt := range tests {
		out, code := run(tt.args...)
		if code != tt.want || !strings.Contains(out, tt.says) {
			t.Errorf("%s: got %d %q, want %d with %q", tt.name, code, out, tt.want, tt.says)
		}
	}
}

func TestDiffAndShip(t *testing.T) {
	is := is.New(t)
	server := httptest.NewServer(platform.New().Handler())
	defer server.Close()
	at := []string{"--platform", server.URL}
	out, code := run(append([]string{"diff", small}, at...)...)
	is.Equal(code, command.OK)
	golden(t, "diff-first.txt", out)
	_, code = run(append([]string{"ship", "--reviewed", "0", "--by", "morning", small}, at...)...)
	is.Equal(code, command.OK)
	next := changed(t, `"rate": 10000, "burst": 10000, "keys": ["`+manifest.Digest("example-other"), `"rate": 50, "burst": 10000, "keys": ["`+manifest.Digest("example-new"),
		`"importance": "critical"`, `"importance": "low"`, `"open": true`, `"open": false`, `{"name": "back"}`, `{"name": "back"}, {"name": "third"}`)
	out, code = run(append([]string{"diff", next}, at...)...)
	is.Equal(code, command.OK)
	golden(t, "diff-next.txt", out)
	out, code = run(append([]string{"ship", "--reviewed", "0", "--by", "afternoon", next}, at...)...)
	is.Equal(code, command.Conflict)
	is.True(strings.Contains(out, "version 1 by morning"))
	_, code = run(append([]string{"ship", "--reviewed", "1", "--by", "afternoon", next}, at...)...)
	is.Equal(code, command.OK)
	out, _ = run(append([]string{"diff", next}, at...)...)
	is.Equal(out, "no changes\nreviewed version: 2\n")
}

func TestKeyMatchesItsDigest(t *testing.T) {
	is := is.New(t)
	out, code := run("key", "--json")
	is.Equal(code, command.OK)
	var k madeKey
	is.NoErr(json.Unmarshal([]byte(out), &k))
	is.Equal(manifest.Digest(k.Key), k.Digest)
	is.True(len(k.Key) >= 43) // 32 random bytes
}
