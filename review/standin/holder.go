package main

import (
	"encoding/json"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const staleHolderCase = "stale-holder"

func init() { cases[staleHolderCase] = staleHolder }

const (
	// The tenant that sends many times its usual, and its quota.
	hotTenant = "puda40"
	hotKey    = "8pjbvk9m68k7b2ex5wa5"
	hotRate   = 315
	hotBurst  = 315
	// Bounds of the quota.
	quotaWindow  = 5 * time.Second
	quotaOverage = 0.1
	quotaSlack   = 20
	// hotFactor is how many times its usual the tenant sends. Its usual is its rate
	// divided by quotaFactor.
	hotFactor   = 8.0
	quotaFactor = 1.6
	hotFor      = 9 * time.Second
	// cutFor is how long a machine is cut off, killAfter when in that time the other
	// processes are killed, and hotAfter when the tenant begins.
	cutFor = 12 * time.Second
	// holderRounds is how often the disruption is played, at most.
	holderRounds = 4
	killAfter    = 2 * time.Second
	hotAfter     = 5 * time.Second
)

// hotRequest is a request of the hot tenant.
type hotRequest struct{ sent, ran time.Duration }

// A single machine is cut off from the others, whose processes are killed and start
// again. Then a tenant sends many times its usual, and the cut ends.
func staleHolder(f *fleet, trouble bool) verdict {
	r := f.record
	var first *machine
	if !eventually(10*time.Second, func() bool { first = f.holder(); return first != nil }) {
		r.say("the case could not run: no node holds the quotas")
		return notRun
	}
	r.say("%s holds the quotas; planned restart", first.name)
	f.signal(first, syscall.SIGTERM)
	first.wait()
	if f.start(first) != nil {
		return notRun
	}
	if !eventually(10*time.Second, first.isReady) {
		r.say("the case could not run: %s is not ready again", first.name)
		return notRun
	}
	for range holderRounds {
		time.Sleep(2 * stabilityBound)
		if v := f.cutHolder(trouble); v != held {
			return v
		}
	}
	return held
}

// cutHolder plays the disruption once.
func (f *fleet) cutHolder(trouble bool) verdict {
	r := f.record
	var holder *machine
	if !eventually(10*time.Second, func() bool { holder = f.holder(); return holder != nil }) {
		r.say("the case could not run: the nodes do not agree on one holder of the quotas")
		return notRun
	}
	began := r.since()
	until := func(at time.Duration) { time.Sleep(began + at - r.since()) }
	if trouble {
		r.say("%s, which holds the quotas, is cut off from the other machines", holder.name)
		f.cut(holder)
		until(killAfter)
		r.say("the processes of the other machines are killed")
		for _, m := range f.machines {
			if m != holder {
				f.signal(m, syscall.SIGKILL)
				m.wait()
			}
		}
		time.Sleep(restartDelay)
		for _, m := range f.machines {
			if m != holder && f.start(m) != nil {
				return notRun
			}
		}
	}
	until(hotAfter)
	r.say("tenant %s sends %.0f requests a second for %s", hotTenant, hotFactor*hotRate/quotaFactor, hotFor)
	hot := make(chan []hotRequest, 1)
	go func() { hot <- f.sendHot() }()
	until(cutFor)
	if trouble {
		r.say("the cut ends")
		f.cut(nil)
	}
	return f.judgeQuota(<-hot)
}

// holder returns the machine whose node holds the quotas, by the dumps of all nodes that
// answer; nil if they disagree.
func (f *fleet) holder() *machine {
	var found *machine
	claims := map[string]bool{}
	for _, m := range f.machines {
		client := http.Client{Timeout: time.Second}
		resp, err := client.Get("http://" + m.operators + "/state")
		if err != nil {
			return nil
		}
		var services []struct {
			Name  string          `json:"name"`
			State json.RawMessage `json:"state"`
		}
		err = json.NewDecoder(resp.Body).Decode(&services)
		_ = resp.Body.Close()
		if err != nil {
			return nil
		}
		dump := map[string]json.RawMessage{}
		for _, s := range services {
			dump[s.Name] = s.State
		}
		var quota struct {
			Claim struct {
				Holder string `json:"h"`
			} `json:"claim"`
		}
		var roster struct {
			Self struct {
				ID string `json:"id"`
			} `json:"self"`
		}
		_, _ = json.Unmarshal(dump["allowance"], &quota), json.Unmarshal(dump["roster"], &roster)
		claims[quota.Claim.Holder] = true
		if quota.Claim.Holder != "" && quota.Claim.Holder == roster.Self.ID {
			found = m
		}
	}
	if len(claims) != 1 {
		return nil
	}
	return found
}

// sendHot sends the requests of the hot tenant, evenly to all machines, and returns those
// that ran.
func (f *fleet) sendHot() []hotRequest {
	const clientsPerMachine = 24
	interval := time.Duration(float64(time.Second) * quotaFactor / (hotFactor * hotRate) * float64(len(f.machines)*clientsPerMachine))
	var group sync.WaitGroup
	var mu sync.Mutex
	sent := map[string]time.Duration{}
	var refused atomic.Int64
	end := time.Now().Add(hotFor)
	for i, m := range f.machines {
		for k := range clientsPerMachine {
			group.Go(func() {
				time.Sleep(interval * time.Duration(i*clientsPerMachine+k) / time.Duration(len(f.machines)*clientsPerMachine))
				var c *client
				for next := time.Now(); next.Before(end); next = next.Add(interval) {
					time.Sleep(time.Until(next))
					var err error
					if c == nil {
						if c, err = f.dial(m, 0); err != nil {
							continue
						}
					}
					at := f.record.since()
					id, err := c.sendWithKey(hotKey, http.MethodPut, writePrefix+"10", 300, requestTimeout)
					mu.Lock()
					sent[id] = at
					mu.Unlock()
					var a answer
					if err == nil {
						a = c.receive(id, http.MethodPut, 0)
					}
					if a.status == http.StatusTooManyRequests {
						refused.Add(1)
					}
					if err != nil || !a.whole || a.close {
						c.close()
						c = nil
					}
				}
				if c != nil {
					c.close()
				}
			})
		}
	}
	group.Wait()
	var ran []hotRequest
	for _, m := range f.machines {
		for _, one := range m.upstream.runsAfter(m.upstream.id, 0) {
			if at, ok := sent[one.id]; ok && one.tenant == hotTenant {
				ran = append(ran, hotRequest{at, one.at})
			}
		}
	}
	f.record.say("%d requests of %s sent, %d run, %d refused with 429", len(sent), hotTenant, len(ran), refused.Load())
	return ran
}

// judgeQuota checks QUOTA: in any window, the requests that were both sent and run are
// within the limit.
func (f *fleet) judgeQuota(ran []hotRequest) verdict {
	if len(ran) == 0 {
		f.record.say("the case could not run: no request of the tenant ran")
		return notRun
	}
	allowed := (hotRate*quotaWindow.Seconds()+hotBurst)*(1+quotaOverage) + quotaSlack
	slices.SortFunc(ran, func(a, b hotRequest) int { return int(a.sent - b.sent) })
	most, at := 0, time.Duration(0)
	for i, first := range ran {
		n := 0
		for _, one := range ran[i:] {
			if one.ran <= first.sent+quotaWindow {
				n++
			}
		}
		if n > most {
			most, at = n, first.sent
		}
	}
	f.record.say("at most %d requests of %s were sent and run in %s, from %.3f; allowed %.0f", most, hotTenant, quotaWindow, at.Seconds(), allowed)
	if float64(most) <= allowed {
		return held
	}
	f.record.say("QUOTA: %.0f too many", float64(most)-allowed)
	return broken
}
