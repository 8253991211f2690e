// Package evacuation keeps the availability zones that operators have evacuated: no
// target there gets work until its zone is taken back.
//
// The store's word is the truth. One node of each zone waits at the store for changes,
// the next one takes over when the news of the first get old. All others hear of it with
// the probes of the membership, and directly when the set changes. What is known is
// ordered by the era and the revision of the store, so that late news never undo newer.
package evacuation

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"chestnutshed.example/chestnutshed/internal/core/backoff"
	"chestnutshed.example/chestnutshed/internal/core/clock"
	"chestnutshed.example/chestnutshed/internal/core/kernel"
	"chestnutshed.example/chestnutshed/internal/core/poll"
	"chestnutshed.example/chestnutshed/internal/fleet/era"
	"github.com/goccy/go-json"
	"github.com/sirupsen/logrus"
)

// Name is the name of the service in the kernel and in logs, and of its topic.
const Name = "evacuation"

const (
	// Fractions of the time within which an evacuation must be in force.

	// watchFraction is the wait of one long poll of the store.
	watchFraction = 0.3
	// firstRankFraction is the age of what is known at which the node of rank 0 in a
	// zone asks the store. Each further rank waits rankStepFraction longer.
	firstRankFraction = 0.05
	rankStepFraction  = 0.45

	// minBackoff and maxBackoff limit the backoff after a failed call, before jitter.
	minBackoff = 200 * time.Millisecond
	maxBackoff = 2 * time.Second
	// A new process asks the store itself if it has not heard from a peer by then: after
	// helloTime and a random part of it.
	helloTime = 400 * time.Millisecond
	// maxUnknown is how long a new process takes no work for its target while neither a
	// peer nor the store has told it which zones are evacuated.
	maxUnknown = 2 * time.Second
	// fanout is the number of peers that a change is sent to directly.
	fanout = 4
	// maxZones bounds the zones in one datagram, and maxNameBytes their names.
	maxZones     = 64
	maxNameBytes = 128
)

// View is the set of evacuated availability zones at one revision of the store. It is
// immutable.
type View struct {
	// Era rises when the store comes back from an older copy. Revisions are ordered
	// within an era.
	Era uint64 `json:"era,omitempty"`
	// Revision is 0 while nothing is known.
	Revision uint64 `json:"rev"`
	// Zones are sorted.
	Zones []string `json:"zones,omitempty"`
}

// NewerThan reports whether a view is of a later revision than another one.
func (v View) NewerThan(other View) bool {
	return cmp.Or(cmp.Compare(v.Era, other.Era), cmp.Compare(v.Revision, other.Revision)) > 0
}

// WithZones returns the view of a set of zones at a revision. Names that are not valid
// are left out; it reports their number.
func (v View) WithZones(revision uint64, zones []string) (View, int) {
	valid := slices.DeleteFunc(slices.Clone(zones), func(z string) bool { return !validZone(z) })
	slices.Sort(valid)
	v.Revision, v.Zones = revision, slices.Compact(valid)
	return v, len(zones) - len(valid)
}

// WithChanges returns the view after changes, in their order.
func (v View) WithChanges(revision uint64, changes []Change) View {
	zones := slices.Clone(v.Zones)
	for _, c := range changes {
		zones = slices.DeleteFunc(zones, func(z string) bool { return z == c.Zone })
		if c.Evacuated {
			zones = append(zones, c.Zone)
		}
	}
	v, _ = v.WithZones(revision, zones)
	return v
}

func validZone(name string) bool { return name != "" && len(name) <= maxNameBytes }

// Change is one evacuation that began or ended.
type Change struct {
	// Zone is empty if the store's word on it can't be read.
	Zone      string
	Evacuated bool
}

// Source is the store that holds the evacuations.
type Source interface {
	// Current lists the evacuated zones and the store's revision.
	Current(ctx context.Context) (zones []string, revision uint64, err error)
	// Changes waits up to wait for changes after revision since.
	Changes(ctx context.Context, since uint64, wait time.Duration) (changes []Change, revision uint64, err error)
}

