package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// nodeProgram and templatePath are those of the deploy file.
	nodeProgram  = "target/chestnutshed"
	templatePath = "platform/settings.hujson"
	// host and the prefixes are those of the routes.
	host = "hulo84.example"
	// readPrefix is an idempotent route and writePrefix one that is not.
	readPrefix  = "/leny950/"
	writePrefix = "/puka111/"
	apiKey      = "6wsjnbanfqasnmgkcuyj"
	service     = "huvo11a"
	// Bounds of the deployment.
	drainBound     = 2 * time.Second
	stabilityBound = 3 * time.Second
	graceBound     = 6 * time.Second
	memoryMB       = 284
	maxBodyBytes   = 64 << 20
	// restartDelay is how long after its end a process is started again.
	restartDelay = 500 * time.Millisecond
)

// configuration is the content of config/main.
func configuration() map[string]any {
	resource := func(kind, name string, spec map[string]any) map[string]any {
		return map[string]any{"resource_type": kind, "metadata": map[string]any{"name": name}, "spec": spec}
	}
	return map[string]any{"version": 7, "resources": []any{
		resource("routes", "r-read", map[string]any{
			"host": host, "path_prefix": readPrefix, "kind": "idempotent", "timeout_s": 6, "target_latency_s": 2,
			"priority": 2, "service": service, "max_attempts": 2, "public": false,
		}),
		resource("routes", "r-write", map[string]any{
			"host": host, "path_prefix": writePrefix, "kind": "non_idempotent", "timeout_s": 6, "target_latency_s": 2,
			"priority": 0, "service": service, "max_attempts": 2, "public": false,
		}),
		resource("services", service, map[string]any{"health_path": "/health", "max_connections": 316, "protocol": "h1", "tls": false}),
		resource("tenants", "pulo780", map[string]any{"api_keys": []string{apiKey}, "priority": 1}),
		resource("tenants", hotTenant, map[string]any{"api_keys": []string{hotKey}, "priority": 1, "rate_per_s": hotRate, "burst": hotBurst}),
		resource("limits", "", map[string]any{
			"max_header_bytes": 16384, "max_body_bytes": maxBodyBytes, "header_timeout_s": 3, "idle_timeout_s": 15,
		}),
	}}
}

// machine is a sidecar machine: a node and the upstream beside it.
type machine struct {
	name, settings, log string
	outbound, ready     string
	operators           string
	link                *link
	upstream            *upstream

	mu      sync.Mutex
	command *exec.Cmd
	ended   chan struct{}
	// startedAt is when its process was started last.
	startedAt time.Duration
}

// fleet is a small deployment on loopback addresses.
type fleet struct {
	record   *record
	dir      string
	store    *store
	machines []*machine
	// forwarded is set if the nodes reach each other through links of this program.
	forwarded bool

	// starting guards closed, after which no process is started.
	starting sync.Mutex
	closed   bool
}

// newFleet returns a deployment without machines.
func newFleet(r *record) (*fleet, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, fmt.Errorf("create temporary folder: %w", err)
	}
	return &fleet{record: r, dir: dir}, nil
}

// startMachines starts the store, n nodes and their upstreams, and waits until all serve.
func (f *fleet) startMachines(n int, forwarded bool) (err error) {
	f.forwarded = forwarded
	// Each machine has its own loopback address, since the settings name fixed ports.
	network := fmt.Sprintf("127.%d.%d.", 1+rand.IntN(250), rand.IntN(250))
	if f.store, err = startStore(network + "1"); err != nil {
		return err
	}
	f.store.put("config", "main", configuration())
	f.record.line("configuration 7 acknowledged")
	for i := range n {
		m, err := f.newMachine(i, network+strconv.Itoa(i+10))
		if err != nil {
			return err
		}
		f.machines = append(f.machines, m)
	}
	for _, m := range f.machines {
		if err := f.start(m); err != nil {
			return err
		}
	}
	for _, m := range f.machines {
		if !eventually(10*time.Second, m.isReady) {
			return fmt.Errorf("%s is not ready; its last log lines: %s", m.name, lastLines(m.log))
		}
		m.upstream.setBeating(true)
	}
	serves := func() bool {
		for _, m := range f.machines {
			if f.get(m, "GET", readPrefix+"10", nil, requestTimeout).status != http.StatusOK || len(m.upstream.runsAfter(m.upstream.id, 0)) == 0 {
				return false
			}
		}
		return true
	}
	if !eventually(15*time.Second, serves) {
		return errors.New("the deployment does not serve")
	}
	return nil
}

func eventually(within time.Duration, f func() bool) bool {
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if f() {
			return true
		}
	}
	return false
}

