package main

import (
	"os"
	"time"
)

// playDrill: a server signs off first, as some do, and goes on serving for a while. That is
// acknowledged. One heartbeat that it sent just before arrives 4 s late. In between, the store
// goes away for a moment and comes back from a copy of the time before the leave, and all
// processes are killed while it is away. No request may reach the server later than drain_s
// after the acknowledgement, once all machines are in touch. Without the trouble the store
// stays and no process is killed; the heartbeat is late all the same.
func playDrill(work string, trouble bool) int {
	drill, kill := trouble, trouble
	switch os.Getenv("ONLY") {
	case "drill":
		kill = false
	case "kill":
		drill = false
	}
	s, list := deploymentWithStore(work, "alfa", "beta", "gama")
	time.Sleep(2 * time.Second)
	for i, n := range list[1:] {
		defer startServer(n, "i-other-"+string(rune('a'+i)), time.Now().UnixMilli(), 50*time.Millisecond, nil).crash()
	}
	leaving := startServer(list[0], "i-7f3a91c2", time.Now().UnixMilli(), 50*time.Millisecond, nil)
	stopClients := askSteadily(list)
	time.Sleep(5 * time.Second)
	copied := time.Now()
	time.Sleep(time.Second)

	arrive := leaving.lateBeat()
	sentAt := time.Now()
	if leaving.deregister() != 200 {
		logf("the leave was not acknowledged")
		stopClients()
		return failed
	}
	acknowledged := time.Now()
	leaving.quiet()
	logf("the leave is acknowledged; the server goes on serving")
	time.Sleep(900 * time.Millisecond)
	if drill {
		logf("the store is away")
		s.leave()
	}
	time.Sleep(300 * time.Millisecond)
	if kill {
		logf("all nodes are killed")
		for _, n := range list {
			n.signal(os.Kill)
		}
		for _, n := range list {
			n.kill()
		}
		time.Sleep(nodeDownTime)
		for _, n := range list {
			n.start()
		}
	} else {
		time.Sleep(nodeDownTime)
	}
	time.Sleep(200 * time.Millisecond)
	if drill {
		s.restore(copied)
		logf("the store is back from the copy that it was %.1f s before it went", 1.9)
	}
	calm := time.Now()
	time.Sleep(time.Until(sentAt.Add(4 * time.Second)))
	arrive()
	time.Sleep(time.Until(acknowledged.Add(11 * time.Second)))
	leaving.crash()
	time.Sleep(500 * time.Millisecond)
	stopClients()

	from := acknowledged.Add(drainBound)
	if at := calm.Add(stabilityBound + 200*time.Millisecond); at.After(from) {
		from = at
	}
	before, late := 0, 0
	runsMu.Lock()
	defer runsMu.Unlock()
	for _, r := range runs {
		switch {
		case r.server != leaving.id:
		case r.at.After(from):
			late++
		case r.at.Before(acknowledged):
			before++
		}
	}
	logf("requests that ran on %s: %d before the acknowledgement, %d later than %s after it and with all machines in touch", leaving.id, before, late, drainBound)
	if before == 0 {
		logf("the server got no work before it left")
		return failed
	}
	if late > 0 {
		return broken
	}
	return held
}
