package measure

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"chestnutshed.example/chestnutshed/internal/config/manifest"
	"chestnutshed.example/chestnutshed/internal/config/settings"
	"chestnutshed.example/chestnutshed/internal/fleet/gossip"
	"chestnutshed.example/chestnutshed/internal/fleet/member"
	"chestnutshed.example/chestnutshed/internal/operate/nodeclient"
	"chestnutshed.example/chestnutshed/internal/standin/process"
	"chestnutshed.example/chestnutshed/internal/traffic/peers"
	"github.com/google/uuid"
	"github.com/gravitational/trace"
)

const (
	// measureTime is the duration of a measurement.
	measureTime = 10 * time.Second
	// warmUpTime is the time between the start of a fleet and the measurement.
	warmUpTime = 20 * time.Second
	// startTimeout is the timeout for starting and measuring a fleet.
	startTimeout = 2 * time.Minute
	// ticksPerSecond is the number of clock ticks per second in /proc.
	ticksPerSecond = 100
	// zoneCount is the number of availability zones of a fleet.
	zoneCount = 3
	// fullFleetSize is the number of members of a fleet of the design size.
	fullFleetSize = 4800
	// membersPerMessage is the number of members in one gossip message.
	membersPerMessage = 400
)

// usage is the CPU time of a process so far and its resident memory in bytes.
type usage struct {
	cpu time.Duration
	rss int64
}

// readUsage reads the usage of a process from /proc.
func readUsage(pid int) (usage, error) {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return usage{}, fmt.Errorf("read processor time: %w", err)
	}
	fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+1:]))
	if len(fields) < 22 {
		return usage{}, trace.BadParameter("/proc/%d/stat has %d fields", pid, len(fields))
	}
	user, _ := strconv.ParseInt(fields[11], 10, 64)
	system, _ := strconv.ParseInt(fields[12], 10, 64)
	pages, _ := strconv.ParseInt(fields[21], 10, 64)
	return usage{
		cpu: time.Duration(user+system) * time.Second / ticksPerSecond,
		rss: pages * int64(os.Getpagesize()),
	}, nil
}

// newTestbed builds the programs and returns a testbed and a function that closes
// it.
func newTestbed() (*process.Testbed, func(), error) {
	dir, err := os.MkdirTemp("", "measure")
	if err != nil {
		return nil, nil, fmt.Errorf("make folder: %w", err)
	}
	bins, err := process.Build(dir)
	if err != nil {
		_ = os.RemoveAll(dir)
		return nil, nil, err
	}
	b := process.New(bins, dir)
	return b, func() {
		b.Close()
		_ = os.RemoveAll(dir)
	}, nil
}

// Fleet runs fleets of real nodes without load. It prints the CPU, memory and
// control traffic per node, and the rate of platform calls.
func Fleet(ctx context.Context, out io.Writer, sizes []int) error {
	for _, n := range sizes {
		if err := measureFleet(ctx, out, n); err != nil {
			return fmt.Errorf("fleet of %d: %w", n, err)
		}
	}
	return nil
}

func measureFleet(ctx context.Context, out io.Writer, n int) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	b, closeBench, err := newTestbed()
	if err != nil {
		return err
	}
	defer closeBench()
	if err := b.StartPlatform(ctx); err != nil {
		return err
	}
	if err := shipManifest(b, 0); err != nil {
		return err
	}
	for i := range n {
		if _, err := b.AddMember(fmt.Sprintf("zone-%d", i%zoneCount), "", []process.Option{quiet}); err != nil {
			return err
		}
	}
	client, err := nodeclient.New(settings.TLS{})
	if err != nil {
		return err
	}
	known := func() bool {
		f := client.Fleet(ctx, operatorAddresses(b), false)
		for _, s := range f.States {
			if s.Config.Head == nil || len(s.Gossip.Members) < n {
				return false
			}
		}
		return len(f.States) == n
	}
	if err := process.Until(ctx, known); err != nil {
		return err
	}
	sleep(ctx, warmUpTime)
	return printUsage(ctx, out, b, client, n)
}

// quiet sets the log level so that a node does not log each call.
func quiet(s settings.Settings) settings.Settings {
	s.Level = "warning"
	return s
}

