// Package roster keeps track of the nodes of the fleet by datagrams.
//
// Every node probes a few peers a second, whatever the size of the fleet: one
// of its zone, now and then one elsewhere. A peer that does not answer is
// doubted, and refutes that if it lives (the way of SWIM, Das et al. 2002).
// Changes of a record go out at once. Probes carry a digest of what is known;
// where two digests differ, members are named with the versions of their
// records, and a receiver asks for those that it lacks. Answers echo the time
// at which they were asked for, so that what they prove of the configuration
// is dated by the asker's clock.
package roster

import (
	"context"
	"crypto/rand"
	"fmt"
	mathrand "math/rand/v2"
	"net"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"chestnutshed.example/chestnutshed/internal/core/clock"
	"chestnutshed.example/chestnutshed/internal/core/kernel"
	"chestnutshed.example/chestnutshed/internal/fleet/liveness"
	"chestnutshed.example/chestnutshed/internal/fleet/member"
	"github.com/goccy/go-json"
	"github.com/sirupsen/logrus"
)

// Name of the service.
const Name = "roster"

const (
	// tick is the time between exchanges with a peer.
	tick = 250 * time.Millisecond
	// farEvery is the number of ticks between exchanges with another zone.
	farEvery = 4
	// strikeAfter is how long a node has been doubted before its entry in the
	// directory is removed: longer than a VM stands still or is cut off.
	strikeAfter = 10 * time.Second
	// forgetAfter is how long a silent member counts for majorities.
	forgetAfter = 2 * time.Minute
	// fanout is the number of peers that a change is sent to at once.
	fanout = 4
	// firstPeers is the number of peers of a zone that may probe its first node
	// every other tick; in larger zones each does so less often.
	firstPeers = 32
	// stall is a gap between ticks that means this node stood still.
	stall = time.Second
	// joinEvery is the time between readings of the directory while peers are
	// missing, lookEvery that afterwards, for one node of the fleet.
	joinEvery = 700 * time.Millisecond
	lookEvery = 20 * time.Second
	// joins bounds the members of the directory that are greeted at once.
	joins = 16
	// directoryTimeout bounds a call to the directory.
	directoryTimeout = 1500 * time.Millisecond
)

// Directory is where nodes leave their addresses for those that start later.
type Directory interface {
	Enlist(ctx context.Context, name string, value []byte) error
	Listed(ctx context.Context) (map[string][]byte, error)
	Strike(ctx context.Context, name string) error
}

// News is the configuration's side of an exchange.
type News interface {
	Version() uint64
	Age(now time.Time) time.Duration
	Heard(version uint64, at time.Time, address string)
}

// Topic is another service that talks through the roster.
type Topic interface {
	// Note is added to every exchange; nil adds nothing.
	Note() json.RawMessage
	// Noted takes a peer's note.
	Noted(now time.Time, from string, note json.RawMessage)
	// Message takes a message of a peer.
	Message(now time.Time, from string, body json.RawMessage)
}

// Options of a roster.
type Options struct {
	// Node is the name that stays the same over restarts.
	Node string
	// Listen is where the node takes datagrams, IP:port; Self names the address
	// at which others reach it.
	Listen string
	// Self is the node's own record; its ID is filled in.
	Self member.Record
}

// Service keeps the roster.
type Service struct {
	node      string
	directory Directory
	news      News
	log       *logrus.Entry
	conn      *net.UDPConn
	topics    map[string]Topic

	mu    sync.Mutex
	table *member.Table
	watch *liveness.Watch
	// serving are lists of Serving, made anew when the table's version changes.
	serving   map[string][]Serving
	servingOf uint64
	// listed is the number of nodes that the directory named last.
	listed int
	ticked time.Time
	// began is when this process started, met when it first heard from a peer.
	began, met time.Time

	sent, received, bytes atomic.Uint64
}

