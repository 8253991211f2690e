package confsync_test

import (
	"context"
	"encoding/json"
	"io"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"chestnutshed.example/chestnutshed/internal/config/confsync"
	"chestnutshed.example/chestnutshed/internal/config/rules"
	"chestnutshed.example/chestnutshed/internal/core/clock"
	"chestnutshed.example/chestnutshed/internal/core/kernel"
	"github.com/matryer/is"
	"github.com/sirupsen/logrus"
)

// source is a fake store. Tests set its state.
type source struct {
	mu   sync.Mutex
	text string
	rev  uint64
	err  error
	// delay is added to each response.
	delay time.Duration
	calls int
}

func (s *source) set(f func(*source)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(s)
}

func (s *source) answer(ctx context.Context, since uint64) (confsync.Snapshot, error) {
	s.mu.Lock()
	s.calls++
	delay := s.delay
	s.mu.Unlock()
	select {
	case <-time.After(delay + 20*time.Millisecond):
	case <-ctx.Done():
		return confsync.Snapshot{}, ctx.Err()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.err != nil {
		return confsync.Snapshot{}, s.err
	}
	snap := confsync.Snapshot{Revision: s.rev}
	if s.rev > since {
		snap.Text = []byte(s.text)
	}
	return snap, nil
}

func (s *source) Current(ctx context.Context) (confsync.Snapshot, error) { return s.answer(ctx, 0) }

func (s *source) Changes(ctx context.Context, since uint64, _ time.Duration) (confsync.Snapshot, error) {
	return s.answer(ctx, since)
}

func (s *source) Decode(text []byte) (*rules.Set, error) {
	var version uint64
	if err := json.Unmarshal(text, &version); err != nil {
		return nil, err
	}
	return rules.New(version, nil, nil, nil, rules.DefaultLimits())
}

// fleet is a fake of the roster service.
type fleet struct {
	rank       int
	broadcasts int
}

func (f *fleet) Name() string                                { return "roster" }
func (f *fleet) Start(context.Context, *kernel.Kernel) error { return nil }
func (f *fleet) Stop(context.Context) error                  { return nil }
func (f *fleet) State() any                                  { return nil }
func (f *fleet) ConfirmRank(time.Time) int                   { return f.rank }
func (f *fleet) BroadcastVersion()                           { f.broadcasts++ }

func run(t *testing.T, src *source, rank int) *confsync.Service {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	s := confsync.New(src, 5*time.Second, logrus.NewEntry(log))
	k := kernel.New()
	is.New(t).NoErr(k.Register(&fleet{rank: rank}))
	is.New(t).NoErr(k.Register(s))
	is.New(t).NoErr(k.Start(context.Background()))
	t.Cleanup(func() { _ = k.Stop(context.Background()) })
	return s
}

func eventually(t *testing.T, what string, f func() bool) {
	t.Helper()
	for range 400 {
		if f() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal(what)
}

func TestAppliesNewerVersionsOnly(t *testing.T) {
	is := is.New(t)
	src := &source{text: "5", rev: 10}
	s := run(t, src, 0)
	eventually(t, "first version", func() bool { return s.Version() == 5 })
	src.set(func(s *source) { s.text, s.rev = "3", 11 })
	time.Sleep(200 * time.Millisecond)
	is.Equal(s.Version(), uint64(5)) // an older version is ignored
	src.set(func(s *source) { s.text, s.rev = `"broken`, 12 })
	time.Sleep(200 * time.Millisecond)
	is.Equal(s.Version(), uint64(5)) // an invalid configuration is ignored
	src.set(func(s *source) { s.text, s.rev = "8", 13 })
	eventually(t, "newer version", func() bool { return s.Version() == 8 })
}

// The age counts from when the request was sent, not from when the response
// came. Otherwise a slow response makes an old configuration look fresh.
func TestAgeCountsFromRequest(t *testing.T) {
	is := is.New(t)
	src := &source{text: "5", rev: 10, delay: 300 * time.Millisecond}
	s := run(t, src, 0)
	eventually(t, "first version", func() bool { return s.Version() == 5 })
	is.True(s.Age(clock.Now()) >= 300*time.Millisecond)
}

func TestAgeGrowsWhileStoreFails(t *testing.T) {
	is := is.New(t)
	src := &source{text: "5", rev: 10}
	s := run(t, src, 0)
	eventually(t, "first version", func() bool { return s.Version() == 5 })
	src.set(func(s *source) { s.err = io.ErrUnexpectedEOF })
	time.Sleep(100 * time.Millisecond)
	before := s.Age(clock.Now())
	time.Sleep(300 * time.Millisecond)
	is.True(s.Age(clock.Now())-before >= 300*time.Millisecond)
	src.set(func(s *source) { s.err = nil })
	eventually(t, "confirmation after the store recovers", func() bool { return s.Age(clock.Now()) < 200*time.Millisecond })
}

func TestFullReadAfterCompaction(t *testing.T) {
	src := &source{text: "5", rev: 10}
	s := run(t, src, 0)
	eventually(t, "first version", func() bool { return s.Version() == 5 })
	src.set(func(s *source) { s.err = confsync.ErrCompacted })
	time.Sleep(50 * time.Millisecond)
	src.set(func(s *source) { s.err, s.text, s.rev = nil, "6", 20 })
	eventually(t, "version after the compaction", func() bool { return s.Version() == 6 })
}

// A node with a high rank in its zone does not poll the store while peers send
// recent confirmations.
func TestNoPollWhilePeersConfirm(t *testing.T) {
	is := is.New(t)
	src := &source{text: "5", rev: 10}
	s := run(t, src, 3)
	eventually(t, "first version", func() bool { return s.Version() == 5 })
	src.set(func(s *source) { s.calls = 0 })
	for range 50 {
		s.ReportVersion(5, clock.Now(), "")
		time.Sleep(10 * time.Millisecond)
	}
	src.set(func(s *source) { is.Equal(s.calls, 0) })
	is.True(s.Age(clock.Now()) < 200*time.Millisecond)
}

// An older version or an older confirmation from a peer is ignored.
func TestStaleReportIgnored(t *testing.T) {
	is := is.New(t)
	src := &source{text: "5", rev: 10}
	s := run(t, src, 3)
	eventually(t, "first version", func() bool { return s.Version() == 5 })
	before := s.Age(clock.Now())
	s.ReportVersion(4, clock.Now(), "")
	s.ReportVersion(5, clock.Now().Add(-time.Hour), "")
	is.True(s.Age(clock.Now()) >= before)
}

func TestFetchFromPeer(t *testing.T) {
	is := is.New(t)
	ahead := run(t, &source{text: "9", rev: 30}, 0)
	eventually(t, "version of the peer", func() bool { return ahead.Version() == 9 })
	server := httptest.NewServer(ahead)
	defer server.Close()
	behind := run(t, &source{text: "5", rev: 10}, 3)
	eventually(t, "own version", func() bool { return behind.Version() == 5 })
	behind.ReportVersion(9, time.Time{}, strings.TrimPrefix(server.URL, "http://"))
	eventually(t, "version fetched", func() bool { return behind.Version() == 9 })
	is.True(behind.Age(clock.Now()) < 2*time.Second)
}
