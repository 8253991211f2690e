// Package member holds what a node knows about the nodes of its fleet.
//
// Each node owns its record and raises its beat when it changes; others may
// only doubt it. A record with a greater beat replaces one with a smaller; at
// the same beat, left outranks dead, dead outranks suspect, suspect outranks
// alive. A new incarnation at an address ends the one before it.
package member

import (
	"cmp"
	"hash/fnv"
	"slices"
	"strconv"
	"time"
)

// Status is how a node is seen.
type Status int

// The statuses, in the order in which they outrank each other.
const (
	Alive Status = iota
	Suspect
	Dead
	Left
)

var statusNames = [...]string{"alive", "suspect", "dead", "left"}

// String returns the name shown to operators.
func (s Status) String() string {
	if s < 0 || int(s) >= len(statusNames) {
		return "status(" + strconv.Itoa(int(s)) + ")"
	}
	return statusNames[s]
}

// Record is what is told about one node.
type Record struct {
	// ID is the node's incarnation.
	ID string `json:"id"`
	// Address is its peers' listener, IP:port.
	Address string `json:"addr"`
	// Operators is its operators' listener, IP:port.
	Operators string `json:"ops,omitempty"`
	Zone      string `json:"zone"`
	Region    string `json:"region"`
	// Started orders incarnations at one address, in Unix nanoseconds.
	Started int64  `json:"start"`
	Beat    uint64 `json:"beat"`
	Status  Status `json:"status,omitempty"`
	// Service and Slots describe its target while that is ready.
	Service string `json:"svc,omitempty"`
	Slots   int    `json:"slots,omitempty"`
	// Instance and Born name the target's own incarnation: its ID and the Unix
	// millisecond of its start.
	Instance string `json:"inst,omitempty"`
	Born     int64  `json:"born,omitempty"`
	// SignedOff is set when that incarnation has said that it leaves, which is final
	// for it, also at the node's next process.
	SignedOff bool `json:"off,omitempty"`
	// Datagrams is where the node takes membership datagrams, IP:port.
	Datagrams string `json:"udp,omitempty"`
	// Failing is set while the target fails most requests.
	Failing bool `json:"fail,omitempty"`
	// Leaving is set when the node takes no new work.
	Leaving bool `json:"leave,omitempty"`
	// Confirmed is set on a gone node when there is positive evidence that it runs
	// no more: its port refuses, it said so, or another incarnation followed.
	Confirmed bool `json:"proven,omitempty"`
	// Successor is the node that keeps the tickets of one that left.
	Successor string `json:"heir,omitempty"`
}

// WithStatus returns a copy with another status.
func (r Record) WithStatus(s Status) Record {
	r.Status = s
	return r
}

func (r Record) proven(s Status) Record {
	r.Status = max(r.Status, s)
	r.Confirmed = true
	return r
}

// WithBeat returns a copy with another beat.
func (r Record) WithBeat(beat uint64) Record {
	r.Beat = beat
	return r
}

// Gone reports whether the node runs no more, as far as is known.
func (r Record) Gone() bool { return r.Status == Dead || r.Status == Left }

// Serves reports whether the node takes new calls for a service.
func (r Record) Serves(service string) bool {
	return r.Service == service && !r.Gone() && !r.Leaving && r.Slots > 0
}

// Hash is equal for equal states of a record.
func (r Record) Hash() uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(r.ID))
	_, _ = h.Write([]byte(strconv.FormatUint(r.Beat, 16)))
	_, _ = h.Write([]byte{byte(r.Status)})
	_, _ = h.Write(strconv.AppendBool(nil, r.Confirmed))
	return h.Sum64()
}

// part is what a record adds to the digest of a table.
func (r Record) part() uint64 {
	if r.Gone() {
		return 0
	}
	return r.Hash()
}

const (
	// suspectTime is how long a suspect has to answer before it counts as dead.
	suspectTime = 3 * time.Second
	// goneTime is how long records of gone nodes are kept, so that late news
	// of them isn't taken for new nodes.
	goneTime = 10 * time.Minute
)

type entry struct {
	record  Record
	changed time.Time
	// ready is when this node first heard of the present target.
	ready time.Time
}

// Table holds the records of all nodes known. It is not safe for concurrent
// use.
type Table struct {
	self      string
	entries   map[string]*entry
	byAddress map[string]string
	byService map[string][]string
	// order lists IDs for random choice without walking the map.
	order []string
	// digest joins the hashes of all records of nodes that are not gone.
	digest uint64
	// version grows with every change.
	version uint64
	began   time.Time
}

