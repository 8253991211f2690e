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
	// patience is the deadline of a root.
	patience = 2 * time.Second
	// callerRetries is how often a caller repeats what failed, and callerWait
	// the time before it does.
	callerRetries = 3
	callerWait    = 50 * time.Millisecond
	// poisonTime is how long a poison request runs before the target crashes.
	poisonTime = 10 * time.Millisecond
	// crashBack is how long a crashed target is away.
	crashBack = 3 * time.Second
	// failTime is the part of the service time that a failing target takes.
	failTime = 0.1
	// targetRepeats is how often a target repeats an inner call.
	targetRepeats = 2
)

// wish is what a caller wants: one request with its repeats.
type wish struct {
	org     *org
	kind    kind
	poison  bool
	retries int
	began   time.Time
	done    bool
}

// root is one try of a wish.
type root struct {
	wish     *wish
	score    priority.Score
	deadline time.Time
	print    poison.Fingerprint
	sends    int
	slotTime time.Duration
	ended    bool
}

// call is one call on its way to a stage.
type call struct {
	root  *root
	stage int
	lent  int
	// done takes the end of the call, the unused extra sends, and the sends made
	// with those further down.
	done func(result retry.Result, unused, sends int)
}

func (c *call) route() string { return c.root.wish.kind.routes[c.stage] }

// work is a call at the server that runs it.
type work struct {
	id      uint64
	server  *server
	call    *call
	forced  bool
	extra   *budget.Budget
	began   time.Time
	ended   bool
	suspect bool
	// below is the number of sends of inner calls.
	below int
	reply func(result retry.Result, unused, below int)
}

// arrive starts one wish and schedules the next.
func (s *sim) arrive() {
	rate := 0.0
	for i := range s.plan.orgs {
		rate += s.plan.demand(s, &s.plan.orgs[i])
	}
	s.after(time.Duration(s.random.ExpFloat64()/rate*float64(time.Second)), func() {
		at := s.random.Float64() * rate
		for i := range s.plan.orgs {
			o := &s.plan.orgs[i]
			if at -= s.plan.demand(s, o); at < 0 {
				s.wish(o, s.plan.kindOf(s.random), false)
				break
			}
		}
		s.arrive()
	})
}

func (s *sim) wish(o *org, k kind, poisonous bool) {
	w := &wish{org: o, kind: k, poison: poisonous, retries: callerRetries, began: s.now}
	s.result.wished(s.now, w)
	s.try(w)
}

// try sends a wish as a new root through a random node.
func (s *sim) try(w *wish) {
	entry := s.all[s.random.IntN(len(s.all))]
	r := &root{wish: w, deadline: s.now.Add(patience), print: poison.Fingerprint(fmt.Sprint(s.nextID))}
	s.nextID++
	if w.poison {
		r.print = "poison"
	}
	if s.variant.Rates && !s.spend(w.org.name) {
		s.rootEnded(r, retry.Refused{Refusal: failure.New(failure.RateExceeded, "")})
		return
	}
	if s.variant.Poison && s.table.Banned(s.now, r.print) {
		s.rootEnded(r, retry.Refused{Refusal: failure.New(failure.Poison, "")})
		return
	}
	rankOf := entry.ranker.Rank(s.now, rank.Flow{Organisation: w.org.name}, w.org.share, s.random.Float64())
	r.score = priority.New(w.kind.importance, rankOf)
	c := &call{root: r, lent: s.plan.budget}
	c.done = func(result retry.Result, _, _ int) { s.rootEnded(r, result) }
	s.after(s.plan.away, func() { s.send(entry, c) })
	s.after(patience, func() {
		s.rootEnded(r, retry.Refused{Refusal: failure.New(failure.Deadline, "")})
	})
}

// spend takes one token of an organisation and reports it as used at once.
func (s *sim) spend(org string) bool {
	g := s.buckets[org].Draw(s.now, bucket.Request{Node: "all", Want: 1, Spent: s.spent[org]})
	s.spent[org] = nil
	if g.Tokens == 0 {
		return false
	}
	s.spent[org] = []bucket.Usage{{Grant: g.ID, Tokens: 1}}
	return true
}

// rootEnded notes the first end of a root; a caller that got no answer tries
// again.
func (s *sim) rootEnded(r *root, result retry.Result) {
	if r.ended {
		return
	}
	r.ended = true
	whole, ok := result.(retry.Answer)
	good := ok && whole.Status == http.StatusOK
	s.result.rootEnded(s.now, r, result, good)
	w := r.wish
	if good || w.retries == 0 {
		w.done = true
		s.result.wishEnded(s.now, w, good)
		return
	}
	w.retries--
	s.after(callerWait, func() { s.try(w) })
}

