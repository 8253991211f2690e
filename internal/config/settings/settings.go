// Package settings reads the settings of a node: its addresses, its availability
// zone and region, the platform, and secrets from a file or the environment.
package settings

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"strings"
	"time"

	"github.com/gravitational/trace"
	"github.com/tailscale/hujson"
)

// minSecretBytes is the minimum length of the fleet secret.
const minSecretBytes = 16

// TLS holds the paths of a listener's certificate files.
type TLS struct {
	// Cert and Key are paths of PEM files. Set both or neither.
	Cert string `json:"cert,omitempty"`
	Key  string `json:"key,omitempty"`
	// CA is the path of the PEM file with the client CA. If it is set, clients
	// without a certificate from that CA are rejected.
	CA string `json:"ca,omitempty"`
}

// Enabled reports whether the listener uses TLS.
func (t TLS) Enabled() bool { return t.Cert != "" }

// Listener is an address on which the node accepts connections.
type Listener struct {
	// Address is IP:port.
	Address string `json:"address"`
	// Advertise is the IP:port at which others reach the listener, if it differs
	// from Address.
	Advertise string `json:"advertise,omitempty"`
	TLS       TLS    `json:"tls,omitzero"`
}

// AdvertisedAddress returns the IP:port at which others reach the listener.
func (l Listener) AdvertisedAddress() string {
	if l.Advertise != "" {
		return l.Advertise
	}
	return l.Address
}

// Settings holds the settings of one node.
type Settings struct {
	Zone      string   `json:"zone"`
	Region    string   `json:"region"`
	Callers   Listener `json:"callers"`
	Target    Listener `json:"target"`
	Peers     Listener `json:"peers"`
	Operators Listener `json:"operators"`
	// Platform is the base URL of the object API.
	Platform string `json:"platform"`
	// Join lists addresses of peers to contact in addition to those from the
	// platform.
	Join []string `json:"join,omitempty"`
	// Secret is the source of the fleet secret: "env:NAME" or "file:PATH".
	Secret string `json:"secret"`
	// Level is the minimum log level: debug, info, warning or error.
	Level string `json:"level,omitempty"`
	// Drain is the maximum time that a planned stop waits for running requests.
	Drain Duration `json:"drain,omitzero"`

	secret []byte
}

// Duration is a time.Duration that is encoded as a string such as "2s".
type Duration time.Duration

// UnmarshalJSON implements json.Unmarshaler.
func (d *Duration) UnmarshalJSON(data []byte) error {
	var text string
	if err := json.Unmarshal(data, &text); err != nil {
		return trace.BadParameter("a duration is a string such as \"2s\", not %s", data)
	}
	value, err := time.ParseDuration(text)
	if err != nil {
		return trace.BadParameter("invalid duration %q, want a string such as \"2s\"", text)
	}
	*d = Duration(value)
	return nil
}

// MarshalJSON implements json.Marshaler.
func (d Duration) MarshalJSON() ([]byte, error) {
	return json.Marshal(time.Duration(d).String())
}

// Defaults returns a copy with the defaults for empty optional fields.
func (s Settings) Defaults() Settings {
	if s.Level == "" {
		s.Level = "info"
	}
	if s.Drain == 0 {
		s.Drain = Duration(30 * time.Second)
	}
	return s
}

