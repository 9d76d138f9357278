package rudderbench

import (
	"math"
	"path/filepath"
	"sync"

	"gonum.org/v1/plot/plotter"
)

const dayGroupSize = 4

// DayRows measures a day and single losses against the baselines, and returns the day's curve.
func DayRows(seed uint64) ([]Row, []DayPoint) {
	var curve []DayPoint
	rows := parallelRows([]func() []Row{
		func() []Row {
			var rows []Row
			rows, curve = dayStrandedRows(seed)
			return rows
		},
		func() []Row { return daySpareRows(seed) },
		func() []Row { return lossRows(seed, "one host's death", false) },
		func() []Row { return lossRows(seed, "a domain's loss", true) },
	})
	return rows, curve
}

// dayStrandedRows are those of the day with batch groups, where hosts outside groups are stranded.
func dayStrandedRows(seed uint64) ([]Row, []DayPoint) {
	const section = "day"
	now, first, forget := threeDays(seed, true)
	none := math.NaN()
	return []Row{
		atMost(section, "stranded accelerator hours in 24 h, with batch groups", "first fit", first.stranded, now.stranded, none),
		atMost(section, "stranded accelerator hours in 24 h, with batch groups", "best packing, no load times", now.best, now.stranded, now.best),
		atMost(section, "hosts stranded beyond the remainder while nothing changes", "first fit", float64(first.calmExcess), float64(now.calmExcess), 0),
		atMost(section, "downtime of wanted groups, with batch groups (group min)", "first fit", first.downtime, now.downtime, none),
		atMost(section, "downtime of wanted groups, with batch groups (group min)", dayForget.name, forget.downtime, now.downtime, none),
		atMost(section, "groups formed in 24 h, with batch groups", dayForget.name, float64(forget.formed), float64(now.formed), none),
		atMost(section, "hosts stranded beyond the remainder while nothing changes", dayForget.name, float64(forget.calmExcess), float64(now.calmExcess), 0),
		atMost(section, "stranded accelerator hours in 24 h, with batch groups", dayForget.name, forget.stranded, now.stranded, none),
		atMost(section, "groups formed in 24 h, with batch groups", "first fit", float64(first.formed), float64(now.formed), none),
		atMost(section, "answers cut by planned changes, with batch groups", "first fit", float64(first.cuts), float64(now.cuts), 0),
		atMost(section, "groups drained within the minimum hold", "first fit", float64(first.flaps), float64(now.flaps), 0),
		atMost(section, "window opening to all groups serving, with batch groups (s)", "longest answer in flight", now.longest.Seconds(), now.handOver.Seconds(), now.longest.Seconds()),
	}, now.curve
}

// daySpareRows are those of the layout as it is, where hosts outside groups are spares.
func daySpareRows(seed uint64) []Row {
	const section = "day"
	now, first := twoDays(seed, false)
	none := math.NaN()
	return []Row{
		atMost(section, "downtime of wanted groups, with spares (group min)", "first fit", first.downtime, now.downtime, none),
		atMost(section, "groups formed in 24 h, with spares", "first fit", float64(first.formed), float64(now.formed), none),
		atMost(section, "answers cut by planned changes, with spares", "first fit", float64(first.cuts), float64(now.cuts), 0),
		atMost(section, "window opening to all groups serving, with spares (s)", "weight load after the opening", dayLoad(4*dayGroupSize).Seconds(), now.handOver.Seconds(), (dayStartTime + 3*dayPoll).Seconds()),
	}
}

// lossRows measure losses with spares. The bound is detection by polls and the weight load of the groups
// that are formed anew.
func lossRows(seed uint64, what string, wholeDomain bool) []Row {
	var rows []Row
	groups := 1
	if wholeDomain {
		groups = 2 // of a domain of 11 hosts, beside borrowed ones
	}
	bound := dayDetection(newDayWorld(seed, dayStart, dayNow, false).timing) + dayLoad(groups*dayGroupSize) + dayPoll
	for _, selector := range dayHomeSelectors {
		now, reform := lossOf(seed, dayNow, selector, wholeDomain), lossOf(seed, dayReform, selector, wholeDomain)
		rows = append(rows,
			atMost("downtime", what+", group of "+selector+": until all wanted groups serve, longest (s)", dayReform.name, reform.longest.Seconds(), now.longest.Seconds(), bound.Seconds()),
			atMost("downtime", what+", group of "+selector+": mean downtime (group s)", dayReform.name, reform.downtime, now.downtime, math.NaN()))
	}
	return rows
}

// PlotDay draws serving groups and stranded accelerators by firm through the day.
func PlotDay(directory string, curve []DayPoint) error {
	serving, stranded := map[string]plotter.XYs{}, map[string]plotter.XYs{}
	for _, p := range curve {
		for _, f := range dayFirms {
			serving[f.firm] = append(serving[f.firm], plotter.XY{X: p.Hours, Y: p.Serving[f.firm]})
			stranded[f.region] = append(stranded[f.region], plotter.XY{X: p.Hours, Y: p.Stranded[f.firm]})
		}
	}
	if err := savePlot(filepath.Join(directory, "day_groups.png"), "Serving groups through a day, 130 hosts",
		"hours, UTC", "serving groups by firm", serving, nil); err != nil {
		return err
	}
	return savePlot(filepath.Join(directory, "day_stranded.png"), "Stranded accelerators through a day, 130 hosts",
		"hours, UTC", "stranded accelerators by region", stranded, nil)
}

var dayHomeSelectors = []string{"umuvumu-notes", "vercheres-cues"}

// threeDays also runs the day by a division without held groups.
func threeDays(seed uint64, batch bool) (now, first, forget dayOutcome) {
	var running sync.WaitGroup
	running.Go(func() { now, first = twoDays(seed, batch) })
	running.Go(func() { forget = runDay(seed, dayForget, batch) })
	running.Wait()
	return now, first, forget
}

// twoDays runs the day as it is and by first fit, side by side.
func twoDays(seed uint64, batch bool) (now, first dayOutcome) {
	var running sync.WaitGroup
	running.Go(func() { now = runDay(seed, dayNow, batch) })
	running.Go(func() { first = runDay(seed, dayFirstFit, batch) })
	running.Wait()
	return now, first
}
