package rudderburn

import (
	"slices"
	"sort"
	"time"

	"comfreyrudder.example/shared/rudderadmin"
	"comfreyrudder.example/shared/rudderconfig"
)

// defaultLatencyShare of requests must keep a limit when the objective names no share.
const defaultLatencyShare = 0.95

// Windows over which burn is reported.
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

// Objectives returns the document's objectives and, for each firm that has none, a default one.
func Objectives(document *rudderconfig.Document) []rudderconfig.Objective {
	objectives := slices.Clone(document.Objectives)
	for _, w := range document.Workspaces {
		named := slices.ContainsFunc(objectives, func(o rudderconfig.Objective) bool { return o.Firm == w.Firm && o.Workspace == "" })
		if !named {
			o := defaultObjective
			o.Firm = w.Firm
			objectives = append(objectives, o)
		}
	}
	return objectives
}

// defaultObjective has the limits that the firms ask for at full size.
var defaultObjective = rudderconfig.Objective{
	Availability: 0.999, FirstTokenMS: 320, TokenGapMS: 63, ShortWaitMS: 320, LatencyShare: defaultLatencyShare,
}

// LimitsFor returns the objective that a workspace's requests are judged by: its own, else its firm's.
func LimitsFor(document *rudderconfig.Document, firm, workspace string) rudderconfig.Objective {
	found := defaultObjective
	for _, o := range Objectives(document) {
		if o.Firm != firm {
			continue
		}
		if o.Workspace == workspace {
			return o
		}
		if o.Workspace == "" {
			found = o
		}
	}
	return found
}

// Make reports on the objectives from the snapshots of all entry hosts.
func Make(now time.Time, objectives []rudderconfig.Objective, snapshots []Snapshot) []rudderadmin.ObjectiveReport {
	reports := make([]rudderadmin.ObjectiveReport, 0, len(objectives))
	for _, o := range objectives {
		reports = append(reports, reportOn(now, o, snapshots))
	}
	return reports
}

func reportOn(now time.Time, o rudderconfig.Objective, snapshots []Snapshot) rudderadmin.ObjectiveReport {
	fine, coarse := make(map[int64]Counts), make(map[int64]Counts)
	for _, s := range snapshots {
		for _, w := range s.Workspaces {
			if w.Firm == o.Firm && (o.Workspace == "" || o.Workspace == w.Workspace) {
				sum(fine, w.Fine)
				sum(coarse, w.Coarse)
			}
		}
	}
	report := rudderadmin.ObjectiveReport{Firm: o.Firm, Workspace: o.Workspace, Series: sorted(coarse)}
	day := over(coarse, now, 24*time.Hour)
	report.Causes = rudderadmin.Causes{
		Refused: day.Refused, Truncated: day.Truncated, MayHaveRun: day.MayHaveRun,
		Late: day.LateFirstToken + day.LateTokenGap + day.LateShortWait,
	}
	for _, level := range levelsOf(o) {
		for _, w := range windows {
			source := coarse
			if w.fine {
				source = fine
			}
			bad, total := level.share(over(source, now, w.span))
			level.Windows = append(level.Windows, rudderadmin.BurnWindow{Window: w.name, Total: total, Bad: bad, Burn: burn(bad, total, level.Target)})
		}
		level.BudgetLeft = 1 - level.Windows[len(level.Windows)-1].Burn
		report.Levels = append(report.Levels, level.LevelReport)
	}
	return report
}

// level is a level report with the way to count it.
type level struct {
	rudderadmin.LevelReport
	share func(Counts) (bad, total int64)
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

// burn is the share of bad requests over the share that the target allows.
func burn(bad, total int64, target float64) float64 {
	if total == 0 || bad == 0 {
		return 0
	}
	// A target of 1 allows nothing; the smallest allowance keeps the figure finite.
	const leastAllowance = 1e-6
	return float64(bad) / float64(total) / max(leastAllowance, 1-target)
}

func sum(into map[int64]Counts, buckets []Bucket) {
	for _, b := range buckets {
		c := into[b.StartUnix]
		add(&c, b.BurnCounts)
		into[b.StartUnix] = c
	}
}

func over(buckets map[int64]Counts, now time.Time, span time.Duration) Counts {
	var total Counts
	oldest := now.Add(-span).Unix()
	for start, c := range buckets {
		if start > oldest {
			add(&total, c)
		}
	}
	return total
}

func sorted(buckets map[int64]Counts) []Bucket {
	list := make([]Bucket, 0, len(buckets))
	for start, c := range buckets {
		list = append(list, Bucket{StartUnix: start, BurnCounts: c})
	}
	sort.Slice(list, func(i, j int) bool { return list[i].StartUnix < list[j].StartUnix })
	return list
}
