package relay

import (
	"net/http"
	"strconv"
	"time"

	"chestnutshed.example/chestnutshed/internal/config/confsync"
	"chestnutshed.example/chestnutshed/internal/config/rules"
	"chestnutshed.example/chestnutshed/internal/core/failure"
	"chestnutshed.example/chestnutshed/internal/policy/correlation"
	"chestnutshed.example/chestnutshed/internal/policy/poison"
	"chestnutshed.example/chestnutshed/internal/policy/returns"
	"chestnutshed.example/chestnutshed/internal/traffic/call"
	"chestnutshed.example/chestnutshed/internal/traffic/httpconn"
	"github.com/sirupsen/logrus"
)

// request is the state of one request in the relay.
type request struct {
	info     call.RequestInfo
	in       *httpconn.Request
	start    time.Time
	deadline time.Time
	// waitUntil is when waiting for a slot ends, over all nodes asked.
	waitUntil   time.Time
	config      *confsync.Config
	configAge   time.Duration
	route       *rules.Route
	org         *rules.Organisation
	quotaResult string
	// turn says whether the request is the return of a refused one.
	turn returns.Turn
	call call.Call
	// parent is the call running on the own target that made this one.
	parent correlation.Parent
	tried  []string
	// attempts is the number of attempts that reached a target or may have. rejected
	// is how many of them the target refused to run.
	attempts, rejected int
	// reached are the nodes whose targets rejected the request, and denied those that
	// have no retry left for it.
	reached, denied []string
	// sameTarget is set if the next attempt goes to a target that has rejected the
	// request before.
	sameTarget bool
	lost       bool
	// crash names the crash of a target that the last attempt was lost in.
	crash   string
	outcome call.Outcome
	// retryReserved is set if the last target's node has counted one more attempt in
	// its retry budget.
	retryReserved bool
	// print is the request's fingerprint; empty while no request is suspected to crash
	// targets.
	print poison.Fingerprint
	// fallback is the result if no further attempt is made.
	fallback result
}

// result is a target's response or the relay's error response.
type result struct {
	resp          *httpconn.Response
	errorResponse *errorResponse
}

// errorResponse is the relay's own response to a request that it did not complete.
type errorResponse struct {
	status int
	reason failure.Reason
	after  time.Duration
}

// record logs a finished request and updates its metrics.
func (s *Service) record(now time.Time, q *request, resp *httpconn.Response, errResp *errorResponse) {
	duration := now.Sub(q.start)
	if q.call.Depth > 1 && (errResp != nil || resp.Status >= http.StatusInternalServerError) {
		s.Inbound.RecordInnerFailure(now)
	}
	s.duration.Update(duration.Seconds())
	fields := logrus.Fields{
		"request": q.info.ID, "ms": duration.Milliseconds(), "config_age_ms": q.configAge.Milliseconds(), "tried": q.tried, "attempts": q.attempts,
	}
	if q.config != nil {
		fields["config"] = q.config.Rules.Version
	}
	if q.route != nil {
		fields["route"], fields["service"] = q.route.Name, q.call.Service
		fields["score"], fields["left_ms"] = float64(q.call.Score), q.info.Timeout.Milliseconds()
	}
	if q.org != nil {
		fields["organisation"], fields["quota"] = q.org.Name, q.quotaResult
	}
	if q.turn != returns.First {
		fields["turn"] = q.turn.String()
	}
	if q.parent.ID != "" {
		fields["parent"], fields["parent_route"], fields["parent_known"] = q.parent.ID, q.parent.Route, q.parent.RouteKnown
		fields["parent_off_ms"] = q.parent.Gap.Milliseconds()
	}
	if q.print != "" {
		fields["print"] = q.print
	}
	if q.outcome != nil {
		fields["last"] = call.Describe(q.outcome)
	}
	switch {
	case errResp != nil:
		fields["status"], fields["reason"], fields["after_ms"] = errResp.status, errResp.reason, errResp.after.Milliseconds()
		s.count("requests_refused_total{reason=\"" + string(errResp.reason) + "\"}")
	case resp != nil:
		fields["status"] = resp.Status
		s.count("requests_answered_total{status=\"" + strconv.Itoa(resp.Status) + "\"}")
	}
	s.Log.WithFields(fields).Info("request")
}

// count increments a counter and creates it at first use.
func (s *Service) count(name string) { s.Metrics.GetOrCreateCounter(name).Inc() }
