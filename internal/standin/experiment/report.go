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

// Table lists results, one a line.
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
			100*r.Worst, 100*r.Wrongful, r.MeanSends, r.MaxSends, r.MaxExtra, 100*r.Wasted, r.Disorder, r.Lost)
	}
	_ = w.Flush()
	return b.String()
}

// ClassSummary lists the part of each kind that was answered whole, and refusals.
func ClassSummary(results []Result) string {
	var b strings.Builder
	for _, r := range results {
		fmt.Fprintf(&b, "%s %s %s %d:", r.Deployment, r.Scenario, r.Variant, r.Seed)
		for _, c := range r.Classes {
			fmt.Fprintf(&b, " %s %.1f%%", c.Kind, 100*c.Whole)
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

// Sort orders results by deployment, scenario, seed, and keeps the variants'
// order.
func Sort(results []Result) {
	slices.SortStableFunc(results, func(a, b Result) int {
		return cmp.Or(cmp.Compare(a.Deployment, b.Deployment), cmp.Compare(a.Scenario, b.Scenario), cmp.Compare(a.Seed, b.Seed))
	})
}

// Plot draws the goodput of all variants of one deployment, scenario and seed
// over time, into a file of the folder. It returns the file's path.
func Plot(folder string, results []Result) (string, error) {
	first := results[0]
	p := plot.New()
	p.Title.Text = fmt.Sprintf("%s, %s, seed %d", first.Deployment, first.Scenario, first.Seed)
	p.X.Label.Text = "seconds"
	p.Y.Label.Text = "whole answers a second"
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
