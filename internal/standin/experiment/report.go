package experiment

import (
	"cmp"
	"fmt"
	"path/filepath"
	"slices"
	"strings"
	"text/tabwriter"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Table formats results as a table, one per line.
func Table(results []Result) string {
	var b strings.Builder
	w := tabwriter.NewWriter(&b, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(w, "deployment\tscenario\tvariant\tseed\tdemand\tideal\tgoodput\tof ideal\trecovery\tworst org\twrongful\tsends\tmax\textra\twasted\tdisorder\tlost\t")
	for _, r := range results {
		recovery := fmt.Sprintf("%.0f s", r.Recovery)
		if r.Recovery < 0 {
			recovery = "never"
		}
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%.0f\t%.0f\t%.0f\t%.1f%%\t%s\t%.1f%%\t%.3f%%\t%.2f\t%d\t%d\t%.1f%%\t%d\t%d\t\n",
			r.Deployment, r.Scenario, r.Variant, r.Seed, r.Demand, r.Ideal, r.Goodput, 100*r.Ratio, recovery,
			100*r.WorstOrg, 100*r.WrongfulFailures, r.MeanAttempts, r.MaxAttempts, r.MaxRetries, 100*r.Wasted, r.PriorityInversions, r.Crashes)
	}
	_ = w.Flush()
	return b.String()
}

// ClassSummary formats the success rate of each kind and the number of
// refusals by reason, one result per line.
func ClassSummary(results []Result) string {
	var b strings.Builder
	for _, r := range results {
		fmt.Fprintf(&b, "%s %s %s %d:", r.Deployment, r.Scenario, r.Variant, r.Seed)
		for _, c := range r.Classes {
			fmt.Fprintf(&b, " %s %.1f%%", c.Kind, 100*c.Succeeded)
		}
		var reasons []string
		for reason, n := range r.Refusals {
			reasons = append(reasons, fmt.Sprintf("%s %d", reason, n))
		}
		slices.Sort(reasons)
		fmt.Fprintf(&b, "; refusals: %s\n", strings.Join(reasons, ", "))
	}
	return b.String()
}

// Sort sorts results by deployment, scenario and seed. The sort is stable, so
// variants keep their order.
func Sort(results []Result) {
	slices.SortStableFunc(results, func(a, b Result) int {
		return cmp.Or(cmp.Compare(a.Deployment, b.Deployment), cmp.Compare(a.Scenario, b.Scenario), cmp.Compare(a.Seed, b.Seed))
	})
}

// Plot draws goodput over time for all variants of one deployment, scenario and
// seed. It writes a PNG file to folder and returns its path.
func Plot(folder string, results []Result) (string, error) {
	first := results[0]
	p := plot.New()
	p.Title.Text = fmt.Sprintf("%s, %s, seed %d", first.Deployment, first.Scenario, first.Seed)
	p.X.Label.Text = "seconds"
	p.Y.Label.Text = "successful requests per second"
	p.Y.Min = 0
	var lines []any
	for _, r := range results {
		points := make(plotter.XYs, 0, len(r.Series))
		for second, n := range r.Series[:len(r.Series)-1] {
			points = append(points, plotter.XY{X: float64(second), Y: n})
		}
		lines = append(lines, r.Variant, points)
	}
	if err := plotutil.AddLines(p, lines...); err != nil {
		return "", fmt.Errorf("draw lines: %w", err)
	}
	path := filepath.Join(folder, fmt.Sprintf("%s-%s-%d.png", first.Deployment, first.Scenario, first.Seed))
	if err := p.Save(22*vg.Centimeter, 11*vg.Centimeter, path); err != nil {
		return "", fmt.Errorf("save plot: %w", err)
	}
	return path, nil
}
