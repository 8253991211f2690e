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

const shipUsage = `Put a manifest in force.

The ship is refused with exit code 3 when the version in force is not the
reviewed one any more; then nothing was changed. With --node, the command
waits until every node that the named ones know has the version in force, and
says at how many it is.`

// inForcePoll is the time between looks at the nodes.
const inForcePoll = 200 * time.Millisecond

type shipCommand struct {
	out io.Writer
	platformOption
	nodeOption
	jsonOption

	Reviewed uint64        `long:"reviewed" required:"true" value-name:"VERSION" description:"version that diff compared with; 0 for the first ship"`
	By       string        `long:"by" required:"true" value-name:"NAME" description:"who ships"`
	Wait     time.Duration `long:"wait" default:"10s" description:"longest time to wait until in force"`
	Args     struct {
		File string `positional-arg-name:"MANIFEST" required:"true"`
	} `positional-args:"true"`
}

// shipped is the result of a ship as JSON.
type shipped struct {
	Version uint64          `json:"version"`
	Ship    string          `json:"ship"`
	Changes []review.Change `json:"changes"`
	// InForce is the number of nodes that have the version, Behind lists those
	// that don't or gave no answer.
	InForce int      `json:"in_force"`
	Behind  []string `json:"behind,omitempty"`
	// Took is the time from the write to the last node, in seconds.
	Took float64 `json:"took"`
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
	r := shipped{Version: e.Head.Version, Ship: e.Head.ShipID, Changes: e.Changes}
	line := fmt.Sprintf("version %d shipped\n", r.Version)
	if len(c.Nodes) > 0 {
		began := time.Now()
		if err := c.await(ctx, &r); err != nil {
			return err
		}
		r.Took = time.Since(began).Seconds()
		line = fmt.Sprintf("version %d in force at %d nodes after %.1f s, %d behind\n", r.Version, r.InForce, r.Took, len(r.Behind))
	}
	if err := c.print(c.out, r, review.Text(e.Changes)+line); err != nil {
		return err
	}
	if len(r.Behind) > 0 {
		return trace.LimitExceeded("after %s these nodes don't have version %d: %v", c.Wait, r.Version, r.Behind)
	}
	return nil
}

// await looks at all nodes until the version is in force or the time is over.
func (c *shipCommand) await(ctx context.Context, r *shipped) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, c.Wait)
	defer cancel()
	nodes, err := c.all(ctx, client)
	if err != nil {
		return fmt.Errorf("version %d is shipped, but the nodes can't be listed: %w", r.Version, err)
	}
	waiting := nodes
	for {
		_, waiting = client.InForce(ctx, waiting, r.Version)
		r.InForce, r.Behind = len(nodes)-len(waiting), waiting
		if len(waiting) == 0 || ctx.Err() != nil {
			return nil
		}
		select {
		case <-ctx.Done():
		case <-time.After(inForcePoll):
		}
	}
}

func (c *shipCommand) all(ctx context.Context, client *nodeclient.Client) ([]string, error) {
	var lastErr error
	for _, address := range c.Nodes {
		nodes, err := client.Nodes(ctx, address)
		if err == nil {
			return nodes, nil
		}
		lastErr = err
	}
	return nil, lastErr
}
