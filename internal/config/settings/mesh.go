package settings

import (
	"errors"
	"fmt"
	"net"
	"os"
	"time"

	"github.com/gravitational/trace"
)

// Defaults of optional settings.
const (
	defaultGraceSeconds       = 6
	defaultRevokeDelaySeconds = 5
	defaultRetryRatio         = 0.2
	defaultRetrySlack         = 20
	defaultRetryWindowSeconds = 10
	defaultZonePrice          = 0.2
	defaultInnerZonePrice     = 0.5
)

// maxBodiesDivisor divides the memory to give the most for bodies of callers and of peers each.
const maxBodiesDivisor = 3

// Seconds is a duration in seconds, with fractions.
type Seconds float64

// Duration returns the value as a time.Duration.
func (s Seconds) Duration() time.Duration { return time.Duration(float64(s) * float64(time.Second)) }

// RetryLimits limits the retries to a service, over all nodes.
type RetryLimits struct {
	// Ratio is the maximum ratio of retries to first attempts. Slack is a number
	// of retries allowed in addition. Both apply to any Window.
	Ratio  float64 `json:"ratio"`
	Slack  float64 `json:"slack"`
	Window Seconds `json:"window,omitempty"`
}

// ColdLimits bound the requests of one second to a cold target, over all nodes: Overage
// times the rate that it tolerates, or just that rate if Overage is 0, and Slack more.
type ColdLimits struct {
	Overage float64 `json:"overage"`
	Slack   float64 `json:"slack"`
}

// ZonePrice is the price of traffic between availability zones, as a fraction of the latency
// objective: how much of it a call must save to leave its zone. A price of 1 or more keeps all
// calls in their zone while it has targets. Price is for callers' requests, Inner for calls
// that targets make.
type ZonePrice struct {
	Price *float64 `json:"price,omitempty"`
	Inner *float64 `json:"inner,omitempty"`
}

// Prices returns both prices, the defaults where none are set.
func (z ZonePrice) Prices() (price, inner float64) {
	price, inner = defaultZonePrice, defaultInnerZonePrice
	if z.Price != nil {
		price = *z.Price
	}
	if z.Inner != nil {
		inner = *z.Inner
	}
	return price, inner
}

// Public holds the advertised addresses of a node, IP:port. They differ from the
// listen addresses behind NAT or a port forwarder. The default is the listen
// address.
type Public struct {
	Peers     string `json:"peers,omitempty"`
	Datagrams string `json:"datagrams,omitempty"`
}

// Mesh holds the settings of a node whose callers are on the same VM.
type Mesh struct {
	// Node is the name of the node. It does not change when the node restarts.
	Node   string `json:"node"`
	Zone   string `json:"zone"`
	Region string `json:"region"`
	// Service is the service that the target on this VM belongs to.
	Service string `json:"service"`
	// Memory is the memory limit of the process, in megabytes; 0 is no limit.
	Memory int `json:"memory"`
	// Bodies is the memory that request bodies of callers, and again those of peers, may
	// take, in megabytes; 0 is a quarter of Memory, or more where the largest body needs it.
	Bodies int `json:"bodies,omitempty"`
	// Files is the maximum number of open file descriptors; 0 is no limit.
	Files int `json:"files"`
	// Target, Callers, Peers, Ready, Announcements, Datagrams and Operators
	// are addresses, IP:port.
	Target        string `json:"target"`
	Callers       string `json:"callers"`
	Peers         string `json:"peers"`
	Ready         string `json:"ready"`
	Announcements string `json:"announcements"`
	Datagrams     string `json:"datagrams"`
	Operators     string `json:"operators"`
	Public        Public `json:"public,omitzero"`
	// Metrics is an optional additional address that serves the metrics.
	Metrics string `json:"metrics,omitempty"`
	// Store is the address of the platform's object store, IP:port.
	Store string `json:"store"`
	// Grace is the time from the stop signal to the forced stop.
	Grace Seconds `json:"grace"`
	// RevokeDelay is the maximum time that a revoked key may still be accepted.
	RevokeDelay Seconds     `json:"revoke"`
	Retries     RetryLimits `json:"extra,omitzero"`
	// Cold bounds the requests to cold targets of services that name a rate for them.
	Cold ColdLimits `json:"cold,omitzero"`
	// EvacuationDelay is the maximum time until an evacuation of an availability zone is
	// in force; 0 if there are no evacuations.
	EvacuationDelay Seconds   `json:"evacuate,omitempty"`
	Zones           ZonePrice `json:"zones,omitzero"`
	Level           string    `json:"level,omitempty"`
}

