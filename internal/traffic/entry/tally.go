package entry

import (
	"cmp"
	"slices"

	"chestnutshed.example/chestnutshed/internal/core/failure"
	"chestnutshed.example/chestnutshed/internal/traffic/sender"
)

// Tally counts what became of the roots of one organisation on one route.
type Tally struct {
	Organisation string `json:"organisation"`
	Route        string `json:"route"`
	// Whole is the number of whole answers.
	Whole uint64 `json:"whole"`
	// Refused counts refusals by reason.
	Refused []Refused `json:"refused,omitempty"`
}

// Refused is the number of refusals for one reason.
type Refused struct {
	Reason failure.Reason `json:"reason"`
	Count  uint64         `json:"count"`
}

type tallyKey struct{ organisation, route string }

// count notes the result of a root.
func (s *Service) count(organisation, route string, r sender.Result) {
	s.mu.Lock()
	defer s.mu.Unlock()
	key := tallyKey{organisation, route}
	t, ok := s.counts[key]
	if !ok {
		t = &Tally{Organisation: organisation, Route: route}
		s.counts[key] = t
	}
	if r.Refusal == nil {
		t.Whole++
		return
	}
	at := slices.IndexFunc(t.Refused, func(x Refused) bool { return x.Reason == r.Refusal.Reason })
	if at < 0 {
		t.Refused = append(t.Refused, Refused{Reason: r.Refusal.Reason})
		at = len(t.Refused) - 1
	}
	t.Refused[at].Count++
}

// tallies returns all counts in order. The caller holds mu.
func (s *Service) tallies() []Tally {
	list := make([]Tally, 0, len(s.counts))
	for _, t := range s.counts {
		c := *t
		c.Refused = slices.Clone(t.Refused)
		list = append(list, c)
	}
	slices.SortFunc(list, func(a, b Tally) int {
		return cmp.Or(cmp.Compare(a.Organisation, b.Organisation), cmp.Compare(a.Route, b.Route))
	})
	return list
}
