// Package target is a stand-in for a back end beside a node. It announces itself
// to the node, simulates slots and service times, calls other services, and has
// faults that are set over HTTP.
package target

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"chestnutshed.example/chestnutshed/internal/standin/broken"
	"chestnutshed.example/chestnutshed/internal/standin/deployment"
	"chestnutshed.example/chestnutshed/internal/traffic/serve"
	"chestnutshed.example/chestnutshed/internal/traffic/wire"
	"github.com/google/uuid"
)

const (
	// announceInterval is the time between two announcements to the node.
	announceInterval = 500 * time.Millisecond
	// warmUpFactor multiplies the service time during the warm-up.
	warmUpFactor = 3
	// maxRecords bounds the number of requests kept in memory.
	maxRecords = 200000
	// crashMarker in the body or query of a request makes the target crash if
	// Faults.Crash is set.
	crashMarker = "crash-the-target"
)

// Config is the configuration of a target.
type Config struct {
	Service     string
	Address     string
	Node        string
	Slots       int
	Connections int
	ServiceTime time.Duration
	// WarmUp is the time after the start during which service times are
	// multiplied by warmUpFactor.
	WarmUp time.Duration
	Calls  []deployment.Call
	Echo   bool
	// Journal is a file to which every request is appended before it runs. It
	// stays after the target has exited.
	Journal string
	// Exit is called at a crash. Nil exits the process with code 1.
	Exit func()
}

// Faults are the faults that a target simulates. The zero value has none.
type Faults struct {
	// SlowFactor multiplies the service time. Values below 1 mean 1.
	SlowFactor float64 `json:"slow"`
	// FailStatus is the status of every response if it isn't 0.
	FailStatus int `json:"fail"`
	// Truncate ends responses before their declared length.
	Truncate bool `json:"cut"`
	// WrongEcho echoes a random request ID instead of the request's own.
	WrongEcho bool `json:"cross"`
	// ResponseSize is the size of response bodies, in bytes. 0 is the usual body.
	ResponseSize int `json:"huge"`
	// Crash makes the target crash at a request that contains crashMarker.
	Crash bool `json:"crash"`
	// InvertHealth makes the health endpoint report the opposite state.
	InvertHealth bool `json:"lie"`
	// CallRepeats is how often the target sends each inner call. 0 means once.
	CallRepeats int `json:"repeat"`
	// AnnounceLeaving announces that the target is leaving.
	AnnounceLeaving bool `json:"leave"`
	// Hold blocks requests until it is unset.
	Hold bool `json:"hold"`
	// Answer is sent in place of each response once the headers of the request are read.
	Answer *broken.Answer `json:"answer"`
}

// Record is one request that the target received.
type Record struct {
	At     time.Time `json:"at"`
	Method string    `json:"method"`
	Path   string    `json:"path"`
	Root   string    `json:"root"`
	Body   string    `json:"body"`
	// Headers are all headers as text. Tests search them for headers that must not
	// reach a target.
	Headers string `json:"head"`
}

// Target is a stand-in for a back end.
type Target struct {
	config   Config
	instance string
	client   *http.Client
	server   *http.Server
	started  time.Time
	slots    chan struct{}

	mu            sync.Mutex
	faults        Faults
	faultsChanged chan struct{}
	records       []Record
}

// New returns a target that isn't running yet; see Run.
func New(c Config) *Target {
	if c.Exit == nil {
		c.Exit = func() { os.Exit(1) }
	}
	return &Target{
		config:        c,
		instance:      uuid.NewString(),
		client:        &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: c.Slots}},
		slots:         make(chan struct{}, c.Slots),
		faultsChanged: make(chan struct{}),
	}
}

// SetFaults replaces the faults. It wakes requests that Hold blocks.
func (t *Target) SetFaults(f Faults) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.faults = f
	close(t.faultsChanged)
	t.faultsChanged = make(chan struct{})
}

func (t *Target) currentFaults() (Faults, <-chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.faults, t.faultsChanged
}

// Records returns the first maxRecords requests that the target received.
func (t *Target) Records() []Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]Record(nil), t.records...)
}

// Run announces the target and serves requests until ctx ends. It returns an error
// if it can't listen or the server fails.
func (t *Target) Run(ctx context.Context) error {
	listener, err := net.Listen("tcp", t.config.Address)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	t.started = time.Now()
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /standin/faults", t.serveFaults)
	mux.HandleFunc("GET /standin/records", func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(t.Records())
	})
	mux.HandleFunc("GET /standin/health", t.serveHealth)
	mux.HandleFunc("/", t.serve)
	t.server = &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second}
	go t.announce(ctx)
	go func() {
		<-ctx.Done()
		_ = t.server.Close()
	}()
	if err := t.server.Serve(listener); ctx.Err() == nil {
		return fmt.Errorf("serve: %w", err)
	}
	return nil
}

func (t *Target) serveFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	t.SetFaults(f)
}

