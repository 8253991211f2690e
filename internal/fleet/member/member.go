// Package member holds a node's view of the members of its fleet.
//
// Each node owns its record and raises the version when the record changes.
// Other nodes may only mark it as suspect or dead. The record with the greater
// version wins. At the same version, a confirmed end outranks an unconfirmed
// status, and dead outranks suspect, which outranks alive. Left is final and
// outranks everything, whatever the version. A new incarnation at an address
// supersedes the one before it.
package member

import (
	"cmp"
	"hash/fnv"
	"slices"
	"strconv"
	"time"

	"chestnutshed.example/chestnutshed/internal/policy/lifecycle"
)

// Status is the state of a node, as another node sees it.
type Status int

// The statuses. At equal versions of a record a later one outranks an earlier
// one.
const (
	Alive Status = iota
	Suspect
	Dead
	Left
)

var statusNames = [...]string{"alive", "suspect", "dead", "left"}

// String returns the name of the status, as logs show it.
func (s Status) String() string {
	if s < 0 || int(s) >= len(statusNames) {
		return "status(" + strconv.Itoa(int(s)) + ")"
	}
	return statusNames[s]
}

// Record describes one incarnation of a node. Nodes exchange records as JSON.
type Record struct {
	// ID identifies the incarnation; it changes with every start of the
	// process.
	ID string `json:"id"`
	// Address is the node's listener for peers, IP:port.
	Address string `json:"addr"`
	// Operators is the node's listener for operators, IP:port.
	Operators string `json:"ops,omitempty"`
	Zone      string `json:"zone"`
	Region    string `json:"region"`
	// Started orders the incarnations at one address, in Unix nanoseconds.
	Started int64 `json:"start"`
	// Version increases with every change of the record by its node.
	Version uint64 `json:"beat"`
	Status  Status `json:"status,omitempty"`
	// Service and Slots describe the node's target; Slots is 0 unless the
	// target is ready.
	Service string `json:"svc,omitempty"`
	Slots   int    `json:"slots,omitempty"`
	// Instance and Born identify the incarnation of the target: its ID and the
	// time of its start in Unix milliseconds.
	Instance string `json:"inst,omitempty"`
	Born     int64  `json:"born,omitempty"`
	// Deregistered is set when that incarnation of the target has announced
	// that it leaves. This is final for the incarnation, also when the node
	// restarts.
	Deregistered bool `json:"off,omitempty"`
	// Until is set where Born is not known at the leave: all incarnations with this ID
	// that started by then have left. It is in Unix milliseconds.
	Until int64 `json:"until,omitempty"`
	// Datagrams is the node's listener for membership datagrams, IP:port.
	Datagrams string `json:"udp,omitempty"`
	// Failing is set while the target fails most requests.
	Failing bool `json:"fail,omitempty"`
	// Leaving is set when the node accepts no new work.
	Leaving bool `json:"leave,omitempty"`
	// Confirmed is set on a dead or left node when there is evidence that it no
	// longer runs: its port refuses connections, it announced its end, or
	// another incarnation started at its address.
	Confirmed bool `json:"proven,omitempty"`
	// Successor is the ID of the node that took over the tickets of one that
	// left.
	Successor string `json:"heir,omitempty"`
}

// WithStatus returns a copy with the given status.
func (r Record) WithStatus(s Status) Record {
	r.Status = s
	return r
}

func (r Record) confirmed(s Status) Record {
	r.Status = max(r.Status, s)
	r.Confirmed = true
	return r
}

// WithVersion returns a copy with the given version.
func (r Record) WithVersion(version uint64) Record {
	r.Version = version
	return r
}

// HasLeft reports whether an incarnation of the node's target has announced that it
// leaves. Earlier ones with the same ID have ended.
func (r Record) HasLeft(instance string, born int64) bool {
	return r.Deregistered && lifecycle.Leave{ID: r.Instance, Born: r.Born, ReceivedAt: time.UnixMilli(r.Until)}.Covers(instance, born)
}

// Gone reports whether the node is dead or has left.
func (r Record) Gone() bool { return r.Status == Dead || r.Status == Left }

// Serves reports whether the node accepts new calls for a service.
func (r Record) Serves(service string) bool {
	return r.Service == service && !r.Gone() && !r.Leaving && r.Slots > 0
}

// Hash returns a hash of the ID, version, status and confirmation, which is
// equal for equal states of the record.
func (r Record) Hash() uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(r.ID))
	_, _ = h.Write([]byte(strconv.FormatUint(r.Version, 16)))
	_, _ = h.Write([]byte{byte(r.Status)})
	_, _ = h.Write(strconv.AppendBool(nil, r.Confirmed))
	return h.Sum64()
}

// digestTerm returns the record's contribution to Table.Digest, 0 for a node
// that is gone.
func (r Record) digestTerm() uint64 {
	if r.Gone() {
		return 0
	}
	return r.Hash()
}

