package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"chestnutshed.example/chestnutshed/internal/config/settings"
	"chestnutshed.example/chestnutshed/internal/core/node"
	"github.com/sirupsen/logrus"
)

const nodeUsage = `Run a node beside its target until SIGTERM or a drain.

On SIGTERM the node shuts down gracefully, within the drain timeout of its
settings. Logs go to standard error as JSON lines.`

type nodeCommand struct {
	out io.Writer

	Settings string `long:"settings" required:"true" value-name:"FILE" description:"settings in JSON with comments"`
}

// Execute implements flags.Commander.
func (c *nodeCommand) Execute([]string) error {
	s, err := settings.Load(c.Settings)
	if err != nil {
		return fmt.Errorf("load settings: %w", err)
	}
	log := logrus.New()
	log.SetOutput(os.Stderr)
	log.SetFormatter(&logrus.JSONFormatter{})
	severity, err := logrus.ParseLevel(s.Level)
	if err != nil {
		return fmt.Errorf("log level: %w", err)
	}
	log.SetLevel(severity)
	n, err := node.New(s, log)
	if err != nil {
		return fmt.Errorf("create node: %w", err)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	return n.Run(ctx)
}
