package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"time"

	"chestnutshed.example/chestnutshed/internal/operate/handover"
)

const handoverUsage = `Write the page that one pair gives to the next.

It tells what is in force, what was shipped and what the system did since the
last handover, and what is open now, from the platform and from all nodes that
the named ones know. With --keep, the next handover counts from this one.`

type handoverCommand struct {
	out io.Writer
	platformOption
	nodeOption
	jsonOption

	By   string `long:"by" required:"true" value-name:"NAME" description:"who hands over"`
	HTML string `long:"html" value-name:"FILE" description:"write the page as HTML too"`
	Keep bool   `long:"keep" description:"let the next handover count from this one"`
	Only bool   `long:"only" description:"read only the named nodes"`
}

// Execute implements flags.Commander.
func (c *handoverCommand) Execute([]string) error {
	store, err := c.store()
	if err != nil {
		return err
	}
	client, err := c.client()
	if err != nil {
		return err
	}
	ctx := context.Background()
	p := handover.Make(ctx, time.Now(), c.By, store, client.Fleet(ctx, c.Nodes, !c.Only))
	if c.HTML != "" {
		if err := writeHTML(c.HTML, p); err != nil {
			return err
		}
	}
	if err := c.print(c.out, p, p.Text()); err != nil {
		return err
	}
	if c.Keep {
		return p.Keep(ctx, store)
	}
	return nil
}

func writeHTML(path string, p handover.Page) error {
	f, err := os.Create(path)
	if err != nil {
		return fmt.Errorf("create page: %w", err)
	}
	if err := p.WriteHTML(f); err != nil {
		_ = f.Close()
		return err
	}
	if err := f.Close(); err != nil {
		return fmt.Errorf("close page: %w", err)
	}
	return nil
}