// send carries a call from a node to one that serves it.
func (s *sim) send(from *server, c *call) {
	extra := c.lent
	ratio := from.ratio
	if s.variant.PerHop {
		extra, ratio = perHop, budget.NewRatio(1)
	}
	course := retry.NewAttempts(balancer.Call{Route: c.route(), Score: c.root.score, Depth: c.stage + 1}, true, extra)
	s.next(from, c, course, ratio)
}

func (s *sim) next(from *server, c *call, course *retry.Attempts, ratio *budget.Ratio) {
	if s.now.Before(c.root.deadline) {
		step := course.Next(s.now, s.candidates(c.stage), from.chooser, ratio, func() bool { return true })
		if send, ok := step.(retry.Send); ok {
			s.deliver(from, c, send, func(result retry.Result, unused, below int) {
				course.Record(result, send.Lent, unused, below)
				s.next(from, c, course, ratio)
			})
			return
		}
	}
	c.done(course.Result(), course.Remaining(), course.TotalSends())
}

// deliver takes a call over the network and its answer back.
func (s *sim) deliver(from *server, c *call, send retry.Send, back func(result retry.Result, unused, below int)) {
	to := s.server(send.Pick.Candidate.ID)
	c.root.sends++
	s.result.sends(c.root)
	if s.random.IntN(poolConns) < from.silent[to.id] {
		s.after(silence, func() {
			from.silent[to.id] = 0
			from.chooser.Failed(s.now, to.id)
			back(retry.NoAnswer{}, 0, 0)
		})
		return
	}
	w := &work{id: s.nextID, server: to, call: c, forced: send.Pick.Forced, extra: budget.New(send.Lent)}
	s.nextID++
	way := s.latency(from, to)
	w.reply = func(result retry.Result, unused, below int) {
		s.after(way, func() {
			from.chooser.Answered(s.now, to.id, balancer.Report{
				Route:      c.route(),
				Load:       to.intake.Load(),
				Cutoff:     to.intake.Cutoff(),
				Downstream: to.intake.Downstream(s.now, c.route(), to.down),
			})
			back(result, unused, below)
		})
	}
	s.after(way, func() { to.arrive(w) })
}

func refused(reason failure.Reason) retry.Result {
	return retry.Refused{Refusal: failure.New(reason, "")}
}

func lostAnswer() retry.Result {
	return retry.Refused{Refusal: failure.New(failure.Lost, "").WithRan(failure.RanUnknown)}
}

// arrive offers a call to the node's intake.
func (v *server) arrive(w *work) {
	s := v.sim
	switch {
	case !v.up:
		w.reply(refused(failure.NotReady), w.extra.Remaining(), w.below)
		return
	case s.variant.Poison && s.table.Banned(s.now, w.call.root.print):
		w.reply(refused(failure.Poison), w.extra.Remaining(), w.below)
		return
	case s.variant.Poison && s.table.Suspect(s.now, w.call.root.print) && !w.suspect:
		w.suspect = true
		if v.suspect {
			v.held = append(v.held, w)
			return
		}
		v.suspect = true
	}
	v.offer(w)
}

func (v *server) offer(w *work) {
	s, c := v.sim, w.call
	verdict, moves := v.intake.Offer(s.now, admission.Request{
		ID:           w.id,
		Route:        c.route(),
		Score:        c.root.score,
		Organisation: c.root.wish.org.name,
		Share:        c.root.wish.org.share,
		Depth:        c.stage + 1,
		Deadline:     c.root.deadline,
	}, w.forced || !s.variant.Health, v.down)
	v.apply(moves)
	switch verdict := verdict.(type) {
	case admission.Start:
		v.begin(w)
	case admission.Wait:
		v.waiting[w.id] = w
		s.after(c.root.deadline.Sub(s.now), func() { v.withdraw(w) })
	case admission.Refuse:
		if verdict.Reason == failure.Overload {
			s.result.refusedAt(v, c.root)
		}
		v.free(w)
		w.reply(refused(verdict.Reason), w.extra.Remaining(), w.below)
	}
}

func (v *server) apply(moves admission.Changes) {
	for _, id := range moves.Started {
		w := v.waiting[id]
		delete(v.waiting, id)
		v.begin(w)
	}
	gone := map[uint64]*work{}
	for _, left := range moves.Dropped {
		gone[left.ID] = v.waiting[left.ID]
		delete(v.waiting, left.ID)
	}
	for _, left := range moves.Dropped {
		w := gone[left.ID]
		if left.Reason == failure.Overload {
			v.sim.result.refusedAt(v, w.call.root)
		}
		v.free(w)
		w.reply(refused(left.Reason), w.extra.Remaining(), w.below)
	}
}

