package entry

import (
	"net/http"
	"time"

	"chestnutshed.example/chestnutshed/internal/config/manifest"
	"chestnutshed.example/chestnutshed/internal/core/failure"
	"chestnutshed.example/chestnutshed/internal/policy/overload"
	"chestnutshed.example/chestnutshed/internal/policy/poison"
	"chestnutshed.example/chestnutshed/internal/policy/retry"
	"chestnutshed.example/chestnutshed/internal/traffic/sender"
	"chestnutshed.example/chestnutshed/internal/traffic/serve"
	"chestnutshed.example/chestnutshed/internal/traffic/wire"
)

// serveInner handles a call that the node's own target makes to another service.
func (s *Service) serveInner(w http.ResponseWriter, req *http.Request) {
	parent, ok := s.Serve.Parent(req.Header.Get(wire.TokenHeader))
	if !ok {
		failure.New(failure.BadKey, "the token in the %s header belongs to no running call", wire.TokenHeader).Write(w)
		return
	}
	write(w, req.Method, parent.Call.Root, s.handleInner(req, parent))
}

func (s *Service) handleInner(req *http.Request, parent *serve.Parent) sender.Result {
	c := s.Config.Get()
	if c == nil {
		return refused(failure.New(failure.NotReady, "no configuration yet"))
	}
	if refusal := checkRequest(req); refusal != nil {
		return refused(refusal)
	}
	route := c.Index.Match(req.Method, req.URL.Path)
	switch {
	case route == nil:
		return refused(failure.New(failure.NoRoute, "no route for %s %s", req.Method, req.URL.Path))
	case parent.Call.Depth >= wire.MaxDepth:
		return refused(failure.New(failure.TooDeep, "the chain of calls is longer than %d hops", wire.MaxDepth))
	case !route.Idempotent && parent.Call.Idempotent:
		return refused(failure.New(failure.Unsafe, "a non-idempotent call is not allowed within an idempotent request, which may be retried"))
	}
	body, refusal := readBody(req, route.MaxBodyBytes)
	if refusal != nil {
		return refused(refusal)
	}
	s.Serve.RecordInnerCall(time.Now(), parent.Call.Route, overload.Child{Service: route.Service, Route: route.Name})
	return s.sendInner(req, parent, route, body)
}

// sendInner sends an inner call. A second call with the same key gets the outcome
// of the first while that runs, and always if the call is not idempotent and may
// have run.
func (s *Service) sendInner(req *http.Request, parent *serve.Parent, route *manifest.Route, body []byte) sender.Result {
	key := innerKey(req, body)
	inner, run, allowed := parent.Begin(key, route.Idempotent)
	if !allowed {
		return refused(failure.New(failure.RetriesExhausted, "the retry budget of the root request is used up").WithRan(repeatRan(route)))
	}
	if !run {
		return s.awaitFirstAttempt(req, inner)
	}
	lent := parent.TakeRetries()
	m := innerMessage(req, parent, route, body, lent)
	result := s.Sender.Send(req.Context(), m)
	parent.ReturnRetries(result.UnusedRetries, lent)
	parent.End(inner, serve.SendResult{
		Outcome:     result,
		NotRun:      result.Refusal != nil && result.Refusal.Ran == failure.RanNo,
		Failed:      result.Refusal != nil || retry.TargetFailed(result.Status),
		Sends:       result.Sends,
		RetriesUsed: lent - result.UnusedRetries,
	})
	return result
}

// repeatRan returns whether the call of a refused repeat has run. For a call that
// is not idempotent this is unknown, because the first attempt may have run.
func repeatRan(route *manifest.Route) failure.Ran {
	if route.Idempotent {
		return failure.RanNo
	}
	return failure.RanUnknown
}

func (s *Service) awaitFirstAttempt(req *http.Request, inner *serve.InnerAttempt) sender.Result {
	select {
	case <-inner.Done:
		if result, ok := inner.Outcome.(sender.Result); ok {
			return result
		}
	case <-req.Context().Done():
	}
	return refused(failure.New(failure.Lost, "the first attempt of the call has no outcome").WithRan(failure.RanUnknown))
}

// innerKey identifies an inner call within its parent call: by the idempotency
// key that the target set, or else by method, URI and body.
func innerKey(req *http.Request, body []byte) string {
	own := req.Header.Get(ticketHeader)
	if own != "" {
		return req.Method + " " + req.URL.Path + " " + own
	}
	return string(poison.FingerprintOf("", req.Method, req.URL.RequestURI(), body))
}

func innerMessage(req *http.Request, parent *serve.Parent, route *manifest.Route, body []byte, lent int) sender.Message {
	p := parent.Call
	deadline := time.Now().Add(time.Duration(route.Deadline))
	if parent.Deadline.Before(deadline) {
		deadline = parent.Deadline
	}
	return sender.Message{
		Call: wire.Call{
			Root:             p.Root,
			Organisation:     p.Organisation,
			Share:            p.Share,
			Route:            route.Name,
			Service:          route.Service,
			Method:           req.Method,
			Target:           req.URL.RequestURI(),
			Score:            p.Score,
			Depth:            p.Depth + 1,
			Idempotent:       route.Idempotent,
			Retries:          lent,
			Fingerprint:      poison.FingerprintOf(p.Organisation, req.Method, req.URL.RequestURI(), body),
			MaxResponseBytes: route.MaxResponseBytes,
		},
		Header:   wire.Forward(req.Header),
		Body:     body,
		Deadline: deadline,
	}
}
