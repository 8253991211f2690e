package logline_test

import (
	"encoding/json"
	"errors"
	"testing"
	"time"

	"chestnutshed.example/chestnutshed/internal/core/logline"
	"github.com/matryer/is"
	"github.com/sirupsen/logrus"
)

// Every line is one JSON object that decodes to the values of the entry.
func TestFormat(t *testing.T) {
	is := is.New(t)
	at := time.Date(2026, 1, 2, 3, 4, 5, 6e6, time.UTC)
	e := &logrus.Entry{Time: at, Level: logrus.WarnLevel, Message: "a \"b\"\n\x01é", Data: logrus.Fields{
		"n": 7, "big": uint64(1) << 63, "score": 2.5, "yes": true, "list": []string{"x", "\\"}, "none": []string(nil),
		"error": errors.New("lost\tway"), "msg": "field", "map": map[string]int{"k": 1}, "func": func() {}, "ms": int64(-3),
	}}
	line, err := logline.Formatter{}.Format(e)
	is.NoErr(err)
	is.Equal(line[len(line)-1], byte('\n'))
	var back map[string]any
	is.NoErr(json.Unmarshal(line, &back))
	is.Equal(back["time"], "2026-01-02T03:04:05.006Z")
	is.Equal(back["level"], "warning")
	is.Equal(back["msg"], "a \"b\"\n\x01é")
	is.Equal(back["fields.msg"], "field")
	is.Equal(back["n"], 7.0)
	is.Equal(back["score"], 2.5)
	is.Equal(back["yes"], true)
	is.Equal(back["list"], []any{"x", "\\"})
	is.Equal(back["none"], []any{})
	is.Equal(back["error"], "lost\tway")
	is.Equal(back["map"], map[string]any{"k": 1.0})
	is.Equal(back["ms"], -3.0)
	is.True(back["func"] != nil)
}

func benchmark(b *testing.B, f logrus.Formatter) {
	b.ReportAllocs()
	e := logrus.NewEntry(logrus.New()).WithFields(logrus.Fields{
		"request": "28d2ee26f138d359", "route": "r-68vp3sv", "ms": int64(12), "config_age_ms": int64(900),
		"tried": []string{"u5yzcc5ijj"}, "status": 200, "config": uint64(7), "service": "s", "node": "n", "component": "relay",
	})
	for b.Loop() {
		if _, err := f.Format(e); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkFormat(b *testing.B) { benchmark(b, logline.Formatter{}) }

func BenchmarkLogrus(b *testing.B) { benchmark(b, &logrus.JSONFormatter{DisableHTMLEscape: true}) }
