package member_test

import (
	"testing"
	"time"

	"chestnutshed.example/chestnutshed/internal/fleet/member"
	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var start = time.Unix(0, 0)

func record(id, address string, started int64) member.Record {
	return member.Record{ID: id, Address: address, Zone: "z", Started: started}
}

func TestRefutesSuspicionOfItself(t *testing.T) {
	is := is.New(t)
	table := member.New(start, record("me", "a:1", 1))
	got, ok := table.Learn(start, table.Self().WithStatus(member.Suspect))
	is.True(ok)
	is.Equal(got.Status, member.Alive)
	is.Equal(got.Version, uint64(1))
}

func TestSuspectExpiresUnlessItRefutes(t *testing.T) {
	is := is.New(t)
	table := member.New(start, record("me", "a:1", 1))
	table.Learn(start, record("x", "a:2", 1))
	table.MarkSuspect(start, "x")
	is.Equal(len(table.Expire(start.Add(time.Second))), 0)
	dead := table.Expire(start.Add(4 * time.Second))
	is.Equal(len(dead), 1)
	is.True(!dead[0].Confirmed) // no evidence, only missing answers
	got, ok := table.Learn(start.Add(5*time.Second), record("x", "a:2", 1).WithVersion(1))
	is.True(ok)
	is.Equal(got.Status, member.Alive)
}

func TestNewIncarnationSupersedesOldOne(t *testing.T) {
	is := is.New(t)
	table := member.New(start, record("me", "a:1", 1))
	table.Learn(start, record("old", "a:2", 1))
	table.Learn(start, record("new", "a:2", 2))
	old, _ := table.Get("old")
	is.Equal(old.Status, member.Dead)
	is.True(old.Confirmed)
	at, _ := table.At("a:2")
	is.Equal(at.ID, "new")
	late, _ := table.Learn(start, record("old", "a:2", 1).WithVersion(9))
	is.Equal(late.Status, member.Dead)
}

// A clock that is set back between two starts of a node gives the second
// incarnation an earlier start time. It must still supersede the first one.
func TestNewIncarnationWithEarlierClock(t *testing.T) {
	is := is.New(t)
	peer := member.New(start, record("peer", "a:1", 1))
	old := record("old", "a:2", 9000)
	peer.Learn(start, old)
	table := member.New(start, record("new", "a:2", 7000))
	dead, _ := peer.Learn(start, table.Self())
	is.Equal(dead.Status, member.Dead) // the earlier start loses
	table.Learn(start, old)
	table.Learn(start, dead)
	own := table.Self()
	is.Equal(own.Status, member.Alive)
	is.True(own.Started > old.Started)
	ended, _ := table.Get("old")
	is.Equal(ended.Status, member.Dead)
	peer.Learn(start, own)
	seen, _ := peer.Get("new")
	is.Equal(seen.Status, member.Alive)
	ended, _ = peer.Get("old")
	is.Equal(ended.Status, member.Dead)
}

func TestSuccessor(t *testing.T) {
	is := is.New(t)
	table := member.New(start, record("me", "a:1", 1))
	left := record("x", "a:2", 1).WithVersion(1).WithStatus(member.Left)
	left.Successor = "me"
	table.Learn(start, left)
	successor, ok := table.Successor("x")
	is.True(ok)
	is.Equal(successor.ID, "me")
}

// Two tables that learn the same records in different orders must end with the
// same records.
func TestOrderDoesNotMatter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var records []member.Record
		for range rapid.IntRange(1, 20).Draw(t, "records") {
			r := record(rapid.SampledFrom([]string{"x", "y"}).Draw(t, "id"), "", 1)
			r.Address = "a:" + r.ID
			r.Version = uint64(rapid.IntRange(0, 3).Draw(t, "version"))
			r.Status = member.Status(rapid.IntRange(0, 3).Draw(t, "status"))
			r.Confirmed = r.Status == member.Left
			records = append(records, r)
		}
		one, two := member.New(start, record("me", "a:1", 1)), member.New(start, record("me", "a:1", 1))
		for _, r := range records {
			one.Learn(start, r)
		}
		for _, i := range rapid.Permutation(records).Draw(t, "order") {
			two.Learn(start, i)
		}
		for _, id := range []string{"x", "y"} {
			a, _ := one.Get(id)
			b, _ := two.Get(id)
			if a.Status == member.Left || b.Status == member.Left {
				if a.Status != b.Status {
					t.Fatalf("one order gives %+v, the other %+v", a, b)
				}
				continue
			}
			if a != b {
				t.Fatalf("one order gives %+v, the other %+v", a, b)
			}
		}
	})
}
