package quota_test

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"os"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"chestnutshed.example/chestnutshed/internal/config/confsync"
	"chestnutshed.example/chestnutshed/internal/config/rules"
	"chestnutshed.example/chestnutshed/internal/core/kernel"
	"chestnutshed.example/chestnutshed/internal/fleet/member"
	"chestnutshed.example/chestnutshed/internal/fleet/quota"
	"github.com/matryer/is"
	"github.com/sirupsen/logrus"
)

// Times of the membership that a simulated process follows, as in package roster.
const (
	simTick         = 250 * time.Millisecond
	simSuspectAfter = 1200 * time.Millisecond
	simDelay        = 3 * time.Millisecond
	simJoin         = 100 * time.Millisecond
)

// searchOrg has the rate and burst of a large organisation: the part of the bound that does
// not grow with them is small.
var searchOrg = rules.Organisation{Name: "o", Rate: 315, Burst: 315}

type searchSource struct{ source }

func (searchSource) Decode([]byte) (*rules.Set, error) {
	return rules.New(1, nil, nil, []rules.Organisation{searchOrg}, rules.DefaultLimits())
}

// searchTolerated is the bound on what all nodes spend in a window.
func searchTolerated(window time.Duration) int {
	return int((searchOrg.Rate*window.Seconds()+searchOrg.Burst)*1.1 + 20)
}

// simFleet simulates VMs with their processes, links and freezes in virtual time.
type simFleet struct {
	mu     sync.Mutex
	random *rand.Rand
	vms    []*simVM
	// cut has the pairs of VMs, by sender and receiver, whose messages are lost.
	cut map[[2]int]bool
	// spent are the times at which requests got a token.
	spent []time.Time
	log   *logrus.Entry
	start time.Time
}

type simVM struct {
	index   int
	process *simProcess
	// thawed is closed when the VM is not frozen; queued are the messages that wait for
	// that.
	thawed chan struct{}
	queued []func()
	starts int
}

// simMember is what a process knows of another one.
type simMember struct {
	vm int
	// unanswered is when the first unanswered probe was sent; zero if none is.
	unanswered time.Time
	suspect    bool
	gone       bool
}

// simProcess is one process of a VM, with a simplified membership.
type simProcess struct {
	fleet   *simFleet
	vm      *simVM
	id      string
	service *quota.Service
	kernel  *kernel.Kernel
	stopped bool
	started time.Time

	// These are guarded by the fleet's mutex.
	members     map[string]*simMember
	lastContact time.Time
}

func (p *simProcess) Name() string                                { return "roster" }
func (p *simProcess) Start(context.Context, *kernel.Kernel) error { return nil }
func (p *simProcess) Stop(context.Context) error                  { return nil }
func (p *simProcess) State() any                                  { return nil }
func (p *simProcess) ConfirmRank(time.Time) int                   { return 0 }
func (p *simProcess) BroadcastVersion()                           {}
func (p *simProcess) Self() member.Record                         { return member.Record{ID: p.id} }

// now is the clock of the process. It waits while its VM is frozen.
func (p *simProcess) now() time.Time {
	p.fleet.mu.Lock()
	thawed := p.vm.thawed
	p.fleet.mu.Unlock()
	<-thawed
	return time.Now()
}

