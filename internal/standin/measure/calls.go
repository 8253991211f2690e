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

// rateDuration is the duration of the calls at each rate.
const rateDuration = 5 * time.Second

// callRates are the rates to compare, in calls per second.
var callRates = []int{50, 200, 400}

// CallCPU measures the CPU use of an entry node and a serving node at several
// rates, as real processes. The slope between the rates gives the CPU time per
// call.
func CallCPU(ctx context.Context, out io.Writer) error {
	b, closeBench, err := newTestbed()
	if err != nil {
		return err
	}
	defer closeBench()
	entry, serving, err := startNodes(ctx, b)
	if err != nil {
		return err
	}
	for _, rate := range callRates {
		entryBefore, err := readUsage(entry.Node.PID())
		if err != nil {
			return err
		}
		servingBefore, err := readUsage(serving.Node.PID())
		if err != nil {
			return err
		}
		calls, err := sendAtRate(ctx, entry, rate)
		if err != nil {
			return err
		}
		entryAfter, _ := readUsage(entry.Node.PID())
		servingAfter, _ := readUsage(serving.Node.PID())
		_, _ = fmt.Fprintf(out, "%4d calls/s: entry %.2f %% of a core, serving node %.2f %% (%d calls in %s)\n", rate,
			100*(entryAfter.cpu-entryBefore.cpu).Seconds()/rateDuration.Seconds(),
			100*(servingAfter.cpu-servingBefore.cpu).Seconds()/rateDuration.Seconds(), calls, rateDuration)
	}
	return nil
}

// startNodes starts the platform, an entry node and a node with a target.
func startNodes(ctx context.Context, b *process.Testbed) (entry, serving *process.Member, err error) {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
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

// sendAtRate sends calls at a rate for rateDuration, without waiting for answers
// in between. It returns the number of calls.
func sendAtRate(ctx context.Context, entry *process.Member, rate int) (int, error) {
	ticker := time.NewTicker(time.Second / time.Duration(rate))
	defer ticker.Stop()
	results := make(chan error, rate*int(rateDuration/time.Second)+1)
	calls := 0
	for end := time.Now().Add(rateDuration); time.Now().Before(end); calls++ {
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
