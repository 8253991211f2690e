// Package measure takes the figures that docs/CAPACITY.md is worked out from,
// on one machine and with the real programs where it says so.
package measure

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"runtime"
	"strings"
	"time"

	"chestnutshed.example/chestnutshed/internal/standin/deployment"
	"chestnutshed.example/chestnutshed/internal/standin/rig"
	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// addedRequests is the number of requests on each of the two ways.
	addedRequests = 4000
	// addedWarm is the number of requests before the measurement.
	addedWarm = 500
	// addedPause is the time between two requests, so that the load is moderate.
	addedPause = time.Millisecond
)

// AddedLatency measures the time that an entry node and a serving node add to a call
// on loopback, against the same call straight to the target, in turns.
func AddedLatency(ctx context.Context, out io.Writer) error {
	d, err := deployment.Load("small")
	if err != nil {
		return err
	}
	for i := range d.Services {
		d.Services[i].ServiceTime = 0
		d.Services[i].Calls = nil
	}
	r, err := rig.Start(ctx, d, rig.DiscardLogger())
	if err != nil {
		return fmt.Errorf("start deployment: %w", err)
	}
	defer func() { _ = r.Stop() }()
	var back rig.Member
	for _, m := range r.Members {
		if m.Service == "back" {
			back = m
		}
	}
	front := r.Members[0]
	through := "http://" + front.Settings.Callers.Address + "/list"
	straight := "http://" + back.TargetAddress + "/list"
	ways := []*way{newWay("straight to the target", straight), newWay("through two nodes", through)}
	for n := range addedWarm + addedRequests {
		for _, w := range ways {
			if err := w.once(ctx, n >= addedWarm); err != nil {
				return err
			}
			time.Sleep(addedPause)
		}
	}
	for _, w := range ways {
		_, _ = fmt.Fprintf(out, "%s: p50 %.3f ms, p99 %.3f ms, %.0f allocations a call in all processes' code\n",
			w.name, w.at(50), w.at(99), float64(w.mallocs)/addedRequests)
	}
	_, err = fmt.Fprintf(out, "added by two nodes: p50 %.3f ms, p99 %.3f ms (target: p99 0.8 ms)\n",
		ways[1].at(50)-ways[0].at(50), ways[1].at(99)-ways[0].at(99))
	return err
}

// way is one way to a target.
type way struct {
	name    string
	url     string
	client  *http.Client
	times   *hdrhistogram.Histogram
	mallocs uint64
}

func newWay(name, url string) *way {
	return &way{name: name, url: url, client: &http.Client{}, times: hdrhistogram.New(1, time.Minute.Microseconds(), 3)}
}

func (w *way) at(quantile float64) float64 {
	return float64(w.times.ValueAtQuantile(quantile)) / 1000
}

func (w *way) once(ctx context.Context, count bool) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, w.url, nil)
	if err != nil {
		return fmt.Errorf("make request: %w", err)
	}
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	began := time.Now()
	resp, err := w.client.Do(req)
	if err != nil {
		return fmt.Errorf("%s: %w", w.name, err)
	}
	text, err := io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	took := time.Since(began)
	if err != nil || resp.StatusCode != http.StatusOK {
		return fmt.Errorf("%s: %s %s: %w", w.name, resp.Status, strings.TrimSpace(string(text)), err)
	}
	runtime.ReadMemStats(&after)
	if count {
		w.mallocs += after.Mallocs - before.Mallocs
		_ = w.times.RecordValue(took.Microseconds())
	}
	return nil
}
