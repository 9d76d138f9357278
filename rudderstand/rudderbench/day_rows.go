package rudderbench

import (
	"math"
	"path/filepath"
	"sync"

	"gonum.org/v1/plot/plotter"
)

const dayGroupSize = 4

// DayRows measures a simulated day and single losses against the baselines. It also returns the state of the
// fleet over the day, for PlotDay.
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

// dayStrandedRows measures the day with batch groups. Batch groups use all hosts that the wanted groups leave,
// so a host outside a group is stranded.
func dayStrandedRows(seed uint64) ([]Row, []DayPoint) {
	const section = "day"
	now, first, ignoreExisting := runThreePolicies(seed, true)
	none := math.NaN()
	return []Row{
		boundedRow(section, "stranded accelerator hours in 24 h, with batch groups", "first fit", first.stranded, now.stranded, none),
		boundedRow(section, "stranded accelerator hours in 24 h, with batch groups", "best packing, no load times", now.best, now.stranded, now.best),
		boundedRow(section, "hosts stranded beyond the remainder while nothing changes", "first fit", float64(first.steadyExcess), float64(now.steadyExcess), 0),
		boundedRow(section, "downtime of wanted groups, with batch groups (group min)", "first fit", first.downtime, now.downtime, none),
		boundedRow(section, "downtime of wanted groups, with batch groups (group min)", dayIgnoreExisting.name, ignoreExisting.downtime, now.downtime, none),
		boundedRow(section, "groups formed in 24 h, with batch groups", dayIgnoreExisting.name, float64(ignoreExisting.formed), float64(now.formed), none),
		boundedRow(section, "hosts stranded beyond the remainder while nothing changes", dayIgnoreExisting.name, float64(ignoreExisting.steadyExcess), float64(now.steadyExcess), 0),
		boundedRow(section, "stranded accelerator hours in 24 h, with batch groups", dayIgnoreExisting.name, ignoreExisting.stranded, now.stranded, none),
		boundedRow(section, "groups formed in 24 h, with batch groups", "first fit", float64(first.formed), float64(now.formed), none),
		boundedRow(section, "answers cut by planned changes, with batch groups", "first fit", float64(first.interrupted), float64(now.interrupted), 0),
		boundedRow(section, "groups drained within the minimum hold", "first fit", float64(first.flaps), float64(now.flaps), 0),
		boundedRow(section, "window opening to all groups serving, with batch groups (s)", "longest answer in flight", now.longestResponse.Seconds(), now.handOver.Seconds(), now.longestResponse.Seconds()),
	}, now.curve
}

// daySpareRows measures the day without batch groups, where hosts outside groups are spares.
func daySpareRows(seed uint64) []Row {
	const section = "day"
	now, first := runTwoPolicies(seed, false)
	none := math.NaN()
	return []Row{
		boundedRow(section, "downtime of wanted groups, with spares (group min)", "first fit", first.downtime, now.downtime, none),
		boundedRow(section, "groups formed in 24 h, with spares", "first fit", float64(first.formed), float64(now.formed), none),
		boundedRow(section, "answers cut by planned changes, with spares", "first fit", float64(first.interrupted), float64(now.interrupted), 0),
		boundedRow(section, "window opening to all groups serving, with spares (s)", "weight load after the opening", dayLoadTime(4*dayGroupSize).Seconds(), now.handOver.Seconds(), (dayStartTime + 3*dayPoll).Seconds()),
	}
}

// lossRows measures losses in a fleet with spares. The bound is the sum of the detection by polls, the weight
// load of the replacement groups and one more poll.
func lossRows(seed uint64, what string, wholeDomain bool) []Row {
	var rows []Row
	groups := 1
	if wholeDomain {
		groups = 2 // in a domain of 11 hosts, beside groups on borrowed hosts
	}
	bound := dayDetectionTime(newDaySimulation(seed, dayStart, dayCurrent, false).timing) + dayLoadTime(groups*dayGroupSize) + dayPoll
	for _, selector := range dayHomeSelectors {
		now, reform := averageLoss(seed, dayCurrent, selector, wholeDomain), averageLoss(seed, dayReform, selector, wholeDomain)
		rows = append(rows,
			boundedRow("downtime", what+", group of "+selector+": until all wanted groups serve, longest (s)", dayReform.name, reform.longest.Seconds(), now.longest.Seconds(), bound.Seconds()),
			boundedRow("downtime", what+", group of "+selector+": mean downtime (group s)", dayReform.name, reform.downtime, now.downtime, math.NaN()))
	}
	return rows
}

// PlotDay draws serving groups by firm and stranded accelerators by region over the day.
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

// runThreePolicies runs the day with the current planner, with first fit and without regard to existing
// groups.
func runThreePolicies(seed uint64, batch bool) (now, first, ignoreExisting dayOutcome) {
	var running sync.WaitGroup
	running.Go(func() { now, first = runTwoPolicies(seed, batch) })
	running.Go(func() { ignoreExisting = runDay(seed, dayIgnoreExisting, batch) })
	running.Wait()
	return now, first, ignoreExisting
}

// runTwoPolicies runs the day with the current planner and with first fit, in parallel.
func runTwoPolicies(seed uint64, batch bool) (now, first dayOutcome) {
	var running sync.WaitGroup
	running.Go(func() { now = runDay(seed, dayCurrent, batch) })
	running.Go(func() { first = runDay(seed, dayFirstFit, batch) })
	running.Wait()
	return now, first
}
