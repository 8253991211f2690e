// Package fleet summarizes the state of several nodes.
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

// Node is the summary of one node.
type Node struct {
	Address  string  `json:"address"`
	Zone     string  `json:"zone"`
	Version  uint64  `json:"version"`
	Service  string  `json:"service"`
	Running  int     `json:"running"`
	Waiting  int     `json:"waiting"`
	Limit    int     `json:"limit"`
	Slots    int     `json:"slots"`
	Cutoff   float64 `json:"cut"`
	Note     string  `json:"note,omitempty"`
	Answered uint64  `json:"whole"`
	Refused  uint64  `json:"refused"`
	Capacity float64 `json:"capacity"`
}

// Organisation holds the results of one organisation's root requests.
type Organisation struct {
	Name      string            `json:"name"`
	Answered  uint64            `json:"whole"`
	Refused   []ReasonCount     `json:"refused,omitempty"`
	refusedBy map[string]uint64 `json:"-"`
}

// ReasonCount is a number of refusals for one reason.
type ReasonCount struct {
	Reason failure.Reason `json:"reason"`
	Count  uint64         `json:"count"`
}

// Summary is the state of the fleet.
type Summary struct {
	Nodes         []Node         `json:"nodes"`
	Organisations []Organisation `json:"organisations"`
	Unreachable   []string       `json:"missing,omitempty"`
}

// New returns the summary of the nodes' states, sorted by service and address.
func New(f nodeclient.Fleet) Summary {
	p := Summary{Unreachable: slices.Sorted(slices.Values(f.Unreachable))}
	orgs := map[string]*Organisation{}
	for _, s := range f.States {
		p.Nodes = append(p.Nodes, newNode(s, orgs))
	}
	slices.SortFunc(p.Nodes, func(a, b Node) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Address, b.Address))
	})
	for _, o := range orgs {
		for reason, count := range o.refusedBy {
			o.Refused = append(o.Refused, ReasonCount{failure.Reason(reason), count})
		}
		slices.SortFunc(o.Refused, func(a, b ReasonCount) int { return cmp.Compare(a.Reason, b.Reason) })
		p.Organisations = append(p.Organisations, *o)
	}
	slices.SortFunc(p.Organisations, func(a, b Organisation) int { return cmp.Compare(a.Name, b.Name) })
	return p
}

// newNode returns the node's line and adds its counts to orgs.
func newNode(s nodeclient.State, orgs map[string]*Organisation) Node {
	n := Node{
		Address:  s.Address,
		Zone:     s.Gossip.Self.Zone,
		Service:  s.Gossip.Self.Service,
		Running:  s.Serve.Gate.Running,
		Waiting:  s.Serve.Gate.Waiting,
		Limit:    s.Serve.Gate.Limit,
		Slots:    s.Serve.Gate.Slots,
		Cutoff:   s.Serve.Gate.Cutoff,
		Capacity: s.Serve.Gate.Capacity,
	}
	if s.Config.Head != nil {
		n.Version = s.Config.Head.Version
	}
	n.Note = note(s)
	for _, t := range s.Entry.Roots {
		o, ok := orgs[t.Organisation]
		if !ok {
			o = &Organisation{Name: t.Organisation, refusedBy: map[string]uint64{}}
			orgs[t.Organisation] = o
		}
		o.Answered += t.Answered
		n.Answered += t.Answered
		for _, r := range t.Refusals {
			o.refusedBy[string(r.Reason)] += r.Count
			n.Refused += r.Count
		}
	}
	return n
}

// note lists the problems of a node.
func note(s nodeclient.State) string {
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
	if s.Config.LastError != "" {
		notes = append(notes, "platform error")
	}
	return strings.Join(notes, ", ")
}

// Text returns the summary as tables.
func (p Summary) Text() string {
	var b strings.Builder
	w := tabwriter.NewWriter(&b, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "NODE\tZONE\tSERVICE\tVERSION\tRUNNING\tWAITING\tLIMIT\tCUT\tWHOLE\tREFUSED\tNOTE")
	for _, n := range p.Nodes {
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d\t%d\t%d/%d\t%.3f\t%d\t%d\t%s\n", n.Address, n.Zone, n.Service,
			n.Version, n.Running, n.Waiting, n.Limit, n.Slots, n.Cutoff, n.Answered, n.Refused, n.Note)
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
		_, _ = fmt.Fprintf(w, "%s\t%d\t%s\n", name, o.Answered, strings.Join(parts, ", "))
	}
	_ = w.Flush()
	for _, m := range p.Unreachable {
		_, _ = fmt.Fprintf(&b, "no answer from %s\n", m)
	}
	return b.String()
}
