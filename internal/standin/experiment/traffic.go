package experiment

import (
	"fmt"
	"net/http"
	"time"

	"chestnutshed.example/chestnutshed/internal/config/manifest"
	"chestnutshed.example/chestnutshed/internal/core/failure"
	"chestnutshed.example/chestnutshed/internal/policy/admission"
	"chestnutshed.example/chestnutshed/internal/policy/balancer"
	"chestnutshed.example/chestnutshed/internal/policy/bucket"
	"chestnutshed.example/chestnutshed/internal/policy/budget"
	"chestnutshed.example/chestnutshed/internal/policy/overload"
	"chestnutshed.example/chestnutshed/internal/policy/poison"
	"chestnutshed.example/chestnutshed/internal/policy/priority"
	"chestnutshed.example/chestnutshed/internal/policy/rank"
	"chestnutshed.example/chestnutshed/internal/policy/retry"
)

const (
	// rootTimeout is the time from the start of a root to its deadline.
	rootTimeout = 2 * time.Second
	// callerRetries is the number of retries by a caller, and callerWait
	// the delay before each.
	callerRetries = 3
	callerBackoff = 50 * time.Millisecond
	// poisonDelay is the time that a poison request runs before the target crashes.
	poisonDelay = 10 * time.Millisecond
	// crashDowntime is the time until a target that a poison request crashed
	// restarts.
	crashDowntime = 3 * time.Second
	// failingFactor multiplies the service time of a failing target.
	failingFactor = 0.1
	// targetRetries is the number of retries of an inner call by a target.
	targetRetries = 2
)

// request is a caller's request with its retries.
type request struct {
	org     *org
	kind    kind
	poison  bool
	retries int
	started time.Time
	done    bool
}

// root is one attempt of a caller's request.
type root struct {
	request     *request
	score       priority.Score
	deadline    time.Time
	fingerprint poison.Fingerprint
	attempts    int
	slotTime    time.Duration
	ended       bool
}

// call is a call of a root to a stage.
type call struct {
	root  *root
	stage int
	lent  int
	// done receives the result of the call, the unused retries, and the attempts
	// made, including those of inner calls.
	done func(result retry.Result, unused, sends int)
}

func (c *call) route() string { return c.root.request.kind.routes[c.stage] }

// work is a call at the server that handles it.
type work struct {
	id      uint64
	server  *server
	call    *call
	forced  bool
	budget  *budget.Budget
	started time.Time
	ended   bool
	suspect bool
	// innerAttempts is the number of attempts of inner calls.
	innerAttempts int
	reply         func(result retry.Result, unused, below int)
}

// arrive schedules the next request of a caller, after an exponentially
// distributed time.
func (s *sim) arrive() {
	rate := 0.0
	for i := range s.plan.orgs {
		rate += s.plan.currentDemand(s, &s.plan.orgs[i])
	}
	s.schedule(time.Duration(s.random.ExpFloat64()/rate*float64(time.Second)), func() {
		at := s.random.Float64() * rate
		for i := range s.plan.orgs {
			o := &s.plan.orgs[i]
			if at -= s.plan.currentDemand(s, o); at < 0 {
				s.startRequest(o, s.plan.randomKind(s.random), false)
				break
			}
		}
		s.arrive()
	})
}

func (s *sim) startRequest(o *org, k kind, poisoned bool) {
	w := &request{org: o, kind: k, poison: poisoned, retries: callerRetries, started: s.now}
	s.collector.requestStarted(s.now, w)
	s.sendRoot(w)
}