func (f *fleet) newMachine(i int, ip string) (*machine, error) {
	ports, err := freePorts(ip, 6)
	if err != nil {
		return nil, err
	}
	at := func(n int) string { return net.JoinHostPort(ip, strconv.Itoa(ports[n])) }
	m := &machine{
		name: fmt.Sprintf("sidecar-z1-%d", i+1), outbound: at(1), ready: at(2), operators: at(5),
		settings: filepath.Join(f.dir, fmt.Sprintf("boot-%d", i+1)), log: filepath.Join(f.dir, fmt.Sprintf("log-%d", i+1)),
	}
	fields := map[string]any{
		"node": m.name, "zone": "z1", "region": "r1", "service": service, "ip": ip, "app": at(0),
		"limits":         map[string]any{"memory_mb": memoryMB, "max_fds": 4100},
		"listen":         map[string]any{"outbound": at(1), "ready": at(2), "inbound": at(3), "control": at(4)},
		"internal_ports": []any{ports[5], ports[5]},
		"provider":       map[string]any{"address": f.store.address},
		"bounds": map[string]any{
			"grace_s": graceBound.Seconds(), "revoke_s": 5, "budget_ratio": 0.2, "budget_slack": 50, "budget_window_s": 10,
		},
	}
	text, err := renderTemplate(templatePath, fields)
	if err != nil {
		return nil, err
	}
	if f.forwarded {
		if text, err = f.forward(m, ip, text, at(3), at(5)); err != nil {
			return nil, err
		}
	}
	if err := os.WriteFile(m.settings, text, 0o600); err != nil {
		return nil, fmt.Errorf("write settings: %w", err)
	}
	if m.upstream, err = newUpstream(f.record, service, at(0), at(4)); err != nil {
		return nil, err
	}
	m.upstream.incarnate(fmt.Sprintf("i-%d-first", i+1))
	return m, nil
}

// freePorts returns ports that are free for connections and datagrams.
func freePorts(ip string, n int) ([]int, error) {
	var ports []int
	for range 100 * n {
		if len(ports) == n {
			return ports, nil
		}
		// Below the range of outgoing connections.
		port := 10000 + rand.IntN(20000)
		address := net.JoinHostPort(ip, strconv.Itoa(port))
		l, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		p, err := net.ListenPacket("udp", address)
		_ = l.Close()
		if err != nil {
			continue
		}
		_ = p.Close()
		ports = append(ports, port)
	}
	return nil, errors.New("no free ports")
}

var placeholder = regexp.MustCompile(`\{\{([a-z_.0-9]+)(\|json)?\}\}`)

// renderTemplate fills in the template of the settings, as the platform does.
func renderTemplate(path string, fields map[string]any) ([]byte, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read template: %w", err)
	}
	var missing []string
	rendered := placeholder.ReplaceAllFunc(text, func(found []byte) []byte {
		parts := placeholder.FindSubmatch(found)
		var value any = fields
		for _, name := range strings.Split(string(parts[1]), ".") {
			switch v := value.(type) {
			case map[string]any:
				value = v[name]
			case []any:
				at, _ := strconv.Atoi(name)
				value = v[at]
			}
		}
		if value == nil {
			missing = append(missing, string(parts[1]))
		}
		if len(parts[2]) == 0 {
			return []byte(fmt.Sprint(value))
		}
		text, _ := json.Marshal(value)
		return text
	})
	if len(missing) > 0 {
		return nil, fmt.Errorf("template names unknown fields: %v", missing)
	}
	return rendered, nil
}

// start starts the node of a machine with the command of the deploy file.
func (f *fleet) start(m *machine) error {
	f.starting.Lock()
	defer f.starting.Unlock()
	if f.closed {
		return errors.New("the case ends")
	}
	out, err := os.OpenFile(m.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("open log: %w", err)
	}
	defer func() { _ = out.Close() }()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.command = exec.Command(nodeProgram, "mesh", "--settings", m.settings)
	m.command.Stdout, m.command.Stderr = out, out
	m.command.Env = append(os.Environ(), "CHESTNUTSHED_CONFIG="+m.settings)
	if err := m.command.Start(); err != nil {
		return fmt.Errorf("start node: %w", err)
	}
	m.ended, m.startedAt = make(chan struct{}), f.record.since()
	f.record.line("%s: process started", m.name)
	go func(c *exec.Cmd, ended chan struct{}) {
		_ = c.Wait()
		f.record.line("%s: process ended", m.name)
		close(ended)
	}(m.command, m.ended)
	return nil
}

// signal sends a signal to the node of a machine.
func (f *fleet) signal(m *machine, s syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	f.record.line("%s: %s sent", m.name, s)
	_ = m.command.Process.Signal(s)
}

// wait waits until the node of a machine has ended.
func (m *machine) wait() {
	m.mu.Lock()
	ended := m.ended
	m.mu.Unlock()
	<-ended
}

// lastLines returns the end of a file.
func lastLines(path string) string {
	text, err := os.ReadFile(path)
	if err != nil {
		return err.Error()
	}
	return string(text[max(0, len(text)-2000):])
}

func (m *machine) isReady() bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + m.ready + "/chestnutshed/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// rssMB returns the resident memory of a machine's node, in megabytes.
func (m *machine) rssMB() int {
	m.mu.Lock()
	pid := m.command.Process.Pid
	m.mu.Unlock()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}
	parts := strings.Fields(string(text))
	if len(parts) < 2 {
		return 0
	}
	pages, _ := strconv.Atoi(parts[1])
	return pages * os.Getpagesize() >> 20
}

// close ends all processes and removes the temporary folder.
func (f *fleet) close() {
	if f == nil {
		return
	}
	f.starting.Lock()
	f.closed = true
	f.starting.Unlock()
	for _, m := range f.machines {
		m.mu.Lock()
		started := m.command != nil && m.ended != nil
		m.mu.Unlock()
		if started {
			_ = m.command.Process.Kill()
			m.wait()
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.dir)
	} else {
		fmt.Println("logs:", f.dir)
	}
}
