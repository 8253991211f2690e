package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"time"
)

// Bounds of a small deployment, as in the site files.
const (
	drainBound     = 2 * time.Second
	stabilityBound = 3 * time.Second
	graceBound     = 6
	revokeBound    = 5
)

func must(err error) {
	if err != nil {
		fmt.Fprintln(os.Stderr, "the case couldn't run:", err)
		stopAll()
		os.Exit(2)
	}
}

// record is record.txt: what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	out   *os.File
	start time.Time
}

var rec *record

func openRecord(dir string) {
	f, err := os.Create(filepath.Join(dir, "record.txt"))
	must(err)
	rec = &record{out: f, start: time.Now()}
}

func logf(format string, args ...any) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	_, _ = fmt.Fprintf(rec.out, "%8.3f %s\n", time.Since(rec.start).Seconds(), fmt.Sprintf(format, args...))
}

// node is a process of the product beside one server.
type node struct {
	name, zone, service, ip string
	target, callers         string
	peers, ready, control   string
	datagrams, operators    string
	metrics                 string
	dir, store              string
	// publicPeers and publicDatagrams are forwarders for other nodes; empty for none.
	publicPeers, publicDatagrams string

	mu  sync.Mutex
	cmd *exec.Cmd
}

var nodes []*node

// freePort returns a port of an address that nobody listens on.
func freePort(ip string) string {
	l, err := net.Listen("tcp", ip+":0")
	must(err)
	defer l.Close()
	return l.Addr().String()
}

func newNode(dir, storeAddress, name, zone, service, ip string) *node {
	n := &node{
		name: name, zone: zone, service: service, ip: ip, dir: dir, store: storeAddress,
		target: freePort(ip), callers: freePort(ip), peers: freePort(ip), ready: freePort(ip), control: freePort(ip), operators: freePort(ip), metrics: freePort(ip),
	}
	n.datagrams = n.operators // one port for TCP and UDP, as the template of the deploy file has it
	nodes = append(nodes, n)
	return n
}

// settings is what the template of the deploy file gives.
func (n *node) settings() []byte {
	all := map[string]any{
		"node": n.name, "zone": n.zone, "region": "mx-centro", "service": n.service, "memory": 284, "files": 4100,
		"target": n.target, "callers": n.callers, "peers": n.peers, "ready": n.ready, "announcements": n.control,
		"datagrams": n.datagrams, "operators": n.operators, "metrics": n.metrics, "store": n.store,
		"grace": graceBound, "revoke": revokeBound, "extra": map[string]any{"ratio": 0.2, "slack": 50, "window": 10},
	}
	if n.publicPeers != "" {
		all["public"] = map[string]any{"peers": n.publicPeers, "datagrams": n.publicDatagrams}
	}
	text, err := json.MarshalIndent(all, "", "  ")
	must(err)
	return text
}

