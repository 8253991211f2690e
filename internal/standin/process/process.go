// Package process runs nodes and stand-ins as separate processes on loopback.
// Tests can kill, pause and restart them and inject the stand-ins' faults.
package process

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"chestnutshed.example/chestnutshed/internal/config/settings"
	"chestnutshed.example/chestnutshed/internal/operate/nodeclient"
	"chestnutshed.example/chestnutshed/internal/platform/object"
	"chestnutshed.example/chestnutshed/internal/standin/platform"
	"chestnutshed.example/chestnutshed/internal/standin/rig"
	"chestnutshed.example/chestnutshed/internal/standin/target"
	"github.com/gravitational/trace"
)

// Secret is the fleet secret of all testbeds.
const Secret = "the secret of a bench on loopback"

// Binaries are the paths of the built programs.
type Binaries struct {
	Chestnutshed string
	Standin      string
}

// Build compiles both programs into dir. An error contains the compiler's output.
func Build(dir string) (Binaries, error) {
	b := Binaries{filepath.Join(dir, "chestnutshed"), filepath.Join(dir, "standin")}
	const module = "chestnutshed.example/chestnutshed/cmd/"
	cmd := exec.Command("go", "build", "-o", dir+string(filepath.Separator), module+"chestnutshed", module+"standin")
	if out, err := cmd.CombinedOutput(); err != nil {
		return b, fmt.Errorf("build: %w: %s", err, out)
	}
	return b, nil
}

// Proc is a child process.
type Proc struct {
	cmd  *exec.Cmd
	done chan struct{}
	log  *tail
	err  error
}

// tail is a writer that keeps the last maxTailBytes of a process's output.
type tail struct {
	mu   sync.Mutex
	text []byte
}

// maxTailBytes bounds the memory for the output of a process.
const maxTailBytes = 256 << 10

// Write implements io.Writer.
func (t *tail) Write(p []byte) (int, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.text = append(t.text, p...)
	if len(t.text) > maxTailBytes {
		t.text = t.text[len(t.text)-maxTailBytes:]
	}
	return len(p), nil
}

// Log returns the last maxTailBytes of the process's standard output and error.
func (p *Proc) Log() string {
	p.log.mu.Lock()
	defer p.log.mu.Unlock()
	return string(p.log.text)
}

// PID is the process ID.
func (p *Proc) PID() int { return p.cmd.Process.Pid }

// Kill sends SIGKILL and waits for the process to exit.
func (p *Proc) Kill() {
	_ = p.cmd.Process.Kill()
	<-p.done
}

// Pause sends SIGSTOP, which simulates a paused VM.
func (p *Proc) Pause() { _ = p.cmd.Process.Signal(syscall.SIGSTOP) }

// Resume continues a paused process.
func (p *Proc) Resume() { _ = p.cmd.Process.Signal(syscall.SIGCONT) }

// Terminate sends SIGTERM and doesn't wait; see Done.
func (p *Proc) Terminate() { _ = p.cmd.Process.Signal(syscall.SIGTERM) }

// Done is closed when the process has exited.
func (p *Proc) Done() <-chan struct{} { return p.done }

// Err is the exit error of the process. It is valid after Done is closed.
func (p *Proc) Err() error { return p.err }

// Member is a node and the target beside it. Target is nil for a node without one.
type Member struct {
	Settings settings.Settings
	Node     *Proc
	Target   *Proc
	// Journal is the file to which the target appends every request.
	Journal string
	// TargetAddress is the target's listen address.
	TargetAddress string
	settingsPath  string
}

// CallerAddress is the address of the node's listener for callers.
func (m *Member) CallerAddress() string { return m.Settings.Callers.Address }

// OperatorAddress is the address of the node's listener for operators.
func (m *Member) OperatorAddress() string { return m.Settings.Operators.Address }

// Testbed is a fleet of nodes and targets with a platform, each a process.
type Testbed struct {
	Binaries Binaries
	Dir      string
	// PlatformURL is the base URL of the platform's API.
	PlatformURL string
	Platform    *Proc
	Members     []*Member

	mu    sync.Mutex
	procs []*Proc
}

// New returns a testbed without processes. Settings and journals go into dir.
func New(b Binaries, dir string) *Testbed {
	return &Testbed{Binaries: b, Dir: dir}
}

