package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"time"

	"chestnutshed.example/chestnutshed/internal/operate/handover"
)

const handoverUsage = `Write the shift report for the next operators.

The report has the active configuration, the ships and the results of root
requests since the last handover, and the open issues. It reads the platform,
the named nodes and, unless --only is given, all nodes that they know. With
--keep, the next report starts from this one.`

type handoverCommand struct {
	out io.Writer
	platformOption
	nodeOption
	jsonOption

	By   string `long:"by" required:"true" value-name:"NAME" description:"name of the operator who hands over"`
	HTML string `long:"html" value-name:"FILE" description:"also write the report as HTML"`
	Keep bool   `long:"keep" description:"start the next report from this one"`
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
	p := handover.Collect(ctx, time.Now(), c.By, store, client.Fleet(ctx, c.Nodes, !c.Only))
	if c.HTML != "" {
		if err := writeHTML(c.HTML, p); err != nil {
			return err
		}
	}
	if err := c.print(c.out, p, p.Text()); err != nil {
		return err
	}
	if c.Keep {
		return p.Save(ctx, store)
	}
	return nil
}

func writeHTML(path string, p handover.Page) error {
	f, err := os.Create(path)
	if err != nil {
		return fmt.Errorf("create HTML file: %w", err)
	}
	if err := p.WriteHTML(f); err != nil {
		_ = f.Close()
		return err
	}
	if err := f.Close(); err != nil {
		return fmt.Errorf("close HTML file: %w", err)
	}
	return nil
}
