package main

import (
	"net/http"
	"sync"
	"syscall"
	"time"
)

func init() { cases["slow-reader"] = slowReader }

const (
	// slowReaders is the number of clients that read slowly, on each machine.
	slowReaders = 4
	// slowPause is how long they stop reading.
	slowPause = 2500 * time.Millisecond
	// slowBuffer is the receive buffer of their connections, in bytes.
	slowBuffer = 4096
	// answerSize is the size of the answers, in bytes.
	answerSize = "30000"
	// maxLost is how many answers may be missing at any time.
	maxLost = 3
)

// Clients read an answer slowly: they stop for some seconds after its first bytes, well
// inside their deadline.
func slowReader(f *fleet, trouble bool) verdict {
	r := f.record
	pause := time.Duration(0)
	if trouble {
		pause = slowPause
	}
	time.Sleep(stabilityBound)
	r.say("%d clients on each machine send two requests on one connection and read the second answer with a pause of %s", slowReaders, pause)
	lost := f.readSlowly(f.machines, pause, nil)
	r.say("in calm: %d requests that had run have no complete answer", lost)
	planned := f.readSlowly(f.machines[:1], pause, func() {
		time.Sleep(300 * time.Millisecond)
		f.signal(f.machines[0], syscall.SIGTERM)
	})
	f.machines[0].wait()
	r.say("around a planned stop: %d requests that had run have no complete answer", planned)
	if lost > maxLost || planned > 0 {
		r.say("LOST")
		return broken
	}
	return held
}

// readSlowly returns how many requests ran and got no complete answer. After the requests
// are sent, it calls then.
func (f *fleet) readSlowly(machines []*machine, pause time.Duration, then func()) int {
	var group sync.WaitGroup
	var mu sync.Mutex
	lost := 0
	for _, m := range machines {
		for range slowReaders {
			group.Go(func() {
				if !f.readOnce(m, pause) {
					mu.Lock()
					lost++
					mu.Unlock()
				}
			})
		}
	}
	if then != nil {
		then()
	}
	group.Wait()
	return lost
}

// readOnce sends two requests on a connection. It reports whether the second one, if it
// ran, got its complete answer.
func (f *fleet) readOnce(m *machine, pause time.Duration) bool {
	c, err := f.dial(m, slowBuffer)
	if err != nil {
		return true
	}
	defer c.close()
	id, err := c.send(http.MethodPut, writePrefix+"10", 300, requestTimeout)
	if err != nil || c.receive(id, http.MethodPut, 0).status != http.StatusOK {
		return true
	}
	id, err = c.send(http.MethodPut, writePrefix+answerSize, 300, requestTimeout)
	if err != nil {
		return true
	}
	a := c.receive(id, http.MethodPut, pause)
	return a.whole || !f.ran(id)
}

// ran reports whether any upstream ran a request.
func (f *fleet) ran(id string) bool {
	for _, m := range f.machines {
		if m.upstream.ran(id) {
			return true
		}
	}
	return false
}
