// Package roster maintains the membership of the fleet with datagrams.
//
// The protocol follows SWIM (Das et al. 2002). Each node probes a constant
// number of peers per second, whatever the size of the fleet: mostly in its own
// zone, and now and then in another one. A peer that does not answer is marked
// as suspect, and refutes that if it runs. Changed records are sent out at
// once.
//
// Probes carry a digest of the sender's table. Where two digests differ, one
// side lists members with the versions of their records, and the other requests
// the records it lacks.
//
// Probes also confirm the age of the configuration. An answer echoes the send
// time of its probe, so that the confirmation is dated by the clock of the
// prober.
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
	"chestnutshed.example/chestnutshed/internal/fleet/era"
	"chestnutshed.example/chestnutshed/internal/fleet/liveness"
	"chestnutshed.example/chestnutshed/internal/fleet/member"
	"github.com/goccy/go-json"
	"github.com/sirupsen/logrus"
)

// Name is the name of the kernel service.
const Name = "roster"

const (
	// tickInterval is the time between rounds of probes.
	tickInterval = 250 * time.Millisecond
	// crossZoneTicks is the number of ticks between probes of another zone.
	crossZoneTicks = 4
	// removeAfter is how long a node has been suspect, dead or left when its
	// entry is removed from the directory: longer than a VM freezes or is cut
	// off.
	removeAfter = 10 * time.Second
	// quorumRetention is how long a suspect counts towards the size of the
	// fleet, from which majorities are computed.
	quorumRetention = 2 * time.Minute
	// fanout is the number of peers in the own zone that a change is sent to
	// directly.
	fanout = 4
	// fullRateProbers is the number of peers up to which each node probes the
	// first node of its zone every other tick. In larger zones each does so
	// less often, which bounds the load on that node.
	fullRateProbers = 32
	// stallGap is the time between ticks above which this process was paused.
	stallGap = time.Second
	// joinInterval is the time between reads of the directory until peers are
	// known. Afterwards one node of the fleet reads it, about every
	// scanInterval.
	joinInterval = 700 * time.Millisecond
	scanInterval = 20 * time.Second
	// secondScanDelay is the time to the second read, since nodes that start together
	// don't all find each other in the first.
	secondScanDelay = 200 * time.Millisecond
	// maxIntroductions limits the unknown nodes contacted per read of the
	// directory.
	maxIntroductions = 16
	// directoryTimeout limits one operation on the directory.
	directoryTimeout = 1500 * time.Millisecond
)

// Directory stores the addresses of nodes, so that a starting node finds its
// peers.
type Directory interface {
	// Register writes the entry of a node, or replaces it. It returns the era in which
	// that was acknowledged.
	Register(ctx context.Context, name string, value []byte) (era.Era, error)
	// List returns all entries, by the name of the node.
	List(ctx context.Context) (map[string][]byte, error)
	// Remove removes the entry of a node.
	Remove(ctx context.Context, name string) error
}

// Config is the node's configuration, whose version and age go into each
// packet.
type Config interface {
	// Version is that of the configuration in force, 0 if there is none.
	Version() uint64
	// Age is the time since the version was last confirmed to be the newest.
	Age(now time.Time) time.Duration
	// ReportVersion reports a peer's version. At is when it was the newest, zero if
	// unknown; address is where its text can be read.
	ReportVersion(version uint64, at time.Time, address string)
}

// Topic is another service of the node that exchanges messages through the
// roster.
type Topic interface {
	// Note returns data to add to every probe and answer, or nil.
	Note() json.RawMessage
	// Noted handles the data that a peer added.
	Noted(now time.Time, from string, note json.RawMessage)
	// Message handles a message that a peer sent with Send.
	Message(now time.Time, from string, body json.RawMessage)
}

// Options are the settings of a roster.
type Options struct {
	// Node is the name of the node, which stays the same across restarts.
	Node string
	// Listen is the IP:port on which the node receives datagrams. Peers reach
	// it at Self.Datagrams.
	Listen string
	// Self is the node's own record, without ID and start time.
	Self member.Record
	// Eras tracks the era of the directory's store. Peers are told the latest one.
	Eras *era.Tracker
}

// Service maintains the membership of one node. It is safe for concurrent use.
type Service struct {
	node      string
	directory Directory
	config    Config
	log       *logrus.Entry
	conn      *net.UDPConn
	eras      *era.Tracker
	topics    map[string]Topic

	mu       sync.Mutex
	table    *member.Table
	detector *liveness.Detector
	// serving caches the results of Serving for version servingVersion of the
	// table.
	serving        map[string][]Serving
	servingVersion uint64
	// listed is the number of entries at the last read of the directory, and unmet the
	// addresses there that were not known, with the time when they were first read.
	listed        int
	directoryRead bool
	unmet         map[string]time.Time
	lastTick      time.Time
	// lastContact is when a datagram last arrived, in nanoseconds by the node's clock.
	lastContact atomic.Int64
	// introductions tracks what this process has learned from peers since its start.
	introductions introductions

	sent, received, bytes atomic.Uint64
}