// sendRoot sends a request as a new root through a random node.
func (s *sim) sendRoot(w *request) {
	entry := s.all[s.random.IntN(len(s.all))]
	r := &root{request: w, deadline: s.now.Add(rootTimeout), fingerprint: poison.Fingerprint(fmt.Sprint(s.nextID))}
	s.nextID++
	if w.poison {
		r.fingerprint = "poison"
	}
	if s.variant.RateLimits && !s.takeToken(w.org.name) {
		s.rootEnded(r, retry.Refused{Refusal: failure.New(failure.RateExceeded, "")})
		return
	}
	if s.variant.Poison && s.poisonTable.Banned(s.now, r.fingerprint) {
		s.rootEnded(r, retry.Refused{Refusal: failure.New(failure.Poison, "")})
		return
	}
	rankOf := entry.ranker.Rank(s.now, rank.Flow{Organisation: w.org.name}, w.org.share, s.random.Float64())
	r.score = priority.New(w.kind.importance, rankOf)
	c := &call{root: r, lent: s.plan.retryBudget}
	c.done = func(result retry.Result, _, _ int) { s.rootEnded(r, result) }
	s.schedule(s.plan.callerLatency, func() { s.send(entry, c) })
	s.schedule(rootTimeout, func() {
		s.rootEnded(r, retry.Refused{Refusal: failure.New(failure.Deadline, "")})
	})
}

// takeToken takes one token from the bucket of an organisation. The token is
// reported as used with the next draw.
func (s *sim) takeToken(org string) bool {
	g := s.buckets[org].Draw(s.now, bucket.Request{Node: "all", Want: 1, Spent: s.usage[org]})
	s.usage[org] = nil
	if g.Tokens == 0 {
		return false
	}
	s.usage[org] = []bucket.Usage{{Grant: g.ID, Tokens: 1}}
	return true
}

// rootEnded records the first result of a root. The caller retries a failed
// request while it has retries left.
func (s *sim) rootEnded(r *root, result retry.Result) {
	if r.ended {
		return
	}
	r.ended = true
	whole, ok := result.(retry.Answer)
	good := ok && whole.Status == http.StatusOK
	s.collector.rootEnded(s.now, r, result, good)
	w := r.request
	if good || w.retries == 0 {
		w.done = true
		s.collector.requestEnded(s.now, w, good)
		return
	}
	w.retries--
	s.schedule(callerBackoff, func() { s.sendRoot(w) })
}

// send sends a call from a node to a node of the call's stage.
func (s *sim) send(from *server, c *call) {
	extra := c.lent
	ratio := from.retryRatio
	if s.variant.PerHopRetries {
		extra, ratio = retriesPerHop, budget.NewRatio(1)
	}
	attempts := retry.NewAttempts(balancer.Call{Route: c.route(), Score: c.root.score, Depth: c.stage + 1}, true, extra)
	s.attempt(from, c, attempts, ratio)
}

func (s *sim) attempt(from *server, c *call, attempts *retry.Attempts, ratio *budget.Ratio) {
	if s.now.Before(c.root.deadline) {
		step := attempts.Next(s.now, s.candidates(c.stage), from.balancer, ratio, func() bool { return true })
		if send, ok := step.(retry.Send); ok {
			s.deliver(from, c, send, func(result retry.Result, unused, below int) {
				attempts.Record(result, send.Lent, unused, below)
				s.attempt(from, c, attempts, ratio)
			})
			return
		}
	}
	c.done(attempts.Result(), attempts.Remaining(), attempts.TotalSends())
}

// deliver models one attempt over the network: the call and its answer.
func (s *sim) deliver(from *server, c *call, send retry.Send, back func(result retry.Result, unused, below int)) {
	to := s.server(send.Pick.Candidate.ID)
	c.root.attempts++
	s.collector.recordAttempt(c.root)
	if s.random.IntN(poolConns) < from.stalled[to.id] {
		s.schedule(stallTimeout, func() {
			from.stalled[to.id] = 0
			from.balancer.Failed(s.now, to.id)
			back(retry.NoAnswer{}, 0, 0)
		})
		return
	}
	w := &work{id: s.nextID, server: to, call: c, forced: send.Pick.Forced, budget: budget.New(send.Lent)}
	s.nextID++
	delay := s.latency(from, to)
	w.reply = func(result retry.Result, unused, below int) {
		s.schedule(delay, func() {
			from.balancer.Answered(s.now, to.id, balancer.Report{
				Route:      c.route(),
				Load:       to.controller.Load(s.now),
				Cutoff:     to.controller.Cutoff(),
				Downstream: to.controller.Downstream(s.now, c.route(), to.downstream),
			})
			back(result, unused, below)
		})
	}
	s.schedule(delay, func() { to.arrive(w) })
}

