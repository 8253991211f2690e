package main

import (
	"context"
	"io"
	"os"
	"os/signal"

	"chestnutshed.example/chestnutshed/internal/standin/measure"
	"github.com/gravitational/trace"
)

const measureUsage = `Measure the figures in docs/CAPACITY.md on this machine.

WHAT is added (latency added to a call), calls (CPU time of a call), fleet (cost
of idle nodes by fleet size, as processes), full (one node that knows 4,800
members and a manifest of nearly 1 MB), or all. Run it from the source folder: it
builds the programs that it measures.`

type measureCommand struct {
	out io.Writer

	Sizes []int `long:"size" default:"3" default:"12" default:"50" description:"number of nodes of a fleet; may be repeated"`
	Args  struct {
		What string `positional-arg-name:"WHAT" required:"true"`
	} `positional-args:"true"`
}

// Execute implements flags.Commander.
func (c *measureCommand) Execute([]string) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	run := map[string]func() error{
		"added": func() error { return measure.AddedLatency(ctx, c.out) },
		"calls": func() error { return measure.CallCPU(ctx, c.out) },
		"fleet": func() error { return measure.Fleet(ctx, c.out, c.Sizes) },
		"full":  func() error { return measure.FullFleet(ctx, c.out) },
	}
	if c.Args.What != "all" {
		do, ok := run[c.Args.What]
		if !ok {
			return trace.NotFound("unknown measurement %q", c.Args.What)
		}
		return do()
	}
	for _, name := range []string{"added", "calls", "fleet", "full"} {
		if err := run[name](); err != nil {
			return err
		}
	}
	return nil
}
