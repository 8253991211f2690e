// Package rejection tells all nodes which services reject part of their calls at their
// targets, and how many of these calls are retried.
//
// Entry nodes refuse requests that would fail for it, and then get hardly any answers
// that could tell them when it is over. So the nodes of a rejecting service add a few
// numbers to the probes of the membership, and all nodes pass on the newest ones.
package rejection

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"chestnutshed.example/chestnutshed/internal/core/kernel"
	"chestnutshed.example/chestnutshed/internal/policy/balancer"
	"chestnutshed.example/chestnutshed/internal/policy/priority"
	"chestnutshed.example/chestnutshed/internal/policy/rationing"
	"github.com/goccy/go-json"
	"github.com/sirupsen/logrus"
)

// Name is the name of the service in the kernel and in logs, and of its topic.
const Name = "rejection"

const (
	// reportTTL is how long a report is used after its service's nodes have made it.
	reportTTL = 2 * time.Second
	// sameTime is the distance up to which two reports count alike. Otherwise the newer
	// one gets newerWeight, and the older one is ignored.
	sameTime    = 100 * time.Millisecond
	newerWeight = 0.8
	// ownWeight is the weight of what a node of the service measures itself against
	// what is known of all of them. It is small, since each measures few calls.
	ownWeight = 0.3
	// minRejections is the mean of the Rejections below which a report has faded.
	minRejections = 0.02
	// maxServices bounds the services in one datagram.
	maxServices = 8
)

// Report is what calls of a service meet, on average over its targets.
type Report struct {
	rationing.Sample
	// Cutoff is the highest score of root requests whose rejected calls are retried.
	Cutoff priority.Cutoff
	// At is when a node of the service last measured it.
	At time.Time
}

// WithMean returns the mean of two reports, with a weight for the other one.
func (r Report) WithMean(other Report, weight float64) Report {
	r.Sample = r.Sample.WithMean(other.Sample, weight)
	r.Cutoff += (other.Cutoff - r.Cutoff) * priority.Cutoff(weight)
	if other.At.After(r.At) {
		r.At = other.At
	}
	return r
}

// Service keeps the reports that a node knows. It is safe for concurrent use.
type Service struct {
	now func() time.Time
	log *logrus.Entry

	mu      sync.Mutex
	reports map[string]Report
}

// New returns a service without reports; now is its clock.
func New(now func() time.Time, log *logrus.Entry) *Service {
	return &Service{now: now, log: log, reports: map[string]Report{}}
}

// Measured adds what the node of a target measured, and returns the mean over the
// targets of the service. A target that rejects nothing is counted only while others of
// its service do.
func (s *Service) Measured(now time.Time, service string, own Report) Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	own.At = now
	known, ok := s.reports[service]
	switch {
	case !ok && own.Fraction() == 0:
		return own
	case !ok:
		known = own
	default:
		known = known.WithMean(own, ownWeight)
	}
	s.reports[service] = known
	return known
}

// Rejecting lists the services that reject calls.
func (s *Service) Rejecting(now time.Time) []balancer.Rejecting {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.prune(now)
	list := make([]balancer.Rejecting, 0, len(s.reports))
	for service, r := range s.reports {
		list = append(list, balancer.Rejecting{Service: service, Fraction: r.Fraction(), Cutoff: r.Cutoff})
	}
	return list
}

// prune removes reports that are old or have faded. The caller holds the mutex.
func (s *Service) prune(now time.Time) {
	for service, r := range s.reports {
		if now.Sub(r.At) > reportTTL || r.Rejections < minRejections {
			delete(s.reports, service)
		}
	}
}

// note is a Report between nodes.
type note struct {
	Service string `json:"svc"`
	// Values are those of the Sample in the order of its fields, in hundredths.
	Values [4]int64 `json:"mean"`
	// Cutoff is in millionths of a score, Age in milliseconds.
	Cutoff int64 `json:"cut"`
	Age    int64 `json:"age"`
}

const (
	valueFactor  = 1e2
	cutoffFactor = 1e6
	// maxValue bounds each value of a note.
	maxValue = 1e9
)

func newNote(now time.Time, service string, r Report) note {
	n := note{Service: service, Cutoff: int64(float64(r.Cutoff) * cutoffFactor), Age: now.Sub(r.At).Milliseconds()}
	for i, v := range []float64{r.Attempts, r.Rejections, r.Demand, r.Supply} {
		n.Values[i] = int64(max(v, 0) * valueFactor)
	}
	return n
}

// report returns the report in a note, or an error if a field is out of range.
func (n note) report(now time.Time) (Report, error) {
	valid := n.Service != "" && n.Age >= 0 && n.Age <= reportTTL.Milliseconds() &&
		n.Cutoff >= 0 && n.Cutoff <= int64(float64(priority.AdmitAll)*cutoffFactor)
	var v [len(n.Values)]float64
	for i, value := range n.Values {
		valid = valid && value >= 0 && value <= maxValue
		v[i] = float64(value) / valueFactor
	}
	if !valid {
		return Report{}, fmt.Errorf("report of service %q: a field is out of range", n.Service)
	}
	return Report{
		Sample: rationing.Sample{Attempts: v[0], Rejections: v[1], Demand: v[2], Supply: v[3]},
		Cutoff: priority.Cutoff(n.Cutoff) / cutoffFactor, At: now.Add(-time.Duration(n.Age) * time.Millisecond),
	}, nil
}

// Note implements roster.Topic.
func (s *Service) Note() json.RawMessage {
	now := s.now()
	s.mu.Lock()
	s.prune(now)
	notes := make([]note, 0, len(s.reports))
	for service, r := range s.reports {
		notes = append(notes, newNote(now, service, r))
	}
	s.mu.Unlock()
	if len(notes) == 0 {
		return nil
	}
	slices.SortFunc(notes, func(a, b note) int { return cmp.Compare(b.Values[1], a.Values[1]) })
	text, err := json.Marshal(notes[:min(len(notes), maxServices)])
	if err != nil {
		s.log.WithError(err).Error("could not encode the services that reject calls")
		return nil
	}
	return text
}

// Noted implements roster.Topic.
func (s *Service) Noted(now time.Time, from string, text json.RawMessage) {
	var notes []note
	if err := json.Unmarshal(text, &notes); err != nil {
		s.log.WithError(fmt.Errorf("decode note: %w", err)).WithField("member", from).Warn("reports of rejected calls ignored")
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, n := range notes {
		r, err := n.report(now)
		if err != nil {
			s.log.WithError(err).WithField("member", from).Warn("report of rejected calls ignored")
			continue
		}
		s.merge(n.Service, r)
	}
}

// merge adds the report of a peer. The caller holds the mutex.
func (s *Service) merge(service string, r Report) {
	known, ok := s.reports[service]
	switch lead := r.At.Sub(known.At); {
	case !ok:
		s.reports[service] = r
	case lead > sameTime:
		s.reports[service] = known.WithMean(r, newerWeight)
	case lead > -sameTime:
		s.reports[service] = known.WithMean(r, 0.5)
	}
}

// Message implements roster.Topic. There are no messages.
func (s *Service) Message(time.Time, string, json.RawMessage) {}

// Name implements kernel.Service.
func (s *Service) Name() string { return Name }

// Start implements kernel.Service.
func (s *Service) Start(context.Context, *kernel.Kernel) error { return nil }

// Stop implements kernel.Service.
func (s *Service) Stop(context.Context) error { return nil }

// State implements kernel.Service.
func (s *Service) State() any {
	return struct {
		Rejecting []balancer.Rejecting `json:"rejecting"`
	}{s.Rejecting(s.now())}
}
