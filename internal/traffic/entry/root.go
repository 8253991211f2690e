package entry

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"chestnutshed.example/chestnutshed/internal/config/active"
	"chestnutshed.example/chestnutshed/internal/config/manifest"
	"chestnutshed.example/chestnutshed/internal/core/failure"
	"chestnutshed.example/chestnutshed/internal/policy/poison"
	"chestnutshed.example/chestnutshed/internal/policy/priority"
	"chestnutshed.example/chestnutshed/internal/policy/rank"
	"chestnutshed.example/chestnutshed/internal/policy/ticket"
	"chestnutshed.example/chestnutshed/internal/traffic/sender"
	"chestnutshed.example/chestnutshed/internal/traffic/wire"
	"github.com/google/uuid"
)

// ticketHeader carries the ticket, an idempotency key that a node issued, of a
// non-idempotent request.
const ticketHeader = "Idempotency-Key"

// root is a request of a caller while it is processed. Inner calls made on its
// behalf carry its id.
type root struct {
	id    string
	index *manifest.Index
	route *manifest.Route
	org   *manifest.Organisation
	body  []byte
}

// organisation returns the name of the caller's organisation, or "" for a request
// without a key on an open route.
func (r root) organisation() string {
	if r.org == nil {
		return ""
	}
	return r.org.Name
}

// share returns the fair-share weight of the caller's organisation, 1 without
// one.
func (r root) share() float64 {
	if r.org == nil {
		return 1
	}
	return r.org.Share
}

// serveRoot handles a request of a caller: it sends it to a target and writes the
// response.
func (s *Service) serveRoot(w http.ResponseWriter, req *http.Request) {
	began := time.Now()
	r := root{id: uuid.NewString()}
	result := s.handleRoot(req, &r)
	routeName := ""
	if r.route != nil {
		routeName = r.route.Name
	}
	s.count(r.organisation(), routeName, result)
	s.logRoot(r, routeName, result, began)
	if result.Refusal == nil {
		s.latency.UpdateDuration(began)
	} else {
		s.Set.GetOrCreateCounter(`chestnutshed_root_refusals_total{reason="` + string(result.Refusal.Reason) + `"}`).Inc()
	}
	write(w, req.Method, r.id, result)
}

func (s *Service) logRoot(r root, route string, result sender.Result, began time.Time) {
	entry := s.Log.WithField("root", r.id).WithField("route", route).WithField("org", r.organisation())
	entry = entry.WithField("took", time.Since(began))
	if result.Refusal != nil {
		entry.WithField("reason", result.Refusal.Reason).WithField("ran", result.Refusal.Ran).Debug("root request refused")
		return
	}
	entry.WithField("status", result.Status).Debug("root request answered")
}

func refused(r *failure.Refusal) sender.Result { return sender.Result{Refusal: r} }

func (s *Service) handleRoot(req *http.Request, r *root) sender.Result {
	c := s.Config.Get()
	if refusal := s.matchRoute(req, c, r); refusal != nil {
		return refused(refusal)
	}
	key, refusal := s.authenticate(req, r)
	if refusal != nil {
		return refused(refusal)
	}
	t, refusal := s.ticketOf(req, r)
	if refusal != nil {
		return refused(refusal)
	}
	if r.body, refusal = readBody(req, r.route.MaxBodyBytes); refusal != nil {
		return refused(refusal)
	}
	if keyExposed(req, key, r.body) {
		return refused(failure.New(failure.BadRequest, "the key appears outside the Authorization header"))
	}
	fingerprint := poison.FingerprintOf(r.organisation(), req.Method, req.URL.RequestURI(), r.body)
	if s.Poison.Banned(time.Now(), fingerprint) {
		return refused(failure.New(failure.Poison, "equal requests have crashed targets"))
	}
	if r.org != nil {
		if refusal := s.Rates.Take(req.Context(), r.org.Name); refusal != nil {
			return refused(refusal)
		}
	}
	m := s.message(req, *r)
	m.Call.Fingerprint = fingerprint
	if t != nil {
		m.Call.Ticket = t.String()
		return s.Owner.Run(req.Context(), *t, m)
	}
	return s.Sender.Send(req.Context(), m)
}

// matchRoute checks a request and sets its index and route. Callers get no internal
// routes.
func (s *Service) matchRoute(req *http.Request, c *active.Config, r *root) *failure.Refusal {
	if c == nil {
		return failure.New(failure.NotReady, "no configuration yet").WithRetryAfter(time.Second)
	}
	if refusal := checkRequest(req); refusal != nil {
		return refusal
	}
	if hasInternalHeader(req.Header) {
		return failure.New(failure.BadRequest, "callers must not send headers that start with %s", wire.Prefix)
	}
	r.index = c.Index
	r.route = c.Index.Match(req.Method, req.URL.Path)
	if r.route == nil || r.route.Internal {
		r.route = nil
		return failure.New(failure.NoRoute, "no route for %s %s", req.Method, req.URL.Path)
	}
	return nil
}

