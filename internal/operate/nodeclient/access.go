// Package access reads nodes through their operators' listeners.
package nodeclient

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"chestnutshed.example/chestnutshed/internal/config/active"
	"chestnutshed.example/chestnutshed/internal/config/settings"
	"chestnutshed.example/chestnutshed/internal/core/listen"
	"chestnutshed.example/chestnutshed/internal/fleet/claim"
	"chestnutshed.example/chestnutshed/internal/fleet/member"
	"chestnutshed.example/chestnutshed/internal/fleet/shard"
	"chestnutshed.example/chestnutshed/internal/operate/admin"
	"chestnutshed.example/chestnutshed/internal/policy/admission"
	"chestnutshed.example/chestnutshed/internal/traffic/entry"
	"chestnutshed.example/chestnutshed/internal/traffic/serve"
	"github.com/gravitational/trace"
	"golang.org/x/sync/errgroup"
)

const (
	// timeout bounds one call to a node.
	timeout = 3 * time.Second
	// parallel is the number of nodes asked at once.
	parallel = 64
	// maxDump bounds a dump, in bytes.
	maxDump = 64 << 20
)

// Client reads nodes.
type Client struct {
	http   *http.Client
	scheme string
}

// New returns a client; TLS files are needed when the operators' listeners use
// TLS.
func New(t settings.TLS) (*Client, error) {
	config, err := listen.ClientTLS(t)
	if err != nil {
		return nil, fmt.Errorf("operators: %w", err)
	}
	c := &Client{scheme: "http", http: &http.Client{
		Timeout:   timeout,
		Transport: &http.Transport{TLSClientConfig: config, DisableKeepAlives: true},
	}}
	if config != nil {
		c.scheme = "https"
	}
	return c, nil
}

func (c *Client) get(ctx context.Context, address, path string) ([]byte, error) {
	return c.call(ctx, http.MethodGet, address, path)
}

func (c *Client) call(ctx context.Context, method, address, path string) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, method, c.scheme+"://"+address+path, nil)
	if err != nil {
		return nil, trace.BadParameter("address %q: %v", address, err)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, trace.ConnectionProblem(err, "node %s gives no answer", address)
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxDump))
	if err != nil {
		return nil, fmt.Errorf("read answer of %s: %w", address, err)
	}
	if resp.StatusCode >= http.StatusMultipleChoices {
		return nil, trace.ConnectionProblem(nil, "node %s answered %s", address, resp.Status)
	}
	return body, nil
}

// Dump returns the raw state of a node.
func (c *Client) Dump(ctx context.Context, address string) ([]byte, error) {
	return c.get(ctx, address, admin.StatePath)
}

// Drain begins a planned stop of a node.
func (c *Client) Drain(ctx context.Context, address string) error {
	_, err := c.call(ctx, http.MethodPost, address, admin.DrainPath)
	return err
}

// Version returns the version of the configuration in force at a node.
func (c *Client) Version(ctx context.Context, address string) (uint64, error) {
	body, err := c.get(ctx, address, admin.VersionPath)
	if err != nil {
		return 0, err
	}
	var v admin.Version
	if err := json.Unmarshal(body, &v); err != nil {
		return 0, fmt.Errorf("version of %s: %w", address, err)
	}
	return v.Version, nil
}

// State is what the commands use of a node's dump.
type State struct {
	Address string
	At      time.Time
	Started time.Time
	Config  ConfigState
	Gossip  GossipState
	Serve   ServeState
	Entry   EntryState
	Shards  PartsState
}

// PartsState is what a node knows of holders, and holds itself.
type PartsState struct {
	Held []struct {
		Part  string `json:"part"`
		Claim string `json:"claim"`
	} `json:"holds"`
	Known []claim.Record `json:"known"`
}

// ConfigState is the configuration in force at a node.
type ConfigState struct {
	Head    *active.Head `json:"head"`
	Since   time.Time    `json:"since"`
	Trouble string       `json:"trouble"`
}

// GossipState is whom a node knows.
type GossipState struct {
	Self            member.Record   `json:"self"`
	ControlMessages uint64          `json:"control_messages"`
	ControlBytes    uint64          `json:"control_bytes"`
	Members         []member.Record `json:"members"`
}

