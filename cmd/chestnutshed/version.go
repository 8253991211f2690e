package main

import (
	"fmt"
	"io"
	"runtime"
)

const versionUsage = `Print the version of this program.`

// version is the release version, as in CHANGELOG.md.
const version = "0.1.0"

type versionCommand struct {
	out io.Writer
	jsonOption
}

// versionResult is the JSON output of version.
type versionResult struct {
	Version string `json:"version"`
	Go      string `json:"go"`
}

// Execute implements flags.Commander.
func (c *versionCommand) Execute([]string) error {
	r := versionResult{version, runtime.Version()}
	return c.print(c.out, r, fmt.Sprintf("chestnutshed %s (%s)\n", r.Version, r.Go))
}