// New returns a table that holds the node's own record.
func New(now time.Time, self Record) *Table {
	t := &Table{
		self:      self.ID,
		entries:   map[string]*entry{},
		byAddress: map[string]string{},
		byService: map[string][]string{},
		began:     now,
	}
	t.put(now, self)
	return t
}

// Self is the node's own record.
func (t *Table) Self() Record { return t.entries[t.self].record }

// Update changes the own record and raises its beat.
func (t *Table) Update(now time.Time, change func(Record) Record) Record {
	own := t.Self()
	next := change(own).WithBeat(own.Beat + 1)
	t.put(now, next)
	return next
}

// Learn joins a record heard from another node. It returns the record to pass
// on and true when it was news. News that doubts the own record is answered by
// a record with a greater beat.
func (t *Table) Learn(now time.Time, r Record) (Record, bool) {
	if r.ID == "" || r.Address == "" {
		return r, false
	}
	if r.ID == t.self {
		return t.refute(now, r)
	}
	t.follow(now, r)
	if e, ok := t.entries[r.ID]; ok && !outranks(r, e.record) {
		return r, false
	}
	if other, ok := t.byAddress[r.Address]; ok && other != r.ID {
		if t.entries[other].record.Started > r.Started {
			r = r.proven(Dead)
		} else if !t.end(now, other) {
			return r, false
		}
	}
	t.put(now, r)
	return r, true
}

// end marks the incarnation that another one has followed.
func (t *Table) end(now time.Time, id string) bool {
	if id == t.self {
		return false
	}
	e := t.entries[id]
	if !e.record.Confirmed {
		t.put(now, e.record.proven(Dead))
	}
	return true
}

func (t *Table) refute(now time.Time, r Record) (Record, bool) {
	own := t.Self()
	doubted := r.Beat >= own.Beat && (r.Status == Suspect || r.Status == Dead)
	if !doubted || own.Status == Left {
		return own, false
	}
	own = own.WithBeat(r.Beat + 1)
	t.put(now, own)
	return own, true
}

// follow takes a start later than that of another incarnation at the own
// address: that one is gone, whatever the clock said when it started.
func (t *Table) follow(now time.Time, r Record) {
	own := t.Self()
	if r.Address != own.Address || r.Started < own.Started || own.Status == Left {
		return
	}
	own.Started = r.Started + 1
	t.put(now, own.WithBeat(own.Beat+1))
}

func outranks(r, known Record) bool {
	if (known.Status == Left) != (r.Status == Left) {
		return r.Status == Left
	}
	if r.Beat != known.Beat {
		return r.Beat > known.Beat
	}
	if r.Confirmed != known.Confirmed {
		return r.Confirmed
	}
	return r.Status > known.Status
}

func (t *Table) put(now time.Time, r Record) {
	e, ok := t.entries[r.ID]
	if !ok {
		e = &entry{}
		t.entries[r.ID] = e
		t.order = append(t.order, r.ID)
	} else {
		t.digest ^= e.record.part()
	}
	t.digest ^= r.part()
	t.version++
	if e.record.Service != r.Service || !ok {
		t.index(e.record, r)
	}
	if e.record.Instance != r.Instance && r.Instance != "" && now.Sub(t.began) > suspectTime {
		e.ready = now
	}
	if !r.Gone() {
		t.byAddress[r.Address] = r.ID
	}
	e.record, e.changed = r, now
}

func (t *Table) index(old, r Record) {
	if old.Service != "" {
		t.byService[old.Service] = slices.DeleteFunc(t.byService[old.Service], func(id string) bool { return id == r.ID })
	}
	if r.Service != "" {
		t.byService[r.Service] = append(t.byService[r.Service], r.ID)
	}
}

// MarkSuspect marks a node that did not answer as a suspect. It returns the record
// to pass on.
func (t *Table) MarkSuspect(now time.Time, id string) (Record, bool) {
	e, ok := t.entries[id]
	if !ok || e.record.Status != Alive || id == t.self {
		return Record{}, false
	}
	r := e.record.WithStatus(Suspect)
	t.put(now, r)
	return r, true
}

// MarkDead marks a node as dead on positive evidence: its port refuses.
func (t *Table) MarkDead(now time.Time, id string) (Record, bool) {
	e, ok := t.entries[id]
	if !ok || e.record.Confirmed || id == t.self {
		return Record{}, false
	}
	r := e.record.proven(Dead)
	t.put(now, r)
	return r, true
}

// Expire turns suspects that did not answer in time into dead ones and forgets
// nodes that are long gone. It returns the records to pass on.
func (t *Table) Expire(now time.Time) []Record {
	var changed []Record
	for _, e := range t.entries {
		if e.record.Status == Suspect && now.Sub(e.changed) > suspectTime {
			r := e.record.WithStatus(Dead)
			t.put(now, r)
			changed = append(changed, r)
		}
	}
	t.Forget(now)
	return changed
}

