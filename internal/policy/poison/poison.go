// Package poison finds requests that crash each target that runs them.
//
// Every request in flight when a target crashes is a suspect. A suspect that
// is sent again runs alone among suspects, so that a second crash points at
// one of them; that one is refused from then on.
package poison

import "time"

const (
	// suspectLife is how long a fingerprint stays a suspect after a crash.
	suspectLife = 10 * time.Minute
	// banLife is how long a fingerprint is refused.
	banLife = time.Hour
	// maxPrints bounds the table; the oldest go first.
	maxPrints = 10000
	// bansAt is the number of crashed targets that make a ban.
	bansAt = 2
)

// Fingerprint identifies requests that are alike: a hash over organisation, method,
// path and body.
type Fingerprint string

// Record is what is known of one fingerprint, as it is gossiped.
type Record struct {
	Fingerprint Fingerprint `json:"print"`
	// Targets are the crashed targets that had it in flight.
	Targets []string `json:"targets"`
	// Age is the time since the last crash.
	Age time.Duration `json:"age"`
}

type entry struct {
	targets []string
	last    time.Time
}

// Table holds suspects and bans. It is not safe for concurrent use.
type Table struct {
	entries map[Fingerprint]entry
}

// New returns an empty table.
func New() *Table { return &Table{entries: map[Fingerprint]entry{}} }

// Crashed notes that a target crashed with these requests in flight, and
// returns the records that changed. A crash with a suspect in flight says
// nothing about the others, which are left alone.
func (t *Table) Crashed(now time.Time, target string, inFlight []Fingerprint) []Record {
	accused := t.suspectsAmong(now, inFlight)
	if len(accused) == 0 {
		accused = inFlight
	}
	var changed []Record
	for _, p := range accused {
		if t.add(now, p, target) {
			changed = append(changed, t.record(now, p))
		}
	}
	t.trim(now)
	return changed
}

func (t *Table) suspectsAmong(now time.Time, prints []Fingerprint) []Fingerprint {
	var found []Fingerprint
	for _, p := range prints {
		if t.Suspect(now, p) {
			found = append(found, p)
		}
	}
	return found
}

func (t *Table) add(now time.Time, p Fingerprint, target string) bool {
	e := t.entries[p]
	for _, other := range e.targets {
		if other == target {
			return false
		}
	}
	e.targets = append(append([]string(nil), e.targets...), target)
	e.last = now
	t.entries[p] = e
	return true
}

func (t *Table) record(now time.Time, p Fingerprint) Record {
	e := t.entries[p]
	return Record{Fingerprint: p, Targets: e.targets, Age: now.Sub(e.last)}
}

// Cleared forgets a suspect that ran to its end. A ban stays.
func (t *Table) Cleared(p Fingerprint) {
	if len(t.entries[p].targets) < bansAt {
		delete(t.entries, p)
	}
}

// Merge joins a record heard from a peer. It reports whether it was new.
func (t *Table) Merge(now time.Time, r Record) bool {
	changed := false
	for _, target := range r.Targets {
		if t.add(now.Add(-r.Age), r.Fingerprint, target) {
			changed = true
		}
	}
	t.trim(now)
	return changed
}

// Suspect reports whether a fingerprint was in flight at one crash.
func (t *Table) Suspect(now time.Time, p Fingerprint) bool {
	e, ok := t.entries[p]
	return ok && len(e.targets) < bansAt && now.Sub(e.last) < suspectLife
}

// Banned reports whether a fingerprint is refused.
func (t *Table) Banned(now time.Time, p Fingerprint) bool {
	e, ok := t.entries[p]
	return ok && len(e.targets) >= bansAt && now.Sub(e.last) < banLife
}

// Len is the number of fingerprints held.
func (t *Table) Len() int { return len(t.entries) }

func (t *Table) trim(now time.Time) {
	for p, e := range t.entries {
		if now.Sub(e.last) > banLife {
			delete(t.entries, p)
		}
	}
	for len(t.entries) > maxPrints {
		var oldest Fingerprint
		for p, e := range t.entries {
			if oldest == "" || e.last.Before(t.entries[oldest].last) {
				oldest = p
			}
		}
		delete(t.entries, oldest)
	}
}

// Bans returns the records of all fingerprints that are refused at now.
func (t *Table) Bans(now time.Time) []Record {
	var bans []Record
	for p := range t.entries {
		if t.Banned(now, p) {
			bans = append(bans, t.record(now, p))
		}
	}
	return bans
}
