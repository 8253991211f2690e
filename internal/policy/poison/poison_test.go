package poison_test

import (
	"testing"
	"time"

	"chestnutshed.example/chestnutshed/internal/policy/poison"
	"github.com/matryer/is"
)

var start = time.Unix(0, 0)

func TestSecondCrashBansOnlySuspect(t *testing.T) {
	is := is.New(t)
	table := poison.New()
	table.Crashed(start, "t1", []poison.Fingerprint{"bad", "good"})
	is.True(table.Suspect(start, "bad") && table.Suspect(start, "good"))
	table.Cleared("good")
	table.Crashed(start, "t2", []poison.Fingerprint{"bad", "other"})
	is.True(table.Banned(start, "bad"))
	is.True(!table.Banned(start, "good"))
	is.True(!table.Suspect(start, "other"))
	is.True(!table.Banned(start.Add(2*time.Hour), "bad"))
}

func TestSameTargetCountsOnce(t *testing.T) {
	is := is.New(t)
	table := poison.New()
	table.Crashed(start, "t1", []poison.Fingerprint{"p"})
	is.Equal(len(table.Crashed(start, "t1", []poison.Fingerprint{"p"})), 0)
	is.True(!table.Banned(start, "p"))
}

func TestMerge(t *testing.T) {
	is := is.New(t)
	one, two := poison.New(), poison.New()
	one.Crashed(start, "t1", []poison.Fingerprint{"p"})
	records := one.Crashed(start, "t2", []poison.Fingerprint{"p"})
	is.True(two.Merge(start, records[0]))
	is.True(two.Banned(start, "p"))
	is.True(!two.Merge(start, records[0]))
}
