package departure_test

import (
	"context"
	"io"
	"sync"
	"testing"
	"time"

	"chestnutshed.example/chestnutshed/internal/core/kernel"
	"chestnutshed.example/chestnutshed/internal/fleet/departure"
	"chestnutshed.example/chestnutshed/internal/fleet/era"
	"chestnutshed.example/chestnutshed/internal/policy/lifecycle"
	"github.com/matryer/is"
	"github.com/sirupsen/logrus"
)

// fleet is a fleet of one node.
type fleet struct{}

func (fleet) IsFirst() bool { return false }
func (fleet) Size() int     { return 1 }

// store is a Store in memory.
type store struct {
	mu      sync.Mutex
	entries map[string][]byte
	era     era.Era
	// away is set while the store does not answer.
	away bool
}

func (s *store) Add(_ context.Context, name string, value []byte) (era.Era, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.away {
		return era.Era{}, io.ErrUnexpectedEOF
	}
	s.entries[name] = value
	return s.era, nil
}

func (s *store) List(context.Context) (map[string][]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	listed := map[string][]byte{}
	for name, value := range s.entries {
		listed[name] = value
	}
	return listed, nil
}

func (s *store) Remove(context.Context, string) error { return nil }

// change changes the store: it loses all entries and answers in an era.
func (s *store) change(e era.Era, away bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.entries, s.era, s.away = map[string][]byte{}, e, away
}

func (s *store) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.entries)
}

func start(t *testing.T, s *store) (*departure.Service, *era.Tracker) {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	eras := era.New(logrus.NewEntry(log))
	eras.Observe(s.era, "store")
	d := departure.New("n0", s, fleet{}, eras, logrus.NewEntry(log))
	k := kernel.New()
	is.New(t).NoErr(k.Register(d))
	is.New(t).NoErr(k.Start(context.Background()))
	t.Cleanup(func() { _ = k.Stop(context.Background()) })
	for _, known := d.Left(); !known; _, known = d.Left() {
		time.Sleep(time.Millisecond)
	}
	return d, eras
}

func keep(d *departure.Service, wait time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	return d.Keep(ctx, time.Now(), lifecycle.Leave{ID: "i-1", Born: 1000})
}

func eventually(t *testing.T, what string, f func() bool) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if f() {
			return
		}
	}
	t.Fatal("not within 5 s: " + what)
}

// A process writes again what the store lost of the leaves that it has written itself and of
// those that an earlier process had written.
func TestWrittenAgainInNextEra(t *testing.T) {
	is := is.New(t)
	s := &store{entries: map[string][]byte{}, era: era.At(1)}
	first, _ := start(t, s)
	is.NoErr(keep(first, time.Second))
	second, eras := start(t, s)
	left, _ := second.Left()
	is.Equal(len(left), 1)
	s.change(era.At(2), false)
	eras.Observe(era.At(2), "peer")
	eventually(t, "the leave is in the store", func() bool { return s.count() == 1 })
}

// An acknowledgement of an earlier era proves nothing in the current one.
func TestAcknowledgementOfEarlierEra(t *testing.T) {
	is := is.New(t)
	s := &store{entries: map[string][]byte{}, era: era.At(1)}
	d, eras := start(t, s)
	eras.Observe(era.At(2), "peer") // while the answers of the store are of era 1
	is.True(keep(d, 200*time.Millisecond) != nil)
	s.change(era.At(2), false)
	is.NoErr(keep(d, 2*time.Second))
	is.Equal(s.count(), 1)
}

// A leave that is announced again after the store came back is not acknowledged before it is
// written again.
func TestRepeatedLeaveAfterOlderCopy(t *testing.T) {
	is := is.New(t)
	s := &store{entries: map[string][]byte{}, era: era.At(1)}
	d, eras := start(t, s)
	is.NoErr(keep(d, time.Second))
	s.change(era.At(2), true)
	eras.Observe(era.At(2), "peer")
	is.True(keep(d, 200*time.Millisecond) != nil)
	s.change(era.At(2), false)
	is.NoErr(keep(d, 2*time.Second))
	is.Equal(s.count(), 1)
}
