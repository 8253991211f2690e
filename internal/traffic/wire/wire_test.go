package wire_test

import (
	"net/http"
	"testing"
	"time"

	"chestnutshed.example/chestnutshed/internal/core/failure"
	"chestnutshed.example/chestnutshed/internal/traffic/wire"
	"github.com/matryer/is"
)

func call() wire.Call {
	return wire.Call{ID: "i", Root: "r", Method: "GET", Target: "/x", Depth: 1, Remaining: time.Second}
}

func TestCallRoundTrip(t *testing.T) {
	is := is.New(t)
	text, err := wire.Encode(call())
	is.NoErr(err)
	back, err := wire.DecodeCall(http.Header{wire.CallHeader: {text}})
	is.NoErr(err)
	is.Equal(back, call())
}

func TestDecodeCallRejectsMalformed(t *testing.T) {
	change := func(f func(c *wire.Call)) []string {
		c := call()
		f(&c)
		text, _ := wire.Encode(c)
		return []string{text}
	}
	tests := []struct {
		name   string
		values []string
	}{
		{"no value", nil},
		{"two values", append(change(func(*wire.Call) {}), "{}")},
		{"malformed JSON", []string{"{"}},
		{"no id", change(func(c *wire.Call) { c.ID = "" })},
		{"no root", change(func(c *wire.Call) { c.Root = "" })},
		{"zero depth", change(func(c *wire.Call) { c.Depth = 0 })},
		{"a depth over the limit", change(func(c *wire.Call) { c.Depth = wire.MaxDepth + 1 })},
		{"no remaining time", change(func(c *wire.Call) { c.Remaining = 0 })},
		{"negative retries", change(func(c *wire.Call) { c.Retries = -1 })},
		{"a target that is not a path", change(func(c *wire.Call) { c.Target = "http://x/" })},
	}
	for _, tt := range tests {
		if _, err := wire.DecodeCall(http.Header{wire.CallHeader: tt.values}); err == nil {
			t.Errorf("DecodeCall accepted a header with %s", tt.name)
		}
	}
}

func TestDecodeOutcomeOfAnotherCall(t *testing.T) {
	is := is.New(t)
	text, err := wire.Encode(wire.Outcome{ID: "other", Status: http.StatusOK})
	is.NoErr(err)
	_, err = wire.DecodeOutcome(http.Header{wire.OutcomeHeader: {text}}, "mine")
	is.True(err != nil)
}

func TestForwardDropsHeaders(t *testing.T) {
	is := is.New(t)
	h := http.Header{
		"Authorization": {"Bearer k"}, "Cookie": {"c"}, "Idempotency-Key": {"t"}, "Chestnut-Call": {"x"},
		"Connection": {"X-Drop, keep-alive"}, "X-Drop": {"1"}, "Transfer-Encoding": {"chunked"}, "X-Keep": {"1"},
	}
	is.Equal(wire.Forward(h), http.Header{"X-Keep": {"1"}})
}

func FuzzDecodeCall(f *testing.F) {
	text, _ := wire.Encode(call())
	f.Add(text)
	f.Add(`{"id":"a","root":"b","depth":-1}`)
	f.Fuzz(func(t *testing.T, text string) {
		c, err := wire.DecodeCall(http.Header{wire.CallHeader: {text}})
		if err != nil {
			return
		}
		if c.Depth < 1 || c.Depth > wire.MaxDepth || c.Remaining <= 0 || c.Retries < 0 {
			t.Errorf("DecodeCall(%q) accepted %+v", text, c)
		}
	})
}

// An outcome without a refusal has the status of a complete response.
func TestDecodeOutcomeWithImpossibleStatus(t *testing.T) {
	for _, status := range []int{-200, 0, 20, 99, 100, 101, 199, 600, 999, 2000} {
		is := is.New(t)
		text, err := wire.Encode(wire.Outcome{ID: "mine", Status: status})
		is.NoErr(err)
		_, err = wire.DecodeOutcome(http.Header{wire.OutcomeHeader: {text}}, "mine")
		is.True(err != nil)
		text, err = wire.Encode(wire.Outcome{ID: "mine", Refusal: failure.New(failure.Overload, "no room")})
		is.NoErr(err)
		_, err = wire.DecodeOutcome(http.Header{wire.OutcomeHeader: {text}}, "mine")
		is.NoErr(err)
	}
}
