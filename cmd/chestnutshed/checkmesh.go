package main

import (
	"context"
	"errors"
	"fmt"
	"strings"

	"chestnutshed.example/chestnutshed/internal/config/lint"
	"chestnutshed.example/chestnutshed/internal/config/rules"
	"chestnutshed.example/chestnutshed/internal/operate/review"
	"chestnutshed.example/chestnutshed/platform"
	"github.com/gravitational/trace"
)

// meshResult is the JSON output of check --mesh.
type meshResult struct {
	Version       uint64         `json:"version"`
	Organisations int            `json:"organisations"`
	Services      int            `json:"services"`
	Routes        int            `json:"routes"`
	Bytes         int            `json:"bytes"`
	Findings      []lint.Finding `json:"findings"`
	// Against is the version in force, 0 if the file was not compared.
	Against uint64          `json:"against,omitempty"`
	Changes []review.Change `json:"changes,omitempty"`
}

// checkMesh checks a configuration of the users' platform.
func (c *checkCommand) checkMesh(text []byte) error {
	set, findings, err := platform.CheckConfiguration(text)
	if err != nil {
		return fmt.Errorf("%s: %w", c.Args.File, err)
	}
	r := meshResult{
		Version: set.Version, Organisations: len(set.Organisations), Services: len(set.Services),
		Routes: len(set.Routes), Bytes: len(text), Findings: append([]lint.Finding{}, findings...),
	}
	old, err := c.inForce()
	if err != nil {
		return fmt.Errorf("read version in force: %w", err)
	}
	if old != nil {
		r.Against, r.Changes = old.Version, review.CompareRules(old, set)
	}
	if err := c.print(c.out, r, r.text()); err != nil {
		return err
	}
	if n := r.problems(); c.Strict && n > 0 {
		return trace.Errorf("%s: %d findings and risky changes", c.Args.File, n)
	}
	return nil
}

// inForce returns the version in force, or nil if none is named. A file goes before nodes,
// which the environment may name.
func (c *checkCommand) inForce() (*rules.Set, error) {
	switch {
	case c.Against != "":
		text, err := readFile(c.Against)
		if err != nil {
			return nil, err
		}
		return decodeInForce(c.Against, text)
	case len(c.Nodes) == 0:
		return nil, nil
	}
	client, err := c.client()
	if err != nil {
		return nil, err
	}
	var errs []error
	for _, address := range c.Nodes {
		text, err := client.Configuration(context.Background(), address)
		if err == nil {
			return decodeInForce("node "+address, text)
		}
		errs = append(errs, err)
	}
	return nil, errors.Join(errs...)
}

func decodeInForce(from string, text []byte) (*rules.Set, error) {
	set, _, err := platform.CheckConfiguration(text)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", from, err)
	}
	return set, nil
}

// problems returns the number of findings and risky changes.
func (r meshResult) problems() int {
	n := len(r.Findings)
	for _, change := range r.Changes {
		if change.Risky {
			n++
		}
	}
	return n
}

func (r meshResult) text() string {
	var b strings.Builder
	fmt.Fprintf(&b, "version %d is valid: %d organisations, %d services, %d routes, %d bytes\n",
		r.Version, r.Organisations, r.Services, r.Routes, r.Bytes)
	for _, f := range r.Findings {
		fmt.Fprintln(&b, f)
	}
	if r.Against > 0 {
		fmt.Fprintf(&b, "changes from version %d:\n%s", r.Against, review.Text(r.Changes))
	}
	return b.String()
}
