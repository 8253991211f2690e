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

// payment is a request with a ticket that a caller retries until it knows the
// outcome. The mark is its body, by which target records are matched.
type payment struct {
	b      *process.Testbed
	ticket string
	mark   string
	client *http.Client
}

func newPayment(ctx context.Context, t *testing.T, b *process.Testbed, owner *process.Member, mark string) payment {
	t.Helper()
	ticket, err := process.Ticket(ctx, http.DefaultClient, owner.CallerAddress(), "example-acme")
	if err != nil {
		t.Fatal(err)
	}
	return payment{b, ticket, mark, &http.Client{Timeout: 20 * time.Second}}
}

// send sends the payment through an entry node. For a connection error it returns
// a response without a status.
func (p payment) send(ctx context.Context, entry *process.Member) process.Response {
	a, err := process.Do(ctx, p.client, process.Request{
		Entry: entry.CallerAddress(), Method: "POST", Path: "/pay", Key: "example-acme", Ticket: p.ticket, Body: p.mark,
	})
	if err != nil {
		return process.Response{Ran: "unknown"}
	}
	return a
}

// runs returns how often targets received the payment.
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

// A payment runs at most once: its caller retries it through all nodes while the
// node that owns its ticket is killed, paused or stopped during the run.
func TestPaymentAtMostOnce(t *testing.T) {
	tests := []struct {
		name string
		// fault is applied to the owner while the payment runs on a target.
		fault func(ctx context.Context, owner *process.Member)
		// after runs before the last retry.
		after func(owner *process.Member)
		// want lists the permitted values of Ran in the last response; "" is
		// for the target's own response.
		want []string
	}{
		{"no fault", func(context.Context, *process.Member) {}, func(*process.Member) {}, []string{""}},
		{"owner is killed", func(_ context.Context, h *process.Member) { h.Node.Kill() }, func(*process.Member) {}, []string{"unknown"}},
		// An owner that was paused past the deadline has both the response and the
		// expired deadline pending when it resumes, and may handle either first.
		{"owner is paused and resumed", func(_ context.Context, h *process.Member) { h.Node.Pause() }, func(h *process.Member) { h.Node.Resume() }, []string{"", "unknown"}},
		{"owner stops gracefully", func(_ context.Context, h *process.Member) { h.Node.Terminate() }, func(h *process.Member) { <-h.Node.Done() }, []string{""}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			b, ctx := newTestbed(t, "small.jsonc")
			addFrontAndBack(ctx, t, b)
			owner, err := b.AddMember("zone-0", "", nil)
			is.NoErr(err)
			is.NoErr(b.Ready(ctx, 3, 2))
			p := newPayment(ctx, t, b, owner, "pay 5")
			setFaults(t, b, target.Faults{Hold: true})
			var wg sync.WaitGroup
			for _, m := range b.Members {
				wg.Go(func() { p.send(ctx, m) })
			}
			p.awaitRun(ctx, t)
			tt.fault(ctx, owner)
			setFaults(t, b, target.Faults{})
			wg.Wait()
			tt.after(owner)
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

// A request refused as "not run" has reached no target, and no payment runs twice,
// while nodes and targets are killed at arbitrary points of the requests.
func TestNotRunRefusalsUnderKills(t *testing.T) {
	is := is.New(t)
	b, ctx := newTestbed(t, "small.jsonc")
	addFrontAndBack(ctx, t, b)
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
	outcomes := map[string]int{}
	for _, s := range all {
		outcomes[s.ran]++
		if s.ran == "no" && seen[s.mark] > 0 {
			t.Errorf("%s was refused as not run, but a target received it", s.mark)
		}
		if seen[s.mark] > 1 {
			t.Errorf("%s ran %d times", s.mark, seen[s.mark])
		}
	}
	t.Logf("%d payments: %v", len(all), outcomes)
	is.True(outcomes[""] > 0) // some payments were answered
	if outcomes["no"]+outcomes["unknown"] == 0 {
		t.Error("no request failed during the kills")
	}
}