// New opens the datagram socket of a node.
func New(now time.Time, o Options, d Directory, news News, log *logrus.Entry) (*Service, error) {
	address, err := net.ResolveUDPAddr("udp", o.Listen)
	if err != nil {
		return nil, fmt.Errorf("datagram address: %w", err)
	}
	conn, err := net.ListenUDP("udp", address)
	if err != nil {
		return nil, fmt.Errorf("listen for datagrams: %w", err)
	}
	self := o.Self
	self.ID = strings.ToLower(rand.Text()[:10])
	self.Started = time.Now().UnixNano()
	return &Service{
		node: o.Node, directory: d, news: news, log: log, conn: conn, topics: map[string]Topic{},
		table: member.New(now, self), watch: liveness.New(now), ticked: now, began: now,
		serving: map[string][]Serving{},
	}, nil
}

// Share adds a topic; call it before the kernel starts the service.
func (s *Service) Share(name string, t Topic) { s.topics[name] = t }

// Self is the node's own record.
func (s *Service) Self() member.Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Self()
}

// Update changes the node's own record and tells peers at once.
func (s *Service) Update(now time.Time, change func(member.Record) member.Record) {
	s.mu.Lock()
	r := s.table.Update(now, change)
	s.mu.Unlock()
	s.spread(now, []member.Record{r}, "")
}

const (
	// metFor is how long after the first word of a peer its answer to this node's
	// own record is there, two ways between regions; aloneFor is how long a node
	// waits for a first word: peers probe each address several times a second.
	metFor   = 50 * time.Millisecond
	aloneFor = time.Second
)

// Settled reports whether this process has had the time to hear what peers know of
// the ones before it.
func (s *Service) Settled(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	met := !s.met.IsZero() && now.Sub(s.met) >= metFor
	return met || now.Sub(s.began) >= aloneFor
}

// TargetLeft reports whether a target of this node has said that it leaves, to this
// process or one before it.
func (s *Service) TargetLeft(instance string, born int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.ContainsFunc(s.table.SignedOff(s.table.Self().Address), func(r member.Record) bool {
		return r.Instance == instance && r.Born == born
	})
}

// Serving is a member that takes calls for a service.
type Serving struct {
	member.Record
	// Since is when this node first heard of the member's present target.
	Since time.Time
}

// Serving returns the running members that take calls for a service; those
// that fell silent only when there is no other. The list is shared and must not
// be changed; it stays the same one until a member changes.
func (s *Service) Serving(now time.Time, service string) []Serving {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.watch.Alone(now) {
		return s.listServing(now, service)
	}
	if v := s.table.Version(); v != s.servingOf {
		clear(s.serving)
		s.servingOf = v
	}
	list, ok := s.serving[service]
	if !ok {
		list = s.listServing(now, service)
		s.serving[service] = list
	}
	return list
}

// listServing makes a list for Serving. The mutex is held.
func (s *Service) listServing(now time.Time, service string) []Serving {
	var all, heard []Serving
	for _, r := range s.table.Serving(service) {
		one := Serving{r, s.table.TargetSince(r.ID)}
		all = append(all, one)
		if !s.silent(now, r.ID) {
			heard = append(heard, one)
		}
	}
	if len(heard) == 0 {
		return all
	}
	return heard
}

// Get returns a member's record.
func (s *Service) Get(id string) (member.Record, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Get(id)
}

// silent reports whether a member is doubted, or was not heard lately by this
// node while it is cut off. The mutex is held.
func (s *Service) silent(now time.Time, id string) bool {
	if id == s.table.Self().ID {
		return false
	}
	r, ok := s.table.Get(id)
	if !ok || r.Status != member.Alive {
		return true
	}
	return s.watch.Alone(now) && !s.watch.Recent(now, id)
}

// Silent reports whether a member is doubted or out of this node's reach.
func (s *Service) Silent(now time.Time, id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.silent(now, id)
}

// Running lists the IDs of the members that run and don't leave, in order,
// and the number of those known that are not proved gone; before peers are
// heard that is what the directory names.
func (s *Service) Running(now time.Time) (ids []string, known int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.Each(func(r *member.Record) {
		if r.Gone() || r.Confirmed {
			return
		}
		if r.Status == member.Suspect && now.Sub(s.table.Changed(r.ID)) > forgetAfter {
			return
		}
		known++
		if !r.Leaving && !s.silent(now, r.ID) {
			ids = append(ids, r.ID)
		}
	})
	slices.Sort(ids)
	if len(ids) <= 1 {
		known = max(known, s.listed)
	}
	return ids, known
}

