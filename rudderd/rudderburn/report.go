package rudderburn

import (
	"slices"
	"sort"
	"time"

	"comfreyrudder.example/shared/rudderadmin"
	"comfreyrudder.example/shared/rudderconfig"
)

// defaultLatencyShare is the share of requests that must stay within a latency limit when the objective names no
// share.
const defaultLatencyShare = 0.95

// windows are the periods over which burn rates are reported.
var windows = []struct {
	name string
	span time.Duration
	fine bool
}{
	{"5m", 5 * time.Minute, true},
	{"1h", time.Hour, true},
	{"6h", 6 * time.Hour, false},
	{"24h", 24 * time.Hour, false},
}

// ObjectivesWithDefaults returns the document's objectives, and the default objective for each firm without an
// objective of its own.
func ObjectivesWithDefaults(document *rudderconfig.Document) []rudderconfig.Objective {
	objectives := slices.Clone(document.Objectives)
	for _, w := range document.Workspaces {
		hasObjective := slices.ContainsFunc(objectives, func(o rudderconfig.Objective) bool { return o.Firm == w.Firm && o.Workspace == "" })
		if !hasObjective {
			o := defaultObjective
			o.Firm = w.Firm
			objectives = append(objectives, o)
		}
	}
	return objectives
}

// defaultObjective has the limits that the firms require at full deployment size.
var defaultObjective = rudderconfig.Objective{
	Availability: 0.999, FirstTokenMS: 320, TokenGapMS: 63, ShortWaitMS: 320, LatencyShare: defaultLatencyShare,
}

// ObjectiveFor returns the objective that applies to a workspace's requests: the workspace's own objective,
// else that of its firm.
func ObjectiveFor(document *rudderconfig.Document, firm, workspace string) rudderconfig.Objective {
	objective := defaultObjective
	for _, o := range ObjectivesWithDefaults(document) {
		if o.Firm != firm {
			continue
		}
		if o.Workspace == workspace {
			return o
		}
		if o.Workspace == "" {
			objective = o
		}
	}
	return objective
}

// BuildReports returns a report on each objective, computed from the snapshots of all entry hosts.
func BuildReports(now time.Time, objectives []rudderconfig.Objective, snapshots []Snapshot) []rudderadmin.ObjectiveReport {
	reports := make([]rudderadmin.ObjectiveReport, 0, len(objectives))
	for _, o := range objectives {
		reports = append(reports, buildReport(now, o, snapshots))
	}
	return reports
}

func buildReport(now time.Time, o rudderconfig.Objective, snapshots []Snapshot) rudderadmin.ObjectiveReport {
	fine, coarse := make(map[int64]Counts), make(map[int64]Counts)
	for _, s := range snapshots {
		for _, w := range s.Workspaces {
			if w.Firm == o.Firm && (o.Workspace == "" || o.Workspace == w.Workspace) {
				addBuckets(fine, w.Fine)
				addBuckets(coarse, w.Coarse)
			}
		}
	}
	report := rudderadmin.ObjectiveReport{Firm: o.Firm, Workspace: o.Workspace, Series: sortedBuckets(coarse)}
	day := countsWithin(coarse, now, 24*time.Hour)
	report.Causes = rudderadmin.Causes{
		Refused: day.Refused, Cut: day.Cut, MayHaveRun: day.MayHaveRun,
		Late: day.LateFirstToken + day.LateTokenGap + day.LateShortWait,
	}
	for _, level := range levelsOf(o) {
		for _, w := range windows {
			source := coarse
			if w.fine {
				source = fine
			}
			bad, total := level.count(countsWithin(source, now, w.span))
			level.Windows = append(level.Windows, rudderadmin.BurnWindow{Window: w.name, Total: total, Bad: bad, Burn: burnRate(bad, total, level.Target)})
		}
		level.BudgetLeft = 1 - level.Windows[len(level.Windows)-1].Burn
		report.Levels = append(report.Levels, level.LevelReport)
	}
	return report
}

// level is the report on one service level together with the function that counts its bad requests.
type level struct {
	rudderadmin.LevelReport
	count func(Counts) (bad, total int64)
}

func levelsOf(o rudderconfig.Objective) []level {
	latency := o.LatencyShare
	if latency <= 0 {
		latency = defaultLatencyShare
	}
	all := []level{
		{rudderadmin.LevelReport{Level: rudderadmin.LevelAvailability, Target: o.Availability}, func(c Counts) (int64, int64) { return c.Total - c.Complete, c.Total }},
		{rudderadmin.LevelReport{Level: rudderadmin.LevelFirstToken, Target: latency, LimitMS: o.FirstTokenMS}, func(c Counts) (int64, int64) { return c.LateFirstToken, c.FirstToken }},
		{rudderadmin.LevelReport{Level: rudderadmin.LevelTokenGap, Target: latency, LimitMS: o.TokenGapMS}, func(c Counts) (int64, int64) { return c.LateTokenGap, c.TokenGap }},
		{rudderadmin.LevelReport{Level: rudderadmin.LevelShortWait, Target: latency, LimitMS: o.ShortWaitMS}, func(c Counts) (int64, int64) { return c.LateShortWait, c.ShortWait }},
	}
	return slices.DeleteFunc(all, func(l level) bool { return l.Level != rudderadmin.LevelAvailability && l.LimitMS <= 0 })
}

// burnRate is the share of bad requests divided by the share that the target allows.
func burnRate(bad, total int64, target float64) float64 {
	if total == 0 || bad == 0 {
		return 0
	}
	// A target of 1 allows no bad request; a minimum allowance keeps the burn rate finite.
	const minAllowance = 1e-6
	return float64(bad) / float64(total) / max(minAllowance, 1-target)
}

// addBuckets adds the counts of the buckets to those of the same start time.
func addBuckets(into map[int64]Counts, buckets []Bucket) {
	for _, b := range buckets {
		c := into[b.StartUnix]
		addCounts(&c, b.BurnCounts)
		into[b.StartUnix] = c
	}
}

// countsWithin sums the counts of the buckets that start within the span before now.
func countsWithin(buckets map[int64]Counts, now time.Time, span time.Duration) Counts {
	var total Counts
	oldest := now.Add(-span).Unix()
	for start, c := range buckets {
		if start > oldest {
			addCounts(&total, c)
		}
	}
	return total
}

func sortedBuckets(buckets map[int64]Counts) []Bucket {
	list := make([]Bucket, 0, len(buckets))
	for start, c := range buckets {
		list = append(list, Bucket{StartUnix: start, BurnCounts: c})
	}
	sort.Slice(list, func(i, j int) bool { return list[i].StartUnix < list[j].StartUnix })
	return list
}