const (
	// suspectTimeout is how long a suspect may take to refute before it is
	// marked dead.
	suspectTimeout = 3 * time.Second
	// goneRetention is how long records of gone nodes are kept as tombstones,
	// so that a delayed message doesn't bring them back as new nodes.
	goneRetention = 10 * time.Minute
)

type entry struct {
	record  Record
	changed time.Time
	// targetSince is when this node first learned of the present incarnation of
	// the target; zero if the target is older than this node.
	targetSince time.Time
}

// Table holds the records of all known nodes. It is not safe for concurrent
// use.
type Table struct {
	self      string
	entries   map[string]*entry
	byAddress map[string]string
	byService map[string][]string
	// ids lists the IDs, so that a random node is found without walking the
	// map.
	ids []string
	// digest is the XOR of the hashes of all records of nodes that are not
	// gone.
	digest uint64
	// version increases with every change of the table.
	version uint64
	created time.Time
}

// New returns a table that holds only the node's own record.
func New(now time.Time, self Record) *Table {
	t := &Table{
		self:      self.ID,
		entries:   map[string]*entry{},
		byAddress: map[string]string{},
		byService: map[string][]string{},
		created:   now,
	}
	t.put(now, self)
	return t
}

// Self returns the node's own record.
func (t *Table) Self() Record { return t.entries[t.self].record }

// Update changes the node's own record, raises its version and returns it.
func (t *Table) Update(now time.Time, change func(Record) Record) Record {
	own := t.Self()
	next := change(own).WithVersion(own.Version + 1)
	t.put(now, next)
	return next
}

// Learn merges a record received from another node. It returns the record to
// pass on, and true if it changed the table. A record that marks this node as
// suspect or dead is refuted by its own record with a greater version.
func (t *Table) Learn(now time.Time, r Record) (Record, bool) {
	if r.ID == "" || r.Address == "" {
		return r, false
	}
	if r.ID == t.self {
		return t.refute(now, r)
	}
	t.raiseStarted(now, r)
	if e, ok := t.entries[r.ID]; ok && !outranks(r, e.record) {
		return r, false
	}
	if other, ok := t.byAddress[r.Address]; ok && other != r.ID {
		if t.entries[other].record.Started > r.Started {
			r = r.confirmed(Dead)
		} else if !t.supersede(now, other) {
			return r, false
		}
	}
	t.put(now, r)
	return r, true
}

// supersede marks an incarnation as dead since another one started at its
// address. It reports false for this node itself, which is not marked.
func (t *Table) supersede(now time.Time, id string) bool {
	if id == t.self {
		return false
	}
	e := t.entries[id]
	if !e.record.Confirmed {
		t.put(now, e.record.confirmed(Dead))
	}
	return true
}

// refute answers a record of this node that marks it as suspect or dead.
func (t *Table) refute(now time.Time, r Record) (Record, bool) {
	own := t.Self()
	suspected := r.Version >= own.Version && (r.Status == Suspect || r.Status == Dead)
	if !suspected || own.Status == Left {
		return own, false
	}
	own = own.WithVersion(r.Version + 1)
	t.put(now, own)
	return own, true
}

// raiseStarted raises this node's Started above that of an earlier incarnation
// at its address. This matters when the clock was set back between the two
// starts.
func (t *Table) raiseStarted(now time.Time, r Record) {
	own := t.Self()
	if r.Address != own.Address || r.Started < own.Started || own.Status == Left {
		return
	}
	own.Started = r.Started + 1
	t.put(now, own.WithVersion(own.Version+1))
}

// outranks reports whether r replaces the known record of the same node.
func outranks(r, known Record) bool {
	if (known.Status == Left) != (r.Status == Left) {
		return r.Status == Left
	}
	if r.Version != known.Version {
		return r.Version > known.Version
	}
	if r.Confirmed != known.Confirmed {
		return r.Confirmed
	}
	return r.Status > known.Status
}

// put stores a record and updates the indexes, the digest and the version.
func (t *Table) put(now time.Time, r Record) {
	e, ok := t.entries[r.ID]
	if !ok {
		e = &entry{}
		t.entries[r.ID] = e
		t.ids = append(t.ids, r.ID)
	} else {
		t.digest ^= e.record.digestTerm()
	}
	t.digest ^= r.digestTerm()
	t.version++
	if e.record.Service != r.Service || !ok {
		t.indexService(e.record, r)
	}
	if e.record.Instance != r.Instance && r.Instance != "" && now.Sub(t.created) > suspectTimeout {
		e.targetSince = now
	}
	if !r.Gone() {
		t.byAddress[r.Address] = r.ID
	}
	e.record, e.changed = r, now
}

// indexService moves a node from the service of its old record to that of the
// new one.
func (t *Table) indexService(old, r Record) {
	if old.Service != "" {
		t.byService[old.Service] = slices.DeleteFunc(t.byService[old.Service], func(id string) bool { return id == r.ID })
	}
	if r.Service != "" {
		t.byService[r.Service] = append(t.byService[r.Service], r.ID)
	}
}

