package evacuation_test

import (
	"context"
	"errors"
	"io"
	"slices"
	"sync"
	"testing"
	"time"

	"chestnutshed.example/chestnutshed/internal/core/clock"
	"chestnutshed.example/chestnutshed/internal/core/kernel"
	"chestnutshed.example/chestnutshed/internal/fleet/era"
	"chestnutshed.example/chestnutshed/internal/fleet/evacuation"
	"github.com/goccy/go-json"
	"github.com/matryer/is"
	"github.com/sirupsen/logrus"
)

// bound is the time within which an evacuation must be in force.
const bound = 5 * time.Second

var start = time.Unix(1000, 0)

// source is a store that may fail.
type source struct {
	mu       sync.Mutex
	zones    []string
	revision uint64
	fails    bool
	calls    int
}

func (s *source) set(f func(s *source)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(s)
}

func (s *source) Current(context.Context) ([]string, uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if s.fails {
		return nil, 0, errors.New("away")
	}
	return slices.Clone(s.zones), s.revision, nil
}

func (s *source) Changes(ctx context.Context, since uint64, wait time.Duration) ([]evacuation.Change, uint64, error) {
	end := time.After(wait)
	s.set(func(s *source) { s.calls++ })
	for {
		s.mu.Lock()
		fails, revision, zones := s.fails, s.revision, slices.Clone(s.zones)
		s.mu.Unlock()
		if fails {
			return nil, 0, errors.New("away")
		}
		if revision > since {
			changes := []evacuation.Change{{Zone: "a"}, {Zone: "b"}}
			for i := range changes {
				changes[i].Evacuated = slices.Contains(zones, changes[i].Zone)
			}
			return changes, revision, nil
		}
		select {
		case <-end:
			return nil, revision, nil
		case <-ctx.Done():
			return nil, 0, ctx.Err()
		case <-time.After(5 * time.Millisecond):
		}
	}
}

// fleet connects the services of several nodes.
type fleet struct {
	rank  int
	peers map[string]*evacuation.Service
}

func (f *fleet) ConfirmRank(time.Time) int { return f.rank }

func (f *fleet) Running(time.Time) ([]string, int) {
	var ids []string
	for id := range f.peers {
		ids = append(ids, id)
	}
	return ids, len(ids) + 1
}

func (f *fleet) Send(now time.Time, id, _ string, body any) error {
	text, err := json.Marshal(body)
	if err != nil {
		return err
	}
	f.peers[id].Message(now, "peer", text)
	return nil
}

func newService(now time.Time, zone string, s *source, f *fleet) *evacuation.Service {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return evacuation.New(now, zone, bound, s, f, era.New(logrus.NewEntry(log)), logrus.NewEntry(log))
}

// run starts a service until the test ends.
func run(t *testing.T, s *evacuation.Service) {
	t.Helper()
	k := kernel.New()
	is := is.New(t)
	is.NoErr(k.Register(s))
	is.NoErr(k.Start(context.Background()))
	t.Cleanup(func() { _ = k.Stop(context.Background()) })
}

func eventually(t *testing.T, what string, f func() bool) {
	t.Helper()
	for end := time.Now().Add(bound); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if f() {
			return
		}
	}
	t.Fatalf("not within the bound: %s", what)
}

// An evacuation appears and vanishes at the store. The node that asks there tells the
// others, who never ask.
func TestEvacuationAppearsAndVanishes(t *testing.T) {
	is := is.New(t)
	store, idle := &source{revision: 7}, &source{}
	now := clock.Now()
	other := newService(now, "b", idle, &fleet{rank: 1})
	first := newService(now, "a", store, &fleet{peers: map[string]*evacuation.Service{"other": other}})
	run(t, first)
	eventually(t, "state of the store", func() bool { return first.OwnZone(clock.Now()) == evacuation.Open })
	for _, evacuated := range []bool{true, false} {
		store.set(func(s *source) {
			s.revision += 3
			s.zones = nil
			if evacuated {
				s.zones = []string{"a"}
			}
		})
		eventually(t, "change at the first node", func() bool { return (first.OwnZone(clock.Now()) == evacuation.Evacuated) == evacuated })
		eventually(t, "change at the other node", func() bool { return other.Has(clock.Now(), "a") == evacuated })
	}
	is.Equal(idle.calls, 0)
}

// note returns a peer's note.
func note(text string) json.RawMessage { return json.RawMessage(text) }

// News that were delayed tell of an evacuation that has ended since, or that it has not
// begun yet.
func TestLateNewsUndoNothing(t *testing.T) {
	is := is.New(t)
	s := newService(start, "a", &source{}, &fleet{})
	s.Noted(start, "peer", note(`{"rev":10,"zones":["a"],"age":0}`))
	s.Noted(start, "peer", note(`{"rev":9,"age":0}`))
	is.True(s.Has(start, "a"))
	s.Noted(start, "peer", note(`{"rev":12,"age":0}`))
	s.Noted(start, "peer", note(`{"rev":10,"zones":["a"],"age":0}`))
	is.True(!s.Has(start, "a"))
}

// Older news say nothing about how old the newer ones are.
func TestLateNewsConfirmNothing(t *testing.T) {
	is := is.New(t)
	now := clock.Now()
	s := newService(now, "a", &source{}, &fleet{})
	s.Noted(now, "peer", note(`{"rev":10,"age":900}`))
	s.Noted(now, "peer", note(`{"rev":9,"age":0}`))
	var passed struct{ Age int64 }
	is.NoErr(json.Unmarshal(s.Note(), &passed))
	is.True(passed.Age >= 900)
}

