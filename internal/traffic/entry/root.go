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
	"chestnutshed.example/chestnutshed/internal/policy/priority"
	"chestnutshed.example/chestnutshed/internal/policy/rank"
	"chestnutshed.example/chestnutshed/internal/policy/ticket"
	"chestnutshed.example/chestnutshed/internal/traffic/sender"
	"chestnutshed.example/chestnutshed/internal/traffic/wire"
	"github.com/google/uuid"
)

// ticketHeader is where a caller puts the ticket of a non-idempotent request.
const ticketHeader = "Idempotency-Key"

// root is one request of a caller on its way in.
type root struct {
	id    string
	index *manifest.Index
	route *manifest.Route
	org   *manifest.Organisation
	body  []byte
}

// organisation is the name of the root's organisation; "" on open routes.
func (r root) organisation() string {
	if r.org == nil {
		return ""
	}
	return r.org.Name
}

// share is the weight of the root's organisation.
func (r root) share() float64 {
	if r.org == nil {
		return 1
	}
	return r.org.Share
}

// serveRoot carries a caller's request through to its answer.
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
	write(w, r.id, result)
}

func (s *Service) logRoot(r root, route string, result sender.Result, began time.Time) {
	entry := s.Log.WithField("root", r.id).WithField("route", route).WithField("org", r.organisation())
	entry = entry.WithField("took", time.Since(began))
	if result.Refusal != nil {
		entry.WithField("reason", result.Refusal.Reason).WithField("ran", result.Refusal.Ran).Debug("root refused")
		return
	}
	entry.WithField("status", result.Status).Debug("root answered")
}

func refused(r *failure.Refusal) sender.Result { return sender.Result{Refusal: r} }

func (s *Service) handleRoot(req *http.Request, r *root) sender.Result {
	c := s.Config.Get()
	if refusal := s.admitShape(req, c, r); refusal != nil {
		return refused(refusal)
	}
	key, refusal := s.identify(req, r)
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
	if keyElsewhere(req, key, r.body) {
		return refused(failure.New(failure.BadRequest, "the key stands outside the Authorization header"))
	}
	fingerprint := printOf(r.organisation(), req.Method, req.URL.RequestURI(), r.body)
	if s.Poison.Banned(time.Now(), fingerprint) {
		return refused(failure.New(failure.Poison, "the request has crashed targets"))
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
		return s.Home.Run(req.Context(), *t, m)
	}
	return s.Sender.Send(req.Context(), m)
}

func (s *Service) admitShape(req *http.Request, c *active.Config, r *root) *failure.Refusal {
	if c == nil {
		return failure.New(failure.NotReady, "no configuration yet").WithRetryAfter(time.Second)
	}
	if refusal := checkShape(req); refusal != nil {
		return refusal
	}
	if forged(req.Header) {
		return failure.New(failure.BadRequest, "headers starting with %s are not for callers", wire.Prefix)
	}
	r.index = c.Index
	r.route = c.Index.Match(req.Method, req.URL.Path)
	if r.route == nil || r.route.Internal {
		r.route = nil
		return failure.New(failure.NoRoute, "no route for %s %s", req.Method, req.URL.Path)
	}
	return nil
}

// identify finds the organisation of a request by its key, as the manifest in
// force has it at this moment.
func (s *Service) identify(req *http.Request, r *root) (string, *failure.Refusal) {
	key, refusal := keyOf(req)
	if refusal != nil {
		return "", refusal
	}
	if key == "" && !r.route.Open {
		return "", failure.New(failure.NoKey, "the route needs a key")
	}
	if key == "" {
		return "", nil
	}
	if r.org = r.index.OrganisationByKey(key); r.org == nil {
		return "", failure.New(failure.BadKey, "the key is not known")
	}
	return key, nil
}

// ticketOf reads the ticket that a non-idempotent route needs.
func (s *Service) ticketOf(req *http.Request, r *root) (*ticket.Ticket, *failure.Refusal) {
	if r.route.Idempotent {
		return nil, nil
	}
	values := req.Header.Values(ticketHeader)
	if len(values) != 1 {
		return nil, failure.New(failure.BadTicket, "the route needs one %s header with a ticket from POST %s", ticketHeader, ticketsPath)
	}
	t, err := ticket.Parse(values[0])
	if err != nil {
		return nil, failure.New(failure.BadTicket, "%v", err)
	}
	return &t, nil
}

// message makes the call of a root.
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

// permit makes each extra send of a root cost a token too, so that what
// targets receive stays within the organisation's rate.
func (s *Service) permit(r root) sender.Permit {
	if r.org == nil {
		return nil
	}
	return func(ctx context.Context) bool { return s.Rates.Take(ctx, r.org.Name) == nil }
}

// ticketsReply is the answer to a draw of tickets.
type ticketsReply struct {
	Tickets []string `json:"tickets"`
	// Life is how long they can be used at least, in seconds.
	Life int `json:"life"`
}

// ticketLife is the least life of a new ticket.
const ticketLife = ticket.Lifetime - 10*time.Minute

// serveTickets issues tickets to an organisation.
func (s *Service) serveTickets(w http.ResponseWriter, req *http.Request) {
	reply, refusal := s.drawTickets(req)
	if refusal != nil {
		refusal.Write(w)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(reply)
}

func (s *Service) drawTickets(req *http.Request) (ticketsReply, *failure.Refusal) {
	var reply ticketsReply
	c := s.Config.Get()
	switch {
	case req.Method != http.MethodPost:
		return reply, failure.New(failure.BadRequest, "tickets are drawn by POST")
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
			return reply, failure.New(failure.BadRequest, "n must be a number")
		}
	}
	tickets, err := s.Home.Issue(time.Now(), org.Name, n)
	if err != nil {
		return reply, failure.New(failure.BadRequest, "%v", err)
	}
	for _, t := range tickets {
		reply.Tickets = append(reply.Tickets, t.String())
	}
	reply.Life = int(ticketLife.Seconds())
	return reply, nil
}
