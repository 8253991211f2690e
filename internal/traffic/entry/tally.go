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
	// Answered is the number of whole answers.
	Answered uint64 `json:"whole"`
	// Refusals counts refusals by reason.
	Refusals []RefusalCount `json:"refused,omitempty"`
}

// RefusalCount is the number of refusals for one reason.
type RefusalCount struct {
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
		t.Answered++
		return
	}
	t.refused(r.Refusal.Reason).Count++
}

// tallies returns all counts in order. The caller holds mu.
func (s *Service) tallies() []Tally {
	list := make([]Tally, 0, len(s.counts))
	for _, t := range s.counts {
		c := *t
		c.Refusals = slices.Clone(t.Refusals)
		list = append(list, c)
	}
	sortTallies(list)
	return list
}

// Tallies returns what became of the roots at this node.
func (s *Service) Tallies() []Tally {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.tallies()
}

// Add returns the sums of two lists of tallies, in order.
func Add(a, b []Tally) []Tally { return combine(a, b, func(x, y uint64) uint64 { return x + y }) }

// Subtract returns what a has beyond b. Counts that b has more of are 0: the
// nodes that counted them have died.
func Subtract(a, b []Tally) []Tally {
	return combine(a, b, func(x, y uint64) uint64 { return x - min(x, y) })
}

func combine(a, b []Tally, join func(x, y uint64) uint64) []Tally {
	sums := map[tallyKey]*Tally{}
	of := func(t Tally) *Tally {
		key := tallyKey{t.Organisation, t.Route}
		if sums[key] == nil {
			sums[key] = &Tally{Organisation: t.Organisation, Route: t.Route}
		}
		return sums[key]
	}
	for _, t := range a {
		sum := of(t)
		sum.Answered = t.Answered
		sum.Refusals = slices.Clone(t.Refusals)
	}
	for _, t := range b {
		sum := of(t)
		sum.Answered = join(sum.Answered, t.Answered)
		for _, r := range t.Refusals {
			x := sum.refused(r.Reason)
			x.Count = join(x.Count, r.Count)
		}
	}
	list := make([]Tally, 0, len(sums))
	for _, t := range sums {
		list = append(list, *t)
	}
	sortTallies(list)
	return list
}

// refused is the count of a reason, 0 at first.
func (t *Tally) refused(reason failure.Reason) *RefusalCount {
	at := slices.IndexFunc(t.Refusals, func(x RefusalCount) bool { return x.Reason == reason })
	if at < 0 {
		t.Refusals = append(t.Refusals, RefusalCount{Reason: reason})
		at = len(t.Refusals) - 1
	}
	return &t.Refusals[at]
}

func sortTallies(list []Tally) {
	slices.SortFunc(list, func(a, b Tally) int {
		return cmp.Or(cmp.Compare(a.Organisation, b.Organisation), cmp.Compare(a.Route, b.Route))
	})
}