// New opens the datagram socket and returns the service of a node.
func New(now time.Time, o Options, d Directory, config Config, log *logrus.Entry) (*Service, error) {
	address, err := net.ResolveUDPAddr("udp", o.Listen)
	if err != nil {
		return nil, fmt.Errorf("resolve datagram address: %w", err)
	}
	conn, err := net.ListenUDP("udp", address)
	if err != nil {
		return nil, fmt.Errorf("listen for datagrams: %w", err)
	}
	if o.Eras == nil {
		o.Eras = era.New(log)
	}
	self := o.Self
	self.ID = strings.ToLower(rand.Text()[:10])
	self.Started = time.Now().UnixNano()
	return &Service{
		node: o.Node, directory: d, config: config, log: log, conn: conn, eras: o.Eras, topics: map[string]Topic{},
		table: member.New(now, self), detector: liveness.New(now), lastTick: now, introductions: newIntroductions(now),
		serving: map[string][]Serving{}, unmet: map[string]time.Time{},
	}, nil
}

// AddTopic adds a topic. It must be called before the kernel starts the
// service.
func (s *Service) AddTopic(name string, t Topic) { s.topics[name] = t }

// Self returns the node's own record.
func (s *Service) Self() member.Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Self()
}

// Update changes the node's own record and sends it to peers at once.
func (s *Service) Update(now time.Time, change func(member.Record) member.Record) {
	s.mu.Lock()
	r := s.table.Update(now, change)
	s.mu.Unlock()
	s.broadcast(now, []member.Record{r}, "")
}

// Synced reports whether this process has had time to receive what peers know
// of earlier incarnations of the node.
func (s *Service) Synced(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.isSynced(now)
}

// isSynced is Synced. The mutex must be held.
func (s *Service) isSynced(now time.Time) bool {
	return s.introductions.done(now, !s.eras.Current().MayLack())
}

// informed reports whether this process has run long enough to have heard of all that the
// fleet knew before.
func (s *Service) informed(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now.Sub(s.introductions.started) >= informedAfter
}

// TargetLeft reports whether the target has announced that it leaves, to this
// process or to an earlier incarnation of the node. Born is the time of the
// target's start in Unix milliseconds.
func (s *Service) TargetLeft(instance string, born int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.ContainsFunc(s.table.Deregistered(s.table.Self().Address), func(r member.Record) bool {
		return r.HasLeft(instance, born)
	})
}

// Serving is a member that accepts calls for a service.
type Serving struct {
	member.Record
	// Since is when this node first learned of the member's present target;
	// zero if the target is older than this node.
	Since time.Time
}

// Serving returns the running members that accept calls for a service.
// Unreachable ones are included only if no other is left. The slice is shared
// between callers and must not be changed.
func (s *Service) Serving(now time.Time, service string) []Serving {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.detector.Isolated(now) {
		return s.listServing(now, service)
	}
	if v := s.table.Version(); v != s.servingVersion {
		clear(s.serving)
		s.servingVersion = v
	}
	list, ok := s.serving[service]
	if !ok {
		list = s.listServing(now, service)
		s.serving[service] = list
	}
	return list
}

// listServing builds the result of Serving. The mutex must be held.
func (s *Service) listServing(now time.Time, service string) []Serving {
	var all, reachable []Serving
	for _, r := range s.table.Serving(service) {
		one := Serving{r, s.table.TargetSince(r.ID)}
		all = append(all, one)
		if !s.silent(now, r.ID) {
			reachable = append(reachable, one)
		}
	}
	if len(reachable) == 0 {
		return all
	}
	return reachable
}

// ServiceNodes returns the IDs of the other members that are not gone and have a
// target of a service, whether it takes work or not, or one that is not known yet.
func (s *Service) ServiceNodes(service string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var ids []string
	s.table.Each(func(r *member.Record) {
		if (r.Service == service || r.Service == "") && r.ID != s.table.Self().ID && !r.Gone() {
			ids = append(ids, r.ID)
		}
	})
	return ids
}

// Get returns the record of a member.
func (s *Service) Get(id string) (member.Record, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Get(id)
}

// silent reports whether a member is unknown or not alive. While this node is
// cut off it also reports members without a recent message. The mutex must be
// held.
func (s *Service) silent(now time.Time, id string) bool {
	if id == s.table.Self().ID {
		return false
	}
	r, ok := s.table.Get(id)
	if !ok || r.Status != member.Alive {
		return true
	}
	return s.detector.Isolated(now) && !s.detector.RecentlyActive(now, id)
}

// Silent reports whether a member is unknown, suspect or gone, or can't be
// reached since this node is cut off.
func (s *Service) Silent(now time.Time, id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.silent(now, id)
}

