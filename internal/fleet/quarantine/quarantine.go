// Package quarantine shares among nodes which requests crash targets.
//
// The node of a crashed target sends its records to the other nodes of the service,
// where the request would run next. All nodes exchange bans: probes carry a digest of
// them, and nodes whose digests differ send each other theirs. A restarted node learns
// them that way too.
package quarantine

import (
	"context"
	"fmt"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"chestnutshed.example/chestnutshed/internal/core/kernel"
	"chestnutshed.example/chestnutshed/internal/policy/poison"
	"github.com/cespare/xxhash/v2"
	"github.com/goccy/go-json"
	"github.com/sirupsen/logrus"
)

// Name is the name of the service in the kernel and in logs, and of its topic.
const Name = "quarantine"

const (
	// maxRecords limits the records in one datagram.
	maxRecords = 24
	// exchangeInterval is the minimum time between two exchanges of bans that this
	// node starts.
	exchangeInterval = 200 * time.Millisecond
	// pruneInterval is the time between removals of expired records.
	pruneInterval = 10 * time.Second
)

// Fleet is the part of the roster that the service uses.
type Fleet interface {
	// ServiceNodes returns the IDs of the other running nodes with a target of a
	// service, whether it takes work or not.
	ServiceNodes(service string) []string
	Send(now time.Time, id, topic string, body any) error
}

// message carries records to a node. Reply asks for the bans of that node.
type message struct {
	Records []poison.Record `json:"recs,omitempty"`
	Reply   bool            `json:"reply,omitempty"`
}

// Service keeps the suspects and bans of one node. It is safe for concurrent use.
type Service struct {
	fleet Fleet
	now   func() time.Time
	log   *logrus.Entry

	// active is set while the table has entries.
	active atomic.Bool

	mu          sync.Mutex
	table       *poison.Table
	exchangedAt time.Time
}

// New returns a service without suspects; now is its clock.
func New(now func() time.Time, fleet Fleet, log *logrus.Entry) *Service {
	return &Service{fleet: fleet, now: now, log: log, table: poison.New()}
}

// Active reports whether there are suspects or bans. Fingerprints are of no use while
// there are none.
func (s *Service) Active() bool { return s.active.Load() }

// BanLeft returns how long requests with a fingerprint are still refused, 0 if they are
// not.
func (s *Service) BanLeft(now time.Time, fp poison.Fingerprint) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.BanLeft(now, fp)
}

// Suspect reports whether a request was in flight at a recent crash.
func (s *Service) Suspect(now time.Time, fp poison.Fingerprint) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Suspect(now, fp)
}

// Cleared records that a request ran to its end.
func (s *Service) Cleared(now time.Time, fp poison.Fingerprint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.Cleared(now, fp)
	s.active.Store(s.table.Len() > 0)
}

// Crashed records that a target of a service crashed with these requests in flight, and
// sends that to the other nodes of the service.
func (s *Service) Crashed(now time.Time, service, target string, inFlight []poison.Run) {
	s.mu.Lock()
	records := s.table.Crashed(now, target, inFlight)
	s.active.Store(s.table.Len() > 0)
	s.mu.Unlock()
	for _, r := range records {
		if r.Banned {
			s.log.WithFields(logrus.Fields{"print": r.Fingerprint, "targets": r.Targets}).Warn("request banned: it crashes targets")
		}
	}
	for _, id := range s.fleet.ServiceNodes(service) {
		s.send(now, id, records, false)
	}
}

// Learn adds a record of another node.
func (s *Service) Learn(now time.Time, r poison.Record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.table.Merge(now, r) && r.Banned {
		s.log.WithFields(logrus.Fields{"print": r.Fingerprint, "targets": r.Targets}).Info("ban learned")
	}
	s.active.Store(s.table.Len() > 0)
}

// send sends records to a node, in as many datagrams as they take.
func (s *Service) send(now time.Time, id string, records []poison.Record, reply bool) {
	for chunk := range slices.Chunk(records, maxRecords) {
		s.sendOne(now, id, message{Records: chunk})
	}
	if reply {
		s.sendOne(now, id, message{Reply: true})
	}
}

func (s *Service) sendOne(now time.Time, id string, m message) {
	if err := s.fleet.Send(now, id, Name, m); err != nil {
		s.log.WithError(err).WithField("member", id).Debug("records of crashes not sent")
	}
}

// Note implements roster.Topic. It is a digest of all bans.
func (s *Service) Note() json.RawMessage {
	if !s.Active() {
		return nil
	}
	if d := digest(s.bans(s.now())); d != 0 {
		return json.RawMessage(strconv.FormatUint(d, 10))
	}
	return nil
}

func (s *Service) bans(now time.Time) []poison.Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Bans(now)
}

// digest is equal for equal sets of bans, 0 for none.
func digest(bans []poison.Record) uint64 {
	d := uint64(0)
	for _, r := range bans {
		d ^= xxhash.Sum64String(string(r.Fingerprint))
	}
	return d
}

// Noted implements roster.Topic. It exchanges bans with a peer whose digest differs.
func (s *Service) Noted(now time.Time, from string, note json.RawMessage) {
	peer, err := strconv.ParseUint(string(note), 10, 64)
	if err != nil {
		s.log.WithError(err).WithField("member", from).Warn("invalid digest of bans ignored")
		return
	}
	bans := s.bans(now)
	if peer == digest(bans) {
		return
	}
	s.mu.Lock()
	tooSoon := now.Sub(s.exchangedAt) < exchangeInterval
	if !tooSoon {
		s.exchangedAt = now
	}
	s.mu.Unlock()
	if !tooSoon {
		s.send(now, from, bans, true)
	}
}

// Message implements roster.Topic.
func (s *Service) Message(now time.Time, from string, body json.RawMessage) {
	var m message
	if err := json.Unmarshal(body, &m); err != nil {
		s.log.WithError(fmt.Errorf("decode message: %w", err)).WithField("member", from).Warn("records of crashes ignored")
		return
	}
	for _, r := range m.Records {
		s.Learn(now, r)
	}
	if m.Reply {
		s.send(now, from, s.bans(now), false)
	}
}

// Name implements kernel.Service.
func (s *Service) Name() string { return Name }

// Start implements kernel.Service.
func (s *Service) Start(_ context.Context, k *kernel.Kernel) error {
	k.Every(pruneInterval, func(context.Context) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.table.Prune(s.now())
		s.active.Store(s.table.Len() > 0)
	})
	return nil
}

// Stop implements kernel.Service.
func (s *Service) Stop(context.Context) error { return nil }

// State implements kernel.Service.
func (s *Service) State() any {
	s.mu.Lock()
	defer s.mu.Unlock()
	return struct {
		Entries int             `json:"entries"`
		Bans    []poison.Record `json:"bans,omitempty"`
	}{s.table.Len(), s.table.Bans(s.now())}
}
