package rudderapp

import (
	"context"
	"time"

	"comfreyrudder.example/rudderd/rudderburn"
	"comfreyrudder.example/rudderd/rudderreport"
	"comfreyrudder.example/rudderd/rudderstream"
	"comfreyrudder.example/shared/rudderadmin"
	"comfreyrudder.example/shared/rudderconfig"
)

// downtimeInterval is the time between two samples of the missing groups.
const downtimeInterval = time.Second

func (a *App) wireReports() {
	a.recorder = &rudderburn.Recorder{}
	a.collector = &rudderreport.Collector{
		Self: a.self.Name, Recorder: a.recorder, Store: a.store, Members: a.node.Members, HTTPClient: a.peers,
		Clock: a.Clock, OnError: a.warn("burn report"),
	}
}

// recordResult counts a completed model request against its firm's service level objective.
func (a *App) recordResult(q rudderstream.Request, timing rudderstream.Timing, result rudderstream.Result) {
	a.countResult(rudderburn.RequestResult{
		Firm: q.Firm, Workspace: q.Workspace, Class: q.Class, Outcome: string(result.Outcome),
		Wait: timing.Wait, FirstToken: timing.FirstToken, MeanGap: timing.MeanGap, Tokens: timing.Tokens,
	})
}

func (a *App) countResult(e rudderburn.RequestResult) {
	e.At = a.Clock.Now()
	a.metrics.observeResult(e)
	if document := a.config.Current(); document != nil {
		a.recorder.Record(e, rudderburn.ObjectiveFor(document, e.Firm, e.Workspace))
	}
}

// burnReport returns the report on service levels, from the counts of all entry hosts.
func (a *App) burnReport(ctx context.Context) (rudderadmin.BurnReport, error) {
	snapshots, sources := a.collector.Collect(ctx)
	now := a.Clock.Now()
	report := rudderadmin.BurnReport{
		CreatedUnixMS: now.UnixMilli(), Entries: sources, Objectives: []rudderadmin.ObjectiveReport{},
		GroupDowntimeMS: make(map[string]int64), Stranded: []string{},
	}
	if document := a.config.Current(); document != nil {
		report.Objectives = rudderburn.BuildReports(now, rudderburn.ObjectivesWithDefaults(document), snapshots)
	}
	for selector, downtime := range a.fleet.Downtime() {
		report.GroupDowntimeMS[selector] = downtime.Milliseconds()
	}
	hosts, err := a.lastHosts.read(ctx, a.hosts.Hosts)
	if err != nil {
		return report, err
	}
	for _, h := range a.fleet.Stranded(now, hosts) {
		report.Stranded = append(report.Stranded, h.Name)
		report.StrandedAccelerators += h.Accelerators
	}
	return report, nil
}

// sampleDowntime measures for how long groups are missing. Only selectors with a wanted number of groups
// are measured; for the others no group can be missing.
func (a *App) sampleDowntime(ctx context.Context) error {
	return a.every(ctx, downtimeInterval, func(context.Context) {
		if document := a.config.Current(); document != nil {
			a.fleet.SampleDowntime(a.Clock.Now(), wantedNow(document, a.Clock.Now()))
			a.logSelectorsWithoutGroups(document, a.Clock.Now())
		}
	})
}

func wantedNow(document *rudderconfig.Document, now time.Time) map[string]int {
	wanted := make(map[string]int)
	for _, s := range document.Selectors {
		if s.WantedGroups > 0 && s.ActiveAt(now) {
			wanted[s.Name] = s.WantedGroups
		}
	}
	return wanted
}
