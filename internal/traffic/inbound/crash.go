package inbound

import (
	"context"
	"strconv"
	"sync"
	"time"

	"chestnutshed.example/chestnutshed/internal/core/clock"
	"chestnutshed.example/chestnutshed/internal/core/failure"
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
	// print is the fingerprint; empty until it is needed.
	print poison.Fingerprint
	// suspect is set if the request was in flight at an earlier crash.
	suspect bool
	sentAt  time.Time
	// lostAt is when its connection broke; zero while it is running.
	lostAt time.Time
}

// fingerprint returns the fingerprint of the call's request.
func (f flight) fingerprint() poison.Fingerprint {
	if f.print != "" {
		return f.print
	}
	return poison.FingerprintOf(f.call.Organisation, f.request.Method, f.request.Target, f.request.Body)
}

// crashDetector finds out which calls were in flight when the target crashed. It is
// safe for concurrent use.
type crashDetector struct {
	address string

	mu      sync.Mutex
	running map[uint64]flight
	// lost are the calls whose connection broke within the crashWindow.
	lost []flight
	// crashedAt is when the last crash was noticed, and crash its name. Calls that were
	// sent before then are not counted again.
	crashedAt time.Time
	crash     string
	// checkedAt is when the port last accepted a connection.
	checkedAt time.Time
	// recheck is set while another check is scheduled.
	recheck bool
}

func newCrashDetector(address string) *crashDetector {
	return &crashDetector{address: address, running: map[uint64]flight{}}
}

// start records a call that is sent to the target. Calls that wait for a connection are
// not in flight.
func (d *crashDetector) start(now time.Time, id uint64, f flight) {
	d.mu.Lock()
	defer d.mu.Unlock()
	f.sentAt = now
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

// detect returns the calls that were in flight when the target crashed, and a name for
// the crash. It returns them once, and nothing if the target runs or no call was in
// flight.
func (d *crashDetector) detect(now time.Time, target string) ([]flight, string) {
	d.mu.Lock()
	affected := d.affected(now)
	d.mu.Unlock()
	if len(affected) == 0 {
		return nil, ""
	}
	refused := httpconn.PortRefused(d.address, crashDialTimeout)
	d.mu.Lock()
	defer d.mu.Unlock()
	if !refused {
		d.checkedAt = now
		return nil, ""
	}
	if affected = d.affected(now); len(affected) > 0 {
		// A target can crash again before it has announced its new incarnation.
		d.crashedAt, d.crash = now, target+"@"+strconv.FormatInt(now.UnixMilli(), 10)
	}
	return affected, d.crash
}

// crashOf returns the name of the crash that a lost call was in flight at, or "".
func (d *crashDetector) crashOf(began time.Time) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	if began.After(d.crashedAt) {
		return ""
	}
	return d.crash
}

// affected returns the calls that a crash now would have ended. The mutex must be held.
func (d *crashDetector) affected(now time.Time) []flight {
	var found []flight
	for _, f := range d.running {
		if f.sentAt.After(d.crashedAt) {
			found = append(found, f)
		}
	}
	for _, f := range d.lost {
		if f.sentAt.After(d.crashedAt) && now.Sub(f.lostAt) <= crashWindow {
			found = append(found, f)
		}
	}
	return found
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
	inFlight, crash := s.crashes.detect(now, target.Last.ID)
	if len(inFlight) == 0 {
		return
	}
	s.mu.Lock()
	s.ejectedUntil = now.Add(ejectionTime)
	s.doubtWarmth(now)
	s.mu.Unlock()
	s.crashCount.Inc()
	runs := make([]poison.Run, 0, len(inFlight))
	prints := make([]poison.Fingerprint, 0, len(inFlight))
	for _, f := range inFlight {
		run := poison.Run{Fingerprint: f.fingerprint(), Suspect: f.suspect}
		runs, prints = append(runs, run), append(prints, run.Fingerprint)
	}
	s.log.WithFields(logrus.Fields{
		"target": target.Last.ID, "born": target.Last.Born, "crash": crash, "in_flight": len(inFlight), "prints": prints,
	}).Warn("target crashed")
	s.quarantine.Crashed(now, target.Last.Service, crash, runs)
}

// screen refuses a call whose request crashes targets, and isolates it if it is only a
// suspect. The caller must call release at the end of the run.
func (s *Service) screen(ctx context.Context, now time.Time, f flight) (_ flight, release func(), refused *call.Refused) {
	if f.call.Crash != "" || s.quarantine.Active() {
		f.print = f.fingerprint()
	}
	if f.call.Crash != "" {
		s.quarantine.Learn(now, poison.Record{Fingerprint: f.print, Targets: []string{f.call.Crash}})
	}
	release = func() {}
	if refused = s.quarantined(now, f); refused != nil || !s.isSuspect(now, f) {
		return f, release, refused
	}
	release = s.isolate(ctx, f.call.QueueTimeout())
	isolated := clock.Now()
	f.call = f.call.WithQueueTimeout(f.call.QueueTimeout() - isolated.Sub(now))
	f.suspect = s.isSuspect(isolated, f)
	return f, release, s.quarantined(isolated, f)
}

// quarantined refuses a call whose request crashes targets.
func (s *Service) quarantined(now time.Time, f flight) *call.Refused {
	if !s.quarantine.Active() {
		return nil
	}
	if left := s.quarantine.BanLeft(now, f.fingerprint()); left > 0 {
		return &call.Refused{Reason: failure.Poison, RetryAfter: left}
	}
	return nil
}

// isSuspect reports whether a call's request was in flight at a recent crash.
func (s *Service) isSuspect(now time.Time, f flight) bool {
	return s.quarantine.Active() && s.quarantine.Suspect(now, f.fingerprint())
}

// clearSuspect records that a call's request ran to its end.
func (s *Service) clearSuspect(now time.Time, f flight) {
	if s.quarantine.Active() {
		s.quarantine.Cleared(now, f.fingerprint())
	}
}

// isolate waits until no other suspect runs on the target, but not longer than maxWait.
// Suspects that waited longer run beside each other, as most of them are harmless. The
// caller must call release at the end of the run.
func (s *Service) isolate(ctx context.Context, maxWait time.Duration) (release func()) {
	timer := time.NewTimer(maxWait)
	defer timer.Stop()
	select {
	case s.suspectSlot <- struct{}{}:
		return func() { <-s.suspectSlot }
	case <-timer.C:
	case <-ctx.Done():
	}
	return func() {}
}
