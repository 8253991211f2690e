package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sort"
	"sync"
	"time"
)

// The case: an organisation with rate and burst like the largest of the site, which asks for
// 8 times its usual 45 requests a second at 14 nodes, and the bounds of the site file.
const (
	hotRate, hotBurst  = 72.0, 72.0
	quotaWindow        = 5 * time.Second
	quotaOverage       = 0.1
	quotaSlack         = 20.0
	holderNodes        = 14
	holderCut          = 2
	perCut             = 90
	perNode            = 15
	holderCutTime      = 8 * time.Second
	holderServerWork   = 10 * time.Millisecond
	holderRequestLimit = time.Second
)

// arrival is a request that a server runs.
type arrival struct{ sent, ran time.Time }

// playHolders: one organisation sends many times its rate at all nodes. Then two nodes, of
// which one keeps the rates, are cut off from all other nodes and from the store. Over any
// window no more requests of the organisation may be sent and run than its rate and burst
// allow. Without the trouble there is no cut.
func playHolders(work string, trouble bool) int {
	slots = 51
	s := startStore("127.0.0.1")
	config := fmt.Sprintf(`{"version":7,"resources":[
{"resource_type":"routes","metadata":{"name":"r-pay"},"spec":{"host":%[1]q,"path_prefix":"/pay/","kind":"non_idempotent","timeout_s":1,"target_latency_s":0.5,"priority":0,"service":"depositos","max_attempts":2,"public":false}},
{"resource_type":"services","metadata":{"name":"depositos"},"spec":{"health_path":"/health","max_connections":406}},
{"resource_type":"tenants","metadata":{"name":"t-one"},"spec":{"api_keys":[%[2]q],"priority":0,"rate_per_s":%[3]v,"burst":%[4]v}},
{"resource_type":"limits","metadata":{},"spec":{"max_header_bytes":16384,"max_body_bytes":1048576,"header_timeout_s":3,"idle_timeout_s":15}}]}`,
		oneHost, oneKey, hotRate, hotBurst)
	s.put("config", "main", config)
	l := newLinks()
	var list []*node
	for i := range holderNodes {
		n := newNode(work, "", fmt.Sprintf("n%02d", i), fmt.Sprintf("zone-%d", i%3), "depositos", fmt.Sprintf("127.0.8.%d", i+1))
		n.store = l.forwardStore(n, s.address)
		n.publicPeers, n.publicDatagrams = l.forwardPeers(n), l.forwardDatagrams(n)
		list = append(list, n)
	}
	for _, n := range list {
		n.start()
	}
	waitReady()
	for i, n := range list {
		defer startServer(n, fmt.Sprintf("i-%02d", i), time.Now().UnixMilli(), holderServerWork, nil).crash()
	}
	time.Sleep(5 * time.Second)
	holder := findHolder(list)
	if holder == nil {
		logf("no node keeps the rates")
		return failed
	}
	logf("node %s keeps the rates", holder.name)
	away := []*node{holder}
	for _, n := range list {
		if n != holder && len(away) < holderCut {
			away = append(away, n)
		}
	}

	sent := map[string]time.Time{}
	var sentMu sync.Mutex
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for _, n := range list {
		perSecond := perNode
		if slices.Contains(away, n) {
			perSecond = perCut
		}
		clients.Add(1)
		go func() {
			defer clients.Done()
			load(n, perSecond, stop, func(id string) {
				sentMu.Lock()
				sent[id] = time.Now()
				sentMu.Unlock()
			})
		}()
	}
	time.Sleep(2500 * time.Millisecond)
	if trouble {
		logf("nodes %s are cut off", names(away))
		l.cut(away)
	}
	for i := range int(holderCutTime / (200 * time.Millisecond)) {
		time.Sleep(200 * time.Millisecond)
		if both := holders(list); len(both) > 1 {
			logf("%.1f s later these nodes keep the rates: %v", float64(i+1)*0.2, both)
		}
	}
	l.heal()
	logf("the cut ends")
	time.Sleep(2 * time.Second)
	close(stop)
	clients.Wait()

	runsMu.Lock()
	defer runsMu.Unlock()
	var all []arrival
	for _, r := range runs {
		all = append(all, arrival{sent[r.id], r.at})
	}
	sort.Slice(all, func(i, j int) bool { return all[i].sent.Before(all[j].sent) })
	most, at := 0, time.Time{}
	for i, a := range all {
		n := 0
		for _, b := range all[i:] {
			if b.sent.After(a.sent.Add(quotaWindow)) {
				break
			}
			if !b.ran.After(a.sent.Add(quotaWindow)) {
				n++
			}
		}
		if n > most {
			most, at = n, a.sent
		}
	}
	allowed := (hotRate*quotaWindow.Seconds()+hotBurst)*(1+quotaOverage) + quotaSlack
	logf("most requests sent and run in %s: %d, from %.3f s on; allowed %.0f", quotaWindow, most, at.Sub(rec.start).Seconds(), allowed)
	fmt.Printf("most in a window %d, allowed %.0f\n", most, allowed)
	if float64(most) > allowed {
		return broken
	}
	return held
}

