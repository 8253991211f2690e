package main

import (
	"context"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"chestnutshed.example/chestnutshed/internal/config/settings"
	"chestnutshed.example/chestnutshed/internal/standin/deployment"
	"chestnutshed.example/chestnutshed/internal/standin/target"
	"github.com/gravitational/trace"
)

const targetUsage = `Play a target beside a node.

The target is one of a service of a deployment. Faults are switched by
PUT /standin/faults with {"slow": 5, "fail": 500, "cut": true, "cross": true,
"huge": 2000000, "crash": true, "lie": true, "repeat": 3, "leave": true,
"hold": true}. GET /standin/records tells what it saw.`

type targetCommand struct {
	Deployment string        `long:"deployment" default:"budapest" description:"budapest or mexico"`
	Service    string        `long:"service" required:"true" description:"service of the deployment"`
	Address    string        `long:"address" required:"true" description:"address to listen on"`
	Node       string        `long:"node" required:"true" description:"the node's listener for its target"`
	Cold       time.Duration `long:"cold" default:"0s" description:"time after the start in which it is slow"`
	Slots      int           `long:"slots" description:"slots instead of the deployment's"`
	Time       time.Duration `long:"time" description:"mean service time instead of the deployment's"`
	Calls      []string      `long:"call" value-name:"METHOD:PATH" description:"inner call of each request, instead of the deployment's; may be repeated"`
	Journal    string        `long:"journal" value-name:"FILE" description:"file that every request is noted in"`
	NoEcho     bool          `long:"no-echo" description:"don't repeat the request's identity in answers"`
}

// Execute implements flags.Commander.
func (c *targetCommand) Execute([]string) error {
	s, err := c.service()
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	return target.New(target.Config{
		Service:     s.Name,
		Address:     c.Address,
		Node:        c.Node,
		Slots:       s.Slots,
		Connections: s.Connections,
		ServiceTime: s.MeanServiceTime(),
		WarmUp:      c.Cold,
		Calls:       s.Calls,
		Echo:        !c.NoEcho,
		Journal:     c.Journal,
	}).Run(ctx)
}

// service is the deployment's service with what the flags replace.
func (c *targetCommand) service() (deployment.Service, error) {
	d, err := deployment.Load(c.Deployment)
	if err != nil {
		return deployment.Service{}, err
	}
	s, ok := d.Service(c.Service)
	if !ok {
		if c.Slots == 0 || c.Time == 0 {
			return s, trace.NotFound("no service %q in %s, and no --slots and --time", c.Service, d.Name)
		}
		s = deployment.Service{Name: c.Service}
	}
	if c.Slots > 0 {
		s.Slots, s.Connections = c.Slots, 4*c.Slots
	}
	if c.Time > 0 {
		s.ServiceTime = settings.Duration(c.Time)
	}
	if len(c.Calls) > 0 {
		s.Calls = nil
	}
	for _, text := range c.Calls {
		method, path, ok := strings.Cut(text, ":")
		if !ok {
			return s, trace.BadParameter("--call must be METHOD:PATH, got %q", text)
		}
		s.Calls = append(s.Calls, deployment.Call{PathPrefix: "/", Method: method, Path: path})
	}
	return s, nil
}
