package relay

import (
	"net/http"
	"strconv"
	"time"

	"chestnutshed.example/chestnutshed/internal/config/follow"
	"chestnutshed.example/chestnutshed/internal/config/rules"
	"chestnutshed.example/chestnutshed/internal/core/failure"
	"chestnutshed.example/chestnutshed/internal/policy/correlation"
	"chestnutshed.example/chestnutshed/internal/traffic/call"
	"chestnutshed.example/chestnutshed/internal/traffic/httpconn"
	"github.com/sirupsen/logrus"
)

// request is one caller's request on its way through the relay.
type request struct {
	wish  call.RequestInfo
	in    *httpconn.Request
	began time.Time
	until time.Time
	// patience is when waiting for a slot ends, over all nodes asked.
	patience time.Time
	config   *follow.Config
	age      time.Duration
	route    *rules.Route
	org      *rules.Organisation
	quota    string
	call     call.Call
	// parent is the call of the own target that this one is made for.
	parent correlation.Parent
	tried  []string
	// runs is the number of sends that reached a target or may have, turned
	// that of those which it refused to run.
	runs, turned int
	// stay is set when the next send goes to the target tried last.
	stay    bool
	lost    bool
	outcome call.Outcome
	// paid is set when the last target's node has counted one more send.
	paid bool
	// instead is the answer if no further send is made.
	instead final
}

// final is the answer to a caller: a target's, or the relay's own verdict.
type final struct {
	resp    *httpconn.Response
	verdict *verdict
}

// verdict is the relay's own answer.
type verdict struct {
	status int
	reason failure.Reason
	after  time.Duration
}

// record writes the line and the counters of a finished request.
func (s *Service) record(now time.Time, q *request, resp *httpconn.Response, v *verdict) {
	took := now.Sub(q.began)
	if q.call.Depth > 1 && (v != nil || resp.Status >= http.StatusInternalServerError) {
		s.Inbound.RecordInnerFailure(now)
	}
	s.took.Update(took.Seconds())
	fields := logrus.Fields{
		"request": q.wish.ID, "ms": took.Milliseconds(), "config_age_ms": q.age.Milliseconds(), "tried": q.tried,
	}
	if q.config != nil {
		fields["config"] = q.config.Rules.Version
	}
	if q.route != nil {
		fields["route"], fields["service"] = q.route.Name, q.call.Service
		fields["score"], fields["left_ms"] = float64(q.call.Score), q.wish.Timeout.Milliseconds()
	}
	if q.org != nil {
		fields["organisation"], fields["quota"] = q.org.Name, q.quota
	}
	if q.parent.ID != "" {
		fields["parent"], fields["parent_route"], fields["parent_known"] = q.parent.ID, q.parent.Route, q.parent.RouteKnown
		fields["parent_off_ms"] = q.parent.Gap.Milliseconds()
	}
	if q.outcome != nil {
		fields["last"] = call.Describe(q.outcome)
	}
	switch {
	case v != nil:
		fields["status"], fields["reason"], fields["after_ms"] = v.status, v.reason, v.after.Milliseconds()
		s.count("requests_refused_total{reason=\"" + string(v.reason) + "\"}")
	case resp != nil:
		fields["status"] = resp.Status
		s.count("requests_answered_total{status=\"" + strconv.Itoa(resp.Status) + "\"}")
	}
	s.Log.WithFields(fields).Info("request")
}

// count adds one to a counter, which is made when it is first needed.
func (s *Service) count(name string) { s.Metrics.GetOrCreateCounter(name).Inc() }