// ConfirmRank implements follow.Fleet.
func (s *Service) ConfirmRank(now time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	self, rank := s.table.Self(), 0
	s.table.Each(func(r *member.Record) {
		if r.Zone == self.Zone && r.ID < self.ID && !r.Gone() && !r.Leaving && !s.silent(now, r.ID) {
			rank++
		}
	})
	return rank
}

// SpreadVersion implements follow.Fleet.
func (s *Service) SpreadVersion() { s.spread(clock.Now(), nil, "") }

// Send sends another service's message to a member.
func (s *Service) Send(now time.Time, id, topic string, body any) error {
	r, ok := s.Get(id)
	if !ok {
		return fmt.Errorf("member %s is unknown", id)
	}
	text, err := json.Marshal(body)
	if err != nil {
		return fmt.Errorf("encode message: %w", err)
	}
	p := s.hello(now)
	p.Topic, p.Body = topic, text
	return s.write(r.Datagrams, p)
}

// hello is a datagram with nothing but who sends it and what it has in force.
func (s *Service) hello(now time.Time) packet {
	p := packet{From: s.Self().ID, Version: s.news.Version()}
	p.Age = s.news.Age(now).Milliseconds()
	return p
}

func (s *Service) write(address string, p packet) error {
	to, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return fmt.Errorf("datagram address: %w", err)
	}
	text, err := json.Marshal(p)
	if err != nil {
		return fmt.Errorf("encode datagram: %w", err)
	}
	s.sent.Add(1)
	s.bytes.Add(uint64(len(text)))
	if _, err := s.conn.WriteToUDP(text, to); err != nil {
		return fmt.Errorf("send datagram: %w", err)
	}
	return nil
}

// spread sends records and the version in force to some peers of the own zone
// and one of each other zone.
func (s *Service) spread(now time.Time, records []member.Record, except string) {
	p := s.hello(now)
	p.Records = records
	for _, r := range s.targets(now, except) {
		if err := s.write(r.Datagrams, p); err != nil {
			s.log.WithError(err).Debug("change not told")
		}
	}
}

// targets are the peers that a change is sent to.
func (s *Service) targets(now time.Time, except string) []member.Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	perZone := map[string]int{}
	return s.table.PickWhere(s.table.Len(), mathrand.IntN, func(r *member.Record) bool {
		room := 1
		if s.isNear(r) {
			room = fanout
		}
		if r.ID == except || perZone[r.Zone] >= room || s.silent(now, r.ID) {
			return false
		}
		perZone[r.Zone]++
		return true
	})
}

// Name implements kernel.Service.
func (s *Service) Name() string { return Name }

// Start implements kernel.Service.
func (s *Service) Start(_ context.Context, k *kernel.Kernel) error {
	k.Go(s.receive)
	k.Go(s.beat)
	k.Go(s.join)
	return nil
}

// Stop implements kernel.Service.
func (s *Service) Stop(context.Context) error {
	_ = s.conn.Close()
	return nil
}

// Leave tells peers that this process ends.
func (s *Service) Leave(now time.Time) {
	s.mu.Lock()
	r := s.table.Update(now, func(r member.Record) member.Record {
		r.Leaving, r.Confirmed = true, true
		return r.WithStatus(member.Left)
	})
	s.mu.Unlock()
	s.spread(now, []member.Record{r}, "")
}

// Sent is the number of bytes sent in datagrams so far.
func (s *Service) Sent() uint64 { return s.bytes.Load() }

// State implements kernel.Service.
func (s *Service) State() any {
	ids, known := s.Running(clock.Now())
	s.mu.Lock()
	defer s.mu.Unlock()
	return struct {
		Self    member.Record   `json:"self"`
		Running int             `json:"running"`
		Known   int             `json:"known"`
		Sent    uint64          `json:"datagrams_sent"`
		Bytes   uint64          `json:"bytes_sent"`
		Taken   uint64          `json:"datagrams_received"`
		Members []member.Record `json:"members"`
	}{s.table.Self(), len(ids), known, s.sent.Load(), s.bytes.Load(), s.received.Load(), s.table.All()}
}
