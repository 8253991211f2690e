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

const targetUsage = `Simulate a target beside a node.

The target belongs to a service of a deployment. Set faults by
PUT /standin/faults with {"slow": 5, "fail": 500, "cut": true, "cross": true,
"huge": 2000000, "crash": true, "lie": true, "repeat": 3, "leave": true,
"hold": true}. GET /standin/records returns the requests
received.`

type targetCommand struct {
	Deployment  string        `long:"deployment" default:"budapest" description:"budapest or mexico"`
	Service     string        `long:"service" required:"true" description:"service of the deployment"`
	Address     string        `long:"address" required:"true" description:"address to listen on"`
	Node        string        `long:"node" required:"true" description:"the node's listener for its target"`
	WarmUp      time.Duration `long:"cold" default:"0s" description:"time after the start during which the target is slow"`
	Slots       int           `long:"slots" description:"slots instead of the deployment's"`
	ServiceTime time.Duration `long:"time" description:"mean service time instead of the deployment's"`
	Calls       []string      `long:"call" value-name:"METHOD:PATH" description:"inner call of each request, instead of the deployment's; may be repeated"`
	Journal     string        `long:"journal" value-name:"FILE" description:"file to which every request is appended"`
	NoEcho      bool          `long:"no-echo" description:"don't return the request ID in responses"`
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
		WarmUp:      c.WarmUp,
		Calls:       s.Calls,
		Echo:        !c.NoEcho,
		Journal:     c.Journal,
	}).Run(ctx)
}

// service returns the deployment's service with the values from the flags. A service
// that isn't in the deployment needs slots and time.
func (c *targetCommand) service() (deployment.Service, error) {
	d, err := deployment.Load(c.Deployment)
	if err != nil {
		return deployment.Service{}, err
	}
	s, ok := d.Service(c.Service)
	if !ok {
		if c.Slots == 0 || c.ServiceTime == 0 {
			return s, trace.NotFound("unknown service %q in %s: set --slots and --time", c.Service, d.Name)
		}
		s = deployment.Service{Name: c.Service}
	}
	if c.Slots > 0 {
		s.Slots, s.Connections = c.Slots, 4*c.Slots
	}
	if c.ServiceTime > 0 {
		s.ServiceTime = settings.Duration(c.ServiceTime)
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
