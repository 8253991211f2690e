package main

import (
	"context"
	"fmt"
	"io"
)

const drainUsage = `Shut down nodes gracefully.

A draining node accepts no new requests, finishes the running ones, hands over
its tickets and its shards of the organisations' rates, and exits.`

type drainCommand struct {
	out io.Writer
	nodeOption
}

// Execute implements flags.Commander.
func (c *drainCommand) Execute([]string) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	for _, address := range c.Nodes {
		if err := client.Drain(context.Background(), address); err != nil {
			return fmt.Errorf("drain: %w", err)
		}
		if _, err := fmt.Fprintf(c.out, "%s is draining\n", address); err != nil {
			return err
		}
	}
	return nil
}