// Fleet knows the other nodes.
type Fleet interface {
	// ConfirmRank returns the node's rank among the running nodes of its availability
	// zone, 0 first.
	ConfirmRank(now time.Time) int
	// Running lists the running members.
	Running(now time.Time) (ids []string, known int)
	// Send sends a message of a topic to a member.
	Send(now time.Time, id, topic string, body any) error
}

// closed is the set of zones that get no work. It is immutable.
type closed struct {
	view View
	// held are zones that were evacuated before the store came back from an older copy,
	// until heldUntil: operators write again what the copy lacks.
	held      []string
	heldUntil time.Time
}

func (c *closed) has(now time.Time, zone string) bool {
	return slices.Contains(c.view.Zones, zone) || (now.Before(c.heldUntil) && slices.Contains(c.held, zone))
}

// Service keeps the evacuated zones that a node knows. It is safe for concurrent use.
type Service struct {
	source Source
	// bound is the time within which an evacuation must be in force; 0 if the deployment
	// has no evacuations.
	bound   time.Duration
	zone    string
	fleet   Fleet
	eras    *era.Tracker
	started time.Time
	log     *logrus.Entry
	current atomic.Pointer[closed]
	calls   atomic.Uint64

	mu sync.Mutex
	// confirmedAt is as of when the current view is known to be the newest.
	confirmedAt time.Time
	// relist is set when the next call lists all zones.
	relist  bool
	backoff backoff.Backoff
}

// New returns the service of a node in a zone, whose process starts now. Bound is the
// time within which an evacuation must be in force, 0 for none. Eras has the era of each
// answer of the source before the source returns it.
func New(now time.Time, zone string, bound time.Duration, source Source, fleet Fleet, eras *era.Tracker, log *logrus.Entry) *Service {
	s := &Service{source: source, bound: bound, zone: zone, fleet: fleet, eras: eras, started: now, log: log, relist: true, backoff: backoff.New(minBackoff, maxBackoff)}
	s.current.Store(&closed{})
	return s
}

// Active reports whether the deployment has evacuations.
func (s *Service) Active() bool { return s.bound > 0 }

// Has reports whether a zone is evacuated.
func (s *Service) Has(now time.Time, zone string) bool { return s.current.Load().has(now, zone) }

// Any reports whether any zone may be evacuated.
func (s *Service) Any() bool {
	c := s.current.Load()
	return len(c.view.Zones)+len(c.held) > 0
}

// Count returns the number of evacuated zones.
func (s *Service) Count(now time.Time) int {
	c := s.current.Load()
	n := len(c.view.Zones)
	for _, zone := range c.held {
		if now.Before(c.heldUntil) && !slices.Contains(c.view.Zones, zone) {
			n++
		}
	}
	return n
}

// Status is the state of an availability zone.
type Status int

// The states of a zone. Targets get work only in an open one.
const (
	Open Status = iota
	Unknown
	Evacuated
)

// String returns the name shown to operators.
func (s Status) String() string { return [...]string{"open", "unknown", "evacuated"}[s] }

// OwnZone returns the state of the node's own zone. It is unknown only in the first
// maxUnknown of the process.
func (s *Service) OwnZone(now time.Time) Status {
	c := s.current.Load()
	switch {
	case !s.Active():
		return Open
	case c.has(now, s.zone):
		return Evacuated
	case c.view.Revision == 0 && now.Sub(s.started) < maxUnknown:
		return Unknown
	}
	return Open
}

// RecordEra records that the store has come back from an older copy, if the era is later
// than the known one. Zones that were evacuated then stay so for a while, since operators
// write again what the copy lacks.
func (s *Service) RecordEra(now time.Time, era uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	view := s.current.Load().view
	if era <= view.Era {
		return
	}
	s.replace(now, View{Era: era, Zones: view.Zones}, "new era of the store")
	s.relist, s.confirmedAt = true, time.Time{}
}

// adopt uses a view that was the newest at a time, unless a newer one is known. It
// reports whether the set of zones changed.
func (s *Service) adopt(now, at time.Time, v View, from string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	known := s.current.Load().view
	if known.NewerThan(v) {
		return false
	}
	changed := false
	if v.NewerThan(known) {
		changed = s.replace(now, v, from)
	}
	if at.After(s.confirmedAt) {
		s.confirmedAt = at
	}
	return changed
}