func refused(reason failure.Reason) retry.Result {
	return retry.Refused{Refusal: failure.New(reason, "")}
}

func lost() retry.Result {
	return retry.Refused{Refusal: failure.New(failure.Lost, "").WithRan(failure.RanUnknown)}
}

// arrive handles a call that reaches a node. At most one request suspected of a
// crash is offered at a time.
func (v *server) arrive(w *work) {
	s := v.sim
	switch {
	case !v.up:
		w.reply(refused(failure.NotReady), w.budget.Remaining(), w.innerAttempts)
		return
	case s.variant.Poison && s.poisonTable.Banned(s.now, w.call.root.fingerprint):
		w.reply(refused(failure.Poison), w.budget.Remaining(), w.innerAttempts)
		return
	case s.variant.Poison && s.poisonTable.Suspect(s.now, w.call.root.fingerprint) && !w.suspect:
		w.suspect = true
		if v.suspectRunning {
			v.heldSuspects = append(v.heldSuspects, w)
			return
		}
		v.suspectRunning = true
	}
	v.offer(w)
}

func (v *server) offer(w *work) {
	s, c := v.sim, w.call
	verdict, changes := v.controller.Offer(s.now, admission.Request{
		ID:           w.id,
		Route:        c.route(),
		Score:        c.root.score,
		Organisation: c.root.request.org.name,
		Share:        c.root.request.org.share,
		Depth:        c.stage + 1,
		Deadline:     c.root.deadline,
	}, w.forced || !s.variant.Health, v.downstream)
	v.apply(changes)
	switch verdict := verdict.(type) {
	case admission.Start:
		v.start(w)
	case admission.Wait:
		v.waiting[w.id] = w
		s.schedule(c.root.deadline.Sub(s.now), func() { v.cancel(w) })
	case admission.Refuse:
		if verdict.Reason == failure.Overload {
			s.collector.countInversion(v, c.root)
		}
		v.releaseSuspect(w)
		w.reply(refused(verdict.Reason), w.budget.Remaining(), w.innerAttempts)
	}
}

func (v *server) apply(changes admission.Changes) {
	for _, id := range changes.Started {
		w := v.waiting[id]
		delete(v.waiting, id)
		v.start(w)
	}
	droppedWork := map[uint64]*work{}
	for _, dropped := range changes.Dropped {
		droppedWork[dropped.ID] = v.waiting[dropped.ID]
		delete(v.waiting, dropped.ID)
	}
	for _, dropped := range changes.Dropped {
		w := droppedWork[dropped.ID]
		if dropped.Reason == failure.Overload {
			v.sim.collector.countInversion(v, w.call.root)
		}
		v.releaseSuspect(w)
		w.reply(refused(dropped.Reason), w.budget.Remaining(), w.innerAttempts)
	}
}

func (v *server) cancel(w *work) {
	if v.controller.Cancel(w.id) {
		delete(v.waiting, w.id)
		v.releaseSuspect(w)
		w.reply(refused(failure.Deadline), w.budget.Remaining(), w.innerAttempts)
	}
}

// releaseSuspect ends the turn of a suspect of a crash and offers the next one.
func (v *server) releaseSuspect(w *work) {
	if !w.suspect {
		return
	}
	w.suspect = false
	v.suspectRunning = false
	if len(v.heldSuspects) == 0 {
		return
	}
	next := v.heldSuspects[0]
	v.heldSuspects = v.heldSuspects[1:]
	if !v.sim.now.Before(next.call.root.deadline) {
		next.reply(refused(failure.Deadline), next.budget.Remaining(), next.innerAttempts)
		v.suspectRunning, next.suspect = true, true
		v.releaseSuspect(next)
		return
	}
	v.suspectRunning = true
	v.offer(next)
}

