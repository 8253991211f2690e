// Package deployment describes the targets and callers that stand-ins simulate.
package deployment

import (
	"fmt"
	"time"

	"chestnutshed.example/chestnutshed/examples"
	"chestnutshed.example/chestnutshed/internal/config/manifest"
	"chestnutshed.example/chestnutshed/internal/config/settings"
	"github.com/gravitational/trace"
)

// Call is an inner call that targets make for each request whose path starts with
// PathPrefix.
type Call struct {
	PathPrefix string `json:"under"`
	Method     string `json:"method"`
	Path       string `json:"path"`
}

// Service is a group of identical targets.
type Service struct {
	Name        string `json:"name"`
	Targets     int    `json:"targets"`
	Slots       int    `json:"slots"`
	Connections int    `json:"connections"`
	// ServiceTime is the mean time that a request occupies a slot, without inner
	// calls.
	ServiceTime settings.Duration `json:"time"`
	Calls       []Call            `json:"calls,omitempty"`
}

// MeanServiceTime returns ServiceTime as a time.Duration.
func (s Service) MeanServiceTime() time.Duration { return time.Duration(s.ServiceTime) }

// RequestType is a type of request that callers send, with its weight in the mix.
type RequestType struct {
	Route  string  `json:"route"`
	Method string  `json:"method"`
	Path   string  `json:"path"`
	Weight float64 `json:"weight"`
	// Ticket is set for requests that need a ticket as idempotency key.
	Ticket bool `json:"ticket,omitempty"`
}

// Deployment describes a fleet, its callers and its manifest.
type Deployment struct {
	Name   string   `json:"name"`
	Region string   `json:"region"`
	Zones  []string `json:"zones"`
	// ZoneLatency is the one-way latency between two availability zones,
	// CallerLatency that between callers and nodes.
	ZoneLatency   settings.Duration `json:"apart"`
	CallerLatency settings.Duration `json:"away"`
	Services      []Service         `json:"services"`
	Mix           []RequestType     `json:"mix"`

	Manifest manifest.Manifest `json:"-"`
	Text     []byte            `json:"-"`
}

// Load returns one of the example deployments: budapest, mexico or small.
func Load(name string) (Deployment, error) {
	var d Deployment
	fleet, err := examples.Files.ReadFile(name + ".fleet.jsonc")
	if err != nil {
		return d, trace.NotFound("unknown deployment %q: want budapest, mexico or small", name)
	}
	if err := settings.Decode(fleet, &d); err != nil {
		return d, fmt.Errorf("deployment %s: %w", name, err)
	}
	if d.Text, err = examples.Files.ReadFile(name + ".jsonc"); err != nil {
		return d, fmt.Errorf("manifest of %s: %w", name, err)
	}
	if d.Manifest, err = manifest.Parse(d.Text); err != nil {
		return d, fmt.Errorf("manifest of %s: %w", name, err)
	}
	return d, nil
}

// Key returns the API key of an organisation in the example manifests.
func Key(organisation string) string { return "example-" + organisation }

// Service returns a service by its name.
func (d Deployment) Service(name string) (Service, bool) {
	for _, s := range d.Services {
		if s.Name == name {
			return s, true
		}
	}
	return Service{}, false
}

// Route returns a route of the manifest by its name.
func (d Deployment) Route(name string) (manifest.Route, bool) {
	for _, r := range d.Manifest.Routes {
		if r.Name == name {
			return r, true
		}
	}
	return manifest.Route{}, false
}