// Validate returns an error that lists every invalid field, or nil.
func (s Settings) Validate() error {
	var errs []error
	add := func(field, format string, args ...any) {
		errs = append(errs, trace.BadParameter("%s: %s", field, fmt.Sprintf(format, args...)))
	}
	if s.Zone == "" {
		add("zone", "must be set")
	}
	if s.Region == "" {
		add("region", "must be set")
	}
	if !strings.HasPrefix(s.Platform, "http://") && !strings.HasPrefix(s.Platform, "https://") {
		add("platform", "must be an http or https URL, got %q", s.Platform)
	}
	for _, l := range s.listeners() {
		if _, _, err := net.SplitHostPort(l.Address); err != nil {
			add(l.name+".address", "must be IP:port, got %q", l.Address)
		}
		if _, _, err := net.SplitHostPort(l.AdvertisedAddress()); err != nil {
			add(l.name+".advertise", "must be IP:port, got %q", l.Advertise)
		}
		if (l.TLS.Cert == "") != (l.TLS.Key == "") {
			add(l.name+".tls", "cert and key must both be set")
		}
		if l.TLS.CA != "" && l.TLS.Cert == "" {
			add(l.name+".tls", "ca needs cert and key")
		}
	}
	for i, address := range s.Join {
		if _, _, err := net.SplitHostPort(address); err != nil {
			add(fmt.Sprintf("join[%d]", i), "must be IP:port, got %q", address)
		}
	}
	switch s.Level {
	case "debug", "info", "warning", "error":
	default:
		add("level", "must be debug, info, warning or error, got %q", s.Level)
	}
	if s.Drain < 0 {
		add("drain", "must not be negative")
	}
	return errors.Join(errs...)
}

type namedListener struct {
	Listener
	name string
}

func (s Settings) listeners() []namedListener {
	return []namedListener{
		{s.Callers, "callers"},
		{s.Target, "target"},
		{s.Peers, "peers"},
		{s.Operators, "operators"},
	}
}

// WithSecret returns a copy with the given fleet secret.
func (s Settings) WithSecret(secret []byte) Settings {
	s.secret = bytes.Clone(secret)
	return s
}

// FleetSecret returns the secret shared by all nodes. It is never encoded.
func (s Settings) FleetSecret() []byte { return s.secret }

// Parse parses settings in JSON with comments, fills in the defaults and
// validates them. Unknown fields are errors.
func Parse(text []byte) (Settings, error) {
	var s Settings
	if err := Decode(text, &s); err != nil {
		return s, fmt.Errorf("parse settings: %w", err)
	}
	s = s.Defaults()
	if err := s.Validate(); err != nil {
		return s, fmt.Errorf("validate settings:\n%w", err)
	}
	return s, nil
}

// Load reads a settings file and the fleet secret that it refers to.
func Load(path string) (Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, fmt.Errorf("read settings: %w", trace.ConvertSystemError(err))
	}
	s, err := Parse(text)
	if err != nil {
		return s, fmt.Errorf("%s: %w", path, err)
	}
	secret, err := readSecret(s.Secret)
	if err != nil {
		return s, fmt.Errorf("%s: secret: %w", path, err)
	}
	return s.WithSecret(secret), nil
}

// readSecret reads the fleet secret from an environment variable or a file.
func readSecret(source string) ([]byte, error) {
	kind, name, _ := strings.Cut(source, ":")
	var secret []byte
	switch kind {
	case "env":
		secret = []byte(os.Getenv(name))
	case "file":
		text, err := os.ReadFile(name)
		if err != nil {
			return nil, fmt.Errorf("read secret: %w", trace.ConvertSystemError(err))
		}
		secret = bytes.TrimSpace(text)
	default:
		return nil, trace.BadParameter("must be env:NAME or file:PATH")
	}
	if len(secret) < minSecretBytes {
		return nil, trace.BadParameter("%s %s holds fewer than %d bytes", kind, name, minSecretBytes)
	}
	return secret, nil
}

// Decode decodes JSON with comments into v. Unknown fields and text after the
// document are errors. Decoding errors include the line number.
func Decode(text []byte, v any) error {
	plain, err := hujson.Standardize(bytes.Clone(text))
	if err != nil {
		return trace.BadParameter("%v", err)
	}
	dec := json.NewDecoder(bytes.NewReader(plain))
	dec.DisallowUnknownFields()
	if err := dec.Decode(v); err != nil {
		line := 1 + bytes.Count(plain[:min(int(dec.InputOffset()), len(plain))], []byte("\n"))
		return trace.BadParameter("near line %d: %v", line, err)
	}
	if dec.More() {
		return trace.BadParameter("text after the end of the document")
	}
	return nil
}
