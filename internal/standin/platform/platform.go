// Package platform is a stand-in for the platform's object API, with faults that
// are set over HTTP.
package platform

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"chestnutshed.example/chestnutshed/internal/platform/object"
)

// maxWait bounds the time that a watch waits for a change.
const maxWait = time.Minute

// Faults are the faults that the platform simulates. The zero value has none.
type Faults struct {
	// Outage closes the connection of every call without a response.
	Outage bool `json:"outage"`
	// DelayMillis delays every call, in milliseconds.
	DelayMillis int `json:"slow"`
	// LoseResponses is the number of next writes that take effect, but whose
	// connection is closed without a response.
	LoseResponses int `json:"lose"`
}

// Counts are numbers of calls received.
type Counts struct {
	Reads   int `json:"reads"`
	Writes  int `json:"writes"`
	Watches int `json:"watches"`
}

// Platform is an in-memory object store.
type Platform struct {
	mu      sync.Mutex
	objects map[string]storedObject
	changed chan struct{}
	faults  Faults
	counts  Counts
}

type storedObject struct {
	version uint64
	value   []byte
}

// New returns a platform without objects.
func New() *Platform {
	return &Platform{objects: map[string]storedObject{}, changed: make(chan struct{})}
}

// SetFaults replaces the faults. It wakes waiting watches.
func (p *Platform) SetFaults(f Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
	p.wakeWatches()
}

// Counts returns the numbers of calls received so far.
func (p *Platform) Counts() Counts {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.counts
}

func (p *Platform) wakeWatches() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// Handler returns a handler for /objects/KEY, /faults and /counts.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /objects/{key...}", p.withFaults(p.get))
	mux.HandleFunc("PUT /objects/{key...}", p.withFaults(p.put))
	mux.HandleFunc("DELETE /objects/{key...}", p.withFaults(p.remove))
	mux.HandleFunc("PUT /faults", func(w http.ResponseWriter, r *http.Request) {
		var f Faults
		if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		p.SetFaults(f)
	})
	mux.HandleFunc("GET /counts", func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(p.Counts())
	})
	return mux
}

// withFaults applies delay and outage before it calls next.
func (p *Platform) withFaults(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		p.mu.Lock()
		f := p.faults
		p.mu.Unlock()
		if f.DelayMillis > 0 {
			select {
			case <-r.Context().Done():
			case <-time.After(time.Duration(f.DelayMillis) * time.Millisecond):
			}
		}
		if f.Outage {
			panic(http.ErrAbortHandler)
		}
		next(w, r)
	}
}

func (p *Platform) get(w http.ResponseWriter, r *http.Request) {
	key := r.PathValue("key")
	if key == "" {
		p.list(w, r.URL.Query().Get("prefix"))
		return
	}
	after, wait := parseWatch(r)
	p.mu.Lock()
	if wait > 0 {
		p.counts.Watches++
	} else {
		p.counts.Reads++
	}
	deadline := time.After(wait)
	for wait > 0 && p.objects[key].version <= after && !p.faults.Outage {
		changed := p.changed
		p.mu.Unlock()
		select {
		case <-changed:
		case <-deadline:
			wait = 0
		case <-r.Context().Done():
			wait = 0
		}
		p.mu.Lock()
	}
	s, ok := p.objects[key]
	outage := p.faults.Outage
	p.mu.Unlock()
	if outage {
		panic(http.ErrAbortHandler)
	}
	if !ok {
		http.Error(w, "object not found", http.StatusNotFound)
		return
	}
	w.Header().Set(object.VersionHeader, strconv.FormatUint(s.version, 10))
	_, _ = w.Write(s.value)
}

func parseWatch(r *http.Request) (uint64, time.Duration) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	wait, _ := time.ParseDuration(r.URL.Query().Get("wait"))
	return after, min(wait, maxWait)
}

func (p *Platform) list(w io.Writer, prefix string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.counts.Reads++
	var keys []string
	for key := range p.objects {
		if strings.HasPrefix(key, prefix) {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	_, _ = fmt.Fprintln(w, strings.Join(keys, "\n"))
}

func (p *Platform) put(w http.ResponseWriter, r *http.Request) {
	value, err := io.ReadAll(http.MaxBytesReader(w, r.Body, object.MaxSize))
	if err != nil {
		http.Error(w, "value is too large or truncated", http.StatusRequestEntityTooLarge)
		return
	}
	match, err := strconv.ParseUint(r.Header.Get("If-Match"), 10, 64)
	if err != nil {
		http.Error(w, "If-Match must be a version number", http.StatusBadRequest)
		return
	}
	version, ok, lost := p.compareAndSwap(r.PathValue("key"), value, match)
	if lost {
		panic(http.ErrAbortHandler)
	}
	if !ok {
		http.Error(w, "version conflict", http.StatusPreconditionFailed)
		return
	}
	w.Header().Set(object.VersionHeader, strconv.FormatUint(version, 10))
}

func (p *Platform) remove(w http.ResponseWriter, r *http.Request) {
	match, err := strconv.ParseUint(r.Header.Get("If-Match"), 10, 64)
	if err != nil {
		http.Error(w, "If-Match must be a version number", http.StatusBadRequest)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.counts.Writes++
	key := r.PathValue("key")
	if p.objects[key].version != match {
		http.Error(w, "version conflict", http.StatusPreconditionFailed)
		return
	}
	delete(p.objects, key)
	p.wakeWatches()
}

// compareAndSwap stores the value if the object has version match; 0 means that it
// doesn't exist. It reports lost if the response to this write is to be lost.
func (p *Platform) compareAndSwap(key string, value []byte, match uint64) (version uint64, ok, lost bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.counts.Writes++
	s := p.objects[key]
	if s.version != match {
		return 0, false, false
	}
	s = storedObject{version: s.version + 1, value: value}
	p.objects[key] = s
	p.wakeWatches()
	if p.faults.LoseResponses > 0 {
		p.faults.LoseResponses--
		return 0, false, true
	}
	return s.version, true, false
}
