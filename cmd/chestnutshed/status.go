package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"time"

	"chestnutshed.example/chestnutshed/internal/operate/fleet"
)

const statusUsage = `Show the state of the fleet.

Reads the named nodes and, unless --only is given, all nodes that they know.
Nodes that don't answer are listed.`

type statusCommand struct {
	out io.Writer
	nodeOption
	jsonOption

	Only     bool          `long:"only" description:"read only the named nodes"`
	Watch    bool          `long:"watch" description:"refresh the output periodically"`
	Interval time.Duration `long:"every" default:"2s" description:"refresh interval with --watch"`
}

// Execute implements flags.Commander.
func (c *statusCommand) Execute([]string) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	for {
		if err := c.show(ctx); err != nil || !c.Watch {
			return err
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(c.Interval):
		}
	}
}

func (c *statusCommand) show(ctx context.Context) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	p := fleet.New(client.Fleet(ctx, c.Nodes, !c.Only))
	if c.Watch && !c.JSON {
		const clearScreen = "\x1b[H\x1b[2J"
		if _, err := fmt.Fprint(c.out, clearScreen); err != nil {
			return err
		}
	}
	return c.print(c.out, p, p.Text())
}
