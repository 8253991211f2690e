package review

import (
	"fmt"
	"slices"
	"strings"

	"chestnutshed.example/chestnutshed/internal/config/lint"
	"chestnutshed.example/chestnutshed/internal/config/rules"
)

// Further kinds of changes between rules.
const (
	Version Kind = "version"
	Limits  Kind = "limits"
)

// CompareRules returns the changes from the rules old to next.
func CompareRules(old, next *rules.Set) []Change {
	l := &changeList{}
	if next.Version <= old.Version {
		l.add(Version, fmt.Sprint(next.Version), true, "not above version %d: nodes keep that one", old.Version)
	}
	l.ruleRoutes(old, next)
	l.ruleServices(old, next)
	l.ruleOrganisations(old, next)
	if old.Limits != next.Limits {
		l.limits(old.Limits, next.Limits)
	}
	return l.changes
}

func (l *changeList) ruleRoutes(old, next *rules.Set) {
	match(old.Routes, next.Routes, func(r rules.Route) string { return r.Name }, matched[rules.Route]{
		removed: func(r rules.Route) { l.add(Route, r.Name, true, "removed: %s%s", r.Host, r.Prefix) },
		added:   func(r rules.Route) { l.add(Route, r.Name, false, "new: %s%s to %s", r.Host, r.Prefix, shares(r)) },
		kept:    l.ruleRoute,
	})
}

func (l *changeList) ruleRoute(prev, r rules.Route) {
	if prev.Host != r.Host || prev.Prefix != r.Prefix {
		l.add(Route, r.Name, true, "%s%s -> %s%s", prev.Host, prev.Prefix, r.Host, r.Prefix)
	}
	if !slices.Equal(prev.Services, r.Services) {
		l.add(Route, r.Name, true, "services %s -> %s", shares(prev), shares(r))
	}
	if prev.Idempotent != r.Idempotent {
		l.add(Route, r.Name, true, "idempotent %t -> %t", prev.Idempotent, r.Idempotent)
	}
	if prev.Public != r.Public {
		l.add(Route, r.Name, true, "open to all %t -> %t", prev.Public, r.Public)
	}
	if prev.MaxAttempts != r.MaxAttempts {
		l.add(Route, r.Name, r.MaxAttempts < prev.MaxAttempts, "attempts %d -> %d", prev.MaxAttempts, r.MaxAttempts)
	}
	if prev.Timeout != r.Timeout {
		l.add(Route, r.Name, r.Timeout < prev.Timeout, "timeout %s -> %s", prev.Timeout, r.Timeout)
	}
	if prev.Objective != r.Objective {
		l.add(Route, r.Name, false, "target latency %s -> %s", prev.Objective, r.Objective)
	}
	if prev.Rank != r.Rank {
		l.add(Importance, r.Name, r.Rank > prev.Rank, "rank %d -> %d", prev.Rank, r.Rank)
	}
}

// shares returns the services of a route with their weights, if there are several.
func shares(r rules.Route) string {
	if len(r.Services) == 1 {
		return r.Services[0].Service
	}
	var parts []string
	for _, s := range r.Services {
		parts = append(parts, fmt.Sprintf("%s:%d", s.Service, s.Weight))
	}
	return strings.Join(parts, ",")
}

func (l *changeList) ruleServices(old, next *rules.Set) {
	match(old.Services, next.Services, func(s rules.Service) string { return s.Name }, matched[rules.Service]{
		removed: func(s rules.Service) { l.add(Service, s.Name, true, "removed") },
		added:   func(s rules.Service) { l.add(Service, s.Name, false, "new") },
		kept: func(prev, s rules.Service) {
			if prev.Connections != s.Connections {
				l.add(Service, s.Name, s.Connections < prev.Connections, "connections %d -> %d", prev.Connections, s.Connections)
			}
			if prev.HealthPath != s.HealthPath {
				l.add(Service, s.Name, false, "health path %q -> %q", prev.HealthPath, s.HealthPath)
			}
		},
	})
}

func (l *changeList) ruleOrganisations(old, next *rules.Set) {
	match(old.Organisations, next.Organisations, func(o rules.Organisation) string { return o.Name }, matched[rules.Organisation]{
		removed: func(o rules.Organisation) {
			l.add(Organisation, o.Name, true, "removed with %d keys", len(o.Keys))
		},
		added: func(o rules.Organisation) {
			l.add(Organisation, o.Name, false, "new: %s, burst %g, %d keys", rate(o), o.Burst, len(o.Keys))
		},
		kept: l.ruleOrganisation,
	})
}

func (l *changeList) ruleOrganisation(prev, o rules.Organisation) {
	if prev.Rate != o.Rate {
		lower := o.Rate > 0 && (prev.Rate == 0 || o.Rate < prev.Rate)
		l.add(Organisation, o.Name, lower, "rate %s -> %s", rate(prev), rate(o))
	}
	if prev.Burst != o.Burst {
		l.add(Organisation, o.Name, o.Burst < prev.Burst, "burst %g -> %g", prev.Burst, o.Burst)
	}
	if prev.HasRank != o.HasRank || prev.Rank != o.Rank {
		l.add(Importance, o.Name, true, "rank %s -> %s", rank(prev), rank(o))
	}
	l.keys(o.Name, prev.Keys, o.Keys, lint.ShortDigest)
}

func rate(o rules.Organisation) string {
	if o.Rate == 0 {
		return "no limit"
	}
	return fmt.Sprintf("%g/s", o.Rate)
}

func rank(o rules.Organisation) string {
	if !o.HasRank {
		return "of the route"
	}
	return fmt.Sprint(o.Rank)
}

func (l *changeList) limits(prev, next rules.Limits) {
	if prev.MaxHeaderBytes != next.MaxHeaderBytes {
		l.add(Limits, "header", next.MaxHeaderBytes < prev.MaxHeaderBytes, "%d -> %d bytes", prev.MaxHeaderBytes, next.MaxHeaderBytes)
	}
	if prev.MaxBodyBytes != next.MaxBodyBytes {
		l.add(Limits, "body", next.MaxBodyBytes < prev.MaxBodyBytes, "%d -> %d bytes", prev.MaxBodyBytes, next.MaxBodyBytes)
	}
	if prev.HeaderTimeout != next.HeaderTimeout {
		l.add(Limits, "header", next.HeaderTimeout < prev.HeaderTimeout, "timeout %s -> %s", prev.HeaderTimeout, next.HeaderTimeout)
	}
	if prev.IdleTimeout != next.IdleTimeout {
		l.add(Limits, "idle", next.IdleTimeout < prev.IdleTimeout, "timeout %s -> %s", prev.IdleTimeout, next.IdleTimeout)
	}
}
