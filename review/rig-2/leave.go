package main

import (
	"fmt"
	"sync"
	"time"
)

const (
	oneKey  = "key-one"
	oneHost = "pagos.example"
)

// configuration has one service with one route for requests that must not run twice, and one
// for those that may.
func configuration(service string) string {
	return fmt.Sprintf(`{"version":7,"resources":[
{"resource_type":"routes","metadata":{"name":"r-pay"},"spec":{"host":%[2]q,"path_prefix":"/pay/","kind":"non_idempotent","timeout_s":5,"target_latency_s":2,"priority":0,"service":%[1]q,"max_attempts":2,"public":false}},
{"resource_type":"routes","metadata":{"name":"r-look"},"spec":{"host":%[2]q,"path_prefix":"/look/","kind":"idempotent","timeout_s":5,"target_latency_s":2,"priority":1,"service":%[1]q,"max_attempts":2,"public":false}},
{"resource_type":"services","metadata":{"name":%[1]q},"spec":{"health_path":"/health","max_connections":316}},
{"resource_type":"tenants","metadata":{"name":"t-one"},"spec":{"api_keys":[%[3]q],"priority":1,"rate_per_s":0,"burst":0}},
{"resource_type":"limits","metadata":{},"spec":{"max_header_bytes":16384,"max_body_bytes":1048576,"header_timeout_s":3,"idle_timeout_s":15}}]}`,
		service, oneHost, oneKey)
}

// deployment starts the store and one node a zone.
func deployment(work string, names ...string) []*node {
	_, list := deploymentWithStore(work, names...)
	return list
}

func deploymentWithStore(work string, names ...string) (*store, []*node) {
	s := startStore("127.0.0.1")
	s.put("config", "main", configuration("depositos"))
	var list []*node
	for i, name := range names {
		n := newNode(work, s.address, name, fmt.Sprintf("zone-%d", i%3), "depositos", fmt.Sprintf("127.0.7.%d", i+1))
		list = append(list, n)
	}
	for _, n := range list {
		n.start()
	}
	waitReady()
	return s, list
}

// askSteadily sends requests at all nodes until the returned function is called.
func askSteadily(list []*node) (end func()) {
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for i := range 4 {
		clients.Add(1)
		go func() {
			defer clients.Done()
			for k := 0; ; k++ {
				select {
				case <-stop:
					return
				case <-time.After(100 * time.Millisecond):
				}
				path := "/look/x"
				if k%2 == 0 {
					path = "/pay/x"
				}
				ask(list[i%len(list)], "POST", oneHost, path, oneKey, []byte("body"), 5*time.Second)
			}
		}()
	}
	return func() {
		close(stop)
		clients.Wait()
	}
}

// playLeave: while the time of day of its machine is 2 s ahead, a server starts. The clock
// goes back, the server crashes and starts again under the same id. Much later it leaves in
// the planned way. No request may reach it later than drain_s after that was acknowledged.
// Without the trouble the clock is right from the beginning.
func playLeave(work string, trouble bool) int {
	list := deployment(work, "alfa", "beta", "gama")
	time.Sleep(2 * time.Second) // the nodes have found each other
	ahead := int64(0)
	if trouble {
		ahead = 2000
	}
	other := startServer(list[1], "i-other", time.Now().UnixMilli(), 50*time.Millisecond, nil)
	defer other.crash()
	first := startServer(list[0], "i-7f3a91c2", time.Now().UnixMilli()+ahead, 50*time.Millisecond, nil)
	time.Sleep(time.Second)
	first.crash()
	time.Sleep(300 * time.Millisecond)
	logf("the time of day is right again; the server starts once more")
	again := startServer(list[0], "i-7f3a91c2", time.Now().UnixMilli(), 50*time.Millisecond, nil)

	stopClients := askSteadily(list)
	time.Sleep(8 * time.Second)
	acknowledged, ok := again.leave()
	if !ok {
		logf("the leave was not acknowledged")
		stopClients()
		return failed
	}
	logf("the leave is acknowledged")
	time.Sleep(drainBound + 4*time.Second)
	again.deregister()
	time.Sleep(500 * time.Millisecond)
	again.crash()
	time.Sleep(time.Second)
	stopClients()

	before, late := 0, 0
	runsMu.Lock()
	defer runsMu.Unlock()
	for _, r := range runs {
		switch {
		case r.server != again.id:
		case r.at.After(acknowledged.Add(drainBound)):
			late++
		case r.at.Before(acknowledged):
			before++
		}
	}
	logf("requests that ran on %s: %d before the acknowledgement, %d later than %s after it", again.id, before, late, drainBound)
	if before == 0 {
		logf("the server got no work before it left")
	}
	if late > 0 {
		return broken
	}
	return held
}