// start starts the process with the command of the deploy file.
func (n *node) start() {
	file := filepath.Join(n.dir, n.name+".json")
	must(os.WriteFile(file, n.settings(), 0o600))
	log, err := os.OpenFile(filepath.Join(n.dir, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	must(err)
	cmd := exec.Command("target/chestnutshed", "mesh", "--settings", file)
	cmd.Stdout, cmd.Stderr = log, log
	must(cmd.Start())
	_ = log.Close()
	n.mu.Lock()
	n.cmd = cmd
	n.mu.Unlock()
	logf("node %s starts, process %d", n.name, cmd.Process.Pid)
}

// kill ends the process with SIGKILL and waits for its end.
func (n *node) kill() {
	n.mu.Lock()
	cmd := n.cmd
	n.cmd = nil
	n.mu.Unlock()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Kill()
	_ = cmd.Wait()
}

func (n *node) signal(s os.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cmd != nil {
		_ = n.cmd.Process.Signal(s)
	}
}

func (n *node) isReady() bool {
	c := http.Client{Timeout: time.Second}
	resp, err := c.Get("http://" + n.ready + "/chestnutshed/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func stopAll() {
	for _, n := range nodes {
		n.kill()
	}
}

// waitReady waits until all nodes are ready.
func waitReady() {
	end := time.Now().Add(20 * time.Second)
	for _, n := range nodes {
		for !n.isReady() {
			if time.Now().After(end) {
				must(fmt.Errorf("node %s is not ready", n.name))
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
}

// run is a request that a server began to work on.
type run struct {
	id, server string
	at         time.Time
}

// server is a stand-in for a server of the users. One start of it is one incarnation.
type server struct {
	id, service string
	born        int64
	slots       int
	node        *node
	work        time.Duration
	// poison crashes the server when it begins to run a request with this path.
	poison func(path string) bool

	mu       sync.Mutex
	listener net.Listener
	http     *http.Server
	state    string
	sequence int64
	running  int
	down     bool
	// silent is set once stopBeat is closed, which ends the heartbeats.
	silent   bool
	stopBeat chan struct{}
}

// slots is the number of requests that a server runs at once.
var slots = 20

var (
	runsMu sync.Mutex
	runs   []run
)

// startServer starts an incarnation, which reports itself every beat.
func startServer(n *node, id string, born int64, work time.Duration, poison func(string) bool) *server {
	s := &server{id: id, service: n.service, born: born, slots: slots, node: n, work: work, poison: poison, state: "ready", stopBeat: make(chan struct{})}
	var err error
	for range 100 {
		if s.listener, err = net.Listen("tcp", n.target); err == nil {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	must(err)
	s.http = &http.Server{Handler: s}
	go func() { _ = s.http.Serve(s.listener) }()
	logf("server %s starts beside %s, born %d", id, n.name, born)
	go s.beats()
	return s
}

func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	id := r.Header.Get("Request-Id")
	w.Header().Set("Keep-Alive", "timeout=10")
	if r.URL.Path == "/health" {
		w.Header().Set("Instance-Id", s.id)
		if s.currentState() != "ready" {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	if id != "" {
		w.Header().Set("Request-Id", id)
	}
	if want := r.Header.Get("Target-Instance"); want != "" && want != s.id {
		w.Header().Set("Instance-Id", s.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	s.mu.Lock()
	if id == "" || s.down || s.running >= s.slots {
		s.mu.Unlock()
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.running++
	s.mu.Unlock()
	defer func() { s.mu.Lock(); s.running--; s.mu.Unlock() }()
	now := time.Now()
	runsMu.Lock()
	runs = append(runs, run{id, s.id, now})
	runsMu.Unlock()
	logf("request %s runs on server %s (born %d, %s)", id, s.id, s.born, s.currentState())
	if s.poison != nil && s.poison(r.URL.Path) {
		logf("request %s crashes server %s", id, s.id)
		s.crash()
		panic(http.ErrAbortHandler)
	}
	time.Sleep(s.work)
	w.Header().Set("Response-Signature", "sig."+id)
	_, _ = fmt.Fprintf(w, "done %s %d", id, len(body))
}

func (s *server) currentState() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state
}

// crash ends the server without a word.
func (s *server) crash() {
	s.mu.Lock()
	if s.down {
		s.mu.Unlock()
		return
	}
	s.down = true
	if !s.silent {
		s.silent = true
		close(s.stopBeat)
	}
	s.mu.Unlock()
	_ = s.listener.Close()
	_ = s.http.Close()
	logf("server %s is down", s.id)
}

func (s *server) beats() {
	s.beat()
	t := time.NewTicker(1500 * time.Millisecond)
	defer t.Stop()
	for {
		select {
		case <-s.stopBeat:
			return
		case <-t.C:
			s.beat()
		}
	}
}

// lateBeat makes a heartbeat now and returns the function that lets it arrive.
func (s *server) lateBeat() (arrive func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sequence++
	text, err := json.Marshal(map[string]any{
		"service": s.service, "address": s.node.target, "zone": s.node.zone, "version": "v1", "slots": s.slots, "state": s.state,
		"cold_left_s": 0, "sequence": s.sequence, "born": s.born,
	})
	must(err)
	state, sequence := s.state, s.sequence
	logf("server %s sends %s (born %d, sequence %d), which is delayed", s.id, state, s.born, sequence)
	return func() {
		status := post("http://"+s.node.control+"/chestnutshed/instances/"+s.id+"/heartbeat", text)
		logf("the delayed heartbeat of server %s arrives (%s, sequence %d): %d", s.id, state, sequence, status)
	}
}

// beat sends one heartbeat and reports whether it was acknowledged.
func (s *server) beat() bool {
	s.mu.Lock()
	s.sequence++
	text, err := json.Marshal(map[string]any{
		"service": s.service, "address": s.node.target, "zone": s.node.zone, "version": "v1", "slots": s.slots, "state": s.state,
		"cold_left_s": 0, "sequence": s.sequence, "born": s.born,
	})
	state, sequence := s.state, s.sequence
	s.mu.Unlock()
	must(err)
	status := post("http://"+s.node.control+"/chestnutshed/instances/"+s.id+"/heartbeat", text)
	logf("server %s says %s (born %d, sequence %d): %d", s.id, state, s.born, sequence, status)
	return status/100 == 2
}

// leave says that the server leaves, until that is acknowledged, and returns when it was.
func (s *server) leave() (acknowledged time.Time, ok bool) {
	s.mu.Lock()
	s.state = "draining"
	s.mu.Unlock()
	for range 5 {
		if s.beat() {
			return time.Now(), true
		}
		time.Sleep(300 * time.Millisecond)
	}
	return time.Time{}, false
}

// deregister signs off and returns the status of the answer.
func (s *server) deregister() int {
	text, _ := json.Marshal(map[string]any{"born": s.born})
	status := post("http://"+s.node.control+"/chestnutshed/instances/"+s.id+"/deregister", text)
	logf("server %s signs off: %d", s.id, status)
	return status
}

// quiet ends the heartbeats of a server that goes on serving. It says that it leaves only in
// its health answers.
func (s *server) quiet() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state = "draining"
	if !s.silent {
		s.silent = true
		close(s.stopBeat)
	}
}

// post returns the status of the answer, 0 without one within a second.
func post(url string, body []byte) int {
	c := http.Client{Timeout: time.Second}
	resp, err := c.Post(url, "application/json", bytes.NewReader(body))
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode
}

var (
	idMu   sync.Mutex
	lastID int
)

func nextID() string {
	idMu.Lock()
	defer idMu.Unlock()
	lastID++
	return fmt.Sprintf("%016x", 0xabc0000+lastID)
}

// ask sends one client attempt to a node on a new connection, and returns its id and the
// status of the answer, 0 without one.
func ask(n *node, method, host, path, key string, body []byte, deadline time.Duration) (id string, status int) {
	id = nextID()
	req, err := http.NewRequest(method, "http://"+n.callers+path, bytes.NewReader(body))
	must(err)
	req.Host = host
	req.Header.Set("Request-Id", id)
	req.Header.Set("Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	if key != "" {
		req.Header.Set("Authorization", "Bearer "+key)
	}
	logf("client sends %s %s %s to %s", id, method, path, n.name)
	c := http.Client{Timeout: deadline, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Do(req)
	if err != nil {
		logf("client gets no answer to %s: %v", id, err)
		return id, 0
	}
	defer resp.Body.Close()
	text, _ := io.ReadAll(resp.Body)
	logf("client gets %d to %s, signature %q, body %.60q", resp.StatusCode, id, resp.Header.Get("Response-Signature"), text)
	return id, resp.StatusCode
}
