package rig_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"chestnutshed.example/chestnutshed/internal/config/manifest"
	"chestnutshed.example/chestnutshed/internal/config/settings"
	"chestnutshed.example/chestnutshed/internal/operate/nodeclient"
	"chestnutshed.example/chestnutshed/internal/standin/deployment"
	"chestnutshed.example/chestnutshed/internal/standin/rig"
	"chestnutshed.example/chestnutshed/internal/standin/target"
	"github.com/matryer/is"
)

const (
	// chainLength is the length of the longest call chain in use.
	chainLength = 9
	// chainBudget is the retry budget of a root request in these tests.
	chainBudget = 3
)

// chain returns a deployment in which each service calls the next.
func chain(t *testing.T, length, targets int) deployment.Deployment {
	t.Helper()
	var services, routes []string
	d := deployment.Deployment{Name: "chain", Region: "here", Zones: []string{"a", "b"}}
	for i := range length {
		name := fmt.Sprintf("s%d", i)
		services = append(services, fmt.Sprintf(`{"name": %q}`, name))
		routes = append(routes, fmt.Sprintf(`{"name": %q, "method": "GET", "path": "/%s", "service": %q, "idempotent": true, "deadline": "20s"}`, name, name, name))
		s := deployment.Service{Name: name, Targets: targets, Slots: 50, Connections: 200, ServiceTime: settings.Duration(time.Millisecond)}
		if i+1 < length {
			s.Calls = []deployment.Call{{PathPrefix: "/", Method: "GET", Path: fmt.Sprintf("/s%d", i+1)}}
		}
		d.Services = append(d.Services, s)
	}
	d.Text = fmt.Appendf(nil, `{
		"name": "chain",
		"organisations": [{"name": "acme", "rate": 10000, "burst": 10000, "keys": [%q]}],
		"services": [%s], "routes": [%s], "retry": {"budget": %d, "ratio": 1},
	}`, manifest.Digest("example-acme"), strings.Join(services, ","), strings.Join(routes, ","), chainBudget)
	var err error
	if d.Manifest, err = manifest.Parse(d.Text); err != nil {
		t.Fatal(err)
	}
	return d
}

func startRig(t *testing.T, d deployment.Deployment) *rig.Rig {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	t.Cleanup(cancel)
	r, err := rig.Start(ctx, d, rig.DiscardLogger())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = r.Stop() })
	return r
}

// get sends a GET request as acme and returns the status, the body and the ID of
// the root request.
func get(ctx context.Context, entry, path string) (status int, body, root string, err error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+entry+path, nil)
	if err != nil {
		return 0, "", "", err
	}
	req.Header.Set("Authorization", "Bearer example-acme")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, "", "", err
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(text), resp.Header.Get("Chestnut-Root"), err
}

// countSends counts the requests of a root that any target received.
func countSends(r *rig.Rig, root string) int {
	n := 0
	for _, m := range r.Members {
		for _, rec := range m.Target.Records() {
			if rec.Root == root {
				n++
			}
		}
	}
	return n
}

// In a chain of 9 services, the sends for a root request are at most its distinct
// calls plus its retry budget, also when targets fail or retry calls themselves.
// Without the budget, retries at each hop multiply along the chain.
func TestRetryBudgetInDeepChain(t *testing.T) {
	tests := []struct {
		name string
		// deepest are the faults of the last service's targets, others those of
		// all other targets.
		deepest, others target.Faults
	}{
		{"no faults", target.Faults{}, target.Faults{}},
		{"deepest service fails", target.Faults{FailStatus: 500}, target.Faults{}},
		{"deepest service truncates responses", target.Faults{Truncate: true}, target.Faults{}},
		{"deepest service echoes a wrong request ID", target.Faults{WrongEcho: true}, target.Faults{}},
		{"targets send each call 10 times", target.Faults{}, target.Faults{CallRepeats: 10}},
		{"targets send each call 10 times and the deepest service fails", target.Faults{FailStatus: 503}, target.Faults{CallRepeats: 10}},
		{"targets send each call 10 times and the deepest service truncates responses", target.Faults{Truncate: true}, target.Faults{CallRepeats: 10}},
	}
	r := startRig(t, chain(t, chainLength, 2))
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			for _, m := range r.Members {
				if m.Service == fmt.Sprintf("s%d", chainLength-1) {
					m.Target.SetFaults(tt.deepest)
				} else {
					m.Target.SetFaults(tt.others)
				}
			}
			for range 5 {
				_, _, root, err := get(t.Context(), r.CallerAddresses()[0], "/s0")
				is.NoErr(err)
				if n := countSends(r, root); n < chainLength || n > chainLength+chainBudget {
					t.Errorf("%d sends, want %d to %d", n, chainLength, chainLength+chainBudget)
				}
			}
		})
	}
}

// A caller gets the complete response to its own request or an error from the node,
// never a truncated response or that of another request.
func TestNoTruncatedOrMismatchedResponses(t *testing.T) {
	tests := []struct {
		name       string
		faults     target.Faults
		wantStatus int
	}{
		{"no faults", target.Faults{}, 200},
		{"truncated", target.Faults{Truncate: true}, 502},
		{"wrong request ID", target.Faults{WrongEcho: true}, 502},
		{"status above the final ones", target.Faults{FailStatus: 600}, 502},
		{"last status of three digits", target.Faults{FailStatus: 999}, 502},
		{"change of protocol", target.Faults{FailStatus: 101}, 502},
		{"over the size limit", target.Faults{ResponseSize: 2 << 20}, 502},
		{"within the size limit", target.Faults{ResponseSize: 1 << 20}, 200},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			r := startRig(t, chain(t, 1, 2))
			for _, m := range r.Members {
				m.Target.SetFaults(tt.faults)
			}
			var wg sync.WaitGroup
			for i := range 20 {
				wg.Go(func() {
					path := fmt.Sprintf("/s0?n=%d", i)
					status, body, _, err := get(t.Context(), r.CallerAddresses()[i%2], path)
					is.NoErr(err)
					if status != tt.wantStatus && status != 503 {
						t.Errorf("got %d %s", status, body)
					}
					if status == 200 && tt.faults.ResponseSize > 0 {
						is.Equal(len(body), tt.faults.ResponseSize)
					}
				})
			}
			wg.Wait()
		})
	}
}

// activeCalls returns the number of running and waiting calls at all nodes.
func activeCalls(t *testing.T, r *rig.Rig) int {
	t.Helper()
	client, err := nodeclient.New(settings.TLS{})
	if err != nil {
		t.Fatal(err)
	}
	n := 0
	for _, s := range client.Fleet(t.Context(), r.OperatorAddresses(), false).States {
		n += s.Serve.Gate.Running + s.Serve.Gate.Waiting
	}
	return n
}

func waitUntil(t *testing.T, condition func() bool) {
	t.Helper()
	deadline := time.Now().Add(30 * time.Second)
	for !condition() {
		if time.Now().After(deadline) {
			t.Fatal("condition not met within 30 s")
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// When a caller closes its connection, its call is cancelled at every hop.
func TestCallerDisconnectCancelsChain(t *testing.T) {
	is := is.New(t)
	r := startRig(t, chain(t, 4, 1))
	last := r.Members[len(r.Members)-1]
	last.Target.SetFaults(target.Faults{Hold: true})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() {
		_, _, _, err := get(ctx, r.CallerAddresses()[0], "/s0")
		done <- err
	}()
	waitUntil(t, func() bool { return activeCalls(t, r) == 4 })
	cancel()
	is.True(<-done != nil)
	waitUntil(t, func() bool { return activeCalls(t, r) == 0 })
}
