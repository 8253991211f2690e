// Package manifest defines the configuration that operators write, as JSON with
// comments: organisations, keys, services, routes and retry budgets.
package manifest

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"strings"
	"time"

	"chestnutshed.example/chestnutshed/internal/config/settings"
	"github.com/gravitational/trace"
)

// MaxSize is the maximum size of a manifest text, in bytes: the largest value
// that the platform stores.
const MaxSize = 1 << 20

// Defaults and maximum values.
const (
	defaultDeadline         = 5 * time.Second
	maxDeadline             = 5 * time.Minute
	defaultMaxBodyBytes     = 64 << 10
	defaultMaxResponseBytes = 1 << 20
	maxBodyLimitBytes       = 64 << 20
	defaultRetryBudget      = 3
	maxRetryBudget          = 20
	defaultRetryRatio       = 0.1
	maxParts                = 64
)

// digestPrefix is the prefix of a key digest in the manifest.
const digestPrefix = "sha256:"

// Importance orders requests for load shedding: lower values are shed first.
type Importance int

// Importance levels, in ascending order.
const (
	Low Importance = iota
	Normal
	High
	Critical
	// NumImportances is the number of levels.
	NumImportances = 4
)

var importanceNames = [NumImportances]string{"low", "normal", "high", "critical"}

// String returns the name used in the manifest.
func (i Importance) String() string {
	if i < 0 || i >= NumImportances {
		return fmt.Sprintf("importance(%d)", int(i))
	}
	return importanceNames[i]
}

