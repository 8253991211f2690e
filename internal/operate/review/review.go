// Package review describes the differences between two manifests to operators.
package review

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"chestnutshed.example/chestnutshed/internal/config/manifest"
)

// Kind is the kind of object or setting that changes.
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
	// Text describes the change. It is stored with the ship in the history.
	Text string `json:"text"`
	// Risky is set if requests that are served today may be refused.
	Risky bool `json:"risky,omitempty"`
}

// String returns the change as one line, with "!" in front if it is risky.
func (c Change) String() string {
	mark := " "
	if c.Risky {
		mark = "!"
	}
	return fmt.Sprintf("%s %-12s %-20s %s", mark, c.Kind, c.Name, c.Text)
}

type changeList struct{ changes []Change }

func (l *changeList) add(kind Kind, name string, risky bool, format string, args ...any) {
	l.changes = append(l.changes, Change{kind, name, fmt.Sprintf(format, args...), risky})
}

// Compare returns the changes from the manifest old to next.
func Compare(old, next manifest.Manifest) []Change {
	l := &changeList{}
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

func (l *changeList) organisations(old, next manifest.Manifest) {
	match(old.Organisations, next.Organisations, func(o manifest.Organisation) string { return o.Name }, matched[manifest.Organisation]{
		removed: func(o manifest.Organisation) {
			l.add(Organisation, o.Name, true, "removed with %d keys", len(o.Keys))
		},
		added: func(o manifest.Organisation) {
			l.add(Organisation, o.Name, false, "new: %g/s, burst %g, share %g, %d keys", o.Rate, o.Burst, o.Share, len(o.Keys))
		},
		kept: func(prev, o manifest.Organisation) {
			l.quotas(prev, o)
			l.keys(o.Name, prev.Keys, o.Keys, manifest.ShortDigest)
		},
	})
}

func (l *changeList) quotas(prev, o manifest.Organisation) {
	if prev.Rate != o.Rate {
		l.add(Organisation, o.Name, o.Rate < prev.Rate, "rate %g -> %g a second", prev.Rate, o.Rate)
	}
	if prev.Burst != o.Burst {
		l.add(Organisation, o.Name, o.Burst < prev.Burst, "burst %g -> %g", prev.Burst, o.Burst)
	}
	if prev.Share != o.Share {
		l.add(Organisation, o.Name, o.Share < prev.Share, "share %g -> %g", prev.Share, o.Share)
	}
	if prev.Parts != o.Parts {
		l.add(Organisation, o.Name, false, "parts %d -> %d", prev.Parts, o.Parts)
	}
}

// keys adds the keys that an organisation loses and gets. Short returns what is shown of one.
func (l *changeList) keys(organisation string, prev, next []string, short func(key string) string) {
	for _, k := range prev {
		if !slices.Contains(next, k) {
			l.add(Key, organisation, true, "withdrawn: %s", short(k))
		}
	}
	for _, k := range next {
		if !slices.Contains(prev, k) {
			l.add(Key, organisation, false, "granted: %s", short(k))
		}
	}
}

func (l *changeList) services(old, next manifest.Manifest) {
	match(old.Services, next.Services, func(s manifest.Service) string { return s.Name }, matched[manifest.Service]{
		removed: func(s manifest.Service) { l.add(Service, s.Name, true, "removed") },
		added:   func(s manifest.Service) { l.add(Service, s.Name, false, "new") },
		kept:    func(_, _ manifest.Service) {},
	})
}

func (l *changeList) routes(old, next manifest.Manifest) {
	match(old.Routes, next.Routes, func(r manifest.Route) string { return r.Name }, matched[manifest.Route]{
		removed: func(r manifest.Route) { l.add(Route, r.Name, true, "removed: %s %s", r.Method, r.Path) },
		added: func(r manifest.Route) {
			l.add(Route, r.Name, false, "new: %s %s to %s, %s", r.Method, r.Path, r.Service, r.Importance)
		},
		kept: l.route,
	})
}

func (l *changeList) route(prev, r manifest.Route) {
	if prev.Importance != r.Importance {
		l.add(Importance, r.Name, r.Importance < prev.Importance, "%s -> %s", prev.Importance, r.Importance)
	}
	if prev.Method != r.Method || prev.Path != r.Path {
		l.add(Route, r.Name, true, "%s %s -> %s %s", prev.Method, prev.Path, r.Method, r.Path)
	}
	if prev.Service != r.Service {
		l.add(Route, r.Name, true, "service %s -> %s", prev.Service, r.Service)
	}
	if prev.Idempotent != r.Idempotent {
		l.add(Route, r.Name, true, "idempotent %t -> %t", prev.Idempotent, r.Idempotent)
	}
	if prev.Open != r.Open {
		l.add(Route, r.Name, true, "open to all %t -> %t", prev.Open, r.Open)
	}
	if prev.Internal != r.Internal {
		l.add(Route, r.Name, r.Internal, "internal %t -> %t", prev.Internal, r.Internal)
	}
	if prev.Deadline != r.Deadline {
		l.add(Route, r.Name, r.Deadline < prev.Deadline, "deadline %s -> %s", time.Duration(prev.Deadline), time.Duration(r.Deadline))
	}
	if prev.MaxBodyBytes != r.MaxBodyBytes {
		l.add(Route, r.Name, r.MaxBodyBytes < prev.MaxBodyBytes, "body limit %d -> %d bytes", prev.MaxBodyBytes, r.MaxBodyBytes)
	}
	if prev.MaxResponseBytes != r.MaxResponseBytes {
		l.add(Route, r.Name, r.MaxResponseBytes < prev.MaxResponseBytes, "answer limit %d -> %d bytes", prev.MaxResponseBytes, r.MaxResponseBytes)
	}
}

// matched is what is done with the entries of two lists: with those that are only in the old
// or the new one, and with those in both.
type matched[T any] struct {
	removed, added func(T)
	kept           func(prev, next T)
}

// match finds the entries of the same name in two lists, and goes through the old one and then
// the new one in their order.
func match[T any](old, next []T, name func(T) string, do matched[T]) {
	before, after := byName(old, name), byName(next, name)
	for _, v := range old {
		if _, ok := after[name(v)]; !ok {
			do.removed(v)
		}
	}
	for _, v := range next {
		if prev, ok := before[name(v)]; ok {
			do.kept(prev, v)
		} else {
			do.added(v)
		}
	}
}

// byName indexes values by name.
func byName[T any](all []T, name func(T) string) map[string]T {
	m := make(map[string]T, len(all))
	for _, v := range all {
		m[name(v)] = v
	}
	return m
}

// Text returns the changes as text, one per line.
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