// start starts an admitted call. It waits in the target's own queue if all slots
// are busy, which happens only without a concurrency limit.
func (v *server) start(w *work) {
	v.running[w.id] = w
	if v.sim.variant.Cancel {
		v.sim.schedule(w.call.root.deadline.Sub(v.sim.now), func() {
			v.finish(w, retry.Refused{Refusal: failure.New(failure.Deadline, "").WithRan(failure.RanUnknown)}, admission.Aborted, false)
		})
	}
	if v.busy >= v.slots {
		v.fifo = append(v.fifo, w)
		return
	}
	v.serve(w)
}

// serve occupies a slot of the target for the service time.
func (v *server) serve(w *work) {
	s := v.sim
	v.busy++
	w.started = s.now
	if w.call.root.request.poison {
		s.schedule(poisonDelay, func() {
			if !w.ended {
				v.crash(crashDowntime)
			}
		})
		return
	}
	factor := v.slowdown
	if !v.readySince.IsZero() && s.now.Sub(v.readySince) < warmUpTime {
		factor *= warmUpSlowdown
	}
	if v.failing {
		factor *= failingFactor
	}
	mean := float64(s.plan.stages[v.stage].MeanServiceTime()) * factor
	s.schedule(time.Duration(mean*(0.5+0.5*s.random.ExpFloat64())), func() { v.finishService(w) })
}

// finishService runs at the end of the target's service time. It answers or calls
// the next stage.
func (v *server) finishService(w *work) {
	c := w.call
	switch {
	case w.ended:
	case v.failing:
		v.finish(w, retry.Answer{Status: http.StatusInternalServerError}, admission.Answered, true)
	case c.stage+1 >= c.root.request.kind.stages:
		v.finish(w, retry.Answer{Status: http.StatusOK}, admission.Answered, false)
	default:
		v.callNext(w, 0)
	}
}

// callNext calls the next stage.
func (v *server) callNext(w *work, repeats int) {
	s, c := v.sim, w.call
	w.innerAttempts++
	next := &call{root: c.root, stage: c.stage + 1, lent: w.budget.LendAll()}
	v.controller.RecordInnerCall(s.now, c.route(), overload.Child{Service: s.plan.stages[next.stage].Name, Route: next.route()})
	next.done = func(result retry.Result, unused, sends int) {
		w.budget.Return(unused, next.lent)
		w.innerAttempts += sends - 1
		cost := max(1, sends-(next.lent-unused))
		whole, ok := result.(retry.Answer)
		switch {
		case w.ended:
		case ok && whole.Status == http.StatusOK:
			v.finish(w, whole, admission.Answered, false)
		case repeats < targetRetries && (s.variant.PerHopRetries || w.budget.Spend(cost)):
			v.callNext(w, repeats+1)
		default:
			v.finish(w, retry.Answer{Status: http.StatusBadGateway, InnerFailed: true}, admission.Answered, false)
		}
	}
	s.send(v, next)
}

// finish releases the slot and answers.
func (v *server) finish(w *work, result retry.Result, outcome admission.Result, failed bool) {
	if w.ended {
		return
	}
	s := v.sim
	w.ended = true
	delete(v.running, w.id)
	if !w.started.IsZero() {
		v.busy--
		w.call.root.slotTime += s.now.Sub(w.started)
		s.collector.addSlotTime(s.now.Sub(w.started))
	}
	if !failed && outcome == admission.Answered && s.variant.Poison {
		s.poisonTable.Cleared(s.now, w.call.root.fingerprint)
	}
	v.releaseSuspect(w)
	changes, _ := v.controller.Release(s.now, w.id, outcome, failed)
	v.apply(changes)
	for len(v.fifo) > 0 && v.busy < v.slots {
		next := v.fifo[0]
		v.fifo = v.fifo[1:]
		if !next.ended {
			v.serve(next)
		}
	}
	w.reply(result, w.budget.Remaining(), w.innerAttempts)
}

// kind is a kind of requests. Stages is the number of stages that it calls and
// weight its share of the demand.
type kind struct {
	name       string
	importance manifest.Importance
	weight     float64
	stages     int
	routes     []string
}
