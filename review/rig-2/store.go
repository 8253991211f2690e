package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// object is an object of the platform's store.
type object struct {
	kind, name string
	revision   uint64
	created    uint64
	spec       json.RawMessage
	status     json.RawMessage
}

func (o object) text() json.RawMessage {
	spec, status := o.spec, o.status
	if spec == nil {
		spec = json.RawMessage("null")
	}
	if status == nil {
		status = json.RawMessage("null")
	}
	return json.RawMessage(fmt.Sprintf(`{"metadata":{"name":%q,"revision":%d,"created":%d,"finalizers":[],"deletion_pending":false},"spec":%s,"status":%s}`,
		o.name, o.revision, o.created, spec, status))
}

type event struct {
	object  object
	deleted bool
	at      time.Time
}

// store is a stand-in for the platform's store, as PROTOCOL.md describes it. It keeps all
// of its history and loses nothing but in a drill, as the eighth letter describes it.
type store struct {
	address string

	mu       sync.Mutex
	revision uint64
	objects  map[string]object
	events   []event
	changed  chan struct{}
	// away is set while the store is away; era is how often it came back from a copy.
	away bool
	era  int
	// operator has what the operator wrote, by kind and name.
	operator map[string]string
}

// leave makes the store go away: it answers no call, and waiting ones are cut off.
func (s *store) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = true
	close(s.changed)
	s.changed = make(chan struct{})
}

// restore brings the store back from the copy that it was at a time. The operator's objects
// are written again.
func (s *store) restore(at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := s.events
	s.revision, s.objects, s.events = 1, map[string]object{}, nil
	for _, e := range all {
		if e.at.After(at) {
			break
		}
		key := e.object.kind + "/" + e.object.name
		s.revision = e.object.revision
		s.objects[key] = e.object
		if e.deleted {
			delete(s.objects, key)
		}
		s.events = append(s.events, e)
	}
	for key, spec := range s.operator {
		kind, name, _ := strings.Cut(key, "/")
		s.save(kind, name, json.RawMessage(spec))
	}
	s.era++
	s.away = false
}

func startStore(ip string) *store {
	s := &store{revision: 1, objects: map[string]object{}, changed: make(chan struct{}), operator: map[string]string{}}
	l, err := net.Listen("tcp", ip+":0")
	must(err)
	s.address = l.Addr().String()
	go func() { _ = http.Serve(l, s) }()
	return s
}

// put writes an object as the operator does.
func (s *store) put(kind, name, spec string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.operator[kind+"/"+name] = spec
	s.save(kind, name, json.RawMessage(spec))
}

func (s *store) save(kind, name string, spec json.RawMessage) object {
	key := kind + "/" + name
	o, ok := s.objects[key]
	if ok && string(o.spec) == string(spec) {
		return o
	}
	s.revision++
	if !ok {
		o = object{kind: kind, name: name, created: s.revision}
	}
	o.revision, o.spec = s.revision, spec
	s.objects[key] = o
	s.publish(event{o, false, time.Now()})
	return o
}

func (s *store) publish(e event) {
	s.events = append(s.events, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	path, ok := strings.CutPrefix(r.URL.Path, "/chestnutshed/objects/")
	if !ok {
		http.NotFound(w, r)
		return
	}
	kind, name, _ := strings.Cut(path, "/")
	s.mu.Lock()
	away := s.away
	w.Header().Set("Store-Era", strconv.Itoa(s.era))
	s.mu.Unlock()
	if away {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	if r.Method == http.MethodGet {
		s.read(w, r, kind, name)
		return
	}
	s.write(w, r, kind, name)
}

func (s *store) read(w http.ResponseWriter, r *http.Request, kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	query := r.URL.Query()
	switch {
	case query.Get("watch") != "":
		since, _ := strconv.ParseUint(query.Get("watch"), 10, 64)
		if since > s.revision {
			w.WriteHeader(http.StatusGone)
			return
		}
		wait, _ := strconv.Atoi(query.Get("wait_ms"))
		era := s.era
		found := s.wait(r, kind, since, time.Duration(min(wait, 30000))*time.Millisecond)
		if s.away || s.era != era {
			panic(http.ErrAbortHandler)
		}
		list := []string{}
		for _, e := range found {
			list = append(list, fmt.Sprintf(`{"deleted":%v,"object":%s}`, e.deleted, e.object.text()))
		}
		_, _ = fmt.Fprintf(w, `{"events":[%s],"current_rev":%d}`, strings.Join(list, ","), s.revision)
	case name != "":
		o, ok := s.objects[kind+"/"+name]
		if !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		_, _ = w.Write(o.text())
	default:
		var found []object
		for _, o := range s.objects {
			if o.kind == kind && o.name > query.Get("after") {
				found = append(found, o)
			}
		}
		sort.Slice(found, func(i, j int) bool { return found[i].name < found[j].name })
		list := []string{}
		for _, o := range found {
			list = append(list, string(o.text()))
		}
		_, _ = fmt.Fprintf(w, `{"items":[%s],"has_more":false,"current_rev":%d}`, strings.Join(list, ","), s.revision)
	}
}

// wait returns the events of a kind after a revision, and waits for the first one. The
// mutex is released meanwhile.
func (s *store) wait(r *http.Request, kind string, since uint64, limit time.Duration) []event {
	end := time.After(limit)
	for {
		var found []event
		for _, e := range s.events {
			if e.object.kind == kind && e.object.revision > since {
				found = append(found, e)
			}
		}
		if len(found) > 0 {
			return found
		}
		changed := s.changed
		s.mu.Unlock()
		over := false
		select {
		case <-changed:
		case <-end:
			over = true
		case <-r.Context().Done():
			over = true
		}
		s.mu.Lock()
		if over || s.away {
			return nil
		}
	}
}

func (s *store) write(w http.ResponseWriter, r *http.Request, kind, name string) {
	var body struct {
		Metadata struct {
			Name     string `json:"name"`
			Revision uint64 `json:"revision"`
		} `json:"metadata"`
		Spec   json.RawMessage `json:"spec"`
		Status json.RawMessage `json:"status"`
	}
	_ = json.NewDecoder(r.Body).Decode(&body)
	s.mu.Lock()
	defer s.mu.Unlock()
	name, isStatus := strings.CutSuffix(name, "/status")
	if r.Method == http.MethodPost {
		name = body.Metadata.Name
	}
	revision := body.Metadata.Revision
	if n, err := strconv.ParseUint(r.URL.Query().Get("revision"), 10, 64); err == nil {
		revision = n
	}
	o, exists := s.objects[kind+"/"+name]
	switch {
	case r.Method == http.MethodPost && exists, exists && revision != 0 && revision != o.revision:
		w.WriteHeader(http.StatusConflict)
		_, _ = w.Write(o.text())
	case r.Method != http.MethodPost && !exists:
		w.WriteHeader(http.StatusNotFound)
	case r.Method == http.MethodDelete:
		delete(s.objects, kind+"/"+name)
		s.revision++
		o.revision = s.revision
		s.publish(event{o, true, time.Now()})
		_, _ = w.Write([]byte("{}"))
	case isStatus:
		s.revision++
		o.revision, o.status = s.revision, body.Status
		s.objects[kind+"/"+name] = o
		s.publish(event{o, false, time.Now()})
		_, _ = w.Write(o.text())
	default:
		_, _ = w.Write(s.save(kind, name, body.Spec).text())
	}
}
