// Package measure takes the measurements behind docs/CAPACITY.md, on one machine.
// Each function says whether it runs the real programs as processes.
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
	// latencyRequests is the number of measured requests on each of the two paths.
	latencyRequests = 4000
	// warmUpRequests is the number of requests on each path before the
	// measurement.
	warmUpRequests = 500
	// requestInterval is the pause between two requests. It keeps the load moderate.
	requestInterval = time.Millisecond
)

// AddedLatency measures the latency that an entry node and a serving node add to
// a call on loopback. It alternates with direct calls to the target. All nodes
// run in this process.
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
	ways := []*callPath{newCallPath("straight to the target", straight), newCallPath("through two nodes", through)}
	for n := range warmUpRequests + latencyRequests {
		for _, w := range ways {
			if err := w.measureCall(ctx, n >= warmUpRequests); err != nil {
				return err
			}
			time.Sleep(requestInterval)
		}
	}
	for _, w := range ways {
		_, _ = fmt.Fprintf(out, "%s: p50 %.3f ms, p99 %.3f ms, %.0f allocations a call in all processes' code\n",
			w.name, w.percentileMs(50), w.percentileMs(99), float64(w.mallocs)/latencyRequests)
	}
	_, err = fmt.Fprintf(out, "added by two nodes: p50 %.3f ms, p99 %.3f ms (target: p99 0.8 ms)\n",
		ways[1].percentileMs(50)-ways[0].percentileMs(50), ways[1].percentileMs(99)-ways[0].percentileMs(99))
	return err
}

// callPath is a network path to a target.
type callPath struct {
	name    string
	url     string
	client  *http.Client
	times   *hdrhistogram.Histogram
	mallocs uint64
}

func newCallPath(name, url string) *callPath {
	return &callPath{name: name, url: url, client: &http.Client{}, times: hdrhistogram.New(1, time.Minute.Microseconds(), 3)}
}

func (w *callPath) percentileMs(quantile float64) float64 {
	return float64(w.times.ValueAtQuantile(quantile)) / 1000
}

func (w *callPath) measureCall(ctx context.Context, count bool) error {
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
