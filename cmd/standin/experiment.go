package main

import (
	"fmt"
	"io"
	"os"
	"runtime"

	"chestnutshed.example/chestnutshed/internal/standin/experiment"
	"github.com/gravitational/trace"
	"golang.org/x/sync/errgroup"
)

const experimentUsage = `Measure the decision packages in virtual time.

NAME is a scenario or "all". Each scenario runs with both deployments, with the
standard rules and the baselines. With --alternatives it also runs with the
alternatives considered. The table goes to standard output, plots into the --out
folder.`

type experimentCommand struct {
	out io.Writer

	Seeds        []uint64 `long:"seed" default:"1" description:"seed of the run; may be repeated"`
	Deployments  []string `long:"deployment" default:"budapest" default:"mexico" description:"deployment; may be repeated"`
	Variants     []string `long:"variant" description:"run only this variant; may be repeated"`
	Alternatives bool     `long:"alternatives" description:"also run the alternatives considered"`
	Classes      bool     `long:"classes" description:"list responses by kind and refusals by reason"`
	Out          string   `long:"out" value-name:"FOLDER" description:"folder for plots; it must exist"`
	Args         struct {
		Name string `positional-arg-name:"NAME" required:"true"`
	} `positional-args:"true"`
}

// job is one run of a scenario.
type job struct {
	deployment string
	scenario   string
	variant    experiment.Variant
	seed       uint64
}

// Execute implements flags.Commander.
func (c *experimentCommand) Execute([]string) error {
	jobs, err := c.jobs()
	if err != nil {
		return err
	}
	results := make([]experiment.Result, len(jobs))
	var group errgroup.Group
	group.SetLimit(runtime.GOMAXPROCS(0))
	for i, j := range jobs {
		group.Go(func() error {
			var err error
			results[i], err = experiment.Run(j.deployment, j.scenario, j.variant, j.seed)
			return err
		})
	}
	if err := group.Wait(); err != nil {
		return fmt.Errorf("run experiment: %w", err)
	}
	experiment.Sort(results)
	if _, err := io.WriteString(c.out, experiment.Table(results)); err != nil {
		return err
	}
	if c.Classes {
		if _, err := io.WriteString(c.out, experiment.ClassSummary(results)); err != nil {
			return err
		}
	}
	if c.Out == "" {
		return nil
	}
	return c.plots(results)
}

func (c *experimentCommand) jobs() ([]job, error) {
	names := []string{c.Args.Name}
	if c.Args.Name == "all" {
		names = experiment.ScenarioNames()
	}
	variants, err := c.selected()
	if err != nil {
		return nil, err
	}
	var jobs []job
	for _, d := range c.Deployments {
		for _, name := range names {
			for _, seed := range c.Seeds {
				for _, v := range variants {
					jobs = append(jobs, job{d, name, v, seed})
				}
			}
		}
	}
	return jobs, nil
}

func (c *experimentCommand) selected() ([]experiment.Variant, error) {
	if len(c.Variants) == 0 {
		return experiment.Variants(c.Alternatives), nil
	}
	var selected []experiment.Variant
	for _, name := range c.Variants {
		found := false
		for _, v := range experiment.Variants(true) {
			if v.Name == name {
				selected, found = append(selected, v), true
			}
		}
		if !found {
			return nil, trace.NotFound("unknown variant %q", name)
		}
	}
	return selected, nil
}

// plots draws one plot for each deployment, scenario and seed. The results are
// sorted, so those of one plot are adjacent.
func (c *experimentCommand) plots(results []experiment.Result) error {
	if _, err := os.Stat(c.Out); err != nil {
		return fmt.Errorf("plot folder: %w", err)
	}
	for from := 0; from < len(results); {
		to := from + 1
		for to < len(results) && sameRun(results[from], results[to]) {
			to++
		}
		path, err := experiment.Plot(c.Out, results[from:to])
		if err != nil {
			return err
		}
		if _, err := fmt.Fprintln(c.out, "plot:", path); err != nil {
			return err
		}
		from = to
	}
	return nil
}

func sameRun(a, b experiment.Result) bool {
	return a.Deployment == b.Deployment && a.Scenario == b.Scenario && a.Seed == b.Seed
}