// replace makes a view the current one, and reports whether the set of zones changed. The
// caller holds the mutex.
func (s *Service) replace(now time.Time, v View, from string) bool {
	before := s.current.Load()
	next := &closed{view: v, held: before.held, heldUntil: before.heldUntil}
	if v.Era > before.view.Era && before.view.Revision > 0 {
		next.held, next.heldUntil = before.view.Zones, now.Add(s.bound)
	}
	s.current.Store(next)
	if slices.Equal(before.view.Zones, v.Zones) {
		return false
	}
	s.log.WithFields(logrus.Fields{
		"zones": v.Zones, "was": before.view.Zones, "revision": v.Revision, "era": v.Era, "from": from,
	}).Info("evacuated availability zones changed")
	return true
}

// Name implements kernel.Service.
func (s *Service) Name() string { return Name }

// Start implements kernel.Service.
func (s *Service) Start(_ context.Context, k *kernel.Kernel) error {
	if s.Active() {
		k.Go(s.pollLoop)
	}
	return nil
}

// Stop implements kernel.Service.
func (s *Service) Stop(context.Context) error { return nil }

// pollLoop asks the store whenever that is due.
func (s *Service) pollLoop(ctx context.Context) error {
	kernel.Pause(ctx, helloTime+rand.N(helloTime))
	due := func(now time.Time) bool { return s.due(now, s.fleet.ConfirmRank(now)) }
	poll.Loop(ctx, due, s.poll, s.recordResult)
	return nil
}

// due reports whether to ask the store now.
func (s *Service) due(now time.Time, rank int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case !s.backoff.Due(now):
		return false
	case s.current.Load().view.Revision == 0:
		return true
	}
	return now.Sub(s.confirmedAt) > s.fraction(firstRankFraction+float64(rank)*rankStepFraction)
}

func (s *Service) fraction(f float64) time.Duration { return time.Duration(f * float64(s.bound)) }

// poll makes one call to the store and applies the result.
func (s *Service) poll(ctx context.Context) error {
	wait := s.fraction(watchFraction)
	ctx, cancel := context.WithTimeout(ctx, wait+poll.CallTimeout)
	defer cancel()
	s.mu.Lock()
	view, list := s.current.Load().view, s.relist
	s.mu.Unlock()
	s.calls.Add(1)
	sent := clock.Now()
	if list || view.Revision == 0 {
		return s.list(ctx, sent, view)
	}
	changes, revision, err := s.source.Changes(ctx, view.Revision, wait)
	if err != nil {
		return fmt.Errorf("watch evacuations: %w", err)
	}
	if number, _ := s.eras.Current().Number(); number > view.Era {
		// The revision may have been given out again, so changes before it may be missing.
		s.RecordEra(clock.Now(), number)
		return nil
	}
	if slices.ContainsFunc(changes, func(c Change) bool { return !validZone(c.Zone) }) {
		s.log.WithField("revision", revision).Warn("evacuation that can't be read; listing all")
		s.setRelist(true)
		return nil
	}
	s.learn(clock.Now(), sent, view.WithChanges(revision, changes))
	return nil
}

// list reads all evacuated zones.
func (s *Service) list(ctx context.Context, sent time.Time, view View) error {
	zones, revision, err := s.source.Current(ctx)
	if err != nil {
		return fmt.Errorf("list evacuations: %w", err)
	}
	if number, _ := s.eras.Current().Number(); number > view.Era {
		view.Era = number
	}
	next, invalid := view.WithZones(revision, zones)
	if invalid > 0 {
		s.log.WithField("count", invalid).Warn("evacuations without a readable zone ignored")
	}
	s.setRelist(false)
	s.learn(clock.Now(), sent, next)
	return nil
}

// learn uses what the store said, and sends it on if the set of zones changed.
func (s *Service) learn(now, sent time.Time, v View) {
	if s.adopt(now, sent, v, "store") {
		s.spread(now)
	}
}

