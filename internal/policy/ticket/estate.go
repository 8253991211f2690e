package ticket

import (
	"time"

	"github.com/google/uuid"
	"github.com/gravitational/trace"
)

// Estate is what a home passes on at a planned stop. It holds the home's
// secret and travels between peers only.
type Estate struct {
	ID     uuid.UUID           `json:"id"`
	Secret []byte              `json:"secret"`
	Age    time.Duration       `json:"age"`
	Issued map[uint32]uint32   `json:"issued"`
	Used   map[uint32][]uint64 `json:"used"`
	Kept   []Ended             `json:"kept"`
}

// Ended is one finished request in an estate.
type Ended struct {
	Period uint32  `json:"period"`
	Serial uint32  `json:"serial"`
	Print  string  `json:"print"`
	Answer *Answer `json:"answer,omitempty"`
	// Unknown is set for a request whose outcome was not learned.
	Unknown bool `json:"unknown,omitempty"`
}

// Export returns the estate of a closed home. It returns trace.CompareFailed
// while requests run or the home is open.
func (h *Home) Export(now time.Time) (Estate, error) {
	if !h.closed || len(h.running) > 0 {
		return Estate{}, trace.CompareFailed("the home is open or has %d running requests", len(h.running))
	}
	e := Estate{ID: h.id, Secret: h.secret, Age: now.Sub(h.epoch), Issued: h.issued, Used: h.used}
	for _, s := range h.order {
		k, ok := h.kept[s]
		if !ok {
			continue
		}
		ended := Ended{Period: s.Period, Serial: s.Serial, Print: k.print}
		switch o := k.outcome.(type) {
		case Whole:
			ended.Answer = &o.Answer
		case Unknown:
			ended.Unknown = true
		}
		e.Kept = append(e.Kept, ended)
	}
	return e, nil
}

// Adopt returns a home that goes on where the estate's home stopped.
func Adopt(now time.Time, e Estate) (*Home, error) {
	if len(e.Secret) != secretSize || e.ID == uuid.Nil {
		return nil, trace.BadParameter("the estate has no valid secret or identity")
	}
	h := newHome(e.ID, e.Secret, now.Add(-e.Age))
	for p, n := range e.Issued {
		h.issued[p] = n
	}
	for p, bits := range e.Used {
		h.used[p] = bits
	}
	for _, k := range e.Kept {
		h.keep(serial{k.Period, k.Serial}, k.Print, k.outcome())
	}
	return h, nil
}

func (k Ended) outcome() Outcome {
	if k.Answer != nil {
		return Whole{*k.Answer}
	}
	return Unknown{unknownRefusal()}
}
