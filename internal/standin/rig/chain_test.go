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
	"chestnutshed.example/chestnutshed/internal/operate/access"
	"chestnutshed.example/chestnutshed/internal/standin/deployment"
	"chestnutshed.example/chestnutshed/internal/standin/rig"
	"chestnutshed.example/chestnutshed/internal/standin/target"
	"github.com/matryer/is"
)

const (
	// chainLength is the longest chain that users have.
	chainLength = 9
	// chainBudget is the extra sends of a root in these tests.
	chainBudget = 3
)

// chain is a deployment in which each service calls the next.
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
	d.ManifestText = fmt.Appendf(nil, `{
		"name": "chain",
		"organisations": [{"name": "acme", "rate": 10000, "burst": 10000, "keys": [%q]}],
		"services": [%s], "routes": [%s], "retry": {"budget": %d, "ratio": 1},
	}`, manifest.Digest("example-acme"), strings.Join(services, ","), strings.Join(routes, ","), chainBudget)
	var err error
	if d.Manifest, err = manifest.Parse(d.ManifestText); err != nil {
		t.Fatal(err)
	}
	return d
}

func start(t *testing.T, d deployment.Deployment) *rig.Rig {
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

// ask sends a GET as acme and returns status, body and the root's identity.
func ask(ctx context.Context, entry, path string) (status int, body, root string, err error) {
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

// sendsOf counts what all targets saw of a root.
func sendsOf(r *rig.Rig, root string) int {
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

// Over a chain nine deep, all sends of a root stay within its distinct calls
// and its budget, whatever fails and however often targets repeat by
// themselves.
func TestRetriesBoundedNineDeep(t *testing.T) {
	tests := []struct {
		name string
		// deepest and others are the faults of the last service's targets and
		// of all others.
		deepest, others target.Faults
	}{
		{"nothing fails", target.Faults{}, target.Faults{}},
		{"the deepest fails", target.Faults{FailStatus: 500}, target.Faults{}},
		{"the deepest cuts answers", target.Faults{Truncate: true}, target.Faults{}},
		{"the deepest answers for another request", target.Faults{WrongEcho: true}, target.Faults{}},
		{"targets repeat each call ten times", target.Faults{}, target.Faults{CallRepeats: 10}},
		{"targets repeat and the deepest fails", target.Faults{FailStatus: 503}, target.Faults{CallRepeats: 10}},
		{"targets repeat and answers are lost", target.Faults{Truncate: true}, target.Faults{CallRepeats: 10}},
	}
	r := start(t, chain(t, chainLength, 2))
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
				_, _, root, err := ask(t.Context(), r.CallerAddresses()[0], "/s0")
				is.NoErr(err)
				if n := sendsOf(r, root); n < chainLength || n > chainLength+chainBudget {
					t.Errorf("%d sends, want %d to %d", n, chainLength, chainLength+chainBudget)
				}
			}
		})
	}
}

// A caller gets its own whole answer or a refusal, never a part of one or
// another's, whatever the targets send.
func TestAnswersAreWholeAndOwn(t *testing.T) {
	tests := []struct {
		name       string
		faults     target.Faults
		wantStatus int
	}{
		{"fine", target.Faults{}, 200},
		{"cut", target.Faults{Truncate: true}, 502},
		{"crossed", target.Faults{WrongEcho: true}, 502},
		{"over the limit", target.Faults{ResponseSize: 2 << 20}, 502},
		{"large, but within the limit", target.Faults{ResponseSize: 1 << 20}, 200},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			r := start(t, chain(t, 1, 2))
			for _, m := range r.Members {
				m.Target.SetFaults(tt.faults)
			}
			var wg sync.WaitGroup
			for i := range 20 {
				wg.Go(func() {
					path := fmt.Sprintf("/s0?n=%d", i)
					status, body, _, err := ask(t.Context(), r.CallerAddresses()[i%2], path)
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

// busy is the number of calls that run at all nodes together.
func busy(t *testing.T, r *rig.Rig) int {
	t.Helper()
	client, err := access.New(settings.TLS{})
	if err != nil {
		t.Fatal(err)
	}
	n := 0
	for _, s := range client.Fleet(t.Context(), r.OperatorAddresses(), false).States {
		n += s.Serve.Gate.Running + s.Serve.Gate.Waiting
	}
	return n
}

func until(t *testing.T, condition func() bool) {
	t.Helper()
	deadline := time.Now().Add(30 * time.Second)
	for !condition() {
		if time.Now().After(deadline) {
			t.Fatal("the condition does not hold")
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// When a caller goes, its work ends on every hop.
func TestCallerGoneCancelsTheChain(t *testing.T) {
	is := is.New(t)
	r := start(t, chain(t, 4, 1))
	last := r.Members[len(r.Members)-1]
	last.Target.SetFaults(target.Faults{Hold: true})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() {
		_, _, _, err := ask(ctx, r.CallerAddresses()[0], "/s0")
		done <- err
	}()
	until(t, func() bool { return busy(t, r) == 4 })
	cancel()
	is.True(<-done != nil)
	until(t, func() bool { return busy(t, r) == 0 })
}
