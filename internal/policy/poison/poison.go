// Package poison detects requests that crash every target that runs them.
//
// Each request in flight when a target crashes becomes a suspect. A suspect
// that is sent again must not run beside other suspects, so that a second crash
// identifies the one at fault, which is banned from then on.
package poison

import (
	"encoding/hex"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// suspectTTL is how long a fingerprint stays a suspect after a crash.
	suspectTTL = 10 * time.Minute
	// banTTL is how long a fingerprint is banned after its last crash.
	banTTL = time.Hour
	// maxFingerprints bounds the table; the oldest are removed first.
	maxFingerprints = 10000
	// banThreshold is the number of crashed targets that cause a ban.
	banThreshold = 2
)

// Fingerprint identifies equal requests: a hash over organisation, method, path
// and body.
type Fingerprint string

// FingerprintOf returns the fingerprint of a request. Target is the path with the
// query.
func FingerprintOf(organisation, method, target string, body []byte) Fingerprint {
	d := xxhash.New()
	for _, part := range []string{organisation, method, target} {
		_, _ = d.WriteString(part)
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write(body)
	return Fingerprint(hex.EncodeToString(d.Sum(nil)))
}

// Record is the state of one fingerprint, as gossiped between nodes.
type Record struct {
	Fingerprint Fingerprint `json:"print"`
	// Targets are the crashed targets that had the request in flight.
	Targets []string `json:"targets"`
	// Age is the time since the last crash.
	Age time.Duration `json:"age"`
}

type entry struct {
	targets   []string
	lastCrash time.Time
}

// Table holds suspects and bans. It is not safe for concurrent use.
type Table struct {
	entries map[Fingerprint]entry
}

// New returns an empty table.
func New() *Table { return &Table{entries: map[Fingerprint]entry{}} }

// Crashed records that a target crashed with these requests in flight, and
// returns the changed records. If suspects are among the requests, only they are
// recorded: they explain the crash, and it is no evidence against the others.
func (t *Table) Crashed(now time.Time, target string, inFlight []Fingerprint) []Record {
	blamed := t.suspectsAmong(now, inFlight)
	if len(blamed) == 0 {
		blamed = inFlight
	}
	var changed []Record
	for _, fp := range blamed {
		if t.add(now, fp, target) {
			changed = append(changed, t.record(now, fp))
		}
	}
	t.prune(now)
	return changed
}

func (t *Table) suspectsAmong(now time.Time, fingerprints []Fingerprint) []Fingerprint {
	var found []Fingerprint
	for _, fp := range fingerprints {
		if t.Suspect(now, fp) {
			found = append(found, fp)
		}
	}
	return found
}

func (t *Table) add(now time.Time, fp Fingerprint, target string) bool {
	e := t.entries[fp]
	for _, other := range e.targets {
		if other == target {
			return false
		}
	}
	e.targets = append(append([]string(nil), e.targets...), target)
	e.lastCrash = now
	t.entries[fp] = e
	return true
}

func (t *Table) record(now time.Time, fp Fingerprint) Record {
	e := t.entries[fp]
	return Record{Fingerprint: fp, Targets: e.targets, Age: now.Sub(e.lastCrash)}
}

// Cleared removes a suspect that ran to completion without a crash. A ban stays.
func (t *Table) Cleared(fp Fingerprint) {
	if len(t.entries[fp].targets) < banThreshold {
		delete(t.entries, fp)
	}
}

// Merge adds a peer's record to the table. It reports whether the table changed.
func (t *Table) Merge(now time.Time, r Record) bool {
	changed := false
	for _, target := range r.Targets {
		if t.add(now.Add(-r.Age), r.Fingerprint, target) {
			changed = true
		}
	}
	t.prune(now)
	return changed
}

// Suspect reports whether a fingerprint was in flight at a recent crash but is
// not banned.
func (t *Table) Suspect(now time.Time, fp Fingerprint) bool {
	e, ok := t.entries[fp]
	return ok && len(e.targets) < banThreshold && now.Sub(e.lastCrash) < suspectTTL
}

// Banned reports whether requests with a fingerprint are refused.
func (t *Table) Banned(now time.Time, fp Fingerprint) bool {
	e, ok := t.entries[fp]
	return ok && len(e.targets) >= banThreshold && now.Sub(e.lastCrash) < banTTL
}

// Len is the number of fingerprints in the table.
func (t *Table) Len() int { return len(t.entries) }

func (t *Table) prune(now time.Time) {
	for fp, e := range t.entries {
		if now.Sub(e.lastCrash) > banTTL {
			delete(t.entries, fp)
		}
	}
	for len(t.entries) > maxFingerprints {
		var oldest Fingerprint
		for fp, e := range t.entries {
			if oldest == "" || e.lastCrash.Before(t.entries[oldest].lastCrash) {
				oldest = fp
			}
		}
		delete(t.entries, oldest)
	}
}

// Bans returns the records of all fingerprints that are banned at now.
func (t *Table) Bans(now time.Time) []Record {
	var bans []Record
	for fp := range t.entries {
		if t.Banned(now, fp) {
			bans = append(bans, t.record(now, fp))
		}
	}
	return bans
}