// Forget drops the records of nodes that are long gone.
func (t *Table) Forget(now time.Time) {
	for id, e := range t.entries {
		if e.record.Gone() && now.Sub(e.changed) > goneTime && id != t.self {
			t.forget(id)
		}
	}
}

// Digest is equal for tables that know the same of the nodes that are not gone.
func (t *Table) Digest() uint64 { return t.digest }

// Version grows with every change of the table.
func (t *Table) Version() uint64 { return t.version }

// Changed is when this node learned the present record of a node.
func (t *Table) Changed(id string) time.Time {
	if e, ok := t.entries[id]; ok {
		return e.changed
	}
	return time.Time{}
}

// Newer reports whether the table knows more of a node than a version of its
// record says.
func (t *Table) Newer(id string, beat uint64, status Status) bool {
	e, ok := t.entries[id]
	return ok && outranks(e.record, Record{ID: id, Beat: beat, Status: status})
}

func (t *Table) forget(id string) {
	t.version++
	r := t.entries[id].record
	delete(t.entries, id)
	if t.byAddress[r.Address] == id {
		delete(t.byAddress, r.Address)
	}
	t.index(r, Record{ID: id})
	t.order = slices.DeleteFunc(t.order, func(other string) bool { return other == id })
}

// Get returns the record of an incarnation.
func (t *Table) Get(id string) (Record, bool) {
	e, ok := t.entries[id]
	if !ok {
		return Record{}, false
	}
	return e.record, true
}

// At returns the record of the incarnation last known at an address.
func (t *Table) At(address string) (Record, bool) {
	return t.Get(t.byAddress[address])
}

// SignedOff returns the records of an address whose targets have said that they
// leave, those of nodes that are gone as well.
func (t *Table) SignedOff(address string) []Record {
	var found []Record
	for _, e := range t.entries {
		if e.record.Address == address && e.record.SignedOff {
			found = append(found, e.record)
		}
	}
	return found
}

// Successor follows the heirs of nodes that left to the node that has their tickets
// now.
func (t *Table) Successor(id string) (Record, bool) {
	for range 16 {
		r, ok := t.Get(id)
		if !ok || r.Successor == "" {
			return r, ok
		}
		id = r.Successor
	}
	return Record{}, false
}

// TargetSince is when this node first heard of the present target of a node; zero if
// it was there before this node.
func (t *Table) TargetSince(id string) time.Time {
	if e, ok := t.entries[id]; ok {
		return e.ready
	}
	return time.Time{}
}

// Serving returns the records of nodes that take calls for a service.
func (t *Table) Serving(service string) []Record {
	var found []Record
	for _, id := range t.byService[service] {
		if r := t.entries[id].record; r.Serves(service) {
			found = append(found, r)
		}
	}
	return found
}

// Each calls visit with every record, in no order. It copies nothing, so that
// duties can look at a large fleet often.
func (t *Table) Each(visit func(r *Record)) {
	for _, e := range t.entries {
		visit(&e.record)
	}
}

// All returns all records, ordered by address.
func (t *Table) All() []Record {
	all := make([]Record, 0, len(t.entries))
	for _, e := range t.entries {
		all = append(all, e.record)
	}
	slices.SortFunc(all, func(a, b Record) int {
		return cmp.Or(cmp.Compare(a.Address, b.Address), cmp.Compare(a.ID, b.ID))
	})
	return all
}

// Pick returns up to n different nodes, other than this one, that seem to run.
// Next returns a number below its argument.
func (t *Table) Pick(n int, next func(int) int) []Record {
	return t.PickWhere(n, next, func(*Record) bool { return true })
}

// PickWhere is Pick among the nodes for which keep returns true.
func (t *Table) PickWhere(n int, next func(int) int, keep func(*Record) bool) []Record {
	if len(t.order) == 0 || n <= 0 {
		return nil
	}
	var picked []Record
	// From a random place on, in the table's order, which has no meaning.
	start := next(len(t.order))
	for i := range t.order {
		id := t.order[(start+i)%len(t.order)]
		r := &t.entries[id].record
		if id == t.self || r.Gone() || !keep(r) {
			continue
		}
		if picked = append(picked, *r); len(picked) == n {
			break
		}
	}
	return picked
}

// CountRunning is the number of nodes that seem to run, this one included.
func (t *Table) CountRunning() int {
	n := 0
	for _, e := range t.entries {
		if !e.record.Gone() {
			n++
		}
	}
	return n
}

// Len is the number of records.
func (t *Table) Len() int { return len(t.entries) }
