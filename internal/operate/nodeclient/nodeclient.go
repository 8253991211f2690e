// Package nodeclient is the client of the nodes' operator listeners.
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
	"chestnutshed.example/chestnutshed/internal/config/confsync"
	"chestnutshed.example/chestnutshed/internal/config/settings"
	"chestnutshed.example/chestnutshed/internal/core/listen"
	"chestnutshed.example/chestnutshed/internal/core/status"
	"chestnutshed.example/chestnutshed/internal/core/strict"
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
	// callTimeout is the timeout of one call to a node.
	callTimeout = 3 * time.Second
	// maxConcurrent is the maximum number of concurrent calls.
	maxConcurrent = 64
	// maxResponseSize is the maximum size of a response, in bytes. The state dump is
	// the largest: below 1 KB for each node of the fleet.
	maxResponseSize = 16 << 20
	// maxSmallSize is that of responses without a dump.
	maxSmallSize = 64 << 10
)

// Client calls nodes.
type Client struct {
	http   *http.Client
	scheme string
}

// New returns a client. It uses HTTPS if t names TLS files; they are required if
// the operator listeners use TLS.
func New(t settings.TLS) (*Client, error) {
	config, err := listen.ClientTLS(t)
	if err != nil {
		return nil, fmt.Errorf("TLS for operator listeners: %w", err)
	}
	c := &Client{scheme: "http", http: &http.Client{
		Timeout:   callTimeout,
		Transport: strict.NewTransport(&http.Transport{TLSClientConfig: config, DisableKeepAlives: true}),
	}}
	if config != nil {
		c.scheme = "https"
	}
	return c, nil
}

func (c *Client) get(ctx context.Context, address, path string) ([]byte, error) {
	return c.do(ctx, http.MethodGet, address, path, maxResponseSize)
}

// do makes a call whose response has at most limit bytes.
func (c *Client) do(ctx context.Context, method, address, path string, limit int64) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, method, c.scheme+"://"+address+path, nil)
	if err != nil {
		return nil, trace.BadParameter("address %q: %v", address, err)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, trace.ConnectionProblem(err, "node %s did not answer", address)
	}
	defer func() { _ = resp.Body.Close() }()
	if !status.Final(resp.StatusCode) || resp.StatusCode >= http.StatusMultipleChoices {
		return nil, trace.ConnectionProblem(nil, "node %s returned status %s", address, resp.Status)
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, limit+1))
	if err != nil {
		return nil, fmt.Errorf("read response of node %s: %w", address, err)
	}
	if int64(len(body)) > limit {
		return nil, trace.LimitExceeded("response of node %s exceeds %d bytes", address, limit)
	}
	return body, nil
}

// Dump returns the state dump of a node as JSON.
func (c *Client) Dump(ctx context.Context, address string) ([]byte, error) {
	return c.get(ctx, address, admin.StatePath)
}

// Configuration returns the text of the configuration in force at a node on the users'
// platform.
func (c *Client) Configuration(ctx context.Context, address string) ([]byte, error) {
	return c.get(ctx, address, confsync.ConfigPath)
}

// Drain starts a graceful shutdown of a node.
func (c *Client) Drain(ctx context.Context, address string) error {
	_, err := c.do(ctx, http.MethodPost, address, admin.DrainPath, maxSmallSize)
	return err
}

// Version returns the version of a node's active configuration.
func (c *Client) Version(ctx context.Context, address string) (uint64, error) {
	body, err := c.do(ctx, http.MethodGet, address, admin.VersionPath, maxSmallSize)
	if err != nil {
		return 0, err
	}
	var v admin.Version
	if err := json.Unmarshal(body, &v); err != nil {
		return 0, fmt.Errorf("decode version of node %s: %w", address, err)
	}
	return v.Version, nil
}

// State is the part of a node's state dump that the commands use.
type State struct {
	// Address is that of the operator listener.
	Address string
	At      time.Time
	Started time.Time
	Config  ConfigState
	Gossip  GossipState
	Serve   ServeState
	Entry   EntryState
	Shards  ShardState
}

// ShardState is a node's view of the quota shards.
type ShardState struct {
	// Held are the shards that the node holds.
	Held []struct {
		Part  string `json:"part"`
		Claim string `json:"claim"`
	} `json:"holds"`
	// Known are the holders that the node knows.
	Known []claim.Record `json:"known"`
}

