package settings_test

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"chestnutshed.example/chestnutshed/examples"
	"chestnutshed.example/chestnutshed/internal/config/settings"
	"github.com/matryer/is"
)

func TestExamplesAreValid(t *testing.T) {
	for _, name := range []string{"budapest.settings.jsonc", "mexico.settings.jsonc"} {
		text, err := examples.Files.ReadFile(name)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := settings.Parse(text); err != nil {
			t.Errorf("%s: %v", name, err)
		}
	}
}

func TestErrorsListEveryInvalidField(t *testing.T) {
	_, err := settings.Parse([]byte(`{
		"platform": "ftp://x", "callers": {"address": "1", "tls": {"cert": "c"}},
		"peers": {"address": "127.0.0.1:1", "tls": {"ca": "a"}}, "join": ["x"], "level": "loud", "drain": "-1s",
	}`))
	for _, field := range []string{"zone", "region", "platform", "callers.address", "callers.tls", "peers.tls", "target.address", "operators.address", "join[0]", "level", "drain"} {
		if !strings.Contains(err.Error(), field+": ") {
			t.Errorf("no error for %s in %v", field, err)
		}
	}
}

func TestSecretLoadedAndNotEncoded(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	is.NoErr(os.WriteFile(filepath.Join(dir, "secret"), []byte("a secret of the fleet\n"), 0o600))
	text, err := examples.Files.ReadFile("budapest.settings.jsonc")
	is.NoErr(err)
	file := strings.Replace(string(text), "env:CHESTNUTSHED_SECRET", "file:"+filepath.Join(dir, "secret"), 1)
	path := filepath.Join(dir, "settings.jsonc")
	is.NoErr(os.WriteFile(path, []byte(file), 0o600))
	s, err := settings.Load(path)
	is.NoErr(err)
	is.Equal(string(s.FleetSecret()), "a secret of the fleet")
	out, err := json.Marshal(s)
	is.NoErr(err)
	is.True(!strings.Contains(string(out), "a secret of the fleet"))
	short := strings.Replace(file, "file:"+filepath.Join(dir, "secret"), "env:CHESTNUTSHED_NOT_SET", 1)
	is.NoErr(os.WriteFile(path, []byte(short), 0o600))
	_, err = settings.Load(path)
	is.True(err != nil && strings.Contains(err.Error(), "fewer than 16 bytes"))
}

// A price of traffic between zones of 0 means that it is free, and none the default.
func TestZonePrice(t *testing.T) {
	for text, want := range map[string][2]float64{
		`{}`:                                    {0.2, 0.5},
		`{"zones": {"price": 0}}`:               {0, 0.5},
		`{"zones": {"price": 0.1, "inner": 1}}`: {0.1, 1},
	} {
		t.Run(text, func(t *testing.T) {
			is := is.New(t)
			var m settings.Mesh
			is.NoErr(settings.Decode([]byte(text), &m))
			price, inner := m.Defaults().Zones.Prices()
			is.Equal([2]float64{price, inner}, want)
		})
	}
}

// A negative price is a clear error.
func TestNegativeZonePrice(t *testing.T) {
	is := is.New(t)
	var m settings.Mesh
	is.NoErr(settings.Decode([]byte(`{"zones": {"inner": -1}}`), &m))
	err := m.Defaults().Validate()
	is.True(err != nil && strings.Contains(err.Error(), "zones.inner"))
}

// Bodies of callers and of peers each take their room, so that both must fit beside the rest.
func TestBodiesWithinMemory(t *testing.T) {
	for _, test := range []struct {
		memory, bodies int
		valid          bool
	}{{184, 0, true}, {184, 61, true}, {184, 62, false}, {0, 500, true}, {184, -1, false}} {
		err := settings.Mesh{Memory: test.memory, Bodies: test.bodies}.Defaults().Validate()
		is.New(t).Equal(!strings.Contains(err.Error(), "bodies: "), test.valid)
	}
}