// ServeState is a node's target and its admission.
type ServeState struct {
	Target   *serve.Announcement `json:"target"`
	Gate     admission.State     `json:"gate"`
	Failures float64             `json:"failure_ratio"`
	Failing  bool                `json:"failing"`
	Draining bool                `json:"draining"`
}

// EntryState counts what became of roots at a node.
type EntryState struct {
	Open  bool          `json:"open"`
	Roots []entry.Tally `json:"roots"`
}

// State reads a node.
func (c *Client) State(ctx context.Context, address string) (State, error) {
	body, err := c.Dump(ctx, address)
	if err != nil {
		return State{}, err
	}
	var dump struct {
		At       time.Time `json:"at"`
		Started  time.Time `json:"started"`
		Services []struct {
			Name  string          `json:"name"`
			State json.RawMessage `json:"state"`
		} `json:"services"`
	}
	if err := json.Unmarshal(body, &dump); err != nil {
		return State{}, fmt.Errorf("state of %s: %w", address, err)
	}
	s := State{Address: address, At: dump.At, Started: dump.Started}
	for _, service := range dump.Services {
		var into any
		switch service.Name {
		case active.Name:
			into = &s.Config
		case "gossip":
			into = &s.Gossip
		case serve.Name:
			into = &s.Serve
		case shard.Name:
			into = &s.Shards
		case entry.Name:
			into = &s.Entry
		default:
			continue
		}
		if err := json.Unmarshal(service.State, into); err != nil {
			return s, fmt.Errorf("state of %s, service %s: %w", address, service.Name, err)
		}
	}
	return s, nil
}

// Fleet is what several nodes say.
type Fleet struct {
	States []State
	// Missing are the addresses of nodes that gave no answer.
	Missing []string
}

// Fleet reads the given nodes and, with all set, every node that they know.
func (c *Client) Fleet(ctx context.Context, addresses []string, all bool) Fleet {
	var f Fleet
	asked := map[string]bool{}
	for next := addresses; len(next) > 0; {
		var batch []string
		for _, a := range next {
			if !asked[a] {
				asked[a] = true
				batch = append(batch, a)
			}
		}
		states, missing := each(batch, func(address string) (State, error) { return c.State(ctx, address) })
		f.States = append(f.States, states...)
		f.Missing = append(f.Missing, missing...)
		next = nil
		if all {
			next = known(states)
		}
	}
	return f
}

// Nodes returns the operators' addresses of all nodes that one node knows to
// run.
func (c *Client) Nodes(ctx context.Context, address string) ([]string, error) {
	s, err := c.State(ctx, address)
	if err != nil {
		return nil, err
	}
	return known([]State{s}), nil
}

func known(states []State) []string {
	var addresses []string
	for _, s := range states {
		for _, r := range s.Gossip.Members {
			if !r.Gone() && r.Operators != "" {
				addresses = append(addresses, r.Operators)
			}
		}
	}
	return addresses
}

// InForce counts the nodes that have at least a version in force, and lists
// those that don't or give no answer.
func (c *Client) InForce(ctx context.Context, addresses []string, version uint64) (n int, behind []string) {
	versions, behind := each(addresses, func(address string) (uint64, error) {
		v, err := c.Version(ctx, address)
		if err == nil && v < version {
			err = trace.CompareFailed("version %d", v)
		}
		return v, err
	})
	return len(versions), behind
}

// each asks several nodes at once. It returns what they said, and the addresses
// of those that failed.
func each[T any](addresses []string, ask func(address string) (T, error)) (said []T, failed []string) {
	var mu sync.Mutex
	var group errgroup.Group
	group.SetLimit(parallel)
	for _, address := range addresses {
		group.Go(func() error {
			v, err := ask(address)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				failed = append(failed, address)
			} else {
				said = append(said, v)
			}
			return nil
		})
	}
	_ = group.Wait()
	return said, failed
}

// ReadyTargets is the number of ready targets that the node knows.
func (s State) ReadyTargets() int {
	n := 0
	for _, r := range s.Gossip.Members {
		if r.Slots > 0 && !r.Gone() && !r.Leaving {
			n++
		}
	}
	return n
}
