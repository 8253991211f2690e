// Package load generates requests of callers at given rates. It checks that each
// response is complete and belongs to its request, and reports the outcomes.
package load

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"chestnutshed.example/chestnutshed/internal/standin/deployment"
	"github.com/HdrHistogram/hdrhistogram-go"
	"golang.org/x/sync/errgroup"
)

// maxInFlight bounds the number of concurrent requests.
const maxInFlight = 2000

// Caller is the traffic of one organisation.
type Caller struct {
	Organisation string
	Key          string
	// Rate is the mean number of requests a second.
	Rate float64
}

// Config is the configuration of a load.
type Config struct {
	// CallerAddresses are the addresses of nodes' listeners for callers.
	CallerAddresses []string
	Callers         []Caller
	Mix             []deployment.RequestType
	SendFor         time.Duration
	// Retries is how often a caller retries a request that was refused or got no
	// response.
	Retries int
	Seed    uint64
}

// Row holds the outcomes of one organisation's requests. Complete counts responses
// that belong to their request, Wrong those that don't.
type Row struct {
	Organisation string        `json:"organisation"`
	Sent         int           `json:"sent"`
	Complete     int           `json:"whole"`
	Wrong        int           `json:"wrong"`
	Refused      []ReasonCount `json:"refused,omitempty"`
}

// ReasonCount is the number of refused or failed requests for one reason.
type ReasonCount struct {
	Reason string `json:"reason"`
	Count  int    `json:"count"`
}

// Report holds the outcomes of a load.
type Report struct {
	Elapsed time.Duration
	Rows    []Row
	// Latency is the latency of complete responses with all retries, in
	// microseconds.
	Latency *hdrhistogram.Histogram
}

// Load is a load generator.
type Load struct {
	config Config
	client *http.Client

	mu       sync.Mutex
	outcomes map[string]*Row
	latency  *hdrhistogram.Histogram
}

// New returns a load that isn't running yet; see Run.
func New(c Config) *Load {
	return &Load{
		config:   c,
		client:   &http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 256}},
		outcomes: map[string]*Row{},
		latency:  hdrhistogram.New(1, time.Minute.Microseconds(), 3),
	}
}

// Run sends for the configured duration or until ctx ends, and waits for all
// responses.
func (l *Load) Run(ctx context.Context) Report {
	began := time.Now()
	ctx, cancel := context.WithTimeout(ctx, l.config.SendFor)
	defer cancel()
	var pacers, requests errgroup.Group
	requests.SetLimit(maxInFlight)
	for i, c := range l.config.Callers {
		random := rand.New(rand.NewPCG(l.config.Seed, uint64(i)))
		pacers.Go(func() error {
			l.pace(ctx, c, random, &requests)
			return nil
		})
	}
	_ = pacers.Wait()
	_ = requests.Wait()
	return l.Report(time.Since(began))
}

// pace starts the requests of one caller as a Poisson process: the times between
// them are exponentially distributed.
func (l *Load) pace(ctx context.Context, c Caller, random *rand.Rand, requests *errgroup.Group) {
	next := time.Now()
	for n := 0; ; n++ {
		next = next.Add(time.Duration(random.ExpFloat64() / c.Rate * float64(time.Second)))
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(next)):
		}
		ask := pick(l.config.Mix, random)
		entry := l.config.CallerAddresses[random.IntN(len(l.config.CallerAddresses))]
		mark := fmt.Sprintf("%s-%d-%d", c.Organisation, n, random.Uint64())
		requests.Go(func() error {
			l.sendWithRetries(c, ask, entry, mark)
			return nil
		})
	}
}

// pick returns a random request type by weight.
func pick(mix []deployment.RequestType, random *rand.Rand) deployment.RequestType {
	total := 0.0
	for _, a := range mix {
		total += a.Weight
	}
	at := random.Float64() * total
	for _, a := range mix {
		if at -= a.Weight; at < 0 {
			return a
		}
	}
	return mix[len(mix)-1]
}

// sendWithRetries sends a request until it gets a complete response or has used its
// retries, and records the outcome.
func (l *Load) sendWithRetries(c Caller, ask deployment.RequestType, entry, mark string) {
	began := time.Now()
	ticket := ""
	if ask.Ticket {
		var err error
		if ticket, err = l.drawTicket(c, entry); err != nil {
			l.recordOutcome(c, "no-ticket", false, began)
			return
		}
	}
	reason, matches := "", false
	for range l.config.Retries + 1 {
		reason, matches = l.send(c, ask, entry, ticket, mark)
		if reason == "" {
			break
		}
	}
	l.recordOutcome(c, reason, matches, began)
}

