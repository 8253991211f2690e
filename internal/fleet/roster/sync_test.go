package roster_test

import (
	"encoding/json"
	"net"
	"testing"
	"time"

	"chestnutshed.example/chestnutshed/internal/core/clock"
	"chestnutshed.example/chestnutshed/internal/fleet/era"
	"chestnutshed.example/chestnutshed/internal/fleet/member"
	"chestnutshed.example/chestnutshed/internal/fleet/roster"
	"github.com/matryer/is"
)

// scripted is a peer that answers introductions with given records after a delay.
type scripted struct {
	record  member.Record
	records []member.Record
	delay   time.Duration
	// informed is set if the peer says that it has run for long.
	informed bool
}

// listen starts the peer and enters it in the directory.
func (p scripted) listen(t *testing.T, d *directory) {
	is := is.New(t)
	conn, err := net.ListenPacket("udp", p.record.Datagrams)
	is.NoErr(err)
	t.Cleanup(func() { _ = conn.Close() })
	value, err := json.Marshal(p.record)
	is.NoErr(err)
	_, err = d.Register(t.Context(), p.record.ID, value)
	is.NoErr(err)
	go func() {
		buffer := make([]byte, 64<<10)
		for {
			n, from, err := conn.ReadFrom(buffer)
			if err != nil {
				return
			}
			var asked struct {
				Sent int64 `json:"sent"`
			}
			if json.Unmarshal(buffer[:n], &asked) != nil || asked.Sent == 0 {
				continue
			}
			go func() {
				time.Sleep(p.delay)
				answer, _ := json.Marshal(map[string]any{"from": p.record.ID, "echo": asked.Sent, "recs": p.records, "told": p.informed})
				_, _ = conn.WriteTo(answer, from)
			}()
		}
	}()
}

func newScripted(t *testing.T, id string, delay time.Duration) scripted {
	at := address(t)
	r := member.Record{ID: id, Address: at, Datagrams: at, Zone: "z", Region: "r", Started: time.Now().UnixNano()}
	return scripted{record: r, records: []member.Record{r}, delay: delay}
}

// startAfterDrill starts a node whose store has come back from an older copy.
func startAfterDrill(t *testing.T, d *directory, at string) *roster.Service {
	r := start(t, d, "n", "z", at)
	r.eras.Observe(era.At(1), "store")
	return r.Service
}

// After a store came back from an older copy, only peers knew of a leave. The first one to
// answer a process that had just started had just started too, and the target was taken
// for ready before the next one answered.
func TestFirstAnswerFromPeerThatKnowsNothing(t *testing.T) {
	is := is.New(t)
	d := &directory{entries: map[string][]byte{}}
	at := address(t)
	newScripted(t, "fresh", 0).listen(t, d)
	old := newScripted(t, "old", 300*time.Millisecond)
	old.informed = true
	old.records = append(old.records, member.Record{
		ID: "before", Address: at, Datagrams: at, Zone: "z", Status: member.Left, Confirmed: true, Instance: "i", Born: 7, Deregistered: true,
	})
	old.listen(t, d)
	s := startAfterDrill(t, d, at)
	eventually(t, "synced", func() bool { return s.Synced(clock.Now()) })
	is.True(s.TargetLeft("i", 7))
}

// A store that came back from an older copy named no other nodes to a process that started
// just then. These had been away from it for less than a second.
func TestEntriesOfPeersWrittenAgainLate(t *testing.T) {
	is := is.New(t)
	d := &directory{entries: map[string][]byte{}}
	at := address(t)
	old := newScripted(t, "old", 0)
	old.informed = true
	old.records = append(old.records, member.Record{
		ID: "before", Address: at, Datagrams: at, Zone: "z", Status: member.Left, Confirmed: true, Instance: "i", Born: 7, Deregistered: true,
	})
	s := startAfterDrill(t, d, at)
	time.AfterFunc(750*time.Millisecond, func() { old.listen(t, d) })
	eventually(t, "synced", func() bool { return s.Synced(clock.Now()) })
	is.True(s.TargetLeft("i", 7))
}

// A node whose peers don't answer, or that has none, does not wait for them for long.
func TestSyncedWithoutAnswers(t *testing.T) {
	for _, of := range []struct {
		name   string
		silent bool
	}{{"no peers", false}, {"one silent", true}} {
		t.Run(of.name, func(t *testing.T) {
			d := &directory{entries: map[string][]byte{}}
			if of.silent {
				newScripted(t, "silent", time.Minute).listen(t, d)
				newScripted(t, "fresh", 0).listen(t, d)
			}
			s := startAfterDrill(t, d, address(t))
			began := time.Now()
			eventually(t, "synced", func() bool { return s.Synced(clock.Now()) })
			is.New(t).True(time.Since(began) < 3*time.Second)
		})
	}
}