func (p *simProcess) Running(now time.Time) ([]string, int) {
	p.fleet.mu.Lock()
	defer p.fleet.mu.Unlock()
	ids, known := []string{p.id}, 1
	isolated := p.isolated(now)
	for id, m := range p.members {
		if m.gone {
			continue
		}
		known++
		if !m.suspect && !isolated {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	if len(ids) == 1 {
		known = max(known, len(p.fleet.vms))
	}
	return ids, known
}

// isolated reports whether the process has heard of nobody for a while. The mutex is held.
func (p *simProcess) isolated(now time.Time) bool {
	return now.Sub(p.lastContact) >= simSuspectAfter && now.Sub(p.started) >= simSuspectAfter
}

func (p *simProcess) Unmet(time.Time) int {
	p.fleet.mu.Lock()
	defer p.fleet.mu.Unlock()
	met := map[int]bool{p.vm.index: true}
	for _, m := range p.members {
		met[m.vm] = true
	}
	return len(p.fleet.vms) - len(met)
}

func (p *simProcess) LastContact() time.Time {
	p.fleet.mu.Lock()
	defer p.fleet.mu.Unlock()
	return p.lastContact
}

func (p *simProcess) Silent(now time.Time, id string) bool {
	p.fleet.mu.Lock()
	defer p.fleet.mu.Unlock()
	if id == p.id {
		return false
	}
	m, ok := p.members[id]
	return !ok || m.gone || m.suspect || p.isolated(now)
}

func (p *simProcess) Get(id string) (member.Record, bool) {
	p.fleet.mu.Lock()
	defer p.fleet.mu.Unlock()
	if id == p.id {
		return member.Record{ID: id}, true
	}
	m, ok := p.members[id]
	if !ok {
		return member.Record{}, false
	}
	r := member.Record{ID: id}
	if m.gone {
		r.Status = member.Dead
	}
	return r, true
}

func (p *simProcess) Send(_ time.Time, id, _ string, body any) error {
	text, err := json.Marshal(body)
	if err != nil {
		return fmt.Errorf("encode message: %w", err)
	}
	p.fleet.mu.Lock()
	defer p.fleet.mu.Unlock()
	if m, ok := p.members[id]; ok {
		p.fleet.deliver(p.vm.index, m.vm, func(to *simProcess) {
			if to.id == id {
				to.service.Message(time.Now(), p.id, text)
			}
		})
	}
	return nil
}

// deliver runs handle in the process of a VM after the delay of the link, unless the link
// is cut by then. A frozen VM handles it once it is thawed. The mutex is held.
func (f *simFleet) deliver(from, to int, handle func(*simProcess)) {
	if f.cut[[2]int{from, to}] {
		return
	}
	time.AfterFunc(simDelay, func() {
		f.mu.Lock()
		vm := f.vms[to]
		p := vm.process
		run := func() {
			f.mu.Lock()
			stopped := p == nil || p.stopped
			f.mu.Unlock()
			if !stopped {
				handle(p)
			}
		}
		select {
		case <-vm.thawed:
			f.mu.Unlock()
			run()
		default:
			vm.queued = append(vm.queued, run)
			f.mu.Unlock()
		}
	})
}

// probe sends a probe with the holder's note, which the other process answers. Both take
// over the members that the other one knows.
func (p *simProcess) probe(to int) {
	note := p.service.Note()
	f := p.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	known := p.alive()
	f.deliver(p.vm.index, to, func(q *simProcess) {
		q.heard(p, known, note)
		answer := q.service.Note()
		f.mu.Lock()
		defer f.mu.Unlock()
		others := q.alive()
		f.deliver(to, p.vm.index, func(r *simProcess) {
			if r == p {
				p.heard(q, others, answer)
			}
		})
	})
}

// alive returns the members that the process does not suspect. The mutex is held.
func (p *simProcess) alive() map[string]int {
	list := map[string]int{p.id: p.vm.index}
	for id, m := range p.members {
		if !m.gone && !m.suspect {
			list[id] = m.vm
		}
	}
	return list
}

// heard handles a message of another process.
func (p *simProcess) heard(from *simProcess, known map[string]int, note json.RawMessage) {
	p.fleet.mu.Lock()
	p.lastContact = time.Now()
	for id, vm := range known {
		p.learn(id, vm, id == from.id)
	}
	p.fleet.mu.Unlock()
	if note != nil {
		p.service.Noted(time.Now(), from.id, note)
	}
}

// learn adds a member. A later process of a VM replaces the earlier one. The mutex is held.
func (p *simProcess) learn(id string, vm int, direct bool) {
	if id == p.id || vm == p.vm.index {
		return
	}
	m, ok := p.members[id]
	if !ok {
		m = &simMember{vm: vm}
		p.members[id] = m
		for other, o := range p.members {
			if o.vm != vm || other == id {
				continue
			}
			if processOrder(other) < processOrder(id) {
				o.gone = true
			} else {
				m.gone = true
			}
		}
	}
	if direct {
		m.suspect, m.unanswered = false, time.Time{}
	}
}

// processOrder is the number of starts before the process, from its ID.
func processOrder(id string) (n int) {
	_, _ = fmt.Sscanf(id[len(id)-3:], "%d", &n)
	return n
}

// run probes other members until the process stops.
func (p *simProcess) run() {
	for round := 0; ; round++ {
		time.Sleep(simTick)
		now := p.now()
		f := p.fleet
		f.mu.Lock()
		if p.stopped {
			f.mu.Unlock()
			return
		}
		targets := p.probeTargets(now)
		f.mu.Unlock()
		for _, vm := range targets {
			p.probe(vm)
		}
	}
}

// probeTargets returns the VMs to probe: a random one of all that the directory lists, the
// first, and those with an unanswered probe. It also marks suspects. The mutex is held.
func (p *simProcess) probeTargets(now time.Time) []int {
	targets := map[int]bool{p.fleet.random.IntN(len(p.fleet.vms)): true, p.fleet.random.IntN(len(p.fleet.vms)): true}
	for _, m := range p.members {
		if m.gone {
			continue
		}
		if !m.unanswered.IsZero() {
			targets[m.vm] = true
			if now.Sub(m.unanswered) >= simSuspectAfter && !p.isolated(now) {
				m.suspect = true
			}
		}
		if targets[m.vm] && m.unanswered.IsZero() {
			m.unanswered = now
		}
	}
	delete(targets, p.vm.index)
	return slices.Sorted(maps.Keys(targets))
}

// startProcess starts the process of a VM.
func (f *simFleet) startProcess(i int) {
	f.mu.Lock()
	vm := f.vms[i]
	vm.starts++
	p := &simProcess{
		fleet: f, vm: vm, id: fmt.Sprintf("%c%c-%03d", 'a'+rune(f.random.IntN(26)), 'a'+rune(i), vm.starts),
		members: map[string]*simMember{}, started: time.Now(),
	}
	log := f.log.WithField("node", p.id)
	config := confsync.New(searchSource{}, 5*time.Second, log)
	f.mu.Unlock()
	p.service = quota.New(p.now, p, config, log)
	p.kernel = kernel.New()
	for _, s := range []kernel.Service{p, config, p.service} {
		if err := p.kernel.Register(s); err != nil {
			panic(err)
		}
	}
	if err := p.kernel.Start(context.Background()); err != nil {
		panic(err)
	}
	f.mu.Lock()
	vm.process = p
	f.mu.Unlock()
	go p.run()
}

// kill ends the process of a VM.
func (f *simFleet) kill(i int) {
	f.mu.Lock()
	p := f.vms[i].process
	f.vms[i].process = nil
	if p != nil {
		p.stopped = true
	}
	f.mu.Unlock()
	if p != nil {
		go func() { _ = p.kernel.Stop(context.Background()) }()
	}
}

func (f *simFleet) freeze(i int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	select {
	case <-f.vms[i].thawed:
		f.vms[i].thawed = make(chan struct{})
	default:
	}
}

// thaw lets a VM run again. It handles first what has arrived meanwhile.
func (f *simFleet) thaw(i int) {
	f.mu.Lock()
	vm := f.vms[i]
	queued := vm.queued
	vm.queued = nil
	select {
	case <-vm.thawed:
	default:
		close(vm.thawed)
	}
	f.mu.Unlock()
	for _, run := range queued {
		run()
	}
}

// request takes a token on a VM.
func (f *simFleet) request(i int) {
	f.mu.Lock()
	p := f.vms[i].process
	f.mu.Unlock()
	if p == nil {
		return
	}
	now := p.now()
	if p.stoppedNow() || p.service.Take(context.Background(), now, &searchOrg, quota.Request{}) == quota.Exceeded {
		return
	}
	f.mu.Lock()
	f.spent = append(f.spent, time.Now())
	f.mu.Unlock()
}

func (p *simProcess) stoppedNow() bool {
	p.fleet.mu.Lock()
	defer p.fleet.mu.Unlock()
	return p.stopped
}

// demand sends requests on all VMs, above the rate, with pauses in which buckets fill.
func (f *simFleet) demand(until time.Time, perVM float64) {
	var group sync.WaitGroup
	for i := range f.vms {
		group.Go(func() {
			for n := 0; time.Now().Before(until); n++ {
				if f.idle(time.Now()) {
					time.Sleep(50 * time.Millisecond)
					continue
				}
				group.Go(func() { f.request(i) })
				time.Sleep(time.Duration(float64(time.Second) / perVM))
			}
		})
	}
	group.Wait()
}

// idle reports whether callers pause: 4 s of every 12 s.
func (f *simFleet) idle(now time.Time) bool {
	return int(now.Sub(f.start).Seconds())%12 < 4
}

// isolate cuts a VM off from all others, in one direction or both.
func (f *simFleet) isolate(i int, in, out bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for j := range f.vms {
		if j != i {
			f.cut[[2]int{i, j}] = f.cut[[2]int{i, j}] || out
			f.cut[[2]int{j, i}] = f.cut[[2]int{j, i}] || in
		}
	}
}

func (f *simFleet) reconnect() {
	f.mu.Lock()
	defer f.mu.Unlock()
	clear(f.cut)
}

// holderVM returns the VM whose process considers itself the holder, or a random one.
func (f *simFleet) holderVM() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i, vm := range f.vms {
		if vm.process == nil {
			continue
		}
		var c struct {
			Holder   string `json:"h"`
			Resigned bool   `json:"r"`
		}
		if note := vm.process.service.Note(); note != nil && json.Unmarshal(note, &c) == nil && c.Holder == vm.process.id && !c.Resigned {
			return i
		}
	}
	return f.random.IntN(len(f.vms))
}

// trouble plays a random fault and returns after it has ended.
func (f *simFleet) trouble() string {
	victim := f.holderVM()
	f.mu.Lock()
	kind, long := f.random.IntN(7), time.Duration(500+f.random.IntN(7000))*time.Millisecond
	other := f.random.IntN(len(f.vms))
	deafened := f.random.IntN(2) == 0
	killDelay := time.Duration(f.random.IntN(2500)) * time.Millisecond
	f.mu.Unlock()
	killOthers := func() {
		for i := range f.vms {
			if i != victim {
				f.kill(i)
			}
		}
		time.Sleep(500 * time.Millisecond)
		for i := range f.vms {
			if i != victim {
				f.startProcess(i)
			}
		}
	}
	name := ""
	switch kind {
	case 0:
		name = "holder cut off"
		f.isolate(victim, true, true)
		time.Sleep(long)
		f.reconnect()
	case 1:
		name = "holder cut off, others killed"
		f.isolate(victim, true, true)
		time.Sleep(killDelay)
		killOthers()
		time.Sleep(long)
		f.reconnect()
	case 2:
		name = "holder frozen"
		f.freeze(victim)
		time.Sleep(long)
		f.thaw(victim)
	case 3:
		name = "holder frozen, others killed"
		f.freeze(victim)
		time.Sleep(killDelay)
		killOthers()
		time.Sleep(long)
		f.thaw(victim)
	case 4:
		name = fmt.Sprintf("holder cut one way (hears nobody: %t)", deafened)
		f.isolate(victim, deafened, !deafened)
		time.Sleep(long)
		f.reconnect()
	case 5:
		name = "holder killed"
		f.kill(victim)
		time.Sleep(500 * time.Millisecond)
		f.startProcess(victim)
	default:
		name = "two nodes cut off, all others killed"
		f.isolate(victim, true, true)
		f.isolate(other, true, true)
		killOthers()
		time.Sleep(long)
		f.reconnect()
	}
	return fmt.Sprintf("%s for %s", name, long)
}

// overspent returns by how much the tokens spent exceed the bound in the worst window, and
// when that begins.
func (f *simFleet) overspent(window time.Duration) (excess int, at time.Duration) {
	slices.SortFunc(f.spent, func(a, b time.Time) int { return a.Compare(b) })
	excess = -searchTolerated(window)
	last := 0
	for first := range f.spent {
		for last < len(f.spent) && f.spent[last].Sub(f.spent[first]) <= window {
			last++
		}
		if n := last - first - searchTolerated(window); n > excess {
			excess, at = n, f.spent[first].Sub(f.start)
		}
	}
	return excess, at
}

// searchQuota plays random faults on a fleet with demand above the rate, and checks the
// sum of what all processes spend.
func searchQuota(t *testing.T, seed uint64, size int) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		log := logrus.New()
		log.SetOutput(io.Discard)
		if *searchTrace {
			log.SetOutput(os.Stderr)
			log.SetFormatter(&logrus.JSONFormatter{})
		}
		f := &simFleet{random: rand.New(rand.NewPCG(seed, 1)), cut: map[[2]int]bool{}, log: logrus.NewEntry(log), start: time.Now()}
		for i := range size {
			vm := &simVM{index: i, thawed: make(chan struct{})}
			close(vm.thawed)
			f.vms = append(f.vms, vm)
		}
		for i := range size {
			f.startProcess(i)
		}
		const length = 45 * time.Second
		done := make(chan struct{})
		var played []string
		go func() {
			defer close(done)
			for time.Since(f.start) < length-12*time.Second {
				f.mu.Lock()
				wait := time.Duration(2000+f.random.IntN(4000)) * time.Millisecond
				f.mu.Unlock()
				time.Sleep(wait)
				at := time.Since(f.start)
				played = append(played, fmt.Sprintf("%s: %s", at.Round(time.Millisecond), f.trouble()))
			}
		}()
		f.demand(f.start.Add(length), searchOrg.Rate*6/float64(size))
		<-done
		for i := range f.vms {
			f.thaw(i)
			f.kill(i)
		}
		time.Sleep(time.Second)
		excess, at := f.overspent(5 * time.Second)
		if excess > 0 {
			t.Errorf("seed %d, %d VMs: %d over the bound of %d in 5 s from %s; played %q", seed, size, excess, searchTolerated(5*time.Second), at.Round(time.Millisecond), played)
		}
		is.New(t).True(len(f.spent) > int(searchOrg.Rate*10)) // the rate is granted most of the time
	})
}

// What all nodes together spend stays within the bound in any window, through faults of
// the holder and restarts of the others.
func TestSpendingSearch(t *testing.T) {
	for seed := range searchRegressions {
		searchQuota(t, seed, 3+9*int(seed%2))
	}
	for seed := *searchFirst; seed < *searchFirst+*searchSeeds; seed++ {
		searchQuota(t, seed, 3+9*int(seed%2))
	}
}

// searchRegressions are seeds that have failed, with the cause. They run in every search.
// What a seed plays also depends on the order in which goroutines run.
var searchRegressions = map[uint64]string{
	44:  "the fallback share of a node that hears nobody came on top of what the holder granted",
	47:  "a node that had given up its claim was elected while the others followed a holder of a lower epoch",
	64:  "a holder that nobody heard elected itself anew every 250 ms",
	106: "fallback shares that are spent before the holder notices that nodes are missing",
}

var (
	searchSeeds = flag.Uint64("search.seeds", 12, "number of seeds of TestSpendingSearch")
	searchTrace = flag.Bool("search.trace", false, "print the logs of the simulated nodes")
	searchFirst = flag.Uint64("search.first", 0, "first seed of TestSpendingSearch")
)
