package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["large-bodies"] = largeBodies }

const (
	// uploaders is the number of clients that send a body at the same time, on each
	// machine.
	uploaders = 5
	// largeBody and smallBody are the sizes of their bodies, in bytes.
	largeBody = maxBodyBytes - 4<<20
	smallBody = 24000
	// endsForFault and machinesForFault are how many processes must end how often.
	endsForFault     = 3
	machinesForFault = 2
	// uploadRounds is how often the clients send.
	uploadRounds = 4
	memoryPoll   = 2 * time.Millisecond
)

// Clients on two machines send bodies within max_body_bytes. The platform kills a process
// that exceeds the memory of its machine, and starts it again.
func largeBodies(f *fleet, trouble bool) verdict {
	r := f.record
	size := smallBody
	if trouble {
		size = largeBody
	}
	time.Sleep(stabilityBound)
	var ends [machinesForFault]atomic.Int64
	var peak [machinesForFault]atomic.Int64
	var done atomic.Bool
	var watchers sync.WaitGroup
	for i := range machinesForFault {
		watchers.Go(func() {
			m := f.machines[i]
			for !done.Load() {
				time.Sleep(memoryPoll)
				used := m.rssMB()
				peak[i].Store(max(peak[i].Load(), int64(used)))
				if used <= memoryMB {
					continue
				}
				r.say("%s uses %d MB, over its limit of %d MB", m.name, used, memoryMB)
				f.signal(m, syscall.SIGKILL)
				m.wait()
				ends[i].Add(1)
				time.Sleep(restartDelay)
				if f.start(m) != nil {
					return
				}
			}
		})
	}
	sent, served := 0, 0
	for round := range uploadRounds {
		r.say("round %d: on each of %d machines, %d clients send a body of %d bytes", round+1, machinesForFault, uploaders, size)
		s, ok := f.upload(f.machines[:machinesForFault], size)
		sent, served = sent+s, served+ok
		for _, m := range f.machines[:machinesForFault] {
			if !eventually(10*time.Second, m.isReady) {
				r.say("the case could not run: %s is not ready again", m.name)
				return notRun
			}
		}
		for _, m := range f.machines {
			m.upstream.deliver(m.upstream.nextBeat())
		}
		time.Sleep(stabilityBound + time.Second)
	}
	done.Store(true)
	watchers.Wait()
	faulty := 0
	for i := range machinesForFault {
		r.say("%s: peak %d MB, process ended %d times", f.machines[i].name, peak[i].Load(), ends[i].Load())
		if ends[i].Load() >= endsForFault {
			faulty++
		}
	}
	r.say("%d requests sent, %d served", sent, served)
	if faulty >= machinesForFault {
		r.say("Fault: processes of %d machines ended %d times", faulty, endsForFault)
		return broken
	}
	return held
}

func (f *fleet) upload(machines []*machine, size int) (sent, served int) {
	var group sync.WaitGroup
	var ok atomic.Int64
	body := make([]byte, size)
	for _, m := range machines {
		for range uploaders {
			sent++
			group.Go(func() {
				if a := f.get(m, http.MethodPut, writePrefix+"10", body, requestTimeout); a.status == http.StatusOK {
					ok.Add(1)
				} else {
					f.record.line("%s: %s", a.id, fmt.Sprint(a.err))
				}
			})
		}
	}
	group.Wait()
	return sent, int(ok.Load())
}