// Running returns the sorted IDs of the reachable members that are not leaving,
// and the size of the fleet for majorities. That counts members which are not
// gone, and suspects for quorumRetention; until peers are known it is at least
// the number of directory entries.
func (s *Service) Running(now time.Time) (ids []string, known int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.Each(func(r *member.Record) {
		if r.Gone() || r.Confirmed {
			return
		}
		if r.Status == member.Suspect && now.Sub(s.table.ChangedAt(r.ID)) > quorumRetention {
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

// Unmet returns the number of nodes in the directory that this process has not met and
// that may be cut off. They count for quorumRetention. It is 1 until the directory has
// been read.
func (s *Service) Unmet(now time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.directoryRead {
		return 1
	}
	n := 0
	for address, since := range s.unmet {
		if _, met := s.table.At(address); !met && now.Sub(since) <= quorumRetention {
			n++
		}
	}
	return n
}

// LastContact returns when a datagram of another node last arrived; zero for never.
func (s *Service) LastContact() time.Time {
	at := s.lastContact.Load()
	if at == 0 {
		return time.Time{}
	}
	return time.Unix(0, at)
}

// ConfirmRank implements confsync.Fleet.
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

// BroadcastVersion implements confsync.Fleet.
func (s *Service) BroadcastVersion() { s.broadcast(clock.Now(), nil, "") }

// Send sends a message of a topic to a member, in one datagram without
// acknowledgement. It fails if the member is unknown.
func (s *Service) Send(now time.Time, id, topic string, body any) error {
	r, ok := s.Get(id)
	if !ok {
		return fmt.Errorf("send to member %s: not in the membership table", id)
	}
	text, err := json.Marshal(body)
	if err != nil {
		return fmt.Errorf("encode message: %w", err)
	}
	p := s.newPacket(now)
	p.Topic, p.Body = topic, text
	return s.write(r.Datagrams, p)
}

// newPacket returns a packet with only the sender, its configuration version
// and the age of that.
func (s *Service) newPacket(now time.Time) packet {
	p := packet{From: s.Self().ID, Version: s.config.Version()}
	p.Age = s.config.Age(now).Milliseconds()
	return p
}

// write sends a packet to an IP:port.
func (s *Service) write(address string, p packet) error {
	to, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return fmt.Errorf("resolve datagram address: %w", err)
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

// broadcast sends records and the configuration version to some peers, but not
// to the member except.
func (s *Service) broadcast(now time.Time, records []member.Record, except string) {
	p := s.newPacket(now)
	p.Records = records
	for _, r := range s.recipients(now, except) {
		if err := s.write(r.Datagrams, p); err != nil {
			s.log.WithError(err).Debug("membership change not sent")
		}
	}
}

// recipients returns the peers that a change is sent to: up to fanout random
// ones of the own zone and one of each other zone.
func (s *Service) recipients(now time.Time, except string) []member.Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	perZone := map[string]int{}
	return s.table.PickWhere(s.table.Len(), mathrand.IntN, func(r *member.Record) bool {
		limit := 1
		if s.sameZone(r) {
			limit = fanout
		}
		if r.ID == except || perZone[r.Zone] >= limit || s.silent(now, r.ID) {
			return false
		}
		perZone[r.Zone]++
		return true
	})
}

// Size returns the number of members that count for majorities, at least 1.
func (s *Service) Size() int {
	_, known := s.Running(clock.Now())
	return max(known, 1)
}

// Name implements kernel.Service.
func (s *Service) Name() string { return Name }

// Start implements kernel.Service.
func (s *Service) Start(_ context.Context, k *kernel.Kernel) error {
	k.Go(s.receive)
	k.Go(s.probeLoop)
	k.Go(s.join)
	k.Go(func(ctx context.Context) error { return s.eras.Follow(ctx, s.Size, s.register) })
	return nil
}

// Stop implements kernel.Service.
func (s *Service) Stop(context.Context) error {
	_ = s.conn.Close()
	return nil
}

// Leave marks this node as left and sends that to peers. The process must end.
func (s *Service) Leave(now time.Time) {
	s.mu.Lock()
	r := s.table.Update(now, func(r member.Record) member.Record {
		r.Leaving, r.Confirmed = true, true
		return r.WithStatus(member.Left)
	})
	s.mu.Unlock()
	s.broadcast(now, []member.Record{r}, "")
}

// BytesSent returns the total size of the datagrams sent, in bytes.
func (s *Service) BytesSent() uint64 { return s.bytes.Load() }

// State implements kernel.Service.
func (s *Service) State() any {
	ids, known := s.Running(clock.Now())
	s.mu.Lock()
	defer s.mu.Unlock()
	return struct {
		Self     member.Record   `json:"self"`
		Running  int             `json:"running"`
		Known    int             `json:"known"`
		Sent     uint64          `json:"datagrams_sent"`
		Bytes    uint64          `json:"bytes_sent"`
		Received uint64          `json:"datagrams_received"`
		Era      string          `json:"era"`
		Members  []member.Record `json:"members"`
	}{s.table.Self(), len(ids), known, s.sent.Load(), s.bytes.Load(), s.received.Load(), s.eras.Current().String(), s.table.All()}
}