func (v *server) withdraw(w *work) {
	if v.intake.Cancel(w.id) {
		delete(v.waiting, w.id)
		v.free(w)
		w.reply(refused(failure.Deadline), w.extra.Remaining(), w.below)
	}
}

// free lets the next suspect of a crash in.
func (v *server) free(w *work) {
	if !w.suspect {
		return
	}
	w.suspect = false
	v.suspect = false
	if len(v.held) == 0 {
		return
	}
	next := v.held[0]
	v.held = v.held[1:]
	if !v.sim.now.Before(next.call.root.deadline) {
		next.reply(refused(failure.Deadline), next.extra.Remaining(), next.below)
		v.suspect, next.suspect = true, true
		v.free(next)
		return
	}
	v.suspect = true
	v.offer(next)
}

// begin gives a call its slot. Without a limit in front, the target queues.
func (v *server) begin(w *work) {
	v.running[w.id] = w
	if v.sim.variant.Cancel {
		v.sim.after(w.call.root.deadline.Sub(v.sim.now), func() {
			v.end(w, retry.Refused{Refusal: failure.New(failure.Deadline, "").WithRan(failure.RanUnknown)}, admission.Aborted, false)
		})
	}
	if v.busy >= v.slots {
		v.fifo = append(v.fifo, w)
		return
	}
	v.serve(w)
}

// serve holds a slot of the target for the service time.
func (v *server) serve(w *work) {
	s := v.sim
	v.busy++
	w.began = s.now
	if w.call.root.wish.poison {
		s.after(poisonTime, func() {
			if !w.ended {
				v.crash(crashBack)
			}
		})
		return
	}
	factor := v.slow
	if !v.since.IsZero() && s.now.Sub(v.since) < coldTime {
		factor *= coldFactor
	}
	if v.failing {
		factor *= failTime
	}
	mean := float64(s.plan.stages[v.stage].MeanServiceTime()) * factor
	s.after(time.Duration(mean*(0.5+0.5*s.random.ExpFloat64())), func() { v.served(w) })
}

// served ends the target's own work on a call.
func (v *server) served(w *work) {
	c := w.call
	switch {
	case w.ended:
	case v.failing:
		v.end(w, retry.Answer{Status: http.StatusInternalServerError}, admission.Answered, true)
	case c.stage+1 >= c.root.wish.kind.stages:
		v.end(w, retry.Answer{Status: http.StatusOK}, admission.Answered, false)
	default:
		v.inner(w, 0)
	}
}

// inner makes the call to the next stage.
func (v *server) inner(w *work, repeats int) {
	s, c := v.sim, w.call
	w.below++
	next := &call{root: c.root, stage: c.stage + 1, lent: w.extra.LendAll()}
	v.intake.RecordInnerCall(s.now, c.route(), overload.Child{Service: s.plan.stages[next.stage].Name, Route: next.route()})
	next.done = func(result retry.Result, unused, sends int) {
		w.extra.Return(unused, next.lent)
		w.below += sends - 1
		cost := max(1, sends-(next.lent-unused))
		whole, ok := result.(retry.Answer)
		switch {
		case w.ended:
		case ok && whole.Status == http.StatusOK:
			v.end(w, whole, admission.Answered, false)
		case repeats < targetRepeats && (s.variant.PerHop || w.extra.Spend(cost)):
			v.inner(w, repeats+1)
		default:
			v.end(w, retry.Answer{Status: http.StatusBadGateway, InnerFailed: true}, admission.Answered, false)
		}
	}
	s.send(v, next)
}

// end gives back the slot and answers.
func (v *server) end(w *work, result retry.Result, outcome admission.Result, failed bool) {
	if w.ended {
		return
	}
	s := v.sim
	w.ended = true
	delete(v.running, w.id)
	if !w.began.IsZero() {
		v.busy--
		w.call.root.slotTime += s.now.Sub(w.began)
		s.result.slotTime(s.now.Sub(w.began))
	}
	if !failed && outcome == admission.Answered && s.variant.Poison {
		s.table.Cleared(w.call.root.print)
	}
	v.free(w)
	moves, _ := v.intake.Release(s.now, w.id, outcome, failed)
	v.apply(moves)
	for len(v.fifo) > 0 && v.busy < v.slots {
		next := v.fifo[0]
		v.fifo = v.fifo[1:]
		if !next.ended {
			v.serve(next)
		}
	}
	w.reply(result, w.extra.Remaining(), w.below)
}

// kind is one kind of root: how far down the chain it goes.
type kind struct {
	name       string
	importance manifest.Importance
	weight     float64
	stages     int
	routes     []string
}
