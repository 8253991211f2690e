package rules_test

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	"chestnutshed.example/chestnutshed/internal/config/rules"
	"github.com/matryer/is"
)

var update = flag.Bool("update", false, "update golden files")

func golden(t *testing.T, name, got string) {
	t.Helper()
	path := filepath.Join("testdata", name)
	if *update {
		is.New(t).NoErr(os.WriteFile(path, []byte(got), 0o600))
	}
	want, err := os.ReadFile(path)
	is.New(t).NoErr(err)
	is.New(t).Equal(got, string(want))
}

func route(name, host, prefix string, parts ...rules.WeightedService) rules.Route {
	return rules.Route{Name: name, Host: host, Prefix: prefix, Services: parts, Timeout: time.Second, MaxAttempts: 2}
}

func ExampleSet_Lookup() {
	set, err := rules.New(1, []rules.Route{
		route("all", "h", "/", rules.WeightedService{Service: "a", Weight: 1}),
		route("deep", "h", "/x/y/", rules.WeightedService{Service: "b", Weight: 1}),
	}, nil, nil, rules.DefaultLimits())
	if err != nil {
		fmt.Println(err)
		return
	}
	fmt.Println(set.Lookup("h", "/x/y/z").Name, set.Lookup("h:80", "/x/").Name, set.Lookup("other", "/"))
	// Output: deep all <nil>
}

func TestPick(t *testing.T) {
	is := is.New(t)
	r := route("r", "h", "/", rules.WeightedService{Service: "a", Weight: 90}, rules.WeightedService{Service: "b", Weight: 10})
	counts := map[string]int{}
	for n := range uint64(1000) {
		counts[r.Pick(rules.LowDiscrepancy(0.37, n))]++
	}
	is.True(counts["b"] >= 95 && counts["b"] <= 105)
}

func TestKeys(t *testing.T) {
	is := is.New(t)
	set, err := rules.New(3, nil, nil, []rules.Organisation{{Name: "o", Keys: []string{"k1", "k2"}}}, rules.DefaultLimits())
	is.NoErr(err)
	is.Equal(set.ByKey("k2").Name, "o")
	is.True(set.ByKey("k3") == nil)
	is.True(set.ByKey("") == nil)
}

func TestValidate(t *testing.T) {
	bad := route("bad", "h", "x", rules.WeightedService{Service: "", Weight: -1})
	bad.Timeout = 0
	_, err := rules.New(7, []rules.Route{bad, {Name: "empty", Prefix: "/", Timeout: 1}}, nil,
		[]rules.Organisation{{Rate: -1}}, rules.DefaultLimits())
	golden(t, "errors.txt", err.Error()+"\n")
}
