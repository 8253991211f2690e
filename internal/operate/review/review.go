// Package review says in operators' words what a new manifest would change.
package review

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"chestnutshed.example/chestnutshed/internal/config/manifest"
)

// Kind is what a change is about.
type Kind string

// The kinds of changes.
const (
	Organisation Kind = "organisation"
	Key          Kind = "key"
	Service      Kind = "service"
	Route        Kind = "route"
	Importance   Kind = "importance"
	Retries      Kind = "retries"
)

// Change is one difference between two manifests.
type Change struct {
	Kind Kind   `json:"kind"`
	Name string `json:"name"`
	Text string `json:"text"`
	// Risky is set where callers may be refused that are served today.
	Risky bool `json:"risky,omitempty"`
}

// String is the line shown to operators.
func (c Change) String() string {
	mark := " "
	if c.Risky {
		mark = "!"
	}
	return fmt.Sprintf("%s %-12s %-20s %s", mark, c.Kind, c.Name, c.Text)
}

// shownDigest is the number of characters of a digest that are shown.
const shownDigest = len("sha256:") + 8

type list struct{ changes []Change }

func (l *list) add(kind Kind, name string, risky bool, format string, args ...any) {
	l.changes = append(l.changes, Change{kind, name, fmt.Sprintf(format, args...), risky})
}

// Compare lists what differs between the manifest in force and a new one.
func Compare(old, next manifest.Manifest) []Change {
	l := &list{}
	l.organisations(old, next)
	l.services(old, next)
	l.routes(old, next)
	if *old.Retry.Budget != *next.Retry.Budget {
		l.add(Retries, "budget", false, "%d -> %d extra sends for each root", *old.Retry.Budget, *next.Retry.Budget)
	}
	if old.Retry.Ratio != next.Retry.Ratio {
		l.add(Retries, "ratio", false, "%g -> %g extra sends for each first send", old.Retry.Ratio, next.Retry.Ratio)
	}
	return l.changes
}

func (l *list) organisations(old, next manifest.Manifest) {
	before := byName(old.Organisations, func(o manifest.Organisation) string { return o.Name })
	after := byName(next.Organisations, func(o manifest.Organisation) string { return o.Name })
	for _, o := range old.Organisations {
		if _, ok := after[o.Name]; !ok {
			l.add(Organisation, o.Name, true, "removed with %d keys", len(o.Keys))
		}
	}
	for _, o := range next.Organisations {
		was, ok := before[o.Name]
		if !ok {
			l.add(Organisation, o.Name, false, "new: %g/s, burst %g, share %g, %d keys", o.Rate, o.Burst, o.Share, len(o.Keys))
			continue
		}
		l.terms(was, o)
		l.keys(was, o)
	}
}

func (l *list) terms(was, o manifest.Organisation) {
	if was.Rate != o.Rate {
		l.add(Organisation, o.Name, o.Rate < was.Rate, "rate %g -> %g a second", was.Rate, o.Rate)
	}
	if was.Burst != o.Burst {
		l.add(Organisation, o.Name, o.Burst < was.Burst, "burst %g -> %g", was.Burst, o.Burst)
	}
	if was.Share != o.Share {
		l.add(Organisation, o.Name, o.Share < was.Share, "share %g -> %g", was.Share, o.Share)
	}
	if was.Parts != o.Parts {
		l.add(Organisation, o.Name, false, "parts %d -> %d", was.Parts, o.Parts)
	}
}

func (l *list) keys(was, o manifest.Organisation) {
	for _, k := range was.Keys {
		if !slices.Contains(o.Keys, k) {
			l.add(Key, o.Name, true, "withdrawn: %s", k[:shownDigest])
		}
	}
	for _, k := range o.Keys {
		if !slices.Contains(was.Keys, k) {
			l.add(Key, o.Name, false, "granted: %s", k[:shownDigest])
		}
	}
}

func (l *list) services(old, next manifest.Manifest) {
	name := func(s manifest.Service) string { return s.Name }
	before, after := byName(old.Services, name), byName(next.Services, name)
	for _, s := range old.Services {
		if _, ok := after[s.Name]; !ok {
			l.add(Service, s.Name, true, "removed")
		}
	}
	for _, s := range next.Services {
		if _, ok := before[s.Name]; !ok {
			l.add(Service, s.Name, false, "new")
		}
	}
}

func (l *list) routes(old, next manifest.Manifest) {
	name := func(r manifest.Route) string { return r.Name }
	before, after := byName(old.Routes, name), byName(next.Routes, name)
	for _, r := range old.Routes {
		if _, ok := after[r.Name]; !ok {
			l.add(Route, r.Name, true, "removed: %s %s", r.Method, r.Path)
		}
	}
	for _, r := range next.Routes {
		was, ok := before[r.Name]
		if !ok {
			l.add(Route, r.Name, false, "new: %s %s to %s, %s", r.Method, r.Path, r.Service, r.Importance)
			continue
		}
		l.route(was, r)
	}
}

func (l *list) route(was, r manifest.Route) {
	if was.Importance != r.Importance {
		l.add(Importance, r.Name, r.Importance < was.Importance, "%s -> %s", was.Importance, r.Importance)
	}
	if was.Method != r.Method || was.Path != r.Path {
		l.add(Route, r.Name, true, "%s %s -> %s %s", was.Method, was.Path, r.Method, r.Path)
	}
	if was.Service != r.Service {
		l.add(Route, r.Name, true, "service %s -> %s", was.Service, r.Service)
	}
	if was.Idempotent != r.Idempotent {
		l.add(Route, r.Name, true, "idempotent %t -> %t", was.Idempotent, r.Idempotent)
	}
	if was.Open != r.Open {
		l.add(Route, r.Name, true, "open to all %t -> %t", was.Open, r.Open)
	}
	if was.Internal != r.Internal {
		l.add(Route, r.Name, r.Internal, "internal %t -> %t", was.Internal, r.Internal)
	}
	if was.Deadline != r.Deadline {
		l.add(Route, r.Name, r.Deadline < was.Deadline, "deadline %s -> %s", time.Duration(was.Deadline), time.Duration(r.Deadline))
	}
	if was.MaxBodyBytes != r.MaxBodyBytes {
		l.add(Route, r.Name, r.MaxBodyBytes < was.MaxBodyBytes, "body limit %d -> %d bytes", was.MaxBodyBytes, r.MaxBodyBytes)
	}
	if was.MaxResponseBytes != r.MaxResponseBytes {
		l.add(Route, r.Name, r.MaxResponseBytes < was.MaxResponseBytes, "answer limit %d -> %d bytes", was.MaxResponseBytes, r.MaxResponseBytes)
	}
}

func byName[T any](all []T, name func(T) string) map[string]T {
	m := make(map[string]T, len(all))
	for _, v := range all {
		m[name(v)] = v
	}
	return m
}

// Text is the page shown to operators for a list of changes.
func Text(changes []Change) string {
	if len(changes) == 0 {
		return "no changes\n"
	}
	var b strings.Builder
	for _, c := range changes {
		fmt.Fprintln(&b, c)
	}
	return b.String()
}