func (t *Target) serveHealth(w http.ResponseWriter, _ *http.Request) {
	f, _ := t.currentFaults()
	if (f.FailStatus != 0) != f.InvertHealth {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// announce sends an announcement to the node at every interval until ctx ends.
func (t *Target) announce(ctx context.Context) {
	ticker := time.NewTicker(announceInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		f, _ := t.currentFaults()
		t.sendAnnouncement(ctx, serve.Announcement{
			Service:     t.config.Service,
			Instance:    t.instance,
			Address:     t.config.Address,
			Slots:       t.config.Slots,
			Connections: t.config.Connections,
			Echo:        t.config.Echo,
			Leaving:     f.AnnounceLeaving,
		})
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
	}
}

// sendAnnouncement ignores errors: the next interval sends again.
func (t *Target) sendAnnouncement(ctx context.Context, a serve.Announcement) {
	body, err := json.Marshal(a)
	if err != nil {
		return
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+t.config.Node+"/chestnut/announce", bytes.NewReader(body))
	if err != nil {
		return
	}
	resp, err := t.client.Do(req)
	if err != nil {
		return
	}
	_ = resp.Body.Close()
}

// serve handles a request from the node.
func (t *Target) serve(w http.ResponseWriter, r *http.Request) {
	if f, _ := t.currentFaults(); f.Answer != nil {
		t.record(r, nil)
		f.Answer.WithID(r.Header.Get(wire.EchoHeader)).Hijack(w)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	t.record(r, body)
	f, changed := t.currentFaults()
	t.echo(w, r, f)
	if f.Crash && strings.Contains(string(body)+r.URL.RawQuery, crashMarker) {
		_ = t.server.Close()
		t.config.Exit()
		return
	}
	select {
	case t.slots <- struct{}{}:
		defer func() { <-t.slots }()
	case <-r.Context().Done():
		return
	}
	for f.Hold {
		select {
		case <-r.Context().Done():
			return
		case <-changed:
			f, changed = t.currentFaults()
		}
	}
	if !t.work(r.Context(), f) || !t.makeCalls(r, f, w) {
		return
	}
	t.respond(w, r, f, body)
}

// echo returns the request ID in a response header, or a random one for the fault
// WrongEcho.
func (t *Target) echo(w http.ResponseWriter, r *http.Request, f Faults) {
	echo := r.Header.Get(wire.EchoHeader)
	if f.WrongEcho {
		echo = uuid.NewString()
	}
	if t.config.Echo {
		w.Header().Set(wire.EchoHeader, echo)
	}
}

func (t *Target) record(r *http.Request, body []byte) {
	var head strings.Builder
	_ = r.Header.Write(&head)
	rec := Record{time.Now(), r.Method, r.URL.Path, r.Header.Get(wire.RootHeader), string(body), head.String()}
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.records) < maxRecords {
		t.records = append(t.records, rec)
	}
	if t.config.Journal != "" {
		t.appendJournal(rec)
	}
}

// appendJournal appends a record to the journal as a line of JSON.
func (t *Target) appendJournal(rec Record) {
	line, err := json.Marshal(rec)
	if err != nil {
		return
	}
	f, err := os.OpenFile(t.config.Journal, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return
	}
	_, _ = f.Write(append(line, '\n'))
	_ = f.Close()
}

// ReadJournal returns the records in a journal file, none if the file doesn't
// exist.
func ReadJournal(path string) ([]Record, error) {
	text, err := os.ReadFile(path)
	if os.IsNotExist(err) {
		return nil, nil
	}
	if err != nil {
		return nil, fmt.Errorf("read journal: %w", err)
	}
	var records []Record
	for line := range bytes.Lines(text) {
		var rec Record
		if err := json.Unmarshal(line, &rec); err != nil {
			return nil, fmt.Errorf("read journal: %w", err)
		}
		records = append(records, rec)
	}
	return records, nil
}

// work waits for the service time: half of the mean plus an exponential part with
// half of the mean. It reports false if ctx ends first.
func (t *Target) work(ctx context.Context, f Faults) bool {
	factor := max(f.SlowFactor, 1)
	if time.Since(t.started) < t.config.WarmUp {
		factor *= warmUpFactor
	}
	d := time.Duration(float64(t.config.ServiceTime) * factor * (0.5 + 0.5*rand.ExpFloat64()))
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// makeCalls makes the inner calls of a request. If one fails, it writes an error
// response and reports false.
func (t *Target) makeCalls(r *http.Request, f Faults, w http.ResponseWriter) bool {
	for _, c := range t.config.Calls {
		if !strings.HasPrefix(r.URL.Path, c.PathPrefix) {
			continue
		}
		status := http.StatusBadGateway
		for range max(1, f.CallRepeats) {
			if status = t.sendCall(r, c); status < http.StatusInternalServerError && f.CallRepeats == 0 {
				break
			}
		}
		if status >= http.StatusBadRequest {
			http.Error(w, "inner call failed", http.StatusBadGateway)
			return false
		}
	}
	return true
}

// sendCall makes one inner call through the node and returns its status, 502 if
// there was no response.
func (t *Target) sendCall(r *http.Request, c deployment.Call) int {
	req, err := http.NewRequestWithContext(r.Context(), c.Method, "http://"+t.config.Node+c.Path, nil)
	if err != nil {
		return http.StatusBadGateway
	}
	req.Header.Set(wire.TokenHeader, r.Header.Get(wire.TokenHeader))
	resp, err := t.client.Do(req)
	if err != nil {
		return http.StatusBadGateway
	}
	defer func() { _ = resp.Body.Close() }()
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode
}

// respond writes service, path and request body, so callers can check that the
// response belongs to their request.
func (t *Target) respond(w http.ResponseWriter, r *http.Request, f Faults, body []byte) {
	if f.FailStatus != 0 {
		http.Error(w, "simulated failure", f.FailStatus)
		return
	}
	text := fmt.Sprintf("%s %s %s", t.config.Service, r.URL.Path, body)
	if f.ResponseSize > 0 {
		text = strings.Repeat("x", f.ResponseSize)
	}
	if f.Truncate {
		w.Header().Set("Content-Length", fmt.Sprint(len(text)+10))
		_, _ = io.WriteString(w, text)
		panic(http.ErrAbortHandler)
	}
	_, _ = io.WriteString(w, text)
}