func (b *Testbed) start(name string, args ...string) (*Proc, error) {
	cmd := exec.Command(name, args...)
	cmd.Env = append(os.Environ(), "CHESTNUTSHED_SECRET="+Secret)
	p := &Proc{cmd: cmd, done: make(chan struct{}), log: &tail{}}
	cmd.Stdout, cmd.Stderr = p.log, p.log
	if err := cmd.Start(); err != nil {
		return nil, fmt.Errorf("start %s: %w", name, err)
	}
	go func() {
		p.err = cmd.Wait()
		close(p.done)
	}()
	b.mu.Lock()
	b.procs = append(b.procs, p)
	b.mu.Unlock()
	return p, nil
}

// Close kills all processes that the testbed started.
func (b *Testbed) Close() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, p := range b.procs {
		p.Resume()
		p.Kill()
	}
}

// StartPlatform starts the platform on a free port and waits until it responds.
func (b *Testbed) StartPlatform(ctx context.Context) error {
	ports, err := rig.Ports(1)
	if err != nil {
		return err
	}
	b.PlatformURL = "http://" + ports[0]
	return b.RestartPlatform(ctx)
}

// RestartPlatform starts an empty platform at the same address and waits until
// it responds.
func (b *Testbed) RestartPlatform(ctx context.Context) error {
	var err error
	address := strings.TrimPrefix(b.PlatformURL, "http://")
	if b.Platform, err = b.start(b.Binaries.Standin, "platform", "--address", address); err != nil {
		return err
	}
	return Until(ctx, func() bool {
		_, err := b.Counts()
		return err == nil
	})
}

// Store returns a client of the platform's object API.
func (b *Testbed) Store() *object.Client { return object.New(b.PlatformURL) }

// Counts returns the number of calls that the platform has received.
func (b *Testbed) Counts() (platform.Counts, error) {
	var c platform.Counts
	resp, err := http.Get(b.PlatformURL + "/counts")
	if err != nil {
		return c, fmt.Errorf("read counts: %w", err)
	}
	defer func() { _ = resp.Body.Close() }()
	return c, json.NewDecoder(resp.Body).Decode(&c)
}

// Fault replaces the platform's faults.
func (b *Testbed) Fault(f platform.Faults) error { return putJSON(b.PlatformURL+"/faults", f) }

