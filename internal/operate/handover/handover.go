// Package handover makes the page that one pair of operators gives to the next:
// what is in force, what the system did since the last handover, and what is
// open now.
package handover

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"

	"chestnutshed.example/chestnutshed/internal/config/active"
	"chestnutshed.example/chestnutshed/internal/operate/fleet"
	"chestnutshed.example/chestnutshed/internal/operate/journal"
	"chestnutshed.example/chestnutshed/internal/operate/nodeclient"
	"chestnutshed.example/chestnutshed/internal/operate/review"
	"chestnutshed.example/chestnutshed/internal/operate/ship"
	"chestnutshed.example/chestnutshed/internal/platform/object"
	"chestnutshed.example/chestnutshed/internal/traffic/entry"
	"github.com/gravitational/trace"
)

// lastKey is the object with the latest handover.
const lastKey = "handover/last"

// Mark is what a handover leaves for the next one.
type Mark struct {
	At      time.Time     `json:"at"`
	By      string        `json:"by"`
	Version uint64        `json:"version"`
	Roots   []entry.Tally `json:"roots"`
}

// Page is one handover.
type Page struct {
	At time.Time `json:"at"`
	By string    `json:"by"`
	// Since is the handover before; nil for the first.
	Since *Mark `json:"since,omitempty"`
	// InForce is the configuration at the platform; nil before the first ship
	// or when the platform gives no answer.
	InForce *active.Head `json:"in_force"`
	// Ships are those since the last handover, the oldest first.
	Ships []ship.Entry `json:"ships"`
	// Counts counts what became of roots since the last handover.
	Counts []entry.Tally `json:"did"`
	// StoppedNodes is the number of nodes whose counts are in the journal.
	StoppedNodes int           `json:"stopped_nodes"`
	Now          fleet.Picture `json:"now"`
	// Open lists what needs attention.
	Open []string `json:"open"`

	total []entry.Tally
}

// Make reads the platform and what nodes said. What the platform doesn't
// answer is listed as open; the page holds the rest.
func Make(ctx context.Context, now time.Time, by string, store *object.Client, f nodeclient.Fleet) Page {
	p := Page{At: now.UTC(), By: by, Now: fleet.New(f)}
	p.readPlatform(ctx, store)
	for _, s := range f.States {
		p.total = entry.Add(p.total, s.Entry.Roots)
		p.openAt(s)
	}
	p.Counts = p.total
	if p.Since != nil {
		p.Counts = entry.Subtract(p.total, p.Since.Roots)
	}
	for _, m := range f.Missing {
		p.Open = append(p.Open, m+" gives no answer")
	}
	slices.Sort(p.Open)
	return p
}

func (p *Page) readPlatform(ctx context.Context, store *object.Client) {
	open := func(err error) {
		if err != nil {
			p.Open = append(p.Open, "platform: "+err.Error())
		}
	}
	mark, err := readMark(ctx, store)
	open(err)
	p.Since = mark
	force, err := ship.Read(ctx, store)
	open(err)
	if err == nil && force.Object > 0 {
		head := force.Head
		head.Delta = nil
		p.InForce = &head
	}
	history, err := ship.History(ctx, store)
	open(err)
	for _, e := range history {
		if mark == nil || e.Head.Version > mark.Version {
			p.Ships = append(p.Ships, e)
		}
	}
	counts, err := journal.ReadAll(ctx, store)
	open(err)
	p.StoppedNodes = counts.Nodes
	p.total = counts.Roots
}

// openAt notes what needs attention at one node.
func (p *Page) openAt(s nodeclient.State) {
	add := func(format string, args ...any) {
		p.Open = append(p.Open, s.Address+": "+fmt.Sprintf(format, args...))
	}
	if s.Config.Trouble != "" {
		add("%s", s.Config.Trouble)
	}
	if s.Config.Head != nil && p.InForce != nil && s.Config.Head.Version < p.InForce.Version {
		add("has version %d, in force is %d", s.Config.Head.Version, p.InForce.Version)
	}
	if s.Serve.Failing {
		add("its target fails %.0f %% of requests", 100*s.Serve.Failures)
	}
	if s.Serve.Draining {
		add("is draining")
	}
	if g := s.Serve.Gate; g.Slots > 0 && g.Limit < g.Slots {
		add("its limit is %d of %d slots", g.Limit, g.Slots)
	}
	for _, h := range s.Shards.Held {
		if h.Claim != "whole" {
			add("holds %s as %s: the organisation gets half of that part", h.Part, h.Claim)
		}
	}
}

func readMark(ctx context.Context, store *object.Client) (*Mark, error) {
	o, err := store.Get(ctx, lastKey)
	if trace.IsNotFound(err) {
		return nil, nil
	}
	if err != nil {
		return nil, fmt.Errorf("read last handover: %w", err)
	}
	var m Mark
	if err := json.Unmarshal(o.Value, &m); err != nil {
		return nil, trace.BadParameter("handover object: %v", err)
	}
	return &m, nil
}

// Keep makes this page the one that the next handover counts from.
func (p Page) Keep(ctx context.Context, store *object.Client) error {
	o, err := store.Get(ctx, lastKey)
	if err != nil && !trace.IsNotFound(err) {
		return fmt.Errorf("read last handover: %w", err)
	}
	m := Mark{At: p.At, By: p.By, Roots: p.total}
	if p.InForce != nil {
		m.Version = p.InForce.Version
	}
	value, err := json.Marshal(m)
	if err != nil {
		return fmt.Errorf("encode handover: %w", err)
	}
	if _, err := store.Put(ctx, lastKey, value, o.Version); err != nil {
		return fmt.Errorf("keep handover: %w", err)
	}
	return nil
}

// Text is the page for a terminal.
func (p Page) Text() string {
	var b strings.Builder
	fmt.Fprintf(&b, "HANDOVER %s by %s\n", p.At.Format(time.RFC3339), p.By)
	if p.Since != nil {
		fmt.Fprintf(&b, "since %s by %s\n", p.Since.At.Format(time.RFC3339), p.Since.By)
	}
	b.WriteString("\nIN FORCE\n")
	if p.InForce != nil {
		fmt.Fprintf(&b, "version %d, shipped %s by %s\n", p.InForce.Version, p.InForce.At.Format(time.RFC3339), p.InForce.By)
	} else {
		b.WriteString("not known\n")
	}
	for _, e := range p.Ships {
		fmt.Fprintf(&b, "version %d, %s by %s:\n%s", e.Head.Version, e.Head.At.Format(time.RFC3339), e.Head.By, review.Text(e.Changes))
	}
	b.WriteString("\nWHAT THE SYSTEM DID\n")
	for _, t := range p.Counts {
		fmt.Fprintf(&b, "%-16s %-12s whole %d%s\n", orNone(t.Organisation), orNone(t.Route), t.Answered, refusals(t))
	}
	fmt.Fprintf(&b, "%d stopped nodes are counted; counts of nodes that died are missing\n", p.StoppedNodes)
	b.WriteString("\nOPEN NOW\n")
	for _, o := range p.Open {
		fmt.Fprintln(&b, o)
	}
	if len(p.Open) == 0 {
		b.WriteString("nothing\n")
	}
	fmt.Fprintf(&b, "\nNODES\n%s", p.Now.Text())
	return b.String()
}

func orNone(name string) string {
	if name == "" {
		return "(none)"
	}
	return name
}

func refusals(t entry.Tally) string {
	var b strings.Builder
	for _, r := range t.Refusals {
		if r.Count > 0 {
			fmt.Fprintf(&b, ", %s %d", r.Reason, r.Count)
		}
	}
	return b.String()
}
