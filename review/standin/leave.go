package main

import (
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() {
	cases["leave-forgotten"] = leaveForgotten
	cases["leave-overtakes"] = leaveOvertakes
}

const (
	// loadInterval is the time between two requests of a client.
	loadInterval = 40 * time.Millisecond
	// servedAfterLeave is how long an upstream goes on serving after its leave.
	servedAfterLeave = 11 * time.Second
	// lateBeat is how late the late heartbeat arrives.
	lateBeat = 4 * time.Second
)

// load lets a client on each machine read all the time. It returns a function that ends
// it and returns how many requests were sent and served.
func (f *fleet) load() func() (sent, served int64) {
	var done atomic.Bool
	var group sync.WaitGroup
	var sent, served atomic.Int64
	for _, m := range f.machines {
		group.Go(func() {
			for !done.Load() {
				sent.Add(1)
				if f.get(m, "GET", readPrefix+"10", nil, requestTimeout).status == 200 {
					served.Add(1)
				}
				time.Sleep(loadInterval)
			}
		})
	}
	return func() (int64, int64) {
		done.Store(true)
		group.Wait()
		return sent.Load(), served.Load()
	}
}

// An upstream deregisters and goes on serving for a while. Right after the
// acknowledgement, all nodes are killed and start again. A heartbeat that the upstream
// had sent before it deregistered arrives late.
func leaveForgotten(f *fleet, trouble bool) verdict {
	r, m := f.record, f.machines[0]
	u := m.upstream
	stop := f.load()
	time.Sleep(stabilityBound + 500*time.Millisecond)
	late := u.nextBeat()
	sentAt := time.Now()
	r.say("sent, and delayed on its way: %s", late.what)
	u.setBeating(false)
	time.Sleep(100 * time.Millisecond)
	if !u.deliver(u.leave()) {
		r.say("the case could not run: the leave was not acknowledged")
		return notRun
	}
	acknowledged := r.since()
	r.say("leave of %s acknowledged", u.id)
	time.Sleep(300 * time.Millisecond)
	if trouble {
		r.say("all nodes are killed")
		for _, m := range f.machines {
			f.signal(m, syscall.SIGKILL)
		}
		for _, m := range f.machines {
			m.wait()
		}
		time.Sleep(restartDelay)
		for _, m := range f.machines {
			if f.start(m) != nil {
				return notRun
			}
		}
		for _, m := range f.machines[1:] {
			m.upstream.deliver(m.upstream.nextBeat())
		}
	}
	time.Sleep(time.Until(sentAt.Add(lateBeat)))
	r.say("arrives: %s", late.what)
	u.deliver(late)
	time.Sleep(acknowledged + servedAfterLeave - r.since())
	sent, served := stop()
	// All machines are in touch from stabilityBound after the start of the last process.
	from := acknowledged + drainBound
	for _, m := range f.machines {
		from = max(from, m.startedAt+stabilityBound)
	}
	return f.judgeLeave(u, acknowledged, from, sent, served)
}

// An upstream crashes and is back under a new ID. Its first heartbeat is late, and it is
// told to leave before that arrives.
func leaveOvertakes(f *fleet, trouble bool) verdict {
	r, m := f.record, f.machines[0]
	u := m.upstream
	stop := f.load()
	time.Sleep(stabilityBound + 500*time.Millisecond)
	r.say("%s crashes", u.id)
	u.crash()
	time.Sleep(restartDelay)
	u.incarnate("i-1-second")
	if err := u.listen(); err != nil {
		r.say("the case could not run: %v", err)
		return notRun
	}
	r.say("%s is up", u.id)
	first := u.nextBeat()
	sentAt := time.Now()
	if trouble {
		r.say("sent, and delayed on its way: %s", first.what)
	} else {
		u.deliver(first)
	}
	time.Sleep(time.Second)
	if !u.deliver(u.leave()) {
		r.say("the case could not run: the leave was not acknowledged")
		return notRun
	}
	acknowledged := r.since()
	r.say("leave of %s acknowledged", u.id)
	time.Sleep(time.Until(sentAt.Add(lateBeat)))
	if trouble {
		r.say("arrives: %s", first.what)
		u.deliver(first)
	}
	time.Sleep(acknowledged + servedAfterLeave - r.since())
	sent, served := stop()
	return f.judgeLeave(u, acknowledged, acknowledged+drainBound, sent, served)
}

// judgeLeave checks DRAIN: no request reaches the upstream after from.
func (f *fleet) judgeLeave(u *upstream, acknowledged, from time.Duration, sent, served int64) verdict {
	runs := u.runsAfter(u.id, from)
	f.record.say("%d requests sent, %d served; %d run by %s from %.1f s after its leave was acknowledged", sent, served, len(runs), u.id, (from - acknowledged).Seconds())
	if len(runs) == 0 {
		return held
	}
	f.record.say("DRAIN: the first at %.3f, the last at %.3f", runs[0].at.Seconds(), runs[len(runs)-1].at.Seconds())
	return broken
}
