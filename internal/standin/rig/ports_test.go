package rig_test

import (
	"net"
	"runtime"
	"testing"

	"chestnutshed.example/chestnutshed/internal/standin/rig"
	"github.com/matryer/is"
)

// Two processes never get the same ports, because each reserves its own range. The
// reservation must survive a garbage collection, which closes unreferenced
// listeners.
func TestPortRangeStaysReserved(t *testing.T) {
	is := is.New(t)
	first, err := rig.Ports(3)
	is.NoErr(err)
	second, err := rig.Ports(3)
	is.NoErr(err)
	seen := map[string]bool{}
	for _, address := range append(first, second...) {
		is.True(!seen[address])
		seen[address] = true
	}
	reserved, err := rig.ReservedAddress()
	is.NoErr(err)
	runtime.GC()
	_, err = net.Listen("tcp", reserved)
	is.True(err != nil)
}
