// Package era tracks how often the store came back from an older copy.
//
// Each time that happens, the store loses the writes of its last seconds, gives their
// revisions out again, and raises its era by one. A revision, or an acknowledged write,
// holds only within its era.
package era

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"chestnutshed.example/chestnutshed/internal/core/kernel"
	"github.com/sirupsen/logrus"
)

// Era numbers the copies that the store has come back from. The zero value is unknown:
// it is neither before nor after any other.
type Era struct {
	number uint64
	known  bool
}

// At returns the era with a number.
func At(number uint64) Era { return Era{number, true} }

// Number returns the era's number, and false if it is unknown.
func (e Era) Number() (uint64, bool) { return e.number, e.known }

// After reports whether e is a later era than o. It is false if either is unknown.
func (e Era) After(o Era) bool { return e.known && o.known && e.number > o.number }

// MayLack reports whether a store in this era may lack what it acknowledged before. Only
// one whose era is still 0, or that names none, is known not to have come back from a copy.
func (e Era) MayLack() bool { return e.known && e.number > 0 }

// Differs reports whether e and o are known to be different eras.
func (e Era) Differs(o Era) bool { return e.known && o.known && e.number != o.number }

// String is the era's number in logs.
func (e Era) String() string {
	if !e.known {
		return "unknown"
	}
	return fmt.Sprint(e.number)
}

const (
	// renewalRate is how many nodes of a fleet write again per second, so that the store
	// has room for other calls.
	renewalRate = 400
	// minSpread and maxSpread bound the time over which the nodes of a fleet write again.
	minSpread = 500 * time.Millisecond
	maxSpread = 15 * time.Second
	// retryInterval is the time between attempts to write again.
	retryInterval = 500 * time.Millisecond
)

// Spread returns the time over which the nodes of a fleet of this size write again.
func Spread(nodes int) time.Duration {
	return min(max(time.Duration(nodes)*time.Second/renewalRate, minSpread), maxSpread)
}

// Tracker holds the latest era that a node has learned of, from the store or from peers.
// It is safe for concurrent use.
type Tracker struct {
	log *logrus.Entry

	mu      sync.Mutex
	current Era
	// rises is how often the era rose, and rose is closed at the next time.
	rises uint64
	rose  chan struct{}
	// invalid is set while the store's answers name no valid era.
	invalid bool
}

// New returns a tracker that knows no era.
func New(log *logrus.Entry) *Tracker {
	return &Tracker{log: log, rose: make(chan struct{})}
}

// Current returns the latest era.
func (t *Tracker) Current() Era {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.current
}

// Observe records an era that an answer of the store or a peer names, from which the log
// names. An earlier era comes from a message that was delayed, and is ignored.
func (t *Tracker) Observe(e Era, from string) {
	if !e.known {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.current.known {
		t.current = e
		return
	}
	if !e.After(t.current) {
		return
	}
	t.log.WithFields(logrus.Fields{"era": e.number, "was": t.current.number, "from": from}).Warn("store came back from an older copy")
	t.current = e
	t.rises++
	close(t.rose)
	t.rose = make(chan struct{})
}

// Invalid records that an answer of the store names an era that can't be read. Only the
// first one is logged, until Valid.
func (t *Tracker) Invalid(err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.invalid {
		t.log.WithError(err).Warn("invalid era of the store ignored")
	}
	t.invalid = true
}

// Valid records that an answer of the store names a valid era.
func (t *Tracker) Valid() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.invalid = false
}

// state returns how often the era rose, and a channel that is closed at the next time.
func (t *Tracker) state() (rises uint64, rose <-chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.rises, t.rose
}

// Follow calls renew after each rise of the era until it succeeds, and returns when ctx
// ends. What was written to the store before must be written again, and what was read from
// it be read again. Nodes returns the size of the fleet; all of its nodes together take
// Spread to begin.
//
// An acknowledgement counts in its own era only: if that is not the current one, renew
// returns an error, as Check does.
func (t *Tracker) Follow(ctx context.Context, nodes func() int, renew func(ctx context.Context) error) error {
	handled := uint64(0)
	for ctx.Err() == nil {
		rises, rose := t.state()
		if rises == handled {
			select {
			case <-ctx.Done():
			case <-rose:
			}
			continue
		}
		kernel.Pause(ctx, rand.N(Spread(nodes())))
		// Rises during the pause are handled too.
		rises, _ = t.state()
		for ctx.Err() == nil {
			err := renew(ctx)
			if err == nil {
				handled = rises
				break
			}
			t.log.WithError(err).Warn("not yet written to the store again")
			kernel.Pause(ctx, retryInterval/2+rand.N(retryInterval))
		}
	}
	return nil
}

// Check returns an error if an acknowledgement of the store is of an earlier era than the
// current one, in which the write may be lost.
func (t *Tracker) Check(acknowledged Era) error {
	if current := t.Current(); current.After(acknowledged) {
		return fmt.Errorf("acknowledged by the store in era %s, which is %s now", acknowledged, current)
	}
	return nil
}