// MarkSuspect marks an alive node that did not answer probes as suspect. It
// returns the record to pass on, and false if nothing changed.
func (t *Table) MarkSuspect(now time.Time, id string) (Record, bool) {
	e, ok := t.entries[id]
	if !ok || e.record.Status != Alive || id == t.self {
		return Record{}, false
	}
	r := e.record.WithStatus(Suspect)
	t.put(now, r)
	return r, true
}

// MarkDead marks a node as dead, with the evidence that its port refuses
// connections. It returns the record to pass on, and false if nothing changed.
func (t *Table) MarkDead(now time.Time, id string) (Record, bool) {
	e, ok := t.entries[id]
	if !ok || e.record.Confirmed || id == t.self {
		return Record{}, false
	}
	r := e.record.confirmed(Dead)
	t.put(now, r)
	return r, true
}

// Expire marks suspects as dead that did not refute within suspectTimeout, and
// prunes the table. It returns the records to pass on.
func (t *Table) Expire(now time.Time) []Record {
	var changed []Record
	for _, e := range t.entries {
		if e.record.Status == Suspect && now.Sub(e.changed) > suspectTimeout {
			r := e.record.WithStatus(Dead)
			t.put(now, r)
			changed = append(changed, r)
		}
	}
	t.Prune(now)
	return changed
}

// Prune removes the records of nodes that have been gone for goneRetention.
func (t *Table) Prune(now time.Time) {
	for id, e := range t.entries {
		if e.record.Gone() && now.Sub(e.changed) > goneRetention && id != t.self {
			t.remove(id)
		}
	}
}

// Digest is equal for tables with the same state of all nodes that are not
// gone.
func (t *Table) Digest() uint64 { return t.digest }

// Version increases with every change of the table.
func (t *Table) Version() uint64 { return t.version }

// ChangedAt returns when the record of a node last changed here; zero if the
// node is unknown.
func (t *Table) ChangedAt(id string) time.Time {
	if e, ok := t.entries[id]; ok {
		return e.changed
	}
	return time.Time{}
}

// HasNewer reports whether the table's record of a node outranks one with the
// given version and status.
func (t *Table) HasNewer(id string, version uint64, status Status) bool {
	e, ok := t.entries[id]
	return ok && outranks(e.record, Record{ID: id, Version: version, Status: status})
}

func (t *Table) remove(id string) {
	t.version++
	r := t.entries[id].record
	delete(t.entries, id)
	if t.byAddress[r.Address] == id {
		delete(t.byAddress, r.Address)
	}
	t.indexService(r, Record{ID: id})
	t.ids = slices.DeleteFunc(t.ids, func(other string) bool { return other == id })
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

// Deregistered returns the records at an address, those of gone nodes included,
// whose targets have announced that they leave.
func (t *Table) Deregistered(address string) []Record {
	var found []Record
	for _, e := range t.entries {
		if e.record.Address == address && e.record.Deregistered {
			found = append(found, e.record)
		}
	}
	return found
}

// Successor returns the node that has the tickets of a node now. It follows the
// successors of nodes that left and gives up after 16.
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

// TargetSince returns when this node first learned of the present incarnation
// of a node's target; zero if the target is older than this node.
func (t *Table) TargetSince(id string) time.Time {
	if e, ok := t.entries[id]; ok {
		return e.targetSince
	}
	return time.Time{}
}

// Serving returns the records of the nodes that accept calls for a service.
func (t *Table) Serving(service string) []Record {
	var found []Record
	for _, id := range t.byService[service] {
		if r := t.entries[id].record; r.Serves(service) {
			found = append(found, r)
		}
	}
	return found
}

// Each calls visit with every record, in no order. It copies nothing, since
// periodic tasks walk large fleets often. Visit must not change the record.
func (t *Table) Each(visit func(r *Record)) {
	for _, e := range t.entries {
		visit(&e.record)
	}
}

// All returns copies of all records, ordered by address and ID.
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

// Pick returns up to n different nodes, other than this one, that are not gone.
// Next returns a random number below its argument.
func (t *Table) Pick(n int, next func(int) int) []Record {
	return t.PickWhere(n, next, func(*Record) bool { return true })
}

// PickWhere is like Pick, among the nodes for which keep returns true.
func (t *Table) PickWhere(n int, next func(int) int, keep func(*Record) bool) []Record {
	if len(t.ids) == 0 || n <= 0 {
		return nil
	}
	var picked []Record
	// Starts at a random place; the order of the IDs has no meaning.
	start := next(len(t.ids))
	for i := range t.ids {
		id := t.ids[(start+i)%len(t.ids)]
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

// CountRunning returns the number of nodes that are not gone, including this
// one.
func (t *Table) CountRunning() int {
	n := 0
	for _, e := range t.entries {
		if !e.record.Gone() {
			n++
		}
	}
	return n
}

// Len returns the number of records.
func (t *Table) Len() int { return len(t.entries) }
