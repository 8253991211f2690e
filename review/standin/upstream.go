package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// slots is how many requests an upstream runs at once.
	slots = 36
	// workTime is how long an upstream works on a request.
	workTime = 15 * time.Millisecond
	// beatInterval is the time between heartbeats.
	beatInterval = 1500 * time.Millisecond
	// ackTimeout is how long an upstream waits for the answer to a heartbeat.
	ackTimeout = time.Second
)

// run is a request that an upstream has begun to work on.
type run struct {
	id, instance, tenant string
	at                   time.Duration
}

// upstream stands in for an application upstream beside a node.
type upstream struct {
	record           *record
	service, control string
	address          string
	server           *http.Server

	running atomic.Int64

	mu       sync.Mutex
	id       string
	born     int64
	sequence int
	state    string
	beating  bool
	runs     []run
	// bodyBytes is how many bytes of bodies it has read.
	bodyBytes int64
}

// newUpstream listens at the address. It is not announced before beat.
func newUpstream(r *record, service, address, control string) (*upstream, error) {
	u := &upstream{record: r, service: service, address: address, control: control}
	if err := u.listen(); err != nil {
		return nil, err
	}
	go u.beatLoop()
	return u, nil
}

func (u *upstream) listen() error {
	l, err := net.Listen("tcp", u.address)
	if err != nil {
		return fmt.Errorf("listen for an upstream: %w", err)
	}
	server := &http.Server{Handler: u, IdleTimeout: 10 * time.Second}
	u.server = server
	go func() { _ = server.Serve(l) }()
	return nil
}

// crash ends an incarnation without a word: its port is closed, and its connections break.
func (u *upstream) crash() {
	u.setBeating(false)
	_ = u.server.Close()
	u.record.line("%s crashes", u.id)
}

// incarnate begins an incarnation with a new ID.
func (u *upstream) incarnate(id string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.id, u.born, u.sequence, u.state = id, time.Now().UnixMilli(), 0, "ready"
}

// setBeating starts or stops the regular heartbeats.
func (u *upstream) setBeating(on bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.beating = on
}

func (u *upstream) beatLoop() {
	for {
		u.mu.Lock()
		on := u.beating
		u.mu.Unlock()
		if on {
			u.deliver(u.nextBeat())
		}
		time.Sleep(beatInterval)
	}
}

// message is a call of an upstream about itself.
type message struct {
	path, what string
	body       []byte
}

// nextBeat returns the next heartbeat, as the upstream sends it now.
func (u *upstream) nextBeat() message {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.sequence++
	body, _ := json.Marshal(map[string]any{
		"service": u.service, "address": u.address, "zone": "z1", "version": "v1", "slots": slots,
		"state": u.state, "cold_left_s": 0, "sequence": u.sequence, "born": u.born,
	})
	return message{"/chestnutshed/instances/" + u.id + "/heartbeat", fmt.Sprintf("heartbeat %d of %s (%s)", u.sequence, u.id, u.state), body}
}

// leave returns the deregistration, as the upstream sends it now.
func (u *upstream) leave() message {
	u.mu.Lock()
	defer u.mu.Unlock()
	body, _ := json.Marshal(map[string]any{"born": u.born})
	return message{"/chestnutshed/instances/" + u.id + "/deregister", "deregistration of " + u.id, body}
}

// deliver delivers a call to the node and reports whether it was acknowledged.
func (u *upstream) deliver(m message) bool {
	client := http.Client{Timeout: ackTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Post("http://"+u.control+m.path, "application/json", bytes.NewReader(m.body))
	if err != nil {
		u.record.line("%s: not acknowledged", m.what)
		return false
	}
	_ = resp.Body.Close()
	u.record.line("%s: %d", m.what, resp.StatusCode)
	return resp.StatusCode/100 == 2
}

// ServeHTTP runs a request. The last part of its path is the size of the answer.
func (u *upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	u.mu.Lock()
	id := u.id
	u.mu.Unlock()
	h := w.Header()
	request := r.Header.Get("Request-Id")
	switch {
	case request == "":
		h.Set("Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	case r.Header.Get("Target-Instance") != "" && r.Header.Get("Target-Instance") != id:
		h.Set("Request-Id", request)
		h.Set("Instance-Id", id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	h.Set("Request-Id", request)
	running := u.running.Add(1)
	defer u.running.Add(-1)
	if running > slots {
		h.Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	n, err := io.Copy(io.Discard, r.Body)
	if err != nil {
		return
	}
	u.mu.Lock()
	u.bodyBytes += n
	u.runs = append(u.runs, run{request, id, r.Header.Get("Tenant"), u.record.since()})
	u.mu.Unlock()
	u.record.line("run %s by %s: %s %s, caller %s, tenant %s, %d bytes", request, id, r.Method, r.URL.Path, r.Header.Get("Caller-Service"), r.Header.Get("Tenant"), n)
	time.Sleep(workTime)
	size, _ := strconv.Atoi(r.URL.Path[strings.LastIndexByte(r.URL.Path, '/')+1:])
	h.Set("Response-Signature", "sig-"+request)
	h.Set("Server-Load", fmt.Sprintf("%d,0,%d", running, slots))
	h.Set("Content-Length", strconv.Itoa(size))
	_, _ = w.Write(bytes.Repeat([]byte("x"), size))
}

// runsAfter returns the runs of an incarnation after a time.
func (u *upstream) runsAfter(instance string, after time.Duration) []run {
	u.mu.Lock()
	defer u.mu.Unlock()
	var found []run
	for _, r := range u.runs {
		if r.instance == instance && r.at > after {
			found = append(found, r)
		}
	}
	return found
}

// ran reports whether a request has run.
func (u *upstream) ran(request string) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, r := range u.runs {
		if r.id == request {
			return true
		}
	}
	return false
}
