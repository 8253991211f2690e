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
	"chestnutshed.example/chestnutshed/internal/standin/rig"
	"chestnutshed.example/chestnutshed/internal/standin/target"
)

const demoUsage = `Run a deployment on loopback in one process, for a limited time.

Platform, targets, nodes and callers start without any setup. In the second
third of the time the targets of one service are slowed down.`

type demoCommand struct {
	out io.Writer

	Deployment string        `long:"deployment" default:"budapest" description:"budapest or mexico"`
	SendFor    time.Duration `long:"for" default:"15s" description:"time for which callers send"`
	Rate       float64       `long:"rate" default:"300" description:"requests a second of all organisations together"`
	SlowFactor float64       `long:"slow" default:"5" description:"factor by which service times grow"`
	Service    string        `long:"service" default:"" description:"service to slow down; the first one by default"`
}

// startTimeout bounds the start of the deployment.
const startTimeout = 30 * time.Second

// Execute implements flags.Commander.
func (c *demoCommand) Execute([]string) error {
	d, err := deployment.Load(c.Deployment)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	c.printf("starting %s: platform, targets and nodes\n", d.Name)
	startCtx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	r, err := rig.Start(startCtx, d, rig.DiscardLogger())
	if err != nil {
		return fmt.Errorf("start deployment: %w", err)
	}
	c.printf("%d nodes are ready; callers send %g requests a second for %s\n", len(r.Members), c.Rate, c.SendFor)
	l := load.New(load.Config{
		CallerAddresses: r.CallerAddresses(),
		Callers:         callers(d, c.Rate),
		Mix:             d.Mix,
		SendFor:         c.SendFor,
		Seed:            1,
	})
	done := make(chan load.Report, 1)
	go func() { done <- l.Run(ctx) }()
	report := c.showProgress(l, r, d, done)
	c.printf("\n\n%s", report.Text())
	return r.Stop()
}

func (c *demoCommand) printf(format string, args ...any) {
	_, _ = fmt.Fprintf(c.out, format, args...)
}

// showProgress prints a progress line each second until the load is done. In the
// second third of the time it slows a service.
func (c *demoCommand) showProgress(l *load.Load, r *rig.Rig, d deployment.Deployment, done <-chan load.Report) load.Report {
	began := time.Now()
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	slowed, before := false, 0
	for {
		select {
		case report := <-done:
			return report
		case <-ticker.C:
		}
		third := c.SendFor / 3
		past := time.Since(began)
		if slow := past >= third && past < 2*third; slow != slowed {
			slowed = slow
			c.slow(r, d, slow)
		}
		sent, complete, wrong, refused := l.Report(past).Totals()
		state := "normal"
		if slowed {
			state = "slowed"
		}
		c.printf("\r%4.0f s  %s  finished %d  complete %d (%d/s)  wrong %d  refused %d   ", past.Seconds(), state, sent, complete, complete-before, wrong, refused)
		before = complete
	}
}

// slow starts or ends the slow-down of one service's targets.
func (c *demoCommand) slow(r *rig.Rig, d deployment.Deployment, on bool) {
	name := c.Service
	if name == "" {
		name = d.Services[0].Name
	}
	f := target.Faults{}
	if on {
		f.SlowFactor = c.SlowFactor
	}
	for _, m := range r.Members {
		if m.Service == name {
			m.Target.SetFaults(f)
		}
	}
}
