// Package lint finds entries of valid rules that have no effect, and limits that contradict
// each other. Operators check a configuration with it before they send it.
package lint

import (
	"fmt"
	"time"

	"chestnutshed.example/chestnutshed/internal/config/manifest"
	"chestnutshed.example/chestnutshed/internal/config/rules"
)

// Kind is the kind of a finding.
type Kind string

// The kinds of findings.
const (
	// Never is an entry that no request can match, or that nothing uses.
	Never Kind = "never"
	// Twice is a name or key that two entries hold.
	Twice Kind = "twice"
	// Missing is an entry that another one needs.
	Missing Kind = "missing"
	// Limits are limits that contradict each other.
	Limits Kind = "limits"
	// Unread is an entry that nodes do not understand.
	Unread Kind = "unread"
)

// Finding is one entry that most likely is a mistake.
type Finding struct {
	Kind Kind `json:"kind"`
	// Entry is the kind and name of the entry, such as "route orders".
	Entry string `json:"entry"`
	Text  string `json:"text"`
}

// String returns the finding as one line.
func (f Finding) String() string { return fmt.Sprintf("? %-8s %-24s %s", f.Kind, f.Entry, f.Text) }

type findings struct{ list []Finding }

func (l *findings) add(kind Kind, entry, format string, args ...any) {
	l.list = append(l.list, Finding{kind, entry, fmt.Sprintf(format, args...)})
}

// Check returns the findings in a set of rules, in the order of its entries.
func Check(s *rules.Set) []Finding {
	l := &findings{}
	for i := range s.Routes {
		l.route(s, i)
	}
	l.services(s)
	l.organisations(s)
	l.access(s)
	return l.list
}

// route checks the route at an index.
func (l *findings) route(s *rules.Set, i int) {
	r := s.Routes[i]
	entry := "route " + r.Name
	for _, earlier := range s.Routes[:i] {
		if earlier.Name == r.Name {
			l.add(Twice, entry, "another route has the same name")
		}
		if earlier.Host == r.Host && earlier.Prefix == r.Prefix {
			l.add(Never, entry, "route %s has the same host and prefix: only one of the two gets requests", earlier.Name)
		}
	}
	if r.Host == "" {
		l.add(Never, entry, "has no host")
	}
	used := map[string]bool{}
	for _, w := range r.Services {
		switch {
		case w.Weight == 0:
			l.add(Never, entry, "service %s gets no requests: its weight is 0", w.Service)
		case s.ServiceByName(w.Service) == nil:
			l.add(Missing, entry, "service %s is not declared", w.Service)
		}
		if used[w.Service] {
			l.add(Twice, entry, "names service %s twice", w.Service)
		}
		used[w.Service] = true
	}
	if r.MaxAttempts <= 0 {
		l.add(Limits, entry, "allows %d attempts: requests are tried once all the same", r.MaxAttempts)
	}
	if r.Objective <= 0 {
		l.add(Limits, entry, "has no target latency")
	}
	if r.Objective > r.Timeout {
		l.add(Limits, entry, "target latency %s exceeds the timeout of %s: no response is late", r.Objective, r.Timeout)
	}
	if r.Rank < 0 {
		l.add(Limits, entry, "rank %d is above the highest, which is 0", r.Rank)
	}
}

func (l *findings) services(s *rules.Set) {
	used := map[string]bool{}
	for _, r := range s.Routes {
		for _, w := range r.Services {
			used[w.Service] = true
		}
	}
	seen := map[string]bool{}
	for _, service := range s.Services {
		entry := "service " + service.Name
		if seen[service.Name] {
			l.add(Twice, entry, "another service has the same name")
		}
		seen[service.Name] = true
		if !used[service.Name] {
			l.add(Never, entry, "no route uses it")
		}
		if service.HealthPath != "" && service.HealthPath[0] != '/' {
			l.add(Limits, entry, "health path %q does not begin with a slash", service.HealthPath)
		}
	}
}

func (l *findings) organisations(s *rules.Set) {
	names, holders := map[string]bool{}, map[string]string{}
	for _, o := range s.Organisations {
		entry := "organisation " + o.Name
		if names[o.Name] {
			l.add(Twice, entry, "another organisation has the same name")
		}
		names[o.Name] = true
		if len(o.Keys) == 0 {
			l.add(Never, entry, "has no key")
		}
		for _, k := range o.Keys {
			if k == "" {
				l.add(Never, entry, "has an empty key")
			} else if holder, ok := holders[k]; ok {
				l.add(Twice, entry, "key %s is also held by organisation %s", ShortDigest(k), holder)
			}
			holders[k] = o.Name
		}
		l.rate(entry, o)
	}
}

// rateWindow is the time whose requests a burst should hold.
const rateWindow = time.Second

func (l *findings) rate(entry string, o rules.Organisation) {
	switch needed := o.Rate * rateWindow.Seconds(); {
	case o.Rate == 0 && o.Burst > 0:
		l.add(Limits, entry, "burst %g has no effect: without a rate there is no limit", o.Burst)
	case o.Rate > 0 && o.Burst < 1:
		l.add(Limits, entry, "burst %g holds no whole request", o.Burst)
	case o.Burst < needed:
		l.add(Limits, entry, "burst %g is less than the %g requests of %s", o.Burst, needed, rateWindow)
	}
}

// access checks whether callers can get in at all.
func (l *findings) access(s *rules.Set) {
	public, keys := false, 0
	for _, r := range s.Routes {
		public = public || r.Public
	}
	for _, o := range s.Organisations {
		keys += len(o.Keys)
	}
	switch {
	case len(s.Routes) == 0:
		l.add(Never, "configuration", "has no routes: all requests are refused")
	case !public && keys == 0:
		l.add(Never, "configuration", "has no keys and no public routes: all requests are refused")
	}
}

// ShortDigest returns the beginning of a key's digest, which names the key without showing
// it.
func ShortDigest(key string) string { return manifest.ShortDigest(manifest.Digest(key)) }
