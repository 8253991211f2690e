// Package poison detects requests that crash every target that runs them.
//
// Each request in flight when a target crashes becomes a suspect. If a suspect that is
// sent again is in flight at a second crash, it is banned. Where several suspects are,
// the crash does not tell which one is at fault, and those that are in flight at a
// third crash are banned. So suspects should run one at a time on a target.
//
// Only a run that began when its request was a suspect counts towards a ban: equal
// requests that innocently ran on two targets at the same time do not.
package poison

import (
	"encoding/hex"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// suspectTTL is how long a fingerprint stays a suspect after a crash.
	suspectTTL = 10 * time.Minute
	// firstBan is how long a fingerprint is banned after two crashes. It may be a
	// coincidence, so the request is tried once more afterwards. banTTL is how long it
	// is banned after more of them.
	firstBan = 5 * time.Minute
	banTTL   = time.Hour
	// maxFingerprints bounds the table; the oldest are removed first.
	maxFingerprints = 10000
	// banThreshold is the number of crashed targets that cause a ban, and
	// sharedThreshold the number where other suspects were in flight too.
	banThreshold    = 2
	sharedThreshold = 3
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

// Record is the state of one fingerprint, as exchanged between nodes.
type Record struct {
	Fingerprint Fingerprint `json:"print"`
	// Targets are the crashed targets that had the request in flight.
	Targets []string `json:"targets"`
	// Age is the time since the last crash.
	Age time.Duration `json:"age"`
	// Banned is set when a node has found the request to be the cause.
	Banned bool `json:"ban,omitempty"`
}

// Run is a request in flight.
type Run struct {
	Fingerprint Fingerprint
	// Suspect is set if the request was a suspect when it started.
	Suspect bool
}

type entry struct {
	targets   []string
	lastCrash time.Time
	banned    bool
}

// banEnd returns when a ban ends, zero without one.
func (e entry) banEnd() time.Time {
	switch {
	case !e.banned:
		return time.Time{}
	case len(e.targets) > banThreshold:
		return e.lastCrash.Add(banTTL)
	}
	return e.lastCrash.Add(firstBan)
}

// Table holds suspects and bans. It is not safe for concurrent use.
type Table struct {
	entries map[Fingerprint]entry
}

// New returns an empty table.
func New() *Table { return &Table{entries: map[Fingerprint]entry{}} }

// Crashed records that a target crashed with these requests in flight, and returns the
// changed records. If suspects are among the requests, only they are recorded: they
// explain the crash, and it is no evidence against the others.
func (t *Table) Crashed(now time.Time, target string, inFlight []Run) []Record {
	all, suspects := map[Fingerprint]bool{}, map[Fingerprint]bool{}
	for _, r := range inFlight {
		all[r.Fingerprint] = true
		if r.Suspect {
			suspects[r.Fingerprint] = true
		}
	}
	blamed, threshold := all, 0
	switch {
	case len(suspects) == 1:
		blamed, threshold = suspects, banThreshold
	case len(suspects) > 1:
		blamed, threshold = suspects, sharedThreshold
	}
	var changed []Record
	for fp := range blamed {
		if !t.add(now, fp, target) {
			continue
		}
		e := t.entries[fp]
		e.banned = e.banned || (threshold > 0 && len(e.targets) >= threshold)
		t.entries[fp] = e
		changed = append(changed, t.record(now, fp))
	}
	t.Prune(now)
	return changed
}

func (t *Table) add(at time.Time, fp Fingerprint, target string) bool {
	e := t.entries[fp]
	if slices.Contains(e.targets, target) {
		return false
	}
	e.targets = append(slices.Clone(e.targets), target)
	if at.After(e.lastCrash) {
		e.lastCrash = at
	}
	t.entries[fp] = e
	return true
}

func (t *Table) record(now time.Time, fp Fingerprint) Record {
	e := t.entries[fp]
	return Record{Fingerprint: fp, Targets: e.targets, Age: now.Sub(e.lastCrash), Banned: e.banned}
}

// Cleared removes a suspect that ran to completion without a crash. A ban stays.
func (t *Table) Cleared(now time.Time, fp Fingerprint) {
	if !t.Banned(now, fp) {
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
	if e, ok := t.entries[r.Fingerprint]; ok && r.Banned && !e.banned {
		e.banned, changed = true, true
		t.entries[r.Fingerprint] = e
	}
	t.Prune(now)
	return changed
}

// Suspect reports whether a fingerprint was in flight at a recent crash but is
// not banned.
func (t *Table) Suspect(now time.Time, fp Fingerprint) bool {
	e, ok := t.entries[fp]
	return ok && !t.Banned(now, fp) && now.Sub(e.lastCrash) < suspectTTL
}

// Banned reports whether requests with a fingerprint are refused.
func (t *Table) Banned(now time.Time, fp Fingerprint) bool { return t.BanLeft(now, fp) > 0 }

// BanLeft returns how long a fingerprint is still banned, 0 if it is not.
func (t *Table) BanLeft(now time.Time, fp Fingerprint) time.Duration {
	e, ok := t.entries[fp]
	if !ok {
		return 0
	}
	return max(0, e.banEnd().Sub(now))
}

// Len is the number of fingerprints in the table.
func (t *Table) Len() int { return len(t.entries) }

// Prune removes expired entries.
func (t *Table) Prune(now time.Time) {
	for fp, e := range t.entries {
		if now.Sub(e.lastCrash) > suspectTTL && !now.Before(e.banEnd()) {
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
