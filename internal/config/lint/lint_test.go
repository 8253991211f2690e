package lint_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"chestnutshed.example/chestnutshed/internal/config/lint"
	"chestnutshed.example/chestnutshed/internal/config/rules"
	"github.com/matryer/is"
)

// sound returns rules without findings, after a change.
func sound(t testing.TB, change func(r *rules.Route, s *rules.Service, o *rules.Organisation)) *rules.Set {
	r := rules.Route{
		Name: "r", Host: "h", Prefix: "/", Services: []rules.WeightedService{{Service: "s", Weight: 1}},
		MaxAttempts: 2, Timeout: time.Second, Objective: time.Second,
	}
	s := rules.Service{Name: "s", Connections: 10, HealthPath: "/health"}
	o := rules.Organisation{Name: "o", Keys: []string{"k"}, Rate: 10, Burst: 10}
	change(&r, &s, &o)
	set, err := rules.New(1, []rules.Route{r}, []rules.Service{s}, []rules.Organisation{o}, rules.DefaultLimits())
	is.New(t).NoErr(err)
	return set
}

// Each single mistake is found, and nothing else.
func TestCheck(t *testing.T) {
	type change = func(r *rules.Route, s *rules.Service, o *rules.Organisation)
	for _, test := range []struct {
		change change
		kind   lint.Kind
		text   string // empty for no finding
	}{
		{func(*rules.Route, *rules.Service, *rules.Organisation) {}, "", ""},
		{func(r *rules.Route, _ *rules.Service, _ *rules.Organisation) { r.Host = "" }, lint.Never, "no host"},
		{func(r *rules.Route, _ *rules.Service, _ *rules.Organisation) { r.MaxAttempts = 0 }, lint.Limits, "0 attempts"},
		{func(r *rules.Route, _ *rules.Service, _ *rules.Organisation) { r.Objective = 0 }, lint.Limits, "no target latency"},
		{func(r *rules.Route, _ *rules.Service, _ *rules.Organisation) { r.Objective = 2 * time.Second }, lint.Limits, "exceeds the timeout"},
		{func(r *rules.Route, _ *rules.Service, _ *rules.Organisation) { r.Rank = -1 }, lint.Limits, "rank -1"},
		{func(r *rules.Route, _ *rules.Service, _ *rules.Organisation) {
			r.Services = append(r.Services, rules.WeightedService{Service: "t"})
		}, lint.Never, "weight is 0"},
		{func(r *rules.Route, _ *rules.Service, _ *rules.Organisation) {
			r.Services = append(r.Services, rules.WeightedService{Service: "t", Weight: 1})
		}, lint.Missing, "t is not declared"},
		{func(r *rules.Route, _ *rules.Service, _ *rules.Organisation) {
			r.Services = append(r.Services, rules.WeightedService{Service: "s", Weight: 1})
		}, lint.Twice, "names service s twice"},
		{func(_ *rules.Route, s *rules.Service, _ *rules.Organisation) { s.HealthPath = "health" }, lint.Limits, "health path"},
		{func(_ *rules.Route, _ *rules.Service, o *rules.Organisation) { o.Burst = 9 }, lint.Limits, "burst 9"},
		{func(_ *rules.Route, _ *rules.Service, o *rules.Organisation) { o.Burst = 0.9 }, lint.Limits, "holds no whole request"},
		{func(_ *rules.Route, _ *rules.Service, o *rules.Organisation) { o.Rate = 0 }, lint.Limits, "no effect"},
		{func(_ *rules.Route, _ *rules.Service, o *rules.Organisation) { o.Keys = append(o.Keys, "") }, lint.Never, "empty key"},
		{func(_ *rules.Route, _ *rules.Service, o *rules.Organisation) { o.Keys = append(o.Keys, "k") }, lint.Twice, "also held by organisation o"},
	} {
		found := lint.Check(sound(t, test.change))
		if test.text == "" {
			is.New(t).Equal(len(found), 0)
			continue
		}
		if len(found) != 1 || found[0].Kind != test.kind || !strings.Contains(found[0].Text, test.text) {
			t.Errorf("want one finding %s with %q, got %v", test.kind, test.text, found)
		}
	}
}

// A service that no route uses, and rules that let nobody in.
func ExampleCheck() {
	set, err := rules.New(1, nil, []rules.Service{{Name: "s"}}, []rules.Organisation{{Name: "o"}}, rules.DefaultLimits())
	if err != nil {
		fmt.Println(err)
		return
	}
	for _, f := range lint.Check(set) {
		fmt.Println(f)
	}
	// Output:
	// ? never    service s                no route uses it
	// ? never    organisation o           has no key
	// ? never    configuration            has no routes: all requests are refused
}
