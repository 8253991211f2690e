package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"time"

	"chestnutshed.example/chestnutshed/internal/standin/deployment"
	"chestnutshed.example/chestnutshed/internal/standin/load"
)

const loadUsage = `Simulate the callers of a deployment against running nodes.

Each organisation sends its share of the rate with its example key, and checks
that every response is complete and belongs to its request.`

type loadCommand struct {
	out io.Writer

	Deployment      string        `long:"deployment" default:"budapest" description:"budapest or mexico"`
	CallerAddresses []string      `long:"entry" required:"true" description:"address of a node's listener for callers; may be repeated"`
	Rate            float64       `long:"rate" default:"50" description:"requests a second of all organisations together"`
	SendFor         time.Duration `long:"for" default:"10s" description:"time for which callers send"`
	Retries         int           `long:"retries" default:"0" description:"retries of a failed request"`
	Seed            uint64        `long:"seed" default:"1" description:"seed of the random request times"`
}

// Execute implements flags.Commander.
func (c *loadCommand) Execute([]string) error {
	d, err := deployment.Load(c.Deployment)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	l := load.New(load.Config{
		CallerAddresses: c.CallerAddresses,
		Callers:         callers(d, c.Rate),
		Mix:             d.Mix,
		SendFor:         c.SendFor,
		Retries:         c.Retries,
		Seed:            c.Seed,
	})
	_, err = fmt.Fprint(c.out, l.Run(ctx).Text())
	return err
}

// callers divides a rate among the organisations in proportion to their rate
// limits.
func callers(d deployment.Deployment, rate float64) []load.Caller {
	total := 0.0
	for _, o := range d.Manifest.Organisations {
		total += o.Rate
	}
	var all []load.Caller
	for _, o := range d.Manifest.Organisations {
		all = append(all, load.Caller{
			Organisation: o.Name,
			Key:          deployment.Key(o.Name),
			Rate:         rate * o.Rate / total,
		})
	}
	return all
}
