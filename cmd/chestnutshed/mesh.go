package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"chestnutshed.example/chestnutshed/internal/config/settings"
	"chestnutshed.example/chestnutshed/internal/core/logline"
	"chestnutshed.example/chestnutshed/internal/fleet/era"
	"chestnutshed.example/chestnutshed/internal/mesh/node"
	"chestnutshed.example/chestnutshed/internal/traffic/inbound"
	"chestnutshed.example/chestnutshed/platform"
	"github.com/sirupsen/logrus"
)

const meshUsage = `Run a node on the users' platform until SIGTERM.

There is one node beside each target. Callers on its VM reach all services
through it. On SIGTERM it shuts down gracefully, within the grace period of its
settings. It reloads the settings on SIGHUP and when their file changes. Logs go
to standard output as JSON lines.`

// settingsPollInterval is the time between two checks for changed settings.
const settingsPollInterval = 5 * time.Second

type meshCommand struct {
	out io.Writer

	Settings string `long:"settings" required:"true" value-name:"FILE" description:"settings in JSON with comments"`
}

// Execute implements flags.Commander.
func (c *meshCommand) Execute([]string) error {
	s, err := settings.LoadMesh(c.Settings)
	if err != nil {
		return fmt.Errorf("load settings: %w", err)
	}
	severity, err := logrus.ParseLevel(s.Level)
	if err != nil {
		return fmt.Errorf("log level: %w", err)
	}
	writing, stopWriting := context.WithCancel(context.Background())
	lines := logline.New(writing, c.out)
	defer func() {
		stopWriting()
		<-lines.Done()
	}()
	log := lines.Logger(severity)
	eras := era.New(log.WithField("node", s.Node))
	store := platform.NewStore(s.Store).WithEras(eras)
	n, err := node.New(s, node.Adapter{
		Dialect: platform.Dialect{}, Source: store, Directory: store, Leaves: store.Leaves(), Evacuations: store.Evacuations(), Eras: eras, Ready: platform.Ready,
		Announcements: func(sink *inbound.Service, address string, now func() time.Time, log *logrus.Entry) http.Handler {
			return platform.Announcements(sink, address, now, log)
		},
	}, log)
	if err != nil {
		return fmt.Errorf("create node: %w", err)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	go c.watchSettings(ctx, n, log)
	return n.Run(ctx)
}

// watchSettings reloads the settings on SIGHUP and when their file changes. If they
// are invalid, the node keeps the previous settings.
func (c *meshCommand) watchSettings(ctx context.Context, n *node.Node, log *logrus.Logger) {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	last, err := os.ReadFile(c.Settings)
	if err != nil {
		log.WithError(err).Warn("cannot read settings")
	}
	for {
		select {
		case <-ctx.Done():
			return
		case <-hup:
			last = nil
		case <-ticker.C:
		}
		text, err := os.ReadFile(c.Settings)
		if err != nil {
			log.WithError(err).Warn("cannot read settings; keeping the previous settings")
			continue
		}
		if bytes.Equal(text, last) {
			continue
		}
		last = text
		s, err := settings.LoadMesh(c.Settings)
		if err != nil {
			log.WithError(err).Error("changed settings are invalid; keeping the previous settings")
			continue
		}
		n.Reload(s)
	}
}
