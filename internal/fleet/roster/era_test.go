package roster_test

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"chestnutshed.example/chestnutshed/internal/fleet/era"
	"github.com/matryer/is"
)

// The store loses the registrations of all nodes, and one node hears of that. All register
// again, also those that do not call the store.
func TestRegisteredAgainInNextEra(t *testing.T) {
	is := is.New(t)
	d := &directory{entries: map[string][]byte{}, era: era.At(4)}
	all := fleet(t, d, 4)
	all[0].eras.Observe(era.At(4), "store")
	for _, r := range all {
		eventually(t, "all nodes know the era", func() bool { return r.eras.Current() == era.At(4) })
	}
	d.restore(era.At(5))
	all[0].eras.Observe(era.At(5), "store")
	eventually(t, "all nodes are registered again", func() bool {
		listed, err := d.List(context.Background())
		return err == nil && len(listed) == len(all)
	})
	for _, r := range all {
		is.Equal(r.eras.Current(), era.At(5))
	}
}

// A registration whose answer is of an earlier era may be lost. It is made again until the
// answer is of the current era.
func TestRegistrationOfEarlierEraDoesNotCount(t *testing.T) {
	is := is.New(t)
	d := &directory{entries: map[string][]byte{}, era: era.At(4)}
	n := start(t, d, "n0", "z0", address(t))
	n.eras.Observe(era.At(4), "store")
	eventually(t, "registration", func() bool { return len(list(t, d)) == 1 })
	n.eras.Observe(era.At(5), "peer") // while the store still answers in era 4
	d.restore(era.At(4))
	eventually(t, "registration in the earlier era", func() bool { return len(list(t, d)) == 1 })
	d.restore(era.At(5))
	eventually(t, "registration in the current era", func() bool { return len(list(t, d)) == 1 })
	is.Equal(n.eras.Current(), era.At(5))
}

func list(t *testing.T, d *directory) map[string][]byte {
	t.Helper()
	listed, err := d.List(context.Background())
	is.New(t).NoErr(err)
	return listed
}

// A datagram whose era can't be read is dropped. It teaches no era.
func TestInvalidEraOfPeer(t *testing.T) {
	is := is.New(t)
	d := &directory{entries: map[string][]byte{}, era: era.At(4)}
	n := start(t, d, "n0", "z0", address(t))
	n.eras.Observe(era.At(4), "store")
	conn, err := net.Dial("udp", n.Self().Datagrams)
	is.NoErr(err)
	defer func() { _ = conn.Close() }()
	for _, text := range []string{`"9"`, `-1`, `1e30`, `9.5`, `{}`, `null`, `18446744073709551616`} {
		_, _ = fmt.Fprintf(conn, `{"from":"x","era":%s}`, text)
	}
	time.Sleep(200 * time.Millisecond)
	is.Equal(n.eras.Current(), era.At(4))
}
