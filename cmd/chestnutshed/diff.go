package main

import (
	"context"
	"fmt"
	"io"

	"chestnutshed.example/chestnutshed/internal/config/manifest"
	"chestnutshed.example/chestnutshed/internal/operate/review"
	"chestnutshed.example/chestnutshed/internal/operate/ship"
)

const diffUsage = `Show what shipping a manifest would change.

Lines marked ! may refuse callers that are served today. The version that the
manifest was compared with is printed last; give it to "ship --reviewed".`

type diffCommand struct {
	out io.Writer
	platformOption
	jsonOption

	Args struct {
		File string `positional-arg-name:"MANIFEST" required:"true"`
	} `positional-args:"true"`
}

// difference is the result of a diff as JSON.
type difference struct {
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
	force, err := ship.Read(context.Background(), store)
	if err != nil {
		return fmt.Errorf("read what is in force: %w", err)
	}
	old, err := force.Manifest()
	if err != nil {
		return err
	}
	d := difference{force.Head.Version, force.Head.By, review.Compare(old, next)}
	return c.print(c.out, d, fmt.Sprintf("%sreviewed version: %d\n", review.Text(d.Changes), d.Reviewed))
}
