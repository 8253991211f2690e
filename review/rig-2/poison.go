package main

import (
	"os"
	"strings"
	"time"
)

// Times of the case. The request comes again every poisonInterval, and the nodes are killed
// after poisonKills of its comings.
const (
	poisonInterval = 6 * time.Second
	poisonComings  = 15
	serverDownTime = 3 * time.Second
	nodeDownTime   = 500 * time.Millisecond
)

// playPoison: a request crashes each server that begins to run it, and comes again every 6 s at
// another node. All nodes are killed at the same moment, several times. In the last 3 s before
// it comes nothing happens. It may reach servers in three retries at most later than 3 s after
// its third crash. Without the trouble no node is killed.
func playPoison(work string, trouble bool) int {
	list := deployment(work, "alfa", "beta", "gama")
	time.Sleep(2 * time.Second)
	stop := make(chan struct{})
	defer close(stop)
	for i, n := range list {
		go keepServer(n, "i-"+string(rune('a'+i)), stop)
	}
	time.Sleep(5 * time.Second)
	ids := map[string]bool{}
	for k := range poisonComings {
		began := time.Now()
		id, _ := ask(list[k%len(list)], "POST", oneHost, "/pay/poison", oneKey, []byte("the same body"), 4*time.Second)
		ids[id] = true
		if trouble && (k == 3 || k == 6 || k == 9) {
			for _, n := range list {
				n.signal(os.Kill)
			}
			for _, n := range list {
				n.kill()
			}
			logf("all nodes are killed")
			time.Sleep(nodeDownTime)
			for _, n := range list {
				n.start()
			}
		}
		time.Sleep(poisonInterval - time.Since(began))
	}
	runsMu.Lock()
	defer runsMu.Unlock()
	var crashes []time.Time
	for _, r := range runs {
		if ids[r.id] {
			crashes = append(crashes, r.at)
		}
	}
	late := 0
	for i, at := range crashes {
		if i > 2 && at.Sub(crashes[2]) > stabilityBound {
			late++
		}
	}
	logf("servers crashed %d times; retries that reached servers later than %s after the third: %d, allowed 3", len(crashes), stabilityBound, late)
	if late > 3 {
		return broken
	}
	return held
}

// keepServer runs a server that comes back some seconds after each crash, as a new
// incarnation with its id.
func keepServer(n *node, id string, stop <-chan struct{}) {
	for {
		s := startServer(n, id, time.Now().UnixMilli(), 50*time.Millisecond, func(path string) bool { return strings.HasSuffix(path, "/poison") })
		select {
		case <-stop:
			s.crash()
			return
		case <-s.stopBeat:
		}
		time.Sleep(serverDownTime)
	}
}