// Defaults returns a copy with the defaults for empty optional fields.
func (m Mesh) Defaults() Mesh {
	if m.Grace == 0 {
		m.Grace = defaultGraceSeconds
	}
	if m.RevokeDelay == 0 {
		m.RevokeDelay = defaultRevokeDelaySeconds
	}
	if m.Retries == (RetryLimits{}) {
		m.Retries = RetryLimits{Ratio: defaultRetryRatio, Slack: defaultRetrySlack}
	}
	if m.Retries.Window == 0 {
		m.Retries.Window = defaultRetryWindowSeconds
	}
	if m.Level == "" {
		m.Level = "info"
	}
	if m.Public.Peers == "" {
		m.Public.Peers = m.Peers
	}
	if m.Public.Datagrams == "" {
		m.Public.Datagrams = m.Datagrams
	}
	return m
}

// Validate returns an error that lists every invalid field, or nil.
func (m Mesh) Validate() error {
	var errs []error
	add := func(field, format string, args ...any) {
		errs = append(errs, trace.BadParameter("%s: %s", field, fmt.Sprintf(format, args...)))
	}
	for _, f := range []struct{ name, value string }{{"node", m.Node}, {"zone", m.Zone}, {"service", m.Service}} {
		if f.value == "" {
			add(f.name, "must be set")
		}
	}
	for _, f := range []struct{ name, value string }{
		{"target", m.Target},
		{"callers", m.Callers},
		{"peers", m.Peers},
		{"ready", m.Ready},
		{"announcements", m.Announcements},
		{"datagrams", m.Datagrams},
		{"operators", m.Operators},
		{"store", m.Store},
	} {
		if _, _, err := net.SplitHostPort(f.value); err != nil {
			add(f.name, "must be IP:port, got %q", f.value)
		}
	}
	for _, f := range []struct{ name, value, own string }{
		{"public.peers", m.Public.Peers, m.Peers},
		{"public.datagrams", m.Public.Datagrams, m.Datagrams},
	} {
		if _, _, err := net.SplitHostPort(f.value); err != nil && f.value != f.own {
			add(f.name, "must be IP:port, got %q", f.value)
		}
	}
	if m.Grace < 0 || m.RevokeDelay < 0 || m.Memory < 0 || m.Files < 0 || m.Bodies < 0 {
		add("grace, revoke, memory, files, bodies", "must not be negative")
	}
	if m.Memory > 0 && m.Bodies > m.Memory/maxBodiesDivisor {
		add("bodies", "must be at most %d, a third of the memory: callers and peers take it each", m.Memory/maxBodiesDivisor)
	}
	for _, f := range []struct {
		name  string
		value *float64
	}{{"zones.price", m.Zones.Price}, {"zones.inner", m.Zones.Inner}} {
		if f.value != nil && *f.value < 0 {
			add(f.name, "must not be negative")
		}
	}
	if m.Retries.Ratio < 0 || m.Retries.Slack < 0 || m.Retries.Window < 0 {
		add("extra", "ratio, slack and window must not be negative")
	}
	if m.Cold.Overage < 0 || m.Cold.Slack < 0 || m.EvacuationDelay < 0 {
		add("cold, evacuate", "must not be negative")
	}
	return errors.Join(errs...)
}

// LoadMesh reads a settings file, fills in the defaults and validates it.
func LoadMesh(path string) (Mesh, error) {
	var m Mesh
	text, err := os.ReadFile(path)
	if err != nil {
		return m, fmt.Errorf("read settings: %w", trace.ConvertSystemError(err))
	}
	if err := Decode(text, &m); err != nil {
		return m, fmt.Errorf("parse settings %s: %w", path, err)
	}
	m = m.Defaults()
	if err := m.Validate(); err != nil {
		return m, fmt.Errorf("validate settings %s:\n%w", path, err)
	}
	return m, nil
}
