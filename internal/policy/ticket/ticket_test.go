package ticket_test

import (
	"fmt"
	"testing"
	"time"

	"chestnutshed.example/chestnutshed/internal/core/failure"
	"chestnutshed.example/chestnutshed/internal/policy/ticket"
	"github.com/google/uuid"
	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

// A retry of a request that has run gets the cached answer.
func ExampleRegistry() {
	reg := ticket.NewRegistry(uuid.New(), start)
	tickets, _ := reg.Issue(start, "acme", 1)
	t := tickets[0]
	fmt.Printf("%T\n", reg.Begin(start, t, "acme", "pay 5"))
	reg.Finish(t, ticket.Completed{Answer: ticket.Answer{Status: 200}})
	fmt.Printf("%T\n", reg.Begin(start, t, "acme", "pay 5"))
	// Output:
	// ticket.Run
	// ticket.Replay
}

func TestParse(t *testing.T) {
	is := is.New(t)
	reg := ticket.NewRegistry(uuid.New(), start)
	tickets, err := reg.Issue(start, "acme", 2)
	is.NoErr(err)
	parsed, err := ticket.Parse(tickets[1].String())
	is.NoErr(err)
	is.Equal(parsed, tickets[1])
	for _, text := range []string{"", "x", tickets[0].String() + "A", "!" + tickets[0].String()[1:], "B" + tickets[0].String()[1:]} {
		_, err := ticket.Parse(text)
		is.True(err != nil)
	}
}

func TestBeginRefuses(t *testing.T) {
	reg := ticket.NewRegistry(uuid.New(), start)
	other := ticket.NewRegistry(uuid.New(), start)
	tickets, _ := reg.Issue(start, "acme", 2)
	foreign, _ := other.Issue(start, "acme", 1)
	reg.Begin(start, tickets[1], "acme", "first")
	tests := []struct {
		name   string
		at     time.Time
		ticket ticket.Ticket
		org    string
		want   failure.Reason
		ran    failure.Ran
	}{
		{"another organisation", start, tickets[0], "other", failure.BadTicket, failure.RanNo},
		{"another issuer", start, foreign[0], "acme", failure.BadTicket, failure.RanNo},
		{"expired", start.Add(2 * time.Hour), tickets[0], "acme", failure.BadTicket, failure.RanUnknown},
		{"another request under the ticket", start, tickets[1], "acme", failure.TicketUsed, failure.RanNo},
	}
	for _, tt := range tests {
		step, ok := reg.Begin(tt.at, tt.ticket, tt.org, "second").(ticket.Refuse)
		if !ok || step.Refusal.Reason != tt.want || step.Refusal.Ran != tt.ran {
			t.Errorf("%s: got %+v, want %s, ran %s", tt.name, step, tt.want, tt.ran)
		}
	}
}

// The eviction of a cached answer must not free its ticket: the request would
// run a second time.
func TestEvictionKeepsUsedBit(t *testing.T) {
	is := is.New(t)
	reg := ticket.NewRegistry(uuid.New(), start)
	tickets, _ := reg.Issue(start, "acme", 10)
	for _, x := range tickets {
		reg.Begin(start, x, "acme", "p")
		reg.Finish(x, ticket.Completed{Answer: ticket.Answer{Body: make([]byte, 1<<20)}})
	}
	step, ok := reg.Begin(start, tickets[0], "acme", "p").(ticket.Refuse)
	is.True(ok)
	is.Equal(step.Refusal.Ran, failure.RanYes)
}

// Retries, finishes and handovers at planned stops come in any order. A request
// may run again only if its earlier run had the outcome NotRun.
func TestAtMostOnceProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := start
		reg := ticket.NewRegistry(uuid.New(), now)
		tickets, err := reg.Issue(now, "acme", 5)
		if err != nil {
			t.Fatal(err)
		}
		running, ran := map[int]bool{}, map[int]bool{}
		for range 80 {
			now = now.Add(time.Duration(rapid.IntRange(0, 60).Draw(t, "seconds")) * time.Second)
			n := rapid.IntRange(0, len(tickets)-1).Draw(t, "ticket")
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0:
				if !running[n] {
					continue
				}
				delete(running, n)
				switch rapid.IntRange(0, 2).Draw(t, "outcome") {
				case 0:
					reg.Finish(tickets[n], ticket.Completed{})
					ran[n] = true
				case 1:
					reg.Finish(tickets[n], ticket.Unknown{})
					ran[n] = true
				default:
					reg.Finish(tickets[n], ticket.NotRun{Refusal: failure.New(failure.Overload, "")})
				}
			case 1:
				if len(running) > 0 {
					continue
				}
				reg.Close()
				snapshot, err := reg.Export(now)
				if err != nil {
					t.Fatal(err)
				}
				if reg, err = ticket.Restore(now, snapshot); err != nil {
					t.Fatal(err)
				}
			default:
				if _, ok := reg.Begin(now, tickets[n], "acme", "p").(ticket.Run); !ok {
					continue
				}
				if ran[n] || running[n] {
					t.Fatalf("ticket %d runs twice", n)
				}
				running[n] = true
			}
		}
	})
}

func FuzzParse(f *testing.F) {
	reg := ticket.NewRegistry(uuid.New(), start)
	tickets, _ := reg.Issue(start, "acme", 1)
	f.Add(tickets[0].String())
	f.Add("")
	f.Fuzz(func(t *testing.T, text string) {
		parsed, err := ticket.Parse(text)
		if err == nil && parsed.String() != text {
			t.Errorf("%q parses as %q", text, parsed)
		}
	})
}
