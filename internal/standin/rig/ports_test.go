package rig_test

import (
	"net"
	"os"
	"os/exec"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"chestnutshed.example/chestnutshed/internal/standin/rig"
	"github.com/matryer/is"
)

// Processes that started while a port was probed had copies of its listener, so that the node
// that got the port could not listen: "address already in use".
func TestPortsWhileProcessesStart(t *testing.T) {
	is := is.New(t)
	var stop atomic.Bool
	var group sync.WaitGroup
	for range 4 {
		group.Go(func() {
			for !stop.Load() {
				_ = exec.Command(os.Args[0], "-test.run=^$").Run()
			}
		})
	}
	inUse := 0
	for end := time.Now().Add(2 * time.Second); time.Now().Before(end); {
		ports, err := rig.Ports(1)
		is.NoErr(err)
		l, err := net.Listen("tcp", ports[0])
		if err != nil {
			inUse++
			continue
		}
		is.NoErr(l.Close())
		time.Sleep(time.Millisecond)
	}
	stop.Store(true)
	group.Wait()
	is.Equal(inUse, 0)
}