// A process that has just started takes no work until it knows that its zone is open, but
// not for long if nobody tells.
func TestRestartInAnEvacuatedZone(t *testing.T) {
	is := is.New(t)
	s := newService(start, "a", &source{}, &fleet{})
	is.Equal(s.OwnZone(start), evacuation.Unknown)
	is.Equal(s.OwnZone(start.Add(3*time.Second)), evacuation.Open)
	s.Noted(start.Add(50*time.Millisecond), "peer", note(`{"rev":10,"zones":["a"],"age":900}`))
	is.Equal(s.OwnZone(start.Add(3*time.Second)), evacuation.Evacuated)
	is.True(!s.Has(start, "b"))
}

// The store turns one node away, which learns from its peer.
func TestStoreAwayForANode(t *testing.T) {
	away := &source{fails: true}
	now := clock.Now()
	cut := newService(now, "a", away, &fleet{})
	store := &source{revision: 3, zones: []string{"a"}}
	sound := newService(now, "b", store, &fleet{peers: map[string]*evacuation.Service{"cut": cut}})
	run(t, cut)
	run(t, sound)
	eventually(t, "evacuation", func() bool { return cut.Has(clock.Now(), "a") })
}

// A store that fails is not asked more often than the backoff allows.
func TestFailingStoreIsAskedSeldom(t *testing.T) {
	is := is.New(t)
	store := &source{fails: true}
	s := newService(clock.Now(), "a", store, &fleet{})
	run(t, s)
	time.Sleep(3 * time.Second)
	store.set(func(s *source) { is.True(s.calls >= 2 && s.calls <= 8) })
}

// The store comes back from a copy that lacks an evacuation. The zone stays closed until
// the operator has written it again, and does not stay so for ever.
func TestStoreComesBackFromACopy(t *testing.T) {
	is := is.New(t)
	s := newService(start, "a", &source{}, &fleet{})
	s.Noted(start, "peer", note(`{"rev":100,"zones":["a"],"age":0}`))
	s.RecordEra(start, 2)
	is.Equal(s.OwnZone(start), evacuation.Evacuated)
	s.Noted(start, "peer", note(`{"rev":101,"age":0}`)) // of the lost copy
	s.Noted(start, "peer", note(`{"era":2,"rev":60,"age":0}`))
	is.Equal(s.OwnZone(start.Add(time.Second)), evacuation.Evacuated)
	is.Equal(s.OwnZone(start.Add(bound+time.Second)), evacuation.Open)
	s.Noted(start.Add(time.Second), "peer", note(`{"era":2,"rev":61,"zones":["a"],"age":0}`))
	is.Equal(s.OwnZone(start.Add(bound+time.Second)), evacuation.Evacuated)
}

// The store comes back from a copy while a node waits there for changes, and gives the
// revision that the node waits from out again: the answer alone does not tell what changed.
func TestWatchAnsweredInNewEra(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	eras := era.New(logrus.NewEntry(log))
	eras.Observe(era.At(1), "store")
	store := &source{zones: []string{"b"}, revision: 100}
	s := evacuation.New(clock.Now(), "a", bound, store, &fleet{}, eras, logrus.NewEntry(log))
	run(t, s)
	eventually(t, "zone b is known", func() bool { return s.Has(clock.Now(), "b") })
	eras.Observe(era.At(2), "store")
	store.set(func(s *source) { s.zones, s.revision = []string{"a"}, 100 })
	eventually(t, "zone a is evacuated", func() bool { return s.OwnZone(clock.Now()) == evacuation.Evacuated })
}

// A deployment without evacuations asks nobody and closes nothing.
func TestNoEvacuations(t *testing.T) {
	is := is.New(t)
	store := &source{zones: []string{"a"}, revision: 3}
	log := logrus.New()
	log.SetOutput(io.Discard)
	s := evacuation.New(clock.Now(), "a", 0, store, &fleet{}, era.New(logrus.NewEntry(log)), logrus.NewEntry(log))
	run(t, s)
	s.Noted(clock.Now(), "peer", note(`{"rev":10,"zones":["a"],"age":0}`))
	time.Sleep(time.Second)
	is.Equal(s.OwnZone(clock.Now()), evacuation.Open)
	is.Equal(s.Note(), nil)
	store.set(func(s *source) { is.Equal(s.calls, 0) })
}

// FuzzNote feeds notes of any content. What is accepted passes on.
func FuzzNote(f *testing.F) {
	for _, text := range []string{
		``, `null`, `[]`, `{"rev":1}`, `{"rev":0,"zones":["a"]}`, `{"rev":1,"zones":[""]}`, `{"rev":1,"age":-1}`,
		`{"era":18446744073709551615,"rev":18446744073709551615,"zones":["a","a"]}`, `{"rev":1,"zones":{"a":1}}`,
	} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		s := newService(start, "a", &source{}, &fleet{})
		s.Noted(start, "peer", text)
		s.Message(start, "peer", text)
		passed := s.Note()
		other := newService(start, "a", &source{}, &fleet{})
		if passed == nil {
			return
		}
		other.Noted(start, "peer", passed)
		is.New(t).Equal(s.Has(start, "a"), other.Has(start, "a"))
	})
}
