package active_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"chestnutshed.example/chestnutshed/internal/config/active"
	"chestnutshed.example/chestnutshed/internal/core/kernel"
	"chestnutshed.example/chestnutshed/internal/standin/rig"
	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var start = time.Unix(0, 0)

// text returns a valid manifest, different for each version.
func text(version uint64) []byte {
	return fmt.Appendf(nil, `{"name": "m", "organisations": [{"name": "a", "rate": %d, "burst": 1}]}`, version+1)
}

func head(version uint64, delta *active.Delta) active.Head {
	return active.Head{Version: version, ShipID: fmt.Sprint(version), Digest: active.Digest(text(version)), Delta: delta}
}

func ExampleDelta_Apply() {
	from, to := []byte("rate 5, burst 9"), []byte("rate 50, burst 9")
	d := active.NewDelta(from, to)
	got, err := d.Apply(from, active.Digest(to))
	fmt.Printf("%s %q %v\n", got, d.Middle, err)
	// Output: rate 50, burst 9 "0" <nil>
}

func TestDeltaOnWrongBase(t *testing.T) {
	is := is.New(t)
	d := active.NewDelta(text(1), text(2))
	_, err := d.Apply([]byte("{}"), active.Digest(text(2)))
	is.True(err != nil)
	_, err = active.Delta{Prefix: -1}.Apply(text(1), "")
	is.True(err != nil)
}

// The active version never decreases, in whatever order versions arrive, and an
// update from another node takes a node from any older version to the other's.
func TestVersionNeverDecreases(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		log := rig.DiscardLogger().WithField("test", "current")
		ahead, behind := active.New(nil, log), active.New(nil, log)
		highest := uint64(0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			version := uint64(rapid.IntRange(1, 50).Draw(t, "version"))
			delta := active.NewDelta(text(version-1), text(version))
			accepted, err := ahead.Accept(start, head(version, delta), text(version))
			if err != nil || accepted != (version > highest) {
				t.Fatalf("version %d over %d: accepted %t, %v", version, highest, accepted, err)
			}
			highest = max(highest, version)
			if ahead.Version() != highest {
				t.Fatalf("active version %d, want %d", ahead.Version(), highest)
			}
			if rapid.Bool().Draw(t, "news") {
				applyUpdate(t, behind, ahead)
			}
		}
	})
}

// applyUpdate updates one node to the version of another.
func applyUpdate(t *rapid.T, behind, ahead *active.Service) {
	update := ahead.UpdateSince(behind.Version())
	for _, h := range update.Heads {
		got := update.Text
		if got == nil {
			var err error
			if got, err = h.Delta.Apply(behind.Get().Text, h.Digest); err != nil {
				t.Fatalf("update %d on %d: %v", h.Version, behind.Version(), err)
			}
		}
		if _, err := behind.Accept(start, h, got); err != nil {
			t.Fatal(err)
		}
	}
	if behind.Version() != ahead.Version() {
		t.Fatalf("at version %d after the update, want %d", behind.Version(), ahead.Version())
	}
}

func TestWrongDigest(t *testing.T) {
	is := is.New(t)
	s := active.New(nil, rig.DiscardLogger().WithField("test", "current"))
	_, err := s.Accept(start, head(1, nil), text(2))
	is.True(err != nil)
	is.Equal(s.Version(), uint64(0))
}

var _ kernel.Service = (*active.Service)(nil)

// BenchmarkAccept activates a manifest of nearly the maximum size.
func BenchmarkAccept(b *testing.B) {
	var routes []string
	for i := range 6000 {
		routes = append(routes, fmt.Sprintf(`{"name": "route-%d", "method": "GET", "path": "/area-%d/things/{id}/details/{part}", "service": "s", "idempotent": true, "deadline": "2s"}`, i, i))
	}
	full := fmt.Appendf(nil, `{"name": "m", "services": [{"name": "s"}], "routes": [%s]}`, strings.Join(routes, ","))
	s := active.New(nil, rig.DiscardLogger().WithField("test", "current"))
	b.SetBytes(int64(len(full)))
	version := uint64(0)
	for b.Loop() {
		version++
		if _, err := s.Accept(start, active.Head{Version: version, ShipID: "x", Digest: active.Digest(full)}, full); err != nil {
			b.Fatal(err)
		}
	}
}
