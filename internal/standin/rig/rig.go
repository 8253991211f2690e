// Package rig runs a whole deployment on loopback in one process: platform,
// targets and nodes.
package rig

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"chestnutshed.example/chestnutshed/internal/config/settings"
	"chestnutshed.example/chestnutshed/internal/core/node"
	"chestnutshed.example/chestnutshed/internal/operate/access"
	"chestnutshed.example/chestnutshed/internal/operate/ship"
	"chestnutshed.example/chestnutshed/internal/platform/object"
	"chestnutshed.example/chestnutshed/internal/standin/deployment"
	"chestnutshed.example/chestnutshed/internal/standin/platform"
	"chestnutshed.example/chestnutshed/internal/standin/target"
	"github.com/gravitational/trace"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"
)

// readyPollInterval is the time between looks whether all nodes are ready.
const readyPollInterval = 50 * time.Millisecond

// Member is one target with its node.
type Member struct {
	Service  string
	Settings settings.Settings
	Node     *node.Node
	Target   *target.Target
	// TargetAddress is where the target takes requests.
	TargetAddress string
}

// Rig is a running deployment.
type Rig struct {
	Platform    *platform.Platform
	PlatformURL string
	Members     []Member

	cancel context.CancelFunc
	group  *errgroup.Group
	// closePlatform ends the platform, which outlives the nodes.
	closePlatform func() error
}

// The ports that rigs use lie below those that the system gives to outgoing
// connections. Each process has a range of its own: the one whose first port it
// could take and holds until its end.
const (
	firstPort     = 10000
	portsPerRange = 1100
	portRanges    = 20
)

var (
	// portsTried counts the ports tried by this process.
	portsTried atomic.Int64
	// rangeListener keeps the range's first port taken; a listener that nothing refers to
	// would be closed.
	rangeListener net.Listener
	// rangeStart finds the first port of the process's range.
	rangeStart = sync.OnceValues(reserveRange)
)

// reserveRange holds the first port of a free range; it is never given back.
func reserveRange() (int, error) {
	for i := range portRanges {
		base := firstPort + (os.Getpid()+i)%portRanges*portsPerRange
		var err error
		if rangeListener, err = net.Listen("tcp", loopback(base)); err == nil {
			return base, nil
		}
	}
	return 0, trace.LimitExceeded("all %d ranges of ports are in use", portRanges)
}

func loopback(port int) string { return net.JoinHostPort("127.0.0.1", strconv.Itoa(port)) }

// Ports returns n free loopback addresses.
func Ports(n int) ([]string, error) {
	base, err := rangeStart()
	if err != nil {
		return nil, err
	}
	var addresses []string
	for tries := 0; len(addresses) < n; tries++ {
		if tries > portsPerRange {
			return nil, trace.LimitExceeded("no free ports from %d", base)
		}
		address := loopback(base + 1 + int(portsTried.Add(1)-1)%(portsPerRange-1))
		l, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		_ = l.Close()
		addresses = append(addresses, address)
	}
	return addresses, nil
}

// Start runs a deployment and ships its manifest. It returns when every node
// has it in force and knows every target.
func Start(ctx context.Context, d deployment.Deployment, log *logrus.Logger) (*Rig, error) {
	ctx, cancel := context.WithCancel(ctx)
	r := &Rig{Platform: platform.New(), cancel: cancel}
	r.group, ctx = errgroup.WithContext(ctx)
	if err := r.start(ctx, d, log); err != nil {
		_ = r.Stop()
		return nil, err
	}
	return r, nil
}

func (r *Rig) start(ctx context.Context, d deployment.Deployment, log *logrus.Logger) error {
	if err := r.startPlatform(); err != nil {
		return err
	}
	store := object.New(r.PlatformURL)
	if _, err := ship.Ship(ctx, time.Now(), store, ship.Request{Text: d.ManifestText, By: "rig"}); err != nil {
		return fmt.Errorf("ship manifest: %w", err)
	}
	for _, s := range d.Services {
		for i := range s.Targets {
			if err := r.startMember(ctx, d, s, d.Zones[i%len(d.Zones)], log); err != nil {
				return fmt.Errorf("start member of %s: %w", s.Name, err)
			}
		}
	}
	parts := 0
	for _, o := range d.Manifest.Organisations {
		parts += o.Parts
	}
	return r.awaitReady(ctx, parts)
}