// ConfigState is the active configuration of a node.
type ConfigState struct {
	// Head is nil before the first configuration.
	Head *active.Head `json:"head"`
	// Since is when the node activated it.
	Since     time.Time `json:"since"`
	LastError string    `json:"trouble"`
}

// GossipState is a node's membership view and its gossip traffic.
type GossipState struct {
	Self            member.Record   `json:"self"`
	ControlMessages uint64          `json:"control_messages"`
	ControlBytes    uint64          `json:"control_bytes"`
	Members         []member.Record `json:"members"`
}

// ServeState is the state of a node's target and admission control.
type ServeState struct {
	Target       *serve.Announcement `json:"target"`
	Gate         admission.State     `json:"gate"`
	FailureRatio float64             `json:"failure_ratio"`
	Failing      bool                `json:"failing"`
	Draining     bool                `json:"draining"`
}

// EntryState holds the results of root requests that entered at a node.
type EntryState struct {
	Open  bool          `json:"open"`
	Roots []entry.Tally `json:"roots"`
}

// State returns the state of a node.
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
		return State{}, fmt.Errorf("decode state of node %s: %w", address, err)
	}
	s := State{Address: address, At: dump.At, Started: dump.Started}
	for _, service := range dump.Services {
		var dst any
		switch service.Name {
		case active.Name:
			dst = &s.Config
		case "gossip":
			dst = &s.Gossip
		case serve.Name:
			dst = &s.Serve
		case shard.Name:
			dst = &s.Shards
		case entry.Name:
			dst = &s.Entry
		default:
			continue
		}
		if err := json.Unmarshal(service.State, dst); err != nil {
			return s, fmt.Errorf("decode state of node %s, service %s: %w", address, service.Name, err)
		}
	}
	return s, nil
}

// Fleet is the state of several nodes.
type Fleet struct {
	States []State
	// Unreachable are the addresses of nodes whose state could not be read.
	Unreachable []string
}

// Fleet returns the state of the given nodes and, if all is set, of every node
// found through their member lists.
func (c *Client) Fleet(ctx context.Context, addresses []string, all bool) Fleet {
	var f Fleet
	seen := map[string]bool{}
	for next := addresses; len(next) > 0; {
		var batch []string
		for _, a := range next {
			if !seen[a] {
				seen[a] = true
				batch = append(batch, a)
			}
		}
		states, failed := queryAll(batch, func(address string) (State, error) { return c.State(ctx, address) })
		f.States = append(f.States, states...)
		f.Unreachable = append(f.Unreachable, failed...)
		next = nil
		if all {
			next = operatorAddresses(states)
		}
	}
	return f
}

// OperatorAddresses returns the operator listeners of all running nodes that one
// node knows.
func (c *Client) OperatorAddresses(ctx context.Context, address string) ([]string, error) {
	s, err := c.State(ctx, address)
	if err != nil {
		return nil, err
	}
	return operatorAddresses([]State{s}), nil
}

// operatorAddresses returns the operator listeners of all running members.
func operatorAddresses(states []State) []string {
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

// CountAtVersion returns the number of nodes whose active version is at least
// version, and the addresses of the others, including those that don't answer.
func (c *Client) CountAtVersion(ctx context.Context, addresses []string, version uint64) (n int, behind []string) {
	versions, behind := queryAll(addresses, func(address string) (uint64, error) {
		v, err := c.Version(ctx, address)
		if err == nil && v < version {
			err = trace.CompareFailed("node has version %d", v)
		}
		return v, err
	})
	return len(versions), behind
}

// queryAll calls query for each address, at most maxConcurrent at a time. It returns
// the results, and the addresses of the calls that failed.
func queryAll[T any](addresses []string, query func(address string) (T, error)) (results []T, failed []string) {
	var mu sync.Mutex
	var group errgroup.Group
	group.SetLimit(maxConcurrent)
	for _, address := range addresses {
		group.Go(func() error {
			v, err := query(address)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				failed = append(failed, address)
			} else {
				results = append(results, v)
			}
			return nil
		})
	}
	_ = group.Wait()
	return results, failed
}

// ReadyTargets is the number of ready targets that the node knows. A target is
// ready if it announces slots and its node is neither gone nor leaving.
func (s State) ReadyTargets() int {
	n := 0
	for _, r := range s.Gossip.Members {
		if r.Slots > 0 && !r.Gone() && !r.Leaving {
			n++
		}
	}
	return n
}
