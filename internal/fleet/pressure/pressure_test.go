package pressure_test

import (
	"io"
	"testing"
	"time"

	"chestnutshed.example/chestnutshed/internal/fleet/pressure"
	"chestnutshed.example/chestnutshed/internal/policy/chain"
	"chestnutshed.example/chestnutshed/internal/policy/priority"
	"github.com/VictoriaMetrics/metrics"
	"github.com/matryer/is"
	"github.com/sirupsen/logrus"
)

var start = time.Unix(1000, 0)

func newService() *pressure.Service {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return pressure.New(func() time.Time { return start }, func() uint64 { return 1 }, metrics.NewSet(), logrus.NewEntry(log))
}

func profile() chain.Profile {
	return chain.Profile{Calls: map[chain.Child]float64{{Service: "s", Route: "c"}: 4}, At: start}
}

// A node that has just started learns from the first packet of a peer which services are
// short and which ones routes use.
func TestFirstPacketAfterRestart(t *testing.T) {
	is := is.New(t)
	serving, restarted := newService(), newService()
	serving.Learn(start, "r", profile())
	serving.Measure(start, "s", chain.Pressure{Cutoff: 8.125})
	restarted.Noted(start, "serving", serving.Note())
	v := restarted.View(start)
	is.Equal(v.Cutoffs["s"], priority.Cutoff(8.125))
	is.Equal(v.Needs["r"]["s"], 4.0)
	p, ok := restarted.Get(start, "s")
	is.True(ok)
	is.Equal(p.Cutoff, priority.Cutoff(8.125))
}

// Results between nodes carry a report as soon as something has changed, within a bound on
// the bytes per second.
func TestResultNotes(t *testing.T) {
	is := is.New(t)
	s := newService()
	is.True(s.ResultNote(start) == nil)
	s.Learn(start, "r", profile())
	bytes := 0
	for ms := range 10_000 {
		now := start.Add(time.Duration(ms) * time.Millisecond)
		s.Measure(now, "s", chain.Pressure{Cutoff: 8.1})
		bytes += len(s.ResultNote(now))
	}
	is.True(bytes > 10_000)
	is.True(bytes < 21_000)
}

// FuzzNoted feeds reports of any content. They are ignored or give values within range.
func FuzzNoted(f *testing.F) {
	for _, text := range []string{
		``, `null`, `[]`, `{}`, `{"svcs":[{"svc":"s","cut":812500,"lost":250,"age":3}],"routes":[{"route":"r","cfg":1,"age":0,"calls":[{"svc":"s","route":"c","n":4000}]}]}`,
		`{"svcs":[{"svc":"","cut":-1,"age":-1}]}`, `{"routes":[{"route":"r","cfg":18446744073709551615,"age":9223372036854775807,"calls":[]}]}`,
		`{"routes":[{"route":"r","cfg":1,"calls":[{"svc":"s","route":"r","n":10000000}]}]}`,
	} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		s := newService()
		s.Noted(start, "peer", text)
		v := s.View(start)
		for _, c := range v.Cutoffs {
			is.New(t).True(c >= 0 && c <= priority.AdmitAll)
		}
		for _, needs := range v.Needs {
			for _, calls := range needs {
				is.New(t).True(calls >= 0)
			}
		}
		s.Note()
	})
}
