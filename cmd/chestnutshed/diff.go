package main

import (
	"context"
	"fmt"
	"io"

	"chestnutshed.example/chestnutshed/internal/config/manifest"
	"chestnutshed.example/chestnutshed/internal/operate/review"
	"chestnutshed.example/chestnutshed/internal/operate/ship"
)

const diffUsage = `Compare a manifest with the active one.

A "!" marks changes after which requests that are served today may be refused.
The last line is the version that the manifest was compared with; pass it to
"ship --reviewed".`

type diffCommand struct {
	out io.Writer
	platformOption
	jsonOption

	Args struct {
		File string `positional-arg-name:"MANIFEST" required:"true"`
	} `positional-args:"true"`
}

// diffResult is the JSON output of diff.
type diffResult struct {
	Reviewed uint64          `json:"reviewed"`
	By       string          `json:"by,omitempty"`
	Changes  []review.Change `json:"changes"`
}

// Execute implements flags.Commander.
func (c *diffCommand) Execute([]string) error {
	store, err := c.store()
	if err != nil {
		return err
	}
	text, err := readFile(c.Args.File)
	if err != nil {
		return err
	}
	next, err := manifest.Parse(text)
	if err != nil {
		return fmt.Errorf("%s: %w", c.Args.File, err)
	}
	current, err := ship.Read(context.Background(), store)
	if err != nil {
		return fmt.Errorf("read active configuration: %w", err)
	}
	old, err := current.Manifest()
	if err != nil {
		return err
	}
	d := diffResult{current.Head.Version, current.Head.By, review.Compare(old, next)}
	return c.print(c.out, d, fmt.Sprintf("%sreviewed version: %d\n", review.Text(d.Changes), d.Reviewed))
}
