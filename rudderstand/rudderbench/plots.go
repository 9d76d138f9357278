package rudderbench

import (
	"maps"
	"os"
	"path/filepath"
	"slices"

	"github.com/cockroachdb/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 8 * vg.Inch
	plotHeight = 4 * vg.Inch
	// shortestWait is the start of the logarithmic axis of waiting times, in seconds.
	shortestWait = 0.0005
)

// savePlot draws one line for each series, in alphabetical order of their names.
func savePlot(path, title, x, y string, series map[string]plotter.XYs, adjust func(*plot.Plot)) error {
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		return errors.Wrapf(err, "create plot directory %s", filepath.Dir(path))
	}
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = title, x, y
	p.Legend.Top = true
	for i, name := range slices.Sorted(maps.Keys(series)) {
		line, err := plotter.NewLine(series[name])
		if err != nil {
			return errors.Wrapf(err, "line of series %q", name)
		}
		line.Color, line.Dashes = plotutil.Color(i), plotutil.Dashes(i)
		p.Add(line)
		p.Legend.Add(name, line)
	}
	if adjust != nil {
		adjust(p)
	}
	return errors.Wrapf(p.Save(plotWidth, plotHeight, path), "save plot %s", path)
}

// PlotCrest draws the goodput over time by routing policy, before, during and after the crest.
func PlotCrest(directory string, seed uint64) error {
	lines := map[string]plotter.XYs{}
	for policy, values := range CrestSeries(seed) {
		for second, v := range values {
			lines[policy] = append(lines[policy], plotter.XY{X: float64(second), Y: v})
		}
	}
	return savePlot(filepath.Join(directory, "crest_goodput.png"), "Goodput through a tenfold swing, 18 entry hosts, 8 groups",
		"time (s)", "share of slots that run work", lines, nil)
}

// PlotWaiting draws the distribution of the waiting times of short work, with and without long work, by
// routing policy.
func PlotWaiting(directory string, seed uint64) error {
	const points = 400
	lines := map[string]plotter.XYs{}
	for policy, waits := range WaitingSeries(seed) {
		for i := range points {
			q := float64(i+1) / points
			lines[policy] = append(lines[policy], plotter.XY{X: max(shortestWait, quantile(waits, q)), Y: q})
		}
	}
	return savePlot(filepath.Join(directory, "short_waiting.png"), "Waiting of short work, 8 groups of 16 slots",
		"waiting (s)", "share of short requests", lines, func(p *plot.Plot) {
			p.X.Scale, p.X.Tick.Marker = plot.LogScale{}, plot.LogTicks{Prec: -1}
			p.Legend.Top, p.Legend.Left = false, false
		})
}

// Plots draws all plots into a directory.
func Plots(directory string, seed uint64, curve []DayPoint) error {
	for _, draw := range []func(string, uint64) error{PlotCrest, PlotWaiting} {
		if err := draw(directory, seed); err != nil {
			return err
		}
	}
	return PlotDay(directory, curve)
}