// load sends requests to a node, evenly, until stop.
func load(n *node, perSecond int, stop <-chan struct{}, sending func(id string)) {
	client := &http.Client{Timeout: holderRequestLimit, Transport: &http.Transport{MaxIdleConnsPerHost: 64, MaxConnsPerHost: 200}}
	t := time.NewTicker(time.Second / time.Duration(perSecond))
	defer t.Stop()
	var running sync.WaitGroup
	defer running.Wait()
	for {
		select {
		case <-stop:
			return
		case <-t.C:
		}
		running.Add(1)
		go func() {
			defer running.Done()
			id := nextID()
			req, err := http.NewRequest(http.MethodPost, "http://"+n.callers+"/pay/x", nil)
			must(err)
			req.Host = oneHost
			req.Header.Set("Request-Id", id)
			req.Header.Set("Deadline-Ms", fmt.Sprint(holderRequestLimit.Milliseconds()))
			req.Header.Set("Authorization", "Bearer "+oneKey)
			sending(id)
			resp, err := client.Do(req)
			if err != nil {
				logf("%s to %s: no answer", id, n.name)
				return
			}
			_, _ = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
			logf("%s to %s: %d", id, n.name, resp.StatusCode)
		}()
	}
}

// state is the part of a node's state dump that names the holder of the rates.
type state []struct {
	Name  string          `json:"name"`
	State json.RawMessage `json:"state"`
}

// keepsRates reports whether a node takes itself for the holder.
func keepsRates(n *node) bool {
	c := http.Client{Timeout: 500 * time.Millisecond}
	resp, err := c.Get("http://" + n.operators + "/state")
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	var list state
	if json.NewDecoder(resp.Body).Decode(&list) != nil {
		return false
	}
	var claim struct {
		Claim struct {
			Holder   string `json:"h"`
			Resigned bool   `json:"r"`
		} `json:"claim"`
	}
	var self struct {
		Self struct {
			ID string `json:"id"`
		} `json:"self"`
	}
	for _, s := range list {
		switch s.Name {
		case "allowance":
			_ = json.Unmarshal(s.State, &claim)
		case "roster":
			_ = json.Unmarshal(s.State, &self)
		}
	}
	return claim.Claim.Holder != "" && !claim.Claim.Resigned && claim.Claim.Holder == self.Self.ID
}

func holders(list []*node) []string {
	var found []*node
	for _, n := range list {
		if keepsRates(n) {
			found = append(found, n)
		}
	}
	return names(found)
}

func findHolder(list []*node) *node {
	for _, n := range list {
		if keepsRates(n) {
			return n
		}
	}
	return nil
}

func names(list []*node) []string {
	var all []string
	for _, n := range list {
		all = append(all, n.name)
	}
	return all
}
