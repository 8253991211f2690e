// Package fleet condenses what several nodes say into one picture.
package fleet

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"text/tabwriter"

	"chestnutshed.example/chestnutshed/internal/core/failure"
	"chestnutshed.example/chestnutshed/internal/operate/nodeclient"
)

// Line is one node.
type Line struct {
	Address  string  `json:"address"`
	Zone     string  `json:"zone"`
	Version  uint64  `json:"version"`
	Service  string  `json:"service"`
	Running  int     `json:"running"`
	Waiting  int     `json:"waiting"`
	Limit    int     `json:"limit"`
	Slots    int     `json:"slots"`
	Cut      float64 `json:"cut"`
	Note     string  `json:"note,omitempty"`
	Whole    uint64  `json:"whole"`
	Refused  uint64  `json:"refused"`
	Capacity float64 `json:"capacity"`
}

// Organisation counts one organisation's roots.
type Organisation struct {
	Name    string            `json:"name"`
	Whole   uint64            `json:"whole"`
	Refused []ReasonCount     `json:"refused,omitempty"`
	byName  map[string]uint64 `json:"-"`
}

// ReasonCount is a number of refusals for one reason.
type ReasonCount struct {
	Reason failure.Reason `json:"reason"`
	Count  uint64         `json:"count"`
}

// Picture is the fleet at a glance.
type Picture struct {
	Nodes         []Line         `json:"nodes"`
	Organisations []Organisation `json:"organisations"`
	Missing       []string       `json:"missing,omitempty"`
}

// New makes the picture of what nodes said.
func New(f nodeclient.Fleet) Picture {
	p := Picture{Missing: slices.Sorted(slices.Values(f.Missing))}
	orgs := map[string]*Organisation{}
	for _, s := range f.States {
		p.Nodes = append(p.Nodes, lineOf(s, orgs))
	}
	slices.SortFunc(p.Nodes, func(a, b Line) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Address, b.Address))
	})
	for _, o := range orgs {
		for reason, count := range o.byName {
			o.Refused = append(o.Refused, ReasonCount{failure.Reason(reason), count})
		}
		slices.SortFunc(o.Refused, func(a, b ReasonCount) int { return cmp.Compare(a.Reason, b.Reason) })
		p.Organisations = append(p.Organisations, *o)
	}
	slices.SortFunc(p.Organisations, func(a, b Organisation) int { return cmp.Compare(a.Name, b.Name) })
	return p
}

func lineOf(s nodeclient.State, orgs map[string]*Organisation) Line {
	l := Line{
		Address:  s.Address,
		Zone:     s.Gossip.Self.Zone,
		Service:  s.Gossip.Self.Service,
		Running:  s.Serve.Gate.Running,
		Waiting:  s.Serve.Gate.Waiting,
		Limit:    s.Serve.Gate.Limit,
		Slots:    s.Serve.Gate.Slots,
		Cut:      s.Serve.Gate.Cutoff,
		Capacity: s.Serve.Gate.Capacity,
	}
	if s.Config.Head != nil {
		l.Version = s.Config.Head.Version
	}
	l.Note = noteOf(s)
	for _, t := range s.Entry.Roots {
		o, ok := orgs[t.Organisation]
		if !ok {
			o = &Organisation{Name: t.Organisation, byName: map[string]uint64{}}
			orgs[t.Organisation] = o
		}
		o.Whole += t.Answered
		l.Whole += t.Answered
		for _, r := range t.Refusals {
			o.byName[string(r.Reason)] += r.Count
			l.Refused += r.Count
		}
	}
	return l
}

func noteOf(s nodeclient.State) string {
	var notes []string
	if s.Serve.Target == nil {
		notes = append(notes, "no target")
	}
	if s.Serve.Failing {
		notes = append(notes, "target fails")
	}
	if s.Serve.Draining {
		notes = append(notes, "draining")
	}
	if s.Config.Trouble != "" {
		notes = append(notes, "platform trouble")
	}
	return strings.Join(notes, ", ")
}

// Text is the picture as a table.
func (p Picture) Text() string {
	var b strings.Builder
	w := tabwriter.NewWriter(&b, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "NODE\tZONE\tSERVICE\tVERSION\tRUNNING\tWAITING\tLIMIT\tCUT\tWHOLE\tREFUSED\tNOTE")
	for _, n := range p.Nodes {
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d\t%d\t%d/%d\t%.3f\t%d\t%d\t%s\n", n.Address, n.Zone, n.Service,
			n.Version, n.Running, n.Waiting, n.Limit, n.Slots, n.Cut, n.Whole, n.Refused, n.Note)
	}
	_, _ = fmt.Fprintln(w, "\nORGANISATION\tWHOLE\tREFUSED")
	for _, o := range p.Organisations {
		var parts []string
		for _, r := range o.Refused {
			parts = append(parts, fmt.Sprintf("%s %d", r.Reason, r.Count))
		}
		name := o.Name
		if name == "" {
			name = "(none)"
		}
		_, _ = fmt.Fprintf(w, "%s\t%d\t%s\n", name, o.Whole, strings.Join(parts, ", "))
	}
	_ = w.Flush()
	for _, m := range p.Missing {
		_, _ = fmt.Fprintf(&b, "no answer from %s\n", m)
	}
	return b.String()
}
