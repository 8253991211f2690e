// Package handover builds the shift report of the operators: the active
// configuration, the results of root requests since the last handover, and the
// open issues.
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

// baselineKey is the key of the object with the latest baseline.
const baselineKey = "handover/last"

// Baseline is the stored state of a handover. The next one reports changes since
// then.
type Baseline struct {
	At      time.Time     `json:"at"`
	By      string        `json:"by"`
	Version uint64        `json:"version"`
	Roots   []entry.Tally `json:"roots"`
}

// Page is the report of one handover.
type Page struct {
	At time.Time `json:"at"`
	By string    `json:"by"`
	// Since is the last saved handover, nil if there is none.
	Since *Baseline `json:"since,omitempty"`
	// InForce is the active configuration, nil before the first ship or if the
	// platform does not answer.
	InForce *active.Head `json:"in_force"`
	// Ships are the ships since the last handover, oldest first.
	Ships []ship.Entry `json:"ships"`
	// Counts holds the results of root requests since the last handover.
	Counts []entry.Tally `json:"did"`
	// StoppedNodes is the number of nodes whose counts are in the journal.
	StoppedNodes int           `json:"stopped_nodes"`
	Now          fleet.Summary `json:"now"`
	// Open lists the open issues, sorted.
	Open []string `json:"open"`

	// total is the sum of the journals and the counts of running nodes.
	total []entry.Tally
}

// Collect returns a page from the platform's objects and the state of the nodes.
// Platform reads that fail are listed as open issues; the page holds the rest.
func Collect(ctx context.Context, now time.Time, by string, store *object.Client, f nodeclient.Fleet) Page {
	p := Page{At: now.UTC(), By: by, Now: fleet.New(f)}
	p.readPlatform(ctx, store)
	for _, s := range f.States {
		p.total = entry.Add(p.total, s.Entry.Roots)
		p.addIssues(s)
	}
	p.Counts = p.total
	if p.Since != nil {
		p.Counts = entry.Subtract(p.total, p.Since.Roots)
	}
	for _, m := range f.Unreachable {
		p.Open = append(p.Open, m+" does not answer")
	}
	slices.Sort(p.Open)
	return p
}

// readPlatform fills in the fields that come from the platform's objects.
func (p *Page) readPlatform(ctx context.Context, store *object.Client) {
	addError := func(err error) {
		if err != nil {
			p.Open = append(p.Open, "platform: "+err.Error())
		}
	}
	baseline, err := readBaseline(ctx, store)
	addError(err)
	p.Since = baseline
	current, err := ship.Read(ctx, store)
	addError(err)
	if err == nil && current.ObjectVersion > 0 {
		head := current.Head
		head.Delta = nil
		p.InForce = &head
	}
	history, err := ship.History(ctx, store)
	addError(err)
	for _, e := range history {
		if baseline == nil || e.Head.Version > baseline.Version {
			p.Ships = append(p.Ships, e)
		}
	}
	counts, err := journal.ReadAll(ctx, store)
	addError(err)
	p.StoppedNodes = counts.Nodes
	p.total = counts.Roots
}

// addIssues adds the open issues of one node.
func (p *Page) addIssues(s nodeclient.State) {
	add := func(format string, args ...any) {
		p.Open = append(p.Open, s.Address+": "+fmt.Sprintf(format, args...))
	}
	if s.Config.LastError != "" {
		add("%s", s.Config.LastError)
	}
	if s.Config.Head != nil && p.InForce != nil && s.Config.Head.Version < p.InForce.Version {
		add("has configuration version %d, active is %d", s.Config.Head.Version, p.InForce.Version)
	}
	if s.Serve.Failing {
		add("target fails %.0f %% of requests", 100*s.Serve.FailureRatio)
	}
	if s.Serve.Draining {
		add("draining")
	}
	if g := s.Serve.Gate; g.Slots > 0 && g.Limit < g.Slots {
		add("concurrency limit is %d of %d slots", g.Limit, g.Slots)
	}
	for _, h := range s.Shards.Held {
		if h.Claim != "whole" {
			add("holds shard %s as %s: the organisation gets half of that shard", h.Part, h.Claim)
		}
	}
}

// readBaseline returns nil if no handover was saved.
func readBaseline(ctx context.Context, store *object.Client) (*Baseline, error) {
	o, err := store.Get(ctx, baselineKey)
	if trace.IsNotFound(err) {
		return nil, nil
	}
	if err != nil {
		return nil, fmt.Errorf("read last handover: %w", err)
	}
	var m Baseline
	if err := json.Unmarshal(o.Value, &m); err != nil {
		return nil, trace.BadParameter("decode handover object: %v", err)
	}
	return &m, nil
}

// Save stores the page as the baseline of the next handover.
func (p Page) Save(ctx context.Context, store *object.Client) error {
	o, err := store.Get(ctx, baselineKey)
	if err != nil && !trace.IsNotFound(err) {
		return fmt.Errorf("read last handover: %w", err)
	}
	m := Baseline{At: p.At, By: p.By, Roots: p.total}
	if p.InForce != nil {
		m.Version = p.InForce.Version
	}
	value, err := json.Marshal(m)
	if err != nil {
		return fmt.Errorf("encode handover: %w", err)
	}
	if _, err := store.Put(ctx, baselineKey, value, o.Version); err != nil {
		return fmt.Errorf("save handover: %w", err)
	}
	return nil
}

// Text returns the page as plain text.
func (p Page) Text() string {
	var b strings.Builder
	fmt.Fprintf(&b, "HANDOVER %s by %s\n", p.At.Format(time.RFC3339), p.By)
	if p.Since != nil {
		fmt.Fprintf(&b, "since %s by %s\n", p.Since.At.Format(time.RFC3339), p.Since.By)
	}
	b.WriteString("\nACTIVE CONFIGURATION\n")
	if p.InForce != nil {
		fmt.Fprintf(&b, "version %d, shipped %s by %s\n", p.InForce.Version, p.InForce.At.Format(time.RFC3339), p.InForce.By)
	} else {
		b.WriteString("not known\n")
	}
	for _, e := range p.Ships {
		fmt.Fprintf(&b, "version %d, %s by %s:\n%s", e.Head.Version, e.Head.At.Format(time.RFC3339), e.Head.By, review.Text(e.Changes))
	}
	b.WriteString("\nROOT REQUESTS\n")
	for _, t := range p.Counts {
		fmt.Fprintf(&b, "%-16s %-12s whole %d%s\n", orNone(t.Organisation), orNone(t.Route), t.Answered, refusalText(t))
	}
	fmt.Fprintf(&b, "includes the counts of %d stopped nodes; counts of crashed nodes are lost\n", p.StoppedNodes)
	b.WriteString("\nOPEN ISSUES\n")
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

// refusalText lists the refusals by reason.
func refusalText(t entry.Tally) string {
	var b strings.Builder
	for _, r := range t.Refusals {
		if r.Count > 0 {
			fmt.Fprintf(&b, ", %s %d", r.Reason, r.Count)
		}
	}
	return b.String()
}
