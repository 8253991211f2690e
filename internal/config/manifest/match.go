package manifest

import (
	"strings"

	"github.com/gravitational/trace"
)

// pattern is a compiled path pattern: literal segments, {name} for one
// segment and a final {name...} for the rest.
type pattern struct {
	segments []segment
	rest     bool
}

type segment struct {
	literal string
	wildcard     bool
}

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

// patternShape is equal for two patterns that match the same paths.
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

// match returns how many segments of the path matched literally, or -1.
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

// Index answers the questions of the request path about one manifest.
type Index struct {
	manifest Manifest
	orgByKey     map[string]*Organisation
	orgByName     map[string]*Organisation
	routeByName   map[string]*Route
	routesByMethod map[string][]compiledRoute
}

type compiledRoute struct {
	pattern pattern
	route   *Route
}

// NewIndex compiles a manifest that Validate has accepted.
func NewIndex(m Manifest) (*Index, error) {
	x := &Index{
		manifest: m,
		orgByKey:     map[string]*Organisation{},
		orgByName:     map[string]*Organisation{},
		routeByName:   map[string]*Route{},
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

// Manifest is the declaration behind the index.
func (x *Index) Manifest() Manifest { return x.manifest }

// OrganisationByKey returns the owner of a key, or nil for an unknown key.
func (x *Index) OrganisationByKey(key string) *Organisation { return x.orgByKey[Digest(key)] }

// OrganisationByName returns an organisation, or nil.
func (x *Index) OrganisationByName(name string) *Organisation { return x.orgByName[name] }

// RouteByName returns the route with this name, or nil.
func (x *Index) RouteByName(name string) *Route { return x.routeByName[name] }

// Match returns the route for a method and a decoded path, or nil. Of several
// matching patterns the one with most literal segments is taken, then the one
// without a rest.
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
