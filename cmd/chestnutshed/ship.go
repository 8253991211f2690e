package main

import (
	"context"
	"fmt"
	"io"
	"time"

	"chestnutshed.example/chestnutshed/internal/operate/nodeclient"
	"chestnutshed.example/chestnutshed/internal/operate/review"
	"chestnutshed.example/chestnutshed/internal/operate/ship"
	"github.com/gravitational/trace"
)

const shipUsage = `Activate a manifest.

If the active version is no longer the reviewed one, nothing changes and the
command returns exit code 3. With --node, the command waits until the version is
active at all nodes that the first answering node knows, and prints their number.`

// pollInterval is the time between two polls of the nodes.
const pollInterval = 200 * time.Millisecond

type shipCommand struct {
	out io.Writer
	platformOption
	nodeOption
	jsonOption

	Reviewed uint64        `long:"reviewed" required:"true" value-name:"VERSION" description:"version printed by diff; 0 for the first ship"`
	By       string        `long:"by" required:"true" value-name:"NAME" description:"name of the operator"`
	Wait     time.Duration `long:"wait" default:"10s" description:"maximum time to wait for the nodes"`
	Args     struct {
		File string `positional-arg-name:"MANIFEST" required:"true"`
	} `positional-args:"true"`
}

// shipResult is the JSON output of ship.
type shipResult struct {
	Version uint64          `json:"version"`
	Ship    string          `json:"ship"`
	Changes []review.Change `json:"changes"`
	// ActiveNodes is the number of nodes that have the version. Behind are the
	// addresses of the others, including those that don't answer.
	ActiveNodes int      `json:"in_force"`
	Behind      []string `json:"behind,omitempty"`
	// Elapsed is the time from the write until the last node had the version, in
	// seconds.
	Elapsed float64 `json:"took"`
}

// Execute implements flags.Commander.
func (c *shipCommand) Execute([]string) error {
	store, err := c.store()
	if err != nil {
		return err
	}
	text, err := readFile(c.Args.File)
	if err != nil {
		return err
	}
	ctx := context.Background()
	e, err := ship.Ship(ctx, time.Now(), store, ship.Request{Text: text, Reviewed: c.Reviewed, By: c.By})
	if err != nil {
		return fmt.Errorf("ship %s: %w", c.Args.File, err)
	}
	r := shipResult{Version: e.Head.Version, Ship: e.Head.ShipID, Changes: e.Changes}
	line := fmt.Sprintf("version %d shipped\n", r.Version)
	if len(c.Nodes) > 0 {
		start := time.Now()
		if err := c.awaitActive(ctx, &r); err != nil {
			return err
		}
		r.Elapsed = time.Since(start).Seconds()
		line = fmt.Sprintf("version %d in force at %d nodes after %.1f s, %d behind\n", r.Version, r.ActiveNodes, r.Elapsed, len(r.Behind))
	}
	if err := c.print(c.out, r, review.Text(e.Changes)+line); err != nil {
		return err
	}
	if len(r.Behind) > 0 {
		return trace.LimitExceeded("after %s, these nodes do not have version %d: %v", c.Wait, r.Version, r.Behind)
	}
	return nil
}

// awaitActive polls all nodes until they have the version, or until the timeout
// given by --wait.
func (c *shipCommand) awaitActive(ctx context.Context, r *shipResult) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, c.Wait)
	defer cancel()
	nodes, err := c.listNodes(ctx, client)
	if err != nil {
		return fmt.Errorf("version %d is active, but cannot list nodes: %w", r.Version, err)
	}
	waiting := nodes
	for {
		_, waiting = client.CountAtVersion(ctx, waiting, r.Version)
		r.ActiveNodes, r.Behind = len(nodes)-len(waiting), waiting
		if len(waiting) == 0 || ctx.Err() != nil {
			return nil
		}
		select {
		case <-ctx.Done():
		case <-time.After(pollInterval):
		}
	}
}

// listNodes returns the nodes known to the first node that answers.
func (c *shipCommand) listNodes(ctx context.Context, client *nodeclient.Client) ([]string, error) {
	var lastErr error
	for _, address := range c.Nodes {
		nodes, err := client.OperatorAddresses(ctx, address)
		if err == nil {
			return nodes, nil
		}
		lastErr = err
	}
	return nil, lastErr
}
