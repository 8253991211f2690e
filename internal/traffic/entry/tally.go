package entry

import (
	"cmp"
	"slices"

	"chestnutshed.example/chestnutshed/internal/core/failure"
	"chestnutshed.example/chestnutshed/internal/traffic/sender"
)

// Tally counts the results of the root requests of one organisation on one route.
type Tally struct {
	Organisation string `json:"organisation"`
	Route        string `json:"route"`
	// Answered is the number of requests with a complete response of a target.
	Answered uint64 `json:"whole"`
	// Refusals counts refusals by reason.
	Refusals []RefusalCount `json:"refused,omitempty"`
}

// RefusalCount is the number of requests refused for one reason.
type RefusalCount struct {
	Reason failure.Reason `json:"reason"`
	Count  uint64         `json:"count"`
}

type tallyKey struct{ organisation, route string }

// count adds the result of a root request.
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
	t.refusalCount(r.Refusal.Reason).Count++
}

// tallies returns a copy of all counts, sorted by organisation and route. The
// caller holds mu.
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

// Tallies returns the counts of root requests at this node, sorted by
// organisation and route.
func (s *Service) Tallies() []Tally {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.tallies()
}

// Add returns the sums of two lists of tallies, sorted.
func Add(a, b []Tally) []Tally { return combine(a, b, func(x, y uint64) uint64 { return x + y }) }

// Subtract returns a minus b, sorted. A count that is larger in b becomes 0: it
// came from a node that has died since.
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
			x := sum.refusalCount(r.Reason)
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

// refusalCount returns the count for a reason, and adds one of 0 if there is none.
func (t *Tally) refusalCount(reason failure.Reason) *RefusalCount {
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