func (s *Service) setRelist(list bool) {
	s.mu.Lock()
	s.relist = list
	s.mu.Unlock()
}

// recordResult logs changes between reachable and failing, and sets the backoff with
// jitter after an error. After an error all zones are listed: the store may no longer
// have the revision.
func (s *Service) recordResult(now time.Time, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err == nil {
		if s.backoff.Failing() {
			s.log.Info("store tells evacuations again")
		}
		s.backoff = s.backoff.WithSuccess()
		return
	}
	if !s.backoff.Failing() {
		s.log.WithError(err).Warn("store does not tell evacuations")
	}
	s.relist = true
	s.backoff = s.backoff.WithFailure(now)
}

// note is a View between nodes. Age is the time since it was the newest, in milliseconds.
type note struct {
	View
	Age int64 `json:"age"`
}

// decodeNote decodes a peer's view, and as of when it was the newest.
func decodeNote(now time.Time, text []byte) (View, time.Time, error) {
	var n note
	if err := json.Unmarshal(text, &n); err != nil {
		return View{}, time.Time{}, fmt.Errorf("decode view: %w", err)
	}
	if n.Revision == 0 || n.Age < 0 || n.Age > time.Hour.Milliseconds() || len(n.Zones) > maxZones {
		return View{}, time.Time{}, fmt.Errorf("view of revision %d: a field is out of range", n.Revision)
	}
	v, invalid := n.View.WithZones(n.Revision, n.Zones)
	if invalid > 0 {
		return View{}, time.Time{}, fmt.Errorf("view of revision %d: a zone has no valid name", n.Revision)
	}
	return v, now.Add(-time.Duration(n.Age) * time.Millisecond), nil
}

// note returns what is known for other nodes, and false if nothing is.
func (s *Service) note(now time.Time) (note, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	view := s.current.Load().view
	if view.Revision == 0 {
		return note{}, false
	}
	return note{view, min(max(0, now.Sub(s.confirmedAt)), time.Hour).Milliseconds()}, true
}

// Note implements roster.Topic.
func (s *Service) Note() json.RawMessage {
	n, known := s.note(clock.Now())
	if !known || !s.Active() {
		return nil
	}
	text, err := json.Marshal(n)
	if err != nil {
		s.log.WithError(err).Error("could not encode evacuations")
		return nil
	}
	return text
}

// Noted implements roster.Topic.
func (s *Service) Noted(now time.Time, from string, text json.RawMessage) {
	if !s.Active() {
		return
	}
	v, at, err := decodeNote(now, text)
	if err != nil {
		s.log.WithError(err).WithField("member", from).Warn("evacuations of a peer ignored")
		return
	}
	if s.adopt(now, at, v, from) {
		s.spread(now)
	}
}

// Message implements roster.Topic. A message is the same as a note.
func (s *Service) Message(now time.Time, from string, body json.RawMessage) { s.Noted(now, from, body) }

// spread sends what is known to some peers.
func (s *Service) spread(now time.Time) {
	n, known := s.note(now)
	if !known {
		return
	}
	ids, _ := s.fleet.Running(now)
	rand.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
	for _, id := range ids[:min(fanout, len(ids))] {
		if err := s.fleet.Send(now, id, Name, n); err != nil {
			s.log.WithError(err).WithField("member", id).Debug("evacuations not sent")
		}
	}
}

// State implements kernel.Service.
func (s *Service) State() any {
	now := clock.Now()
	c := s.current.Load()
	s.mu.Lock()
	defer s.mu.Unlock()
	state := struct {
		View
		Held    []string `json:"held,omitempty"`
		OwnZone string   `json:"own"`
		Age     int64    `json:"age_ms"`
		Lost    bool     `json:"store_lost"`
		Calls   uint64   `json:"store_calls"`
	}{View: c.view, OwnZone: s.OwnZone(now).String(), Lost: s.backoff.Failing(), Calls: s.calls.Load()}
	if c.view.Revision > 0 {
		state.Age = now.Sub(s.confirmedAt).Milliseconds()
	}
	if now.Before(c.heldUntil) {
		state.Held = c.held
	}
	return state
}