func putJSON(url string, v any) error {
	body, err := json.Marshal(v)
	if err != nil {
		return fmt.Errorf("encode: %w", err)
	}
	req, err := http.NewRequest(http.MethodPut, url, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("create request: %w", err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return fmt.Errorf("put: %w", err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return trace.BadParameter("put %s: %s", url, resp.Status)
	}
	return nil
}

// Option returns changed settings for a new member.
type Option func(s settings.Settings) settings.Settings

// AddMember starts a node and, unless service is empty, a target of the service.
// The flags are passed to the target's command.
func (b *Testbed) AddMember(zone, service string, options []Option, flags ...string) (*Member, error) {
	ports, err := rig.Ports(5)
	if err != nil {
		return nil, err
	}
	s := settings.Settings{
		Zone:      zone,
		Region:    "here",
		Callers:   settings.Listener{Address: ports[0]},
		Target:    settings.Listener{Address: ports[1]},
		Peers:     settings.Listener{Address: ports[2]},
		Operators: settings.Listener{Address: ports[3]},
		Platform:  b.PlatformURL,
		Secret:    "env:CHESTNUTSHED_SECRET",
		Level:     "debug",
	}.Defaults()
	for _, o := range options {
		s = o(s)
	}
	m := &Member{Settings: s, TargetAddress: ports[4]}
	m.Journal = filepath.Join(b.Dir, fmt.Sprintf("journal-%d.jsonl", len(b.Members)))
	m.settingsPath = filepath.Join(b.Dir, fmt.Sprintf("node-%d.json", len(b.Members)))
	text, err := json.Marshal(s)
	if err != nil {
		return nil, fmt.Errorf("encode settings: %w", err)
	}
	if err := os.WriteFile(m.settingsPath, text, 0o600); err != nil {
		return nil, fmt.Errorf("write settings: %w", err)
	}
	b.Members = append(b.Members, m)
	if err := b.StartNode(m); err != nil {
		return nil, err
	}
	if service == "" {
		return m, nil
	}
	return m, b.StartTarget(m, service, flags...)
}

// StartNode starts or restarts the node of a member.
func (b *Testbed) StartNode(m *Member) error {
	var err error
	m.Node, err = b.start(b.Binaries.Chestnutshed, "node", "--settings", m.settingsPath)
	return err
}

// StartTarget starts or restarts the target of a member.
func (b *Testbed) StartTarget(m *Member, service string, flags ...string) error {
	args := append([]string{"target", "--service", service, "--address", m.TargetAddress, "--node", m.Settings.Target.Address, "--journal", m.Journal}, flags...)
	var err error
	m.Target, err = b.start(b.Binaries.Standin, args...)
	return err
}

// SetFaults replaces the faults of a member's target.
func (m *Member) SetFaults(f target.Faults) error {
	return putJSON("http://"+m.TargetAddress+"/standin/faults", f)
}

// Records returns the requests that a member's targets have received, including
// those of killed targets.
func (m *Member) Records() ([]target.Record, error) { return target.ReadJournal(m.Journal) }

// CountRequests counts the requests with this path and body that any target
// received.
func (b *Testbed) CountRequests(path, body string) (int, error) {
	n := 0
	for _, m := range b.Members {
		records, err := m.Records()
		if err != nil {
			return 0, err
		}
		for _, r := range records {
			if r.Path == path && r.Body == body {
				n++
			}
		}
	}
	return n, nil
}

// Run runs a chestnutshed command and returns its output and exit code.
func (b *Testbed) Run(args ...string) (out string, code int) {
	cmd := exec.Command(b.Binaries.Chestnutshed, args...)
	cmd.Env = append(os.Environ(), "CHESTNUTSHED_PLATFORM="+b.PlatformURL)
	text, _ := cmd.CombinedOutput()
	return string(text), cmd.ProcessState.ExitCode()
}

// Ready waits until every running node has a configuration, knows n ready
// targets and the holder of each of the quota shards, whose number is parts.
func (b *Testbed) Ready(ctx context.Context, n, parts int) error {
	client, err := nodeclient.New(settings.TLS{})
	if err != nil {
		return fmt.Errorf("create client: %w", err)
	}
	return Until(ctx, func() bool {
		for _, m := range b.Members {
			if hasEnded(m.Node) {
				continue
			}
			s, err := client.State(ctx, m.OperatorAddress())
			if err != nil || s.Config.Head == nil || s.ReadyTargets() != n || len(s.Shards.Known) != parts {
				return false
			}
		}
		return true
	})
}

func hasEnded(p *Proc) bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// pollInterval is the time between two checks of a condition.
const pollInterval = 20 * time.Millisecond

// Until polls until the condition is true. If ctx ends first, it returns an error
// that wraps that of ctx.
func Until(ctx context.Context, condition func() bool) error {
	for !condition() {
		select {
		case <-ctx.Done():
			return fmt.Errorf("condition not met in time: %w", ctx.Err())
		case <-time.After(pollInterval):
		}
	}
	return nil
}

// Response is a response as the caller received it.
type Response struct {
	Status int
	Header http.Header
	Body   string
	// Reason and Ran are set for requests refused by a node. Ran is "no" or
	// "unknown".
	Reason string
	Ran    string
}

// Request is a caller's request.
type Request struct {
	// Entry is the address of the node's listener for callers.
	Entry  string
	Method string
	Path   string
	Key    string
	Ticket string
	Body   string
}

// Do sends a request as a caller and reads the whole response.
func Do(ctx context.Context, client *http.Client, r Request) (Response, error) {
	req, err := http.NewRequestWithContext(ctx, r.Method, "http://"+r.Entry+r.Path, bytes.NewReader([]byte(r.Body)))
	if err != nil {
		return Response{}, fmt.Errorf("create request: %w", err)
	}
	if r.Key != "" {
		req.Header.Set("Authorization", "Bearer "+r.Key)
	}
	if r.Ticket != "" {
		req.Header.Set("Idempotency-Key", r.Ticket)
	}
	resp, err := client.Do(req)
	if err != nil {
		return Response{}, fmt.Errorf("send: %w", err)
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return Response{}, fmt.Errorf("read response: %w", err)
	}
	a := Response{Status: resp.StatusCode, Header: resp.Header, Body: string(body)}
	var refusal struct {
		Error struct{ Reason, Ran string }
	}
	if json.Unmarshal(body, &refusal) == nil {
		a.Reason, a.Ran = refusal.Error.Reason, refusal.Error.Ran
	}
	return a, nil
}

// Ticket requests one ticket from a node.
func Ticket(ctx context.Context, client *http.Client, entry, key string) (string, error) {
	a, err := Do(ctx, client, Request{Entry: entry, Method: http.MethodPost, Path: "/chestnut/tickets", Key: key})
	if err != nil {
		return "", err
	}
	var reply struct{ Tickets []string }
	if err := json.Unmarshal([]byte(a.Body), &reply); err != nil || len(reply.Tickets) != 1 {
		return "", trace.BadParameter("no ticket in response: status %d: %s", a.Status, a.Body)
	}
	return reply.Tickets[0], nil
}
