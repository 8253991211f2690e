package process_test

import (
	"encoding/json"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"chestnutshed.example/chestnutshed/internal/operate/handover"
	"chestnutshed.example/chestnutshed/internal/standin/process"
	"github.com/matryer/is"
)

// The handover's counts include requests that a node answered before a restart,
// and start from zero after a handover with --keep.
func TestHandoverCountsAcrossRestart(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	b, ctx := newTestbed(t, "small.jsonc")
	addFrontAndBack(ctx, t, b)
	entry, err := b.AddMember("zone-1", "", nil)
	is.NoErr(err)
	is.NoErr(b.Ready(ctx, 3, 2))
	look := func(n int) {
		for range n {
			a, err := process.Do(ctx, http.DefaultClient, process.Request{Entry: entry.CallerAddress(), Method: "GET", Path: "/look/1", Key: "example-acme"})
			is.NoErr(err)
			is.Equal(a.Status, 200)
		}
	}
	page := func(more ...string) handover.Page {
		args := append([]string{"handover", "--by", "morning", "--json", "--node", b.Members[0].OperatorAddress()}, more...)
		out, code := b.Run(args...)
		if code != 0 {
			t.Fatal(out)
		}
		var p handover.Page
		is.NoErr(json.Unmarshal([]byte(out), &p))
		return p
	}
	answered := func(p handover.Page) (n uint64) {
		for _, tally := range p.Counts {
			n += tally.Answered
		}
		return n
	}
	look(7)
	entry.Node.Terminate()
	<-entry.Node.Done()
	is.NoErr(b.StartNode(entry))
	is.NoErr(b.Ready(ctx, 3, 2))
	look(2)
	file := filepath.Join(b.Dir, "page.html")
	p := page("--html", file, "--keep")
	is.Equal(answered(p), uint64(9))
	is.Equal(p.StoppedNodes, 1)
	is.Equal(p.InForce.Version, uint64(1))
	is.Equal(len(p.Ships), 1)
	html, err := os.ReadFile(file)
	is.NoErr(err)
	is.True(strings.Contains(string(html), "acme"))
	is.True(!strings.Contains(string(html), "http://")) // self-contained
	look(3)
	p = page()
	is.Equal(answered(p), uint64(3))
	is.Equal(p.Since.By, "morning")
	is.Equal(len(p.Ships), 0)
}
