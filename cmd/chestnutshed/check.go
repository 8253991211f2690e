package main

import (
	"fmt"
	"io"

	"chestnutshed.example/chestnutshed/internal/config/manifest"
	"chestnutshed.example/chestnutshed/internal/config/settings"
)

const checkUsage = `Validate a manifest, or a settings file with --settings.

Each error names its field. The exit code is 2 if the file is invalid.

With --mesh the file holds a configuration of the users' platform. A "?" marks
entries that have no effect and limits that contradict each other. With --against
or --node it is compared with the version in force: a "!" marks changes after
which requests that are served today may be refused. With --strict the exit code
is 1 if there is a "?" or a "!".`

type checkCommand struct {
	out io.Writer
	jsonOption
	nodeOption

	Settings bool   `long:"settings" description:"the file holds settings, not a manifest"`
	Mesh     bool   `long:"mesh" description:"the file holds a configuration of the users' platform"`
	Against  string `long:"against" value-name:"FILE" description:"version in force, for --mesh; else it is read from the first --node that answers"`
	Strict   bool   `long:"strict" description:"fail on findings and risky changes, for --mesh"`
	Args     struct {
		File string `positional-arg-name:"FILE" required:"true"`
	} `positional-args:"true"`
}

// checkResult is the JSON output of check.
type checkResult struct {
	Name          string `json:"name,omitempty"`
	Organisations int    `json:"organisations"`
	Services      int    `json:"services"`
	Routes        int    `json:"routes"`
	Bytes         int    `json:"bytes"`
}

// Execute implements flags.Commander.
func (c *checkCommand) Execute([]string) error {
	text, err := readFile(c.Args.File)
	if err != nil {
		return err
	}
	if c.Mesh {
		return c.checkMesh(text)
	}
	if c.Settings {
		if _, err := settings.Parse(text); err != nil {
			return fmt.Errorf("%s: %w", c.Args.File, err)
		}
		return c.print(c.out, checkResult{Bytes: len(text)}, "the settings are valid\n")
	}
	m, err := manifest.Parse(text)
	if err != nil {
		return fmt.Errorf("%s: %w", c.Args.File, err)
	}
	r := checkResult{m.Name, len(m.Organisations), len(m.Services), len(m.Routes), len(text)}
	line := fmt.Sprintf("%s is valid: %d organisations, %d services, %d routes, %d bytes\n",
		r.Name, r.Organisations, r.Services, r.Routes, r.Bytes)
	return c.print(c.out, r, line)
}
