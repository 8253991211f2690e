package manifest

import (
	"strings"

	"github.com/gravitational/trace"
)

// pattern is a compiled path pattern. It consists of literal segments, {name} for
// any one segment, and an optional final {name...} for all remaining segments.
type pattern struct {
	segments []segment
	rest     bool
}

type segment struct {
	literal  string
	wildcard bool
}

// compile parses a path pattern. It returns trace.BadParameter if it is invalid.
func compile(path string) (pattern, error) {
	var p pattern
	if !strings.HasPrefix(path, "/") {
		return p, trace.BadParameter("must start with /, got %q", path)
	}
	parts := strings.Split(path[1:], "/")
	for i, part := range parts {
		switch {
		case strings.HasPrefix(part, "{") && strings.HasSuffix(part, "...}"):
			if i != len(parts)-1 {
				return p, trace.BadParameter("%s must be the last segment", part)
			}
			p.rest = true
		case strings.HasPrefix(part, "{") && strings.HasSuffix(part, "}"):
			p.segments = append(p.segments, segment{wildcard: true})
		case strings.ContainsAny(part, "{}?#%\\") || part == "." || part == "..":
			return p, trace.BadParameter("segment %q is not allowed", part)
		default:
			p.segments = append(p.segments, segment{literal: part})
		}
	}
	return p, nil
}

// patternShape returns the pattern without the names of its wildcards. It is equal
// for patterns that match the same paths.
func patternShape(path string) (string, error) {
	p, err := compile(path)
	if err != nil {
		return "", err
	}
	var b strings.Builder
	for _, s := range p.segments {
		b.WriteByte('/')
		if s.wildcard {
			b.WriteByte('*')
		}
		b.WriteString(s.literal)
	}
	if p.rest {
		b.WriteString("/**")
	}
	return b.String(), nil
}

// match returns the number of path segments that match a literal, or -1 if the
// path does not match. A {name} wildcard does not match an empty segment.
func (p pattern) match(parts []string) int {
	if len(parts) < len(p.segments) || (!p.rest && len(parts) != len(p.segments)) {
		return -1
	}
	score := 0
	for i, s := range p.segments {
		switch {
		case s.wildcard && parts[i] == "":
			return -1
		case s.wildcard:
		case s.literal != parts[i]:
			return -1
		default:
			score++
		}
	}
	return score
}

// Index looks up the routes and organisations of a manifest for each request.
type Index struct {
	manifest       Manifest
	orgByKey       map[string]*Organisation
	orgByName      map[string]*Organisation
	routeByName    map[string]*Route
	routesByMethod map[string][]compiledRoute
}

type compiledRoute struct {
	pattern pattern
	route   *Route
}

// NewIndex indexes a valid manifest. It returns an error if a path pattern is
// invalid.
func NewIndex(m Manifest) (*Index, error) {
	x := &Index{
		manifest:       m,
		orgByKey:       map[string]*Organisation{},
		orgByName:      map[string]*Organisation{},
		routeByName:    map[string]*Route{},
		routesByMethod: map[string][]compiledRoute{},
	}
	for i := range m.Organisations {
		o := &m.Organisations[i]
		x.orgByName[o.Name] = o
		for _, k := range o.Keys {
			x.orgByKey[k] = o
		}
	}
	for i := range m.Routes {
		r := &m.Routes[i]
		p, err := compile(r.Path)
		if err != nil {
			return nil, err
		}
		x.routeByName[r.Name] = r
		x.routesByMethod[r.Method] = append(x.routesByMethod[r.Method], compiledRoute{p, r})
	}
	return x, nil
}

// Manifest returns the indexed manifest.
func (x *Index) Manifest() Manifest { return x.manifest }

// OrganisationByKey returns the organisation with an API key, or nil. The key is
// in plain text.
func (x *Index) OrganisationByKey(key string) *Organisation { return x.orgByKey[Digest(key)] }

// OrganisationByName returns the organisation with a name, or nil.
func (x *Index) OrganisationByName(name string) *Organisation { return x.orgByName[name] }

// RouteByName returns the route with a name, or nil.
func (x *Index) RouteByName(name string) *Route { return x.routeByName[name] }

// Match returns the route for a method and a decoded path, or nil. If several
// patterns match, the one with the most literal segments wins, then one without
// {name...}.
func (x *Index) Match(method, path string) *Route {
	if !strings.HasPrefix(path, "/") {
		return nil
	}
	parts := strings.Split(path[1:], "/")
	var best *Route
	bestScore := -1
	for _, c := range x.routesByMethod[method] {
		score := c.pattern.match(parts)
		if score < 0 {
			continue
		}
		score *= 2
		if !c.pattern.rest {
			score++
		}
		if score > bestScore {
			best, bestScore = c.route, score
		}
	}
	return best
}
