package main

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storeLatency is the time that the store takes for an answer.
const storeLatency = 4 * time.Millisecond

// object is an object of the store.
type object struct {
	Metadata struct {
		Name     string `json:"name"`
		Revision uint64 `json:"revision"`
	} `json:"metadata"`
	Spec   json.RawMessage `json:"spec"`
	Status json.RawMessage `json:"status"`
}

type change struct {
	revision uint64
	key      string
	deleted  bool
	object   object
}

// store stands in for the platform's metadata store. It keeps its whole history.
type store struct {
	mu       sync.Mutex
	revision uint64
	objects  map[string]object
	history  []change
	changed  chan struct{}
	server   *http.Server
	address  string
}

func startStore(ip string) (*store, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, fmt.Errorf("listen for the store: %w", err)
	}
	s := &store{revision: 1, objects: map[string]object{}, changed: make(chan struct{}), address: l.Addr().String()}
	s.server = &http.Server{Handler: s}
	go func() { _ = s.server.Serve(l) }()
	return s, nil
}

// put writes an object as the operator does. It returns when the write is acknowledged.
func (s *store) put(kind, name string, spec any) {
	text, _ := json.Marshal(spec)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.save(kind, name, text)
}

// save stores an object. The caller holds the mutex.
func (s *store) save(kind, name string, spec json.RawMessage) object {
	s.revision++
	var o object
	o.Metadata.Name, o.Metadata.Revision, o.Spec = name, s.revision, spec
	o.Status = json.RawMessage("null")
	s.objects[kind+"/"+name] = o
	s.publish(change{revision: s.revision, key: kind + "/" + name, object: o})
	return o
}

// publish adds a change to the history. The caller holds the mutex.
func (s *store) publish(c change) {
	s.history = append(s.history, c)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeLatency)
	key, ok := strings.CutPrefix(r.URL.Path, "/chestnutshed/objects/")
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	kind, name, single := strings.Cut(key, "/")
	switch {
	case r.Method == http.MethodGet && single:
		s.mu.Lock()
		o, found := s.objects[key]
		s.mu.Unlock()
		if !found {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		respond(w, http.StatusOK, o)
	case r.Method == http.MethodGet && r.URL.Query().Get("watch") != "":
		s.watch(w, r, kind)
	case r.Method == http.MethodGet:
		s.list(w, r, kind)
	default:
		s.write(w, r.Method, kind, name, body)
	}
}

func (s *store) write(w http.ResponseWriter, method, kind, name string, body []byte) {
	var sent object
	if method != http.MethodDelete && json.Unmarshal(body, &sent) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if method == http.MethodPost {
		name = sent.Metadata.Name
	}
	known, exists := s.objects[kind+"/"+name]
	switch {
	case method == http.MethodPost && exists:
		respond(w, http.StatusConflict, known)
	case method == http.MethodPost:
		respond(w, http.StatusCreated, s.save(kind, name, sent.Spec))
	case !exists:
		w.WriteHeader(http.StatusNotFound)
	case sent.Metadata.Revision != 0 && sent.Metadata.Revision != known.Metadata.Revision:
		respond(w, http.StatusConflict, known)
	case method == http.MethodPut:
		respond(w, http.StatusOK, s.save(kind, name, sent.Spec))
	case method == http.MethodDelete:
		s.revision++
		delete(s.objects, kind+"/"+name)
		s.publish(change{revision: s.revision, key: kind + "/" + name, deleted: true, object: known})
		respond(w, http.StatusOK, known)
	}
}

func (s *store) list(w http.ResponseWriter, r *http.Request, kind string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	items := []object{}
	for _, key := range slices.Sorted(maps.Keys(s.objects)) {
		if strings.HasPrefix(key, kind+"/") && key > kind+"/"+r.URL.Query().Get("after") {
			items = append(items, s.objects[key])
		}
	}
	respond(w, http.StatusOK, map[string]any{"items": items, "has_more": false, "current_rev": s.revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	since, _ := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	end := time.After(time.Duration(min(wait, 30000)) * time.Millisecond)
	for over := false; ; {
		s.mu.Lock()
		events := []map[string]any{}
		for _, c := range s.history {
			if c.revision > since && strings.HasPrefix(c.key, kind+"/") {
				events = append(events, map[string]any{"object": c.object, "deleted": c.deleted})
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 || over {
			respond(w, http.StatusOK, map[string]any{"events": events, "current_rev": revision})
			return
		}
		select {
		case <-changed:
		case <-end:
			over = true
		case <-r.Context().Done():
			return
		}
	}
}

func respond(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