func (l *Load) recordOutcome(c Caller, reason string, matches bool, began time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	row, ok := l.outcomes[c.Organisation]
	if !ok {
		row = &Row{Organisation: c.Organisation}
		l.outcomes[c.Organisation] = row
	}
	row.Sent++
	switch {
	case reason == "" && matches:
		row.Complete++
		_ = l.latency.RecordValue(time.Since(began).Microseconds())
	case reason == "":
		row.Wrong++
	default:
		at := slices.IndexFunc(row.Refused, func(r ReasonCount) bool { return r.Reason == reason })
		if at < 0 {
			row.Refused = append(row.Refused, ReasonCount{Reason: reason})
			at = len(row.Refused) - 1
		}
		row.Refused[at].Count++
	}
}

func (l *Load) drawTicket(c Caller, entry string) (string, error) {
	req, err := http.NewRequest(http.MethodPost, "http://"+entry+"/chestnut/tickets", nil)
	if err != nil {
		return "", fmt.Errorf("create request: %w", err)
	}
	req.Header.Set("Authorization", "Bearer "+c.Key)
	resp, err := l.client.Do(req)
	if err != nil {
		return "", fmt.Errorf("draw ticket: %w", err)
	}
	defer func() { _ = resp.Body.Close() }()
	var reply struct {
		Tickets []string `json:"tickets"`
	}
	if err := json.NewDecoder(resp.Body).Decode(&reply); err != nil || len(reply.Tickets) == 0 {
		return "", fmt.Errorf("draw ticket: status %s: %w", resp.Status, err)
	}
	return reply.Tickets[0], nil
}

// send sends one request. It returns the reason if there was no complete response
// with status 200, and whether the response belongs to the request.
func (l *Load) send(c Caller, ask deployment.RequestType, entry, ticket, mark string) (reason string, matches bool) {
	var body io.Reader
	if ask.Method != http.MethodGet {
		body = bytes.NewReader([]byte(mark))
	}
	req, err := http.NewRequest(ask.Method, "http://"+entry+ask.Path, body)
	if err != nil {
		return "bad-request", false
	}
	req.Header.Set("Authorization", "Bearer "+c.Key)
	if ticket != "" {
		req.Header.Set("Idempotency-Key", ticket)
	}
	resp, err := l.client.Do(req)
	if err != nil {
		return "no-answer", false
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	switch {
	case err != nil:
		return "cut", false
	case resp.StatusCode == http.StatusOK:
		want := ask.Path
		if ask.Method != http.MethodGet {
			want += " " + mark
		}
		return "", strings.Contains(string(text), want)
	}
	var refusal struct {
		Error struct {
			Reason string `json:"reason"`
		} `json:"error"`
	}
	if json.Unmarshal(text, &refusal) == nil && refusal.Error.Reason != "" {
		return refusal.Error.Reason, false
	}
	return fmt.Sprintf("status-%d", resp.StatusCode), false
}

// Report returns the outcomes so far.
func (l *Load) Report(took time.Duration) Report {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := Report{Elapsed: took, Latency: hdrhistogram.Import(l.latency.Export())}
	for _, row := range l.outcomes {
		c := *row
		c.Refused = slices.Clone(row.Refused)
		r.Rows = append(r.Rows, c)
	}
	slices.SortFunc(r.Rows, func(a, b Row) int { return strings.Compare(a.Organisation, b.Organisation) })
	return r
}

// Totals returns the sums over all organisations.
func (r Report) Totals() (sent, complete, wrong, refused int) {
	for _, row := range r.Rows {
		sent += row.Sent
		complete += row.Complete
		wrong += row.Wrong
		for _, x := range row.Refused {
			refused += x.Count
		}
	}
	return sent, complete, wrong, refused
}

// Text returns the report as a table.
func (r Report) Text() string {
	var b strings.Builder
	w := tabwriter.NewWriter(&b, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(w, "organisation\tsent\tcomplete\twrong\trefused\t")
	for _, row := range r.Rows {
		var parts []string
		for _, x := range row.Refused {
			parts = append(parts, fmt.Sprintf("%s %d", x.Reason, x.Count))
		}
		_, _ = fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%s\t\n", row.Organisation, row.Sent, row.Complete, row.Wrong, strings.Join(parts, ", "))
	}
	_ = w.Flush()
	sent, complete, wrong, refused := r.Totals()
	_, _ = fmt.Fprintf(&b, "\nsent %d, complete %d (%.1f/s), wrong %d, refused %d\n", sent, complete, float64(complete)/r.Elapsed.Seconds(), wrong, refused)
	_, _ = fmt.Fprintf(&b, "complete responses: p50 %.1f ms, p99 %.1f ms\n", toMillis(r.Latency.ValueAtQuantile(50)), toMillis(r.Latency.ValueAtQuantile(99)))
	return b.String()
}

func toMillis(micros int64) float64 { return float64(micros) / 1000 }