// MarshalText implements encoding.TextMarshaler.
func (i Importance) MarshalText() ([]byte, error) { return []byte(i.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (i *Importance) UnmarshalText(text []byte) error {
	for n, name := range importanceNames {
		if name == string(text) {
			*i = Importance(n)
			return nil
		}
	}
	return trace.BadParameter("importance must be low, normal, high or critical, got %q", text)
}

// Organisation is a customer with its own keys, rate limit and share.
type Organisation struct {
	Name string `json:"name"`
	// Rate is in requests per second and Burst in requests, over all nodes. The
	// default of Burst is one second of Rate.
	Rate  float64 `json:"rate"`
	Burst float64 `json:"burst"`
	// Share is the weight against other organisations under overload. The
	// default is 1.
	Share float64 `json:"share"`
	// Parts is the number of parts that the rate is divided into, each held by one
	// node. The default is 1.
	Parts int `json:"parts,omitempty"`
	// Keys are the digests of the API keys, as printed by the key command.
	Keys []string `json:"keys"`
}

// Service is a group of targets that serve the same routes.
type Service struct {
	Name string `json:"name"`
}

// Route maps a method and a path pattern to a service.
type Route struct {
	Name    string `json:"name"`
	Method  string `json:"method"`
	Path    string `json:"path"`
	Service string `json:"service"`
	// Importance is the level for load shedding. The default is "low".
	Importance Importance `json:"importance"`
	// Idempotent routes may be retried after a call whose outcome is unknown.
	Idempotent bool `json:"idempotent"`
	// Open routes accept requests without a key.
	Open bool `json:"open,omitempty"`
	// Internal routes accept only calls between services.
	Internal bool              `json:"internal,omitempty"`
	Deadline settings.Duration `json:"deadline,omitzero"`
	// MaxBodyBytes and MaxResponseBytes limit the request and response bodies.
	MaxBodyBytes     int64 `json:"body,omitempty"`
	MaxResponseBytes int64 `json:"answer,omitempty"`
}

// Retry limits retries.
type Retry struct {
	// Budget is the maximum number of retries for one root request and all its
	// inner calls together. The default is 3.
	Budget *int `json:"budget,omitempty"`
	// Ratio is the maximum ratio of a node's retries to its first attempts. The
	// default is 0.1.
	Ratio float64 `json:"ratio,omitempty"`
}

// Manifest is the complete configuration. It is immutable after Parse.
type Manifest struct {
	Name          string         `json:"name"`
	Organisations []Organisation `json:"organisations"`
	Services      []Service      `json:"services"`
	Routes        []Route        `json:"routes"`
	Retry         Retry          `json:"retry,omitzero"`
}

// Defaults returns a copy with the defaults for empty optional fields.
func (m Manifest) Defaults() Manifest {
	m.Organisations = append([]Organisation(nil), m.Organisations...)
	for i, o := range m.Organisations {
		if o.Share == 0 {
			o.Share = 1
		}
		if o.Burst == 0 {
			o.Burst = o.Rate
		}
		if o.Parts == 0 {
			o.Parts = 1
		}
		m.Organisations[i] = o
	}
	m.Routes = append([]Route(nil), m.Routes...)
	for i, r := range m.Routes {
		m.Routes[i] = r.defaults()
	}
	if m.Retry.Budget == nil {
		budget := defaultRetryBudget
		m.Retry.Budget = &budget
	}
	if m.Retry.Ratio == 0 {
		m.Retry.Ratio = defaultRetryRatio
	}
	return m
}

func (r Route) defaults() Route {
	if r.Deadline == 0 {
		r.Deadline = settings.Duration(defaultDeadline)
	}
	if r.MaxBodyBytes == 0 {
		r.MaxBodyBytes = defaultMaxBodyBytes
	}
	if r.MaxResponseBytes == 0 {
		r.MaxResponseBytes = defaultMaxResponseBytes
	}
	return r
}

// WithRoutes returns a copy with the given routes.
func (m Manifest) WithRoutes(routes []Route) Manifest {
	m.Routes = append([]Route(nil), routes...)
	return m
}

// WithOrganisations returns a copy with the given organisations.
func (m Manifest) WithOrganisations(orgs []Organisation) Manifest {
	m.Organisations = append([]Organisation(nil), orgs...)
	return m
}

// checker collects validation errors, each with the path of its field.
type checker struct{ errs []error }

func (c *checker) add(field, format string, args ...any) {
	c.errs = append(c.errs, trace.BadParameter("%s: %s", field, fmt.Sprintf(format, args...)))
}

// unique adds an error if a name is empty or already in seen.
func (c *checker) unique(seen map[string]bool, field, name string) {
	switch {
	case name == "":
		c.add(field, "must be set")
	case seen[name]:
		c.add(field, "%q is used twice", name)
	}
	seen[name] = true
}

// Validate returns an error that lists every invalid field, or nil.
func (m Manifest) Validate() error {
	c := &checker{}
	if m.Name == "" {
		c.add("name", "must be set")
	}
	m.checkOrganisations(c)
	services := map[string]bool{}
	for i, s := range m.Services {
		c.unique(services, fmt.Sprintf("services[%d].name", i), s.Name)
	}
	m.checkRoutes(c, services)
	if b := m.Retry.Budget; b != nil && (*b < 0 || *b > maxRetryBudget) {
		c.add("retry.budget", "must be from 0 to %d, got %d", maxRetryBudget, *b)
	}
	if m.Retry.Ratio < 0 || m.Retry.Ratio > 1 {
		c.add("retry.ratio", "must be from 0 to 1, got %g", m.Retry.Ratio)
	}
	return errors.Join(c.errs...)
}

func (m Manifest) checkOrganisations(c *checker) {
	names, keys := map[string]bool{}, map[string]bool{}
	for i, o := range m.Organisations {
		field := fmt.Sprintf("organisations[%d]", i)
		c.unique(names, field+".name", o.Name)
		if o.Rate <= 0 {
			c.add(field+".rate", "must be above 0, got %g", o.Rate)
		}
		if o.Burst < 1 {
			c.add(field+".burst", "must be at least 1, got %g", o.Burst)
		}
		if o.Share <= 0 {
			c.add(field+".share", "must be above 0, got %g", o.Share)
		}
		if o.Parts < 1 || o.Parts > maxParts || float64(o.Parts) > o.Burst {
			c.add(field+".parts", "must be from 1 to %d and at most the burst, got %d", maxParts, o.Parts)
		}
		for j, k := range o.Keys {
			keyField := fmt.Sprintf("%s.keys[%d]", field, j)
			c.unique(keys, keyField, k)
			raw, err := hex.DecodeString(strings.TrimPrefix(k, digestPrefix))
			if !strings.HasPrefix(k, digestPrefix) || err != nil || len(raw) != sha256.Size {
				c.add(keyField, "must be a digest as printed by the key command, not the key itself")
			}
		}
	}
}

func (m Manifest) checkRoutes(c *checker, services map[string]bool) {
	names, patterns := map[string]bool{}, map[string]bool{}
	for i, r := range m.Routes {
		field := fmt.Sprintf("routes[%d]", i)
		c.unique(names, field+".name", r.Name)
		switch r.Method {
		case "GET", "HEAD":
			if !r.Idempotent {
				c.add(field+".idempotent", "%s must be idempotent", r.Method)
			}
		case "POST", "PUT", "PATCH", "DELETE":
		default:
			c.add(field+".method", "must be GET, HEAD, POST, PUT, PATCH or DELETE, got %q", r.Method)
		}
		shape, err := patternShape(r.Path)
		if err != nil {
			c.add(field+".path", "%v", err)
		} else {
			c.unique(patterns, field+".path", r.Method+" "+shape)
		}
		if !services[r.Service] {
			c.add(field+".service", "%q is not among the services", r.Service)
		}
		if r.Open && r.Internal {
			c.add(field+".open", "an internal route can't be open")
		}
		if r.Open && !r.Idempotent {
			c.add(field+".open", "a route that is not idempotent needs a key")
		}
		if d := time.Duration(r.Deadline); d <= 0 || d > maxDeadline {
			c.add(field+".deadline", "must be above 0 and at most %s, got %s", maxDeadline, d)
		}
		if r.MaxBodyBytes < 0 || r.MaxBodyBytes > maxBodyLimitBytes {
			c.add(field+".body", "must be from 0 to %d bytes, got %d", int64(maxBodyLimitBytes), r.MaxBodyBytes)
		}
		if r.MaxResponseBytes < 0 || r.MaxResponseBytes > maxBodyLimitBytes {
			c.add(field+".answer", "must be from 0 to %d bytes, got %d", int64(maxBodyLimitBytes), r.MaxResponseBytes)
		}
	}
}

// Parse parses a manifest, fills in the defaults and validates it. It returns
// trace.LimitExceeded for a text over MaxSize, and trace.BadParameter errors for
// other invalid input.
func Parse(text []byte) (Manifest, error) {
	var m Manifest
	if len(text) > MaxSize {
		return m, trace.LimitExceeded("manifest has %d bytes, the maximum on the platform is %d", len(text), MaxSize)
	}
	if err := settings.Decode(text, &m); err != nil {
		return m, fmt.Errorf("parse manifest: %w", err)
	}
	m = m.Defaults()
	if err := m.Validate(); err != nil {
		return m, fmt.Errorf("validate manifest:\n%w", err)
	}
	return m, nil
}

// Digest returns the digest of an API key as written in a manifest.
func Digest(key string) string {
	sum := sha256.Sum256([]byte(key))
	return digestPrefix + hex.EncodeToString(sum[:])
}

// shortDigestLength is the number of characters in which a digest is shown.
const shortDigestLength = len(digestPrefix) + 8

// ShortDigest returns the beginning of a digest, which is enough to tell keys apart.
func ShortDigest(digest string) string { return digest[:shortDigestLength] }
