package measure

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"time"

	"chestnutshed.example/chestnutshed/examples"
	"chestnutshed.example/chestnutshed/internal/standin/process"
	"github.com/gravitational/trace"
)

// callsFor is how long each rate is sent.
const callsFor = 5 * time.Second

// callRates are the rates whose costs are compared, in calls a second.
var callRates = []int{50, 200, 400}

// CallCPU measures the processor time that entry and serving node spend on a
// call, as real processes, from the slope between rates.
func CallCPU(ctx context.Context, out io.Writer) error {
	b, closeBench, err := newBench()
	if err != nil {
		return err
	}
	defer closeBench()
	entry, serving, err := startPair(ctx, b)
	if err != nil {
		return err
	}
	for _, rate := range callRates {
		entryBefore, err := usageOf(entry.Node.PID())
		if err != nil {
			return err
		}
		servingBefore, err := usageOf(serving.Node.PID())
		if err != nil {
			return err
		}
		calls, err := sendFor(ctx, entry, rate)
		if err != nil {
			return err
		}
		entryAfter, _ := usageOf(entry.Node.PID())
		servingAfter, _ := usageOf(serving.Node.PID())
		_, _ = fmt.Fprintf(out, "%4d calls/s: entry %.2f %% of a core, serving node %.2f %% (%d calls in %s)\n", rate,
			100*(entryAfter.cpu-entryBefore.cpu).Seconds()/callsFor.Seconds(),
			100*(servingAfter.cpu-servingBefore.cpu).Seconds()/callsFor.Seconds(), calls, callsFor)
	}
	return nil
}

// startPair starts an entry node and a node with a target.
func startPair(ctx context.Context, b *process.Testbed) (entry, serving *process.Member, err error) {
	ctx, cancel := context.WithTimeout(ctx, startTime)
	defer cancel()
	if err := b.StartPlatform(ctx); err != nil {
		return nil, nil, err
	}
	text, err := examples.Files.ReadFile("small.jsonc")
	if err != nil {
		return nil, nil, fmt.Errorf("read example: %w", err)
	}
	path := filepath.Join(b.Dir, "small.jsonc")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		return nil, nil, fmt.Errorf("write manifest: %w", err)
	}
	if answer, code := b.Run("ship", "--reviewed", "0", "--by", "measure", path); code != 0 {
		return nil, nil, trace.BadParameter("ship: %s", answer)
	}
	if entry, err = b.AddMember("zone-0", "", []process.Option{quiet}); err != nil {
		return nil, nil, err
	}
	if serving, err = b.AddMember("zone-0", "back", []process.Option{quiet}, "--slots", "100", "--time", "1ms"); err != nil {
		return nil, nil, err
	}
	return entry, serving, b.Ready(ctx, 1, 2)
}

// sendFor sends open calls at a rate for callsFor, one after the other.
func sendFor(ctx context.Context, entry *process.Member, rate int) (int, error) {
	ticker := time.NewTicker(time.Second / time.Duration(rate))
	defer ticker.Stop()
	results := make(chan error, rate*int(callsFor/time.Second)+1)
	calls := 0
	for end := time.Now().Add(callsFor); time.Now().Before(end); calls++ {
		<-ticker.C
		go func() {
			a, err := process.Do(ctx, http.DefaultClient, process.Request{Entry: entry.CallerAddress(), Method: "GET", Path: "/list"})
			if err == nil && a.Status != http.StatusOK {
				err = trace.BadParameter("status %d %s", a.Status, a.Body)
			}
			results <- err
		}()
	}
	for range calls {
		if err := <-results; err != nil {
			return 0, fmt.Errorf("send call: %w", err)
		}
	}
	return calls, nil
}
