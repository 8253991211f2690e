package quarantine_test

import (
	"encoding/json"
	"errors"
	"io"
	"strconv"
	"testing"
	"time"

	"chestnutshed.example/chestnutshed/internal/fleet/quarantine"
	"chestnutshed.example/chestnutshed/internal/policy/poison"
	"github.com/matryer/is"
	"github.com/sirupsen/logrus"
)

var start = time.Unix(1000, 0)

// network delivers the messages of a test at once.
type network struct {
	nodes map[string]*quarantine.Service
	// drop loses all messages.
	drop bool
}

// node is the view of one node.
type node struct {
	*network
	id string
}

func (n node) ServiceNodes(string) (ids []string) {
	for id := range n.nodes {
		if id != n.id {
			ids = append(ids, id)
		}
	}
	return ids
}

func (n node) Send(now time.Time, id, _ string, body any) error {
	if n.drop {
		return errors.New("lost")
	}
	text, err := json.Marshal(body)
	if err != nil {
		return err
	}
	n.nodes[id].Message(now, n.id, text)
	return nil
}

func (n *network) add(id string) *quarantine.Service {
	log := logrus.New()
	log.SetOutput(io.Discard)
	s := quarantine.New(func() time.Time { return start }, node{n, id}, logrus.NewEntry(log))
	n.nodes[id] = s
	return s
}

func ban(s *quarantine.Service, fp poison.Fingerprint) {
	s.Crashed(start, "a", "t1", []poison.Run{{Fingerprint: fp}})
	s.Crashed(start, "a", "t2", []poison.Run{{Fingerprint: fp, Suspect: true}})
}

func TestCrashesReachNodesOfService(t *testing.T) {
	is := is.New(t)
	n := &network{nodes: map[string]*quarantine.Service{}}
	one, two := n.add("one"), n.add("two")
	is.True(!one.Active() && one.Note() == nil)
	var runs []poison.Run
	for i := range 100 { // more than one datagram holds
		runs = append(runs, poison.Run{Fingerprint: poison.Fingerprint("p" + strconv.Itoa(i))})
	}
	one.Crashed(start, "a", "t1", runs)
	for _, r := range runs {
		is.True(two.Suspect(start, r.Fingerprint))
	}
	two.Crashed(start, "a", "t2", []poison.Run{{Fingerprint: "p7", Suspect: true}})
	is.True(one.BanLeft(start, "p7") > 0)
	is.True(one.BanLeft(start, "p8") == 0)
}

// Datagrams about two bans were lost in both directions. The next probe exchanges them.
func TestLostBansExchangedByProbes(t *testing.T) {
	is := is.New(t)
	n := &network{nodes: map[string]*quarantine.Service{}, drop: true}
	one, two := n.add("one"), n.add("two")
	ban(one, "p")
	ban(two, "q")
	is.True(one.BanLeft(start, "q") == 0 && two.BanLeft(start, "p") == 0)
	n.drop = false
	two.Noted(start, "one", one.Note())
	is.True(one.BanLeft(start, "q") > 0 && two.BanLeft(start, "p") > 0)
	is.Equal(string(one.Note()), string(two.Note()))
	restarted := n.add("two")
	restarted.Noted(start, "one", one.Note())
	is.True(restarted.BanLeft(start, "p") > 0 && restarted.BanLeft(start, "q") > 0)
}

func TestInvalidMessagesIgnored(t *testing.T) {
	is := is.New(t)
	n := &network{nodes: map[string]*quarantine.Service{}}
	one := n.add("one")
	one.Noted(start, "two", json.RawMessage(`"x"`))
	one.Message(start, "two", json.RawMessage(`{"recs":7}`))
	is.True(!one.Active())
}
