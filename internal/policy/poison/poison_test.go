package poison_test

import (
	"testing"
	"time"

	"chestnutshed.example/chestnutshed/internal/policy/poison"
	"github.com/matryer/is"
)

var start = time.Unix(0, 0)

// first returns runs of requests that were no suspects when they started.
func first(fingerprints ...poison.Fingerprint) (runs []poison.Run) {
	for _, fp := range fingerprints {
		runs = append(runs, poison.Run{Fingerprint: fp})
	}
	return runs
}

func suspect(fp poison.Fingerprint) poison.Run { return poison.Run{Fingerprint: fp, Suspect: true} }

func TestSecondCrashBansOnlySuspect(t *testing.T) {
	is := is.New(t)
	table := poison.New()
	table.Crashed(start, "t1", first("bad", "good"))
	is.True(table.Suspect(start, "bad") && table.Suspect(start, "good"))
	table.Cleared(start, "good")
	table.Crashed(start, "t2", append(first("other"), suspect("bad")))
	is.True(table.Banned(start, "bad"))
	is.True(!table.Banned(start, "good"))
	is.True(!table.Suspect(start, "other"))
	table.Cleared(start, "bad") // an earlier run of it may end late
	is.True(table.Banned(start, "bad"))
	is.True(!table.Banned(start.Add(2*time.Hour), "bad"))
}

func TestSameTargetCountsOnce(t *testing.T) {
	is := is.New(t)
	table := poison.New()
	table.Crashed(start, "t1", first("p"))
	is.Equal(len(table.Crashed(start, "t1", []poison.Run{suspect("p")})), 0)
	is.True(!table.Banned(start, "p"))
}

func TestMerge(t *testing.T) {
	is := is.New(t)
	one, two := poison.New(), poison.New()
	one.Crashed(start, "t1", first("p"))
	records := one.Crashed(start, "t2", []poison.Run{suspect("p")})
	is.True(two.Merge(start, records[0]))
	is.True(two.Banned(start, "p"))
	is.True(!two.Merge(start, records[0]))
}

// A power failure ends two targets at once. Equal requests ran on both, which is no
// evidence against them.
func TestTargetsThatCrashTogether(t *testing.T) {
	is := is.New(t)
	one, two := poison.New(), poison.New()
	for _, r := range one.Crashed(start, "t1", first("popular")) {
		two.Merge(start, r)
	}
	for _, r := range two.Crashed(start, "t2", first("popular")) {
		one.Merge(start, r)
	}
	is.True(!one.Banned(start, "popular") && !two.Banned(start, "popular"))
	is.True(one.Suspect(start, "popular") && two.Suspect(start, "popular"))
}

// Several suspects were in flight at the second crash. The third one decides.
func TestSuspectsInFlightTogether(t *testing.T) {
	is := is.New(t)
	table := poison.New()
	table.Crashed(start, "t1", first("bad", "good"))
	table.Crashed(start, "t2", []poison.Run{suspect("bad"), suspect("good")})
	is.True(!table.Banned(start, "bad") && !table.Banned(start, "good"))
	table.Cleared(start, "good")
	table.Crashed(start, "t3", []poison.Run{suspect("bad")})
	is.True(table.Banned(start, "bad") && !table.Banned(start, "good"))
}

// Two crashes may be a coincidence, so the first ban is short. The request is a suspect
// after it, and a third crash bans it for longer.
func TestFirstBanIsShort(t *testing.T) {
	is := is.New(t)
	table := poison.New()
	table.Crashed(start, "t1", first("p"))
	table.Crashed(start, "t2", []poison.Run{suspect("p")})
	later := start.Add(6 * time.Minute)
	is.True(!table.Banned(later, "p") && table.Suspect(later, "p"))
	table.Crashed(later, "t3", []poison.Run{suspect("p")})
	is.True(table.BanLeft(later, "p") == time.Hour)
}