// authenticate finds the organisation of a request by its API key, in the
// manifest that is in force at this moment.
func (s *Service) authenticate(req *http.Request, r *root) (string, *failure.Refusal) {
	key, refusal := keyOf(req)
	if refusal != nil {
		return "", refusal
	}
	if key == "" && !r.route.Open {
		return "", failure.New(failure.NoKey, "the route requires a key")
	}
	if key == "" {
		return "", nil
	}
	if r.org = r.index.OrganisationByKey(key); r.org == nil {
		return "", failure.New(failure.BadKey, "the key is not known")
	}
	return key, nil
}

// ticketOf returns the ticket that a non-idempotent route requires, or nil for an
// idempotent route.
func (s *Service) ticketOf(req *http.Request, r *root) (*ticket.Ticket, *failure.Refusal) {
	if r.route.Idempotent {
		return nil, nil
	}
	values := req.Header.Values(ticketHeader)
	if len(values) != 1 {
		return nil, failure.New(failure.BadTicket, "the route requires one %s header with a ticket from POST %s", ticketHeader, ticketsPath)
	}
	t, err := ticket.Parse(values[0])
	if err != nil {
		return nil, failure.New(failure.BadTicket, "%v", err)
	}
	return &t, nil
}

// message builds the call for a root request and gives it its priority.
func (s *Service) message(req *http.Request, r root) sender.Message {
	now := time.Now()
	s.mu.Lock()
	flow := rank.Flow{Organisation: r.organisation(), Class: int(r.route.Importance)}
	score := priority.New(r.route.Importance, s.ranker.Rank(now, flow, r.share(), rand.Float64()))
	s.mu.Unlock()
	return sender.Message{
		Call: wire.Call{
			Root:             r.id,
			Organisation:     r.organisation(),
			Share:            r.share(),
			Route:            r.route.Name,
			Service:          r.route.Service,
			Method:           req.Method,
			Target:           req.URL.RequestURI(),
			Score:            score,
			Depth:            1,
			Idempotent:       r.route.Idempotent,
			Retries:          *r.index.Manifest().Retry.Budget,
			MaxResponseBytes: r.route.MaxResponseBytes,
		},
		Header:   wire.Forward(req.Header),
		Body:     r.body,
		Deadline: now.Add(time.Duration(r.route.Deadline)),
		Permit:   s.permit(r),
	}
}

// permit takes a token of the organisation's rate for each retry too, to keep the
// load on targets within that rate. It returns nil without an organisation.
func (s *Service) permit(r root) sender.Permit {
	if r.org == nil {
		return nil
	}
	return func(ctx context.Context) bool { return s.Rates.Take(ctx, r.org.Name) == nil }
}

// ticketsReply is the response to a request for tickets.
type ticketsReply struct {
	Tickets []string `json:"tickets"`
	// MinLife is how long the tickets stay valid at least, in seconds.
	MinLife int `json:"life"`
}

// minTicketLife is how long a new ticket stays valid at least: its lifetime counts
// from the start of its issue period, which lasts 10 minutes.
const minTicketLife = ticket.Lifetime - 10*time.Minute

// serveTickets issues tickets to an organisation.
func (s *Service) serveTickets(w http.ResponseWriter, req *http.Request) {
	reply, refusal := s.issueTickets(req)
	if refusal != nil {
		refusal.Write(w)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(reply)
}

func (s *Service) issueTickets(req *http.Request) (ticketsReply, *failure.Refusal) {
	var reply ticketsReply
	c := s.Config.Get()
	switch {
	case req.Method != http.MethodPost:
		return reply, failure.New(failure.BadRequest, "tickets are issued by POST only")
	case c == nil:
		return reply, failure.New(failure.NotReady, "no configuration yet")
	}
	key, refusal := keyOf(req)
	if refusal != nil {
		return reply, refusal
	}
	org := c.Index.OrganisationByKey(key)
	if org == nil {
		return reply, failure.New(failure.BadKey, "the key is not known")
	}
	n := 1
	if text := req.URL.Query().Get("n"); text != "" {
		var err error
		if n, err = strconv.Atoi(text); err != nil {
			return reply, failure.New(failure.BadRequest, "n must be a whole number")
		}
	}
	tickets, err := s.Owner.Issue(time.Now(), org.Name, n)
	if err != nil {
		return reply, failure.New(failure.BadRequest, "%v", err)
	}
	for _, t := range tickets {
		reply.Tickets = append(reply.Tickets, t.String())
	}
	reply.MinLife = int(minTicketLife.Seconds())
	return reply, nil
}