func (r *Rig) startPlatform() error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return fmt.Errorf("listen for the platform: %w", err)
	}
	r.PlatformURL = "http://" + listener.Addr().String()
	server := &http.Server{Handler: r.Platform.Handler(), ReadHeaderTimeout: time.Second}
	go func() { _ = server.Serve(listener) }()
	r.closePlatform = server.Close
	return nil
}

func (r *Rig) startMember(ctx context.Context, d deployment.Deployment, s deployment.Service, zone string, log *logrus.Logger) error {
	ports, err := Ports(5)
	if err != nil {
		return err
	}
	conf := settings.Settings{
		Zone:      zone,
		Region:    d.Region,
		Callers:   settings.Listener{Address: ports[0]},
		Target:    settings.Listener{Address: ports[1]},
		Peers:     settings.Listener{Address: ports[2]},
		Operators: settings.Listener{Address: ports[3]},
		Platform:  r.PlatformURL,
	}.Defaults().WithSecret([]byte("the secret of a rig on loopback"))
	n, err := node.New(conf, log)
	if err != nil {
		return fmt.Errorf("make node: %w", err)
	}
	t := target.New(target.Config{
		Service:     s.Name,
		Address:     ports[4],
		Node:        ports[1],
		Slots:       s.Slots,
		Connections: s.Connections,
		ServiceTime: s.MeanServiceTime(),
		Calls:       s.Calls,
		Echo:        true,
		Exit:        func() {},
	})
	r.group.Go(func() error { return n.Run(ctx) })
	r.group.Go(func() error { return t.Run(ctx) })
	r.Members = append(r.Members, Member{s.Name, conf, n, t, ports[4]})
	return nil
}

// awaitReady waits until all nodes have a configuration, know all targets and the
// holders of all parts.
func (r *Rig) awaitReady(ctx context.Context, parts int) error {
	client, err := access.New(settings.TLS{})
	if err != nil {
		return fmt.Errorf("make client: %w", err)
	}
	for {
		ready := 0
		fleet := client.Fleet(ctx, r.OperatorAddresses(), false)
		for _, s := range fleet.States {
			if s.Config.Head != nil && s.Targets() == len(r.Members) && len(s.Parts.Known) == parts {
				ready++
			}
		}
		if ready == len(r.Members) {
			return nil
		}
		select {
		case <-ctx.Done():
			return trace.ConnectionProblem(ctx.Err(), "%d of %d nodes were ready", ready, len(r.Members))
		case <-time.After(readyPollInterval):
		}
	}
}

// CallerAddresses are the callers' listeners of all nodes.
func (r *Rig) CallerAddresses() []string {
	var all []string
	for _, m := range r.Members {
		all = append(all, m.Settings.Callers.Address)
	}
	return all
}

// OperatorAddresses are the operators' listeners of all nodes.
func (r *Rig) OperatorAddresses() []string {
	var all []string
	for _, m := range r.Members {
		all = append(all, m.Settings.Operators.Address)
	}
	return all
}

// Stop stops all nodes as planned, then everything else.
func (r *Rig) Stop() error {
	r.cancel()
	err := r.group.Wait()
	if r.closePlatform != nil {
		err = errors.Join(err, r.closePlatform())
	}
	if err != nil && !errors.Is(err, context.Canceled) {
		return fmt.Errorf("stop rig: %w", err)
	}
	return nil
}

// DiscardLogger returns a logger that writes nothing.
func DiscardLogger() *logrus.Logger {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return log
}

// ReservedAddress is the address that keeps other processes out of this one's ports.
func ReservedAddress() (string, error) {
	base, err := rangeStart()
	if err != nil {
		return "", err
	}
	return loopback(base), nil
}
