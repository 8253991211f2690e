package ticket

import (
	"time"

	"github.com/google/uuid"
	"github.com/gravitational/trace"
)

// Snapshot is the state of a registry, handed over to another node at a planned
// stop. It contains the registry's secret, therefore it must only be sent to peers.
type Snapshot struct {
	ID      uuid.UUID           `json:"id"`
	Secret  []byte              `json:"secret"`
	Age     time.Duration       `json:"age"`
	Issued  map[uint32]uint32   `json:"issued"`
	Used    map[uint32][]uint64 `json:"used"`
	Results []Result            `json:"kept"`
}

// Result is one finished request in a snapshot.
type Result struct {
	Period      uint32  `json:"period"`
	Serial      uint32  `json:"serial"`
	Fingerprint string  `json:"print"`
	Answer      *Answer `json:"answer,omitempty"`
	// Unknown is set for a request whose outcome is unknown.
	Unknown bool `json:"unknown,omitempty"`
}

// Export returns a snapshot of a closed registry. It returns
// trace.CompareFailed while requests run or the registry is open.
func (reg *Registry) Export(now time.Time) (Snapshot, error) {
	if !reg.closed || len(reg.running) > 0 {
		return Snapshot{}, trace.CompareFailed("registry is open or has %d running requests", len(reg.running))
	}
	snap := Snapshot{ID: reg.id, Secret: reg.secret, Age: now.Sub(reg.epoch), Issued: reg.issued, Used: reg.used}
	for _, s := range reg.order {
		r, ok := reg.results[s]
		if !ok {
			continue
		}
		result := Result{Period: s.Period, Serial: s.Serial, Fingerprint: r.fingerprint}
		switch o := r.outcome.(type) {
		case Completed:
			result.Answer = &o.Answer
		case Unknown:
			result.Unknown = true
		}
		snap.Results = append(snap.Results, result)
	}
	return snap, nil
}

// Restore returns an open registry with the state of a snapshot. It returns
// trace.BadParameter for an invalid secret or ID. The snapshot holds the age of
// the registry, not its start time, so node clocks need not agree.
func Restore(now time.Time, snap Snapshot) (*Registry, error) {
	if len(snap.Secret) != secretSize || snap.ID == uuid.Nil {
		return nil, trace.BadParameter("snapshot has no valid secret or incarnation ID")
	}
	reg := newRegistry(snap.ID, snap.Secret, now.Add(-snap.Age))
	for p, n := range snap.Issued {
		reg.issued[p] = n
	}
	for p, bits := range snap.Used {
		reg.used[p] = bits
	}
	for _, r := range snap.Results {
		reg.cache(serial{r.Period, r.Serial}, r.Fingerprint, r.outcome())
	}
	return reg, nil
}

func (r Result) outcome() Outcome {
	if r.Answer != nil {
		return Completed{*r.Answer}
	}
	return Unknown{unknownRefusal()}
}
