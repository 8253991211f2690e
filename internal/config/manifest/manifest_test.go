package manifest_test

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"chestnutshed.example/chestnutshed/examples"
	"chestnutshed.example/chestnutshed/internal/config/manifest"
	"github.com/gravitational/trace"
	"github.com/matryer/is"
)

var update = flag.Bool("update", false, "update golden files")

// golden compares got with a golden file in testdata.
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

// The route with the most literal segments wins.
func ExampleIndex_Match() {
	m, _ := manifest.Parse([]byte(`{
		"name": "m",
		"services": [{"name": "s"}],
		"routes": [
			{"name": "any", "method": "GET", "path": "/a/{id}", "service": "s", "idempotent": true},
			{"name": "fixed", "method": "GET", "path": "/a/b", "service": "s", "idempotent": true},
		],
	}`))
	x, _ := manifest.NewIndex(m)
	fmt.Println(x.Match("GET", "/a/b").Name, x.Match("GET", "/a/c").Name, x.Match("PUT", "/a/b"))
	// Output: fixed any <nil>
}

func TestExamplesAreValid(t *testing.T) {
	for _, name := range []string{"budapest.jsonc", "mexico.jsonc", "small.jsonc"} {
		text, err := examples.Files.ReadFile(name)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := manifest.Parse(text); err != nil {
			t.Errorf("%s: %v", name, err)
		}
	}
}

func TestErrorsListEveryInvalidField(t *testing.T) {
	_, err := manifest.Parse([]byte(`{
		"organisations": [
			{"name": "a", "rate": 0, "burst": 0.5, "share": -1, "parts": 99, "keys": ["secret"]},
			{"name": "a", "rate": 1, "burst": 2, "keys": ["sha256:00"]},
		],
		"services": [{"name": ""}, {"name": "s"}, {"name": "s"}],
		"routes": [
			{"name": "r", "method": "GET", "path": "/x/{id}", "service": "none", "idempotent": false},
			{"name": "r", "method": "GET", "path": "/x/{other}", "service": "s", "idempotent": true, "deadline": "1h"},
			{"name": "p", "method": "PUSH", "path": "x", "service": "s", "open": true, "internal": true, "body": -1, "answer": 999999999},
			{"name": "q", "method": "PUT", "path": "/{rest...}/x", "service": "s", "open": true},
		],
		"retry": {"budget": 99, "ratio": 2},
	}`))
	golden(t, "errors.txt", err.Error()+"\n")
}

func TestParseErrors(t *testing.T) {
	tests := []struct{ name, text, want string }{
		{"unknown field", `{"name": "m", "colour": 1}`, "unknown field"},
		{"unknown importance", `{"name": "m", "routes": [{"importance": "huge"}]}`, "importance must be"},
		{"invalid JSON", `{"name": `, "parse manifest"},
		{"trailing text", `{"name": "m"} {}`, "after"},
		{"duration is a number", `{"name": "m", "routes": [{"deadline": 5}]}`, "a duration is a string"},
	}
	for _, tt := range tests {
		_, err := manifest.Parse([]byte(tt.text))
		if err == nil || !strings.Contains(err.Error(), tt.want) {
			t.Errorf("%s: got %v, want %q", tt.name, err, tt.want)
		}
	}
}

func TestTooLarge(t *testing.T) {
	is := is.New(t)
	_, err := manifest.Parse(make([]byte, manifest.MaxSize+1))
	is.True(trace.IsLimitExceeded(err))
	is.True(strings.Contains(err.Error(), fmt.Sprint(manifest.MaxSize+1)))
}

func FuzzParse(f *testing.F) {
	for _, name := range []string{"budapest.jsonc", "small.jsonc"} {
		text, err := examples.Files.ReadFile(name)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		m, err := manifest.Parse(text)
		if err != nil {
			return
		}
		x, err := manifest.NewIndex(m)
		if err != nil {
			t.Fatalf("index of a valid manifest: %v", err)
		}
		for _, r := range m.Routes {
			if x.RouteByName(r.Name) == nil {
				t.Fatalf("route %q is missing", r.Name)
			}
		}
	})
}