func operatorAddresses(b *process.Testbed) []string {
	var all []string
	for _, m := range b.Members {
		all = append(all, m.OperatorAddress())
	}
	return all
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// printUsage prints the mean usage of the nodes of a testbed during measureTime.
func printUsage(ctx context.Context, out io.Writer, b *process.Testbed, client *nodeclient.Client, n int) error {
	callsBefore, err := b.Counts()
	if err != nil {
		return err
	}
	before, err := totalUsage(ctx, b, client)
	if err != nil {
		return err
	}
	sleep(ctx, measureTime)
	after, err := totalUsage(ctx, b, client)
	if err != nil {
		return err
	}
	calls, err := b.Counts()
	if err != nil {
		return err
	}
	count := float64(len(b.Members)) * measureTime.Seconds()
	_, err = fmt.Fprintf(out, "%5d nodes: cpu %.2f %% of a core, memory %.1f MB, control %.0f B/s in %.2f messages/s a node; platform %.2f reads/s, %.2f writes/s, %.2f watches/s in all\n",
		n, 100*(after.cpu-before.cpu).Seconds()/count, float64(after.rss)/float64(len(b.Members))/1e6,
		float64(after.bytes-before.bytes)/count, float64(after.sent-before.sent)/count,
		float64(calls.Reads-callsBefore.Reads)/measureTime.Seconds(),
		float64(calls.Writes-callsBefore.Writes)/measureTime.Seconds(),
		float64(calls.Watches-callsBefore.Watches)/measureTime.Seconds())
	return err
}

// total is the usage and control traffic of all nodes of a testbed.
type total struct {
	usage
	sent, bytes uint64
}

func totalUsage(ctx context.Context, b *process.Testbed, client *nodeclient.Client) (total, error) {
	var t total
	for _, m := range b.Members {
		s, err := client.State(ctx, m.OperatorAddress())
		if err != nil {
			return t, err
		}
		u, err := readUsage(m.Node.PID())
		if err != nil {
			return t, err
		}
		t.cpu += u.cpu
		t.rss += u.rss
		t.sent += s.Gossip.ControlMessages
		t.bytes += s.Gossip.ControlBytes
	}
	return t, nil
}

// shipManifest ships a manifest of at least size bytes.
func shipManifest(b *process.Testbed, size int) error {
	m := manifest.Manifest{
		Name:          "measure",
		Organisations: []manifest.Organisation{{Name: "acme", Rate: 1000, Burst: 1000, Keys: []string{manifest.Digest("example-acme")}}},
		Services:      []manifest.Service{{Name: "front"}},
	}
	for i := 0; ; i++ {
		m.Routes = append(m.Routes, manifest.Route{
			Name: fmt.Sprintf("route-%d", i), Method: "GET", Path: fmt.Sprintf("/area-%d/things/{id}/details", i), Service: "front", Idempotent: true,
		})
		if i%500 != 0 {
			continue
		}
		text, err := json.Marshal(m)
		if err != nil {
			return fmt.Errorf("encode manifest: %w", err)
		}
		if len(text) < size {
			continue
		}
		path := filepath.Join(b.Dir, "manifest.json")
		if err := os.WriteFile(path, text, 0o600); err != nil {
			return fmt.Errorf("write manifest: %w", err)
		}
		if answer, code := b.Run("ship", "--reviewed", "0", "--by", "measure", path); code != 0 {
			return trace.BadParameter("ship: %s", answer)
		}
		return nil
	}
}

// FullFleet runs one real node with fullFleetSize members and a manifest of 90 %
// of the maximum size, and prints its usage.
func FullFleet(ctx context.Context, out io.Writer) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	b, closeBench, err := newTestbed()
	if err != nil {
		return err
	}
	defer closeBench()
	if err := b.StartPlatform(ctx); err != nil {
		return err
	}
	if err := shipManifest(b, manifest.MaxSize*9/10); err != nil {
		return err
	}
	m, err := b.AddMember("zone-0", "", []process.Option{quiet})
	if err != nil {
		return err
	}
	client, err := nodeclient.New(settings.TLS{})
	if err != nil {
		return err
	}
	err = process.Until(ctx, func() bool {
		s, err := client.State(ctx, m.OperatorAddress())
		return err == nil && s.Config.Head != nil
	})
	if err != nil {
		return err
	}
	if err := injectMembers(ctx, m); err != nil {
		return err
	}
	sleep(ctx, warmUpTime)
	return printUsage(ctx, out, b, client, fullFleetSize)
}

// injectMembers sends a node gossip about members that do not exist. No process
// listens on their addresses. The node probes one of them per second.
func injectMembers(ctx context.Context, m *process.Member) error {
	client, err := peers.NewClient(m.Settings.WithSecret([]byte(process.Secret)))
	if err != nil {
		return fmt.Errorf("make client: %w", err)
	}
	now := time.Now().UnixNano()
	for from := 0; from < fullFleetSize; from += membersPerMessage {
		var message gossip.Message
		for i := range membersPerMessage {
			n := from + i
			message.Members = append(message.Members, member.Record{
				ID:       uuid.NewString(),
				Address:  fmt.Sprintf("127.1.%d.%d:9", n/200, n%200+1),
				Zone:     fmt.Sprintf("zone-%d", n%16),
				Region:   fmt.Sprintf("region-%d", n%7),
				Started:  now,
				Service:  fmt.Sprintf("service-%d", n%190),
				Slots:    100,
				Instance: uuid.NewString(),
			})
		}
		var answer gossip.Message
		if err := client.PostJSON(ctx, m.Settings.Peers.Address, "/peer/gossip", message, &answer); err != nil {
			return fmt.Errorf("send gossip about members: %w", err)
		}
	}
	return nil
}
