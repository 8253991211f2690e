// Package rig runs a deployment on loopback in one process: platform, targets and
// nodes.
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
	"syscall"
	"time"

	"chestnutshed.example/chestnutshed/internal/config/settings"
	"chestnutshed.example/chestnutshed/internal/core/node"
	"chestnutshed.example/chestnutshed/internal/operate/nodeclient"
	"chestnutshed.example/chestnutshed/internal/operate/ship"
	"chestnutshed.example/chestnutshed/internal/platform/object"
	"chestnutshed.example/chestnutshed/internal/standin/deployment"
	"chestnutshed.example/chestnutshed/internal/standin/platform"
	"chestnutshed.example/chestnutshed/internal/standin/target"
	"github.com/gravitational/trace"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"
)

// readyPollInterval is the time between two checks that all nodes are ready.
const readyPollInterval = 50 * time.Millisecond

// Member is a target and the node beside it.
type Member struct {
	Service  string
	Settings settings.Settings
	Node     *node.Node
	Target   *target.Target
	// TargetAddress is the target's listen address.
	TargetAddress string
}

// Rig is a running deployment.
type Rig struct {
	Platform    *platform.Platform
	PlatformURL string
	Members     []Member

	cancel context.CancelFunc
	group  *errgroup.Group
	// close stops the platform's server. The nodes stop before it.
	close func() error
}

// The ports of rigs are below the system's ephemeral ports, so outgoing
// connections can't take them, and apart from those of other packages' tests. Each
// process reserves one of the ranges: it listens on the range's first port until it exits.
const (
	firstPort     = 10000
	portsPerRange = 1100
	portRanges    = 9
)

var (
	// portsTried counts the ports that this process has tried.
	portsTried atomic.Int64
	// rangeListener reserves the range's first port. It is a package variable
	// because the garbage collector closes an unreferenced listener.
	rangeListener net.Listener
	// rangeStart reserves a range on the first call and returns its first port.
	rangeStart = sync.OnceValues(reserveRange)
)

// reserveRange listens on the first port of a free range and returns the port. The
// range stays reserved until the process exits.
func reserveRange() (int, error) {
	for i := range portRanges {
		base := firstPort + (os.Getpid()+i)%portRanges*portsPerRange
		var err error
		if rangeListener, err = net.Listen("tcp", loopback(base)); err == nil {
			return base, nil
		}
	}
	return 0, trace.LimitExceeded("all %d port ranges are in use", portRanges)
}

func loopback(port int) string { return net.JoinHostPort("127.0.0.1", strconv.Itoa(port)) }

// Ports returns n loopback addresses whose ports are free, from the process's
// range.
func Ports(n int) ([]string, error) {
	base, err := rangeStart()
	if err != nil {
		return nil, err
	}
	var addresses []string
	for tries := 0; len(addresses) < n; tries++ {
		if tries > portsPerRange {
			return nil, trace.LimitExceeded("no free port in the range that starts at %d", base)
		}
		address := loopback(base + 1 + int(portsTried.Add(1)-1)%(portsPerRange-1))
		if isFree(address) {
			addresses = append(addresses, address)
		}
	}
	return addresses, nil
}

// isFree reports whether an address can be listened on. No process may be forked meanwhile: it
// would have a copy of the listener until it executes its program, and whoever listens there
// next would fail.
func isFree(address string) bool {
	syscall.ForkLock.RLock()
	defer syscall.ForkLock.RUnlock()
	l, err := net.Listen("tcp", address)
	if err != nil {
		return false
	}
	_ = l.Close()
	return true
}

// Start runs a deployment and ships its manifest. It returns when every node has
// the manifest and knows all targets and the holders of all quota shards.
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
	if _, err := ship.Ship(ctx, time.Now(), store, ship.Request{Text: d.Text, By: "rig"}); err != nil {
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
		return fmt.Errorf("listen for platform: %w", err)
	}
	r.PlatformURL = "http://" + listener.Addr().String()
	server := &http.Server{Handler: r.Platform.Handler(), ReadHeaderTimeout: time.Second}
	go func() { _ = server.Serve(listener) }()
	r.close = server.Close
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
		return fmt.Errorf("create node: %w", err)
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

// awaitReady waits until all nodes have a configuration and know all targets and
// the holder of each of the quota shards, whose number is parts.
func (r *Rig) awaitReady(ctx context.Context, parts int) error {
	client, err := nodeclient.New(settings.TLS{})
	if err != nil {
		return fmt.Errorf("create client: %w", err)
	}
	for {
		ready := 0
		fleet := client.Fleet(ctx, r.OperatorAddresses(), false)
		for _, s := range fleet.States {
			if s.Config.Head != nil && s.ReadyTargets() == len(r.Members) && len(s.Shards.Known) == parts {
				ready++
			}
		}
		if ready == len(r.Members) {
			return nil
		}
		select {
		case <-ctx.Done():
			return trace.ConnectionProblem(ctx.Err(), "%d of %d nodes became ready", ready, len(r.Members))
		case <-time.After(readyPollInterval):
		}
	}
}

// CallerAddresses returns the addresses of all nodes' listeners for callers.
func (r *Rig) CallerAddresses() []string {
	var all []string
	for _, m := range r.Members {
		all = append(all, m.Settings.Callers.Address)
	}
	return all
}

// OperatorAddresses returns the addresses of all nodes' listeners for operators.
func (r *Rig) OperatorAddresses() []string {
	var all []string
	for _, m := range r.Members {
		all = append(all, m.Settings.Operators.Address)
	}
	return all
}

// Stop stops all nodes gracefully, then the platform.
func (r *Rig) Stop() error {
	r.cancel()
	err := r.group.Wait()
	if r.close != nil {
		err = errors.Join(err, r.close())
	}
	if err != nil && !errors.Is(err, context.Canceled) {
		return fmt.Errorf("stop rig: %w", err)
	}
	return nil
}

// DiscardLogger returns a logger that discards all output.
func DiscardLogger() *logrus.Logger {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return log
}

// ReservedAddress returns the address of the listener that reserves this process's
// port range.
func ReservedAddress() (string, error) {
	base, err := rangeStart()
	if err != nil {
		return "", err
	}
	return loopback(base), nil
}
