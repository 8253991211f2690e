package inbound

import (
	"errors"
	"net"
	"sync"
	"syscall"
	"time"

	"chestnutshed.example/chestnutshed/internal/core/clock"
	"chestnutshed.example/chestnutshed/internal/policy/lifecycle"
	"chestnutshed.example/chestnutshed/internal/policy/poison"
	"chestnutshed.example/chestnutshed/internal/traffic/call"
	"chestnutshed.example/chestnutshed/internal/traffic/httpconn"
	"github.com/sirupsen/logrus"
)

const (
	// crashDialTimeout bounds the connection attempt that shows whether the target's
	// process runs. The target is on the same VM.
	crashDialTimeout = 100 * time.Millisecond
	// crashWindow is how long before the crash is noticed a call may have lost its
	// connection because of it.
	crashWindow = 500 * time.Millisecond
	// crashCheckInterval is the minimum time between connection attempts, which take
	// a connection of the target.
	crashCheckInterval = 20 * time.Millisecond
)

// flight is a call on the target.
type flight struct {
	call    call.Call
	request *httpconn.Request
	began   time.Time
	// lostAt is when its connection broke; zero while it is running.
	lostAt time.Time
}

// fingerprintOf returns the fingerprint of a call's request.
func fingerprintOf(c call.Call, r *httpconn.Request) poison.Fingerprint {
	return poison.FingerprintOf(c.Organisation, r.Method, r.Target, r.Body)
}

// crashDetector finds out which calls were in flight when the target crashed. It is
// safe for concurrent use.
type crashDetector struct {
	address string

	mu      sync.Mutex
	running map[uint64]flight
	// lost are the calls whose connection broke within the crashWindow.
	lost []flight
	// crashedAt is when the last crash was noticed. Calls that began before then are
	// not counted again.
	crashedAt time.Time
	// checkedAt is when the port last accepted a connection.
	checkedAt time.Time
	// recheck is set while another check is scheduled.
	recheck bool
}

func newCrashDetector(address string) *crashDetector {
	return &crashDetector{address: address, running: map[uint64]flight{}}
}

// start records a call that is sent to the target.
func (d *crashDetector) start(id uint64, f flight) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.running[id] = f
}

// end records the end of a call, and whether its connection broke.
func (d *crashDetector) end(now time.Time, id uint64, lost bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	f := d.running[id]
	delete(d.running, id)
	for len(d.lost) > 0 && now.Sub(d.lost[0].lostAt) > crashWindow {
		d.lost = d.lost[1:]
	}
	if lost {
		f.lostAt = now
		d.lost = append(d.lost, f)
	}
}

// scheduleCheck calls check after crashCheckInterval if the port accepted a connection
// only just now, unless a check is scheduled already. It reports whether to check now.
func (d *crashDetector) scheduleCheck(now time.Time, check func()) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if now.Sub(d.checkedAt) >= crashCheckInterval {
		return true
	}
	if !d.recheck {
		d.recheck = true
		time.AfterFunc(crashCheckInterval, func() {
			d.mu.Lock()
			d.recheck = false
			d.mu.Unlock()
			check()
		})
	}
	return false
}

// detect returns the calls that were in flight when the target crashed. It returns them
// once, and nothing if the target runs or no call was in flight.
func (d *crashDetector) detect(now time.Time) []flight {
	d.mu.Lock()
	affected := d.affected(now)
	d.mu.Unlock()
	if len(affected) == 0 {
		return nil
	}
	refused := portRefused(d.address)
	d.mu.Lock()
	defer d.mu.Unlock()
	if !refused {
		d.checkedAt = now
		return nil
	}
	affected = d.affected(now)
	d.crashedAt = now
	return affected
}

// affected returns the calls that a crash now would have ended. The mutex must be held.
func (d *crashDetector) affected(now time.Time) []flight {
	var found []flight
	for _, f := range d.running {
		if f.began.After(d.crashedAt) {
			found = append(found, f)
		}
	}
	for _, f := range d.lost {
		if f.began.After(d.crashedAt) && now.Sub(f.lostAt) <= crashWindow {
			found = append(found, f)
		}
	}
	return found
}

// portRefused reports whether a port refuses connections, which means that the process
// behind it has ended.
func portRefused(address string) bool {
	conn, err := net.DialTimeout("tcp", address, crashDialTimeout)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	_ = conn.Close()
	return false
}

// checkCrash checks whether the target has crashed, and reports the calls that were in
// flight then.
func (s *Service) checkCrash(now time.Time) {
	if !s.crashes.scheduleCheck(now, func() { s.checkCrash(clock.Now()) }) {
		return
	}
	target := s.Target()
	if target.State != lifecycle.Ready {
		return // It has left, so its end is no crash.
	}
	inFlight := s.crashes.detect(now)
	if len(inFlight) == 0 {
		return
	}
	s.crashCount.Inc()
	prints := make([]poison.Fingerprint, 0, len(inFlight))
	for _, f := range inFlight {
		prints = append(prints, fingerprintOf(f.call, f.request))
	}
	s.log.WithFields(logrus.Fields{
		"target": target.Last.ID, "born": target.Last.Born, "in_flight": len(inFlight), "prints": prints,
	}).Warn("target crashed")
}
