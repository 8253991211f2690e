package process_test

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"chestnutshed.example/chestnutshed/internal/standin/process"
	"chestnutshed.example/chestnutshed/internal/standin/target"
	"github.com/matryer/is"
)

// payment is one payment that a caller repeats until it knows the outcome.
type payment struct {
	b      *process.Testbed
	ticket string
	mark   string
	client *http.Client
}

func newPayment(ctx context.Context, t *testing.T, b *process.Testbed, home *process.Member, mark string) payment {
	t.Helper()
	ticket, err := process.Ticket(ctx, http.DefaultClient, home.CallerAddress(), "example-acme")
	if err != nil {
		t.Fatal(err)
	}
	return payment{b, ticket, mark, &http.Client{Timeout: 20 * time.Second}}
}

// send sends the payment through an entry node; an error of the connection is
// an answer without a status.
func (p payment) send(ctx context.Context, entry *process.Member) process.Response {
	a, err := process.Do(ctx, p.client, process.Request{
		Entry: entry.CallerAddress(), Method: "POST", Path: "/pay", Key: "example-acme", Ticket: p.ticket, Body: p.mark,
	})
	if err != nil {
		return process.Response{Ran: "unknown"}
	}
	return a
}

// runs is how often targets saw the payment.
func (p payment) runs(t *testing.T) int {
	t.Helper()
	n, err := p.b.CountRequests("/pay", p.mark)
	if err != nil {
		t.Fatal(err)
	}
	return n
}

func (p payment) awaitRun(ctx context.Context, t *testing.T) {
	t.Helper()
	if err := process.Until(ctx, func() bool { return p.runs(t) == 1 }); err != nil {
		t.Fatal(err)
	}
}

func setFaults(t *testing.T, b *process.Testbed, f target.Faults) {
	t.Helper()
	for _, m := range b.Members {
		if m.Target == nil {
			continue
		}
		if err := m.SetFaults(f); err != nil {
			t.Fatal(err)
		}
	}
}

// A payment runs at most once, whatever happens to its home while it runs and
// through whichever nodes its caller repeats it.
func TestPaymentAtMostOnce(t *testing.T) {
	tests := []struct {
		name string
		// fault happens to the home while the payment runs on a target.
		fault func(ctx context.Context, home *process.Member)
		// after happens before the last repeat.
		after func(home *process.Member)
		// want lists what the last repeat may say: "" for the whole answer, or
		// whether the payment ran.
		want []string
	}{
		{"nothing", func(context.Context, *process.Member) {}, func(*process.Member) {}, []string{""}},
		{"the home dies", func(_ context.Context, h *process.Member) { h.Node.Kill() }, func(*process.Member) {}, []string{"unknown"}},
		// A home that was frozen past the deadline finds both the answer and the
		// end of the deadline when it comes back, and may see either first.
		{"the home freezes and comes back", func(_ context.Context, h *process.Member) { h.Node.Pause() }, func(h *process.Member) { h.Node.Resume() }, []string{"", "unknown"}},
		{"the home stops as planned", func(_ context.Context, h *process.Member) { h.Node.Terminate() }, func(h *process.Member) { <-h.Node.Done() }, []string{""}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			b, ctx := newBench(t, "small.jsonc")
			addTwo(ctx, t, b)
			home, err := b.AddMember("zone-0", "", nil)
			is.NoErr(err)
			is.NoErr(b.Ready(ctx, 3, 2))
			p := newPayment(ctx, t, b, home, "pay 5")
			setFaults(t, b, target.Faults{Hold: true})
			var wg sync.WaitGroup
			for _, m := range b.Members {
				wg.Go(func() { p.send(ctx, m) })
			}
			p.awaitRun(ctx, t)
			tt.fault(ctx, home)
			setFaults(t, b, target.Faults{})
			wg.Wait()
			tt.after(home)
			var last process.Response
			is.NoErr(process.Until(ctx, func() bool {
				last = p.send(ctx, b.Members[1])
				return last.Status == http.StatusOK || slices.Contains(tt.want, last.Ran)
			}))
			is.True(slices.Contains(tt.want, last.Ran))
			is.Equal(p.runs(t), 1)
		})
	}
}

// A refusal that says "not run" is true: while nodes and targets are killed at
// random steps of requests, no target ever saw a request that was refused so,
// and none saw a payment twice.
func TestNotRunIsTrueUnderKills(t *testing.T) {
	is := is.New(t)
	b, ctx := newBench(t, "small.jsonc")
	addTwo(ctx, t, b)
	entry, err := b.AddMember("zone-1", "", nil)
	is.NoErr(err)
	is.NoErr(b.Ready(ctx, 3, 2))
	type sent struct {
		mark string
		ran  string
		pay  bool
	}
	var mu sync.Mutex
	var all []sent
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for worker := range 12 {
		wg.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				default:
				}
				mark := fmt.Sprintf("mark-%d-%d", worker, n)
				ticket, err := process.Ticket(ctx, http.DefaultClient, entry.CallerAddress(), "example-acme")
				if err != nil {
					continue
				}
				p := payment{b, ticket, mark, &http.Client{Timeout: 20 * time.Second}}
				a := p.send(ctx, entry)
				mu.Lock()
				all = append(all, sent{mark, a.Ran, true})
				mu.Unlock()
			}
		})
	}
	count := func() int {
		mu.Lock()
		defer mu.Unlock()
		return len(all)
	}
	await := func(n int) {
		from := count()
		is.NoErr(process.Until(ctx, func() bool { return count() >= from+n }))
	}
	flags := []string{"--slots", "20", "--time", "5ms", "--call", "GET:/part/7"}
	for round := range 6 {
		await(60)
		m := b.Members[round%2]
		if round%3 == 0 {
			m.Node.Kill()
			await(30)
			is.NoErr(b.StartNode(m))
		} else {
			m.Target.Kill()
			await(30)
			is.NoErr(b.StartTarget(m, "front", flags...))
		}
	}
	await(60)
	close(stop)
	wg.Wait()
	seen := map[string]int{}
	for _, m := range b.Members {
		records, err := m.Records()
		is.NoErr(err)
		for _, r := range records {
			seen[r.Body]++
		}
	}
	said := map[string]int{}
	for _, s := range all {
		said[s.ran]++
		if s.ran == "no" && seen[s.mark] > 0 {
			t.Errorf("%s was refused as not run, and a target saw it", s.mark)
		}
		if seen[s.mark] > 1 {
			t.Errorf("%s ran %d times", s.mark, seen[s.mark])
		}
	}
	t.Logf("%d payments: %v", len(all), said)
	is.True(said[""] > 0) // some were answered
	if said["no"]+said["unknown"] == 0 {
		t.Error("the kills met no request")
	}
}
