package main

import (
	"context"
	"fmt"
	"io"
)

const stateUsage = `Print the state of all services of a node as JSON.

The dump has no keys, tickets or secrets.`

type stateCommand struct {
	out io.Writer
	nodeOption
}

// Execute implements flags.Commander.
func (c *stateCommand) Execute([]string) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	for _, address := range c.Nodes {
		dump, err := client.Dump(context.Background(), address)
		if err != nil {
			return fmt.Errorf("dump state: %w", err)
		}
		if _, err := c.out.Write(dump); err != nil {
			return err
		}
	}
	return nil
}
