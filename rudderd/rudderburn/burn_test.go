package rudderburn

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"comfreyrudder.example/shared/rudderadmin"
	"comfreyrudder.example/shared/rudderconfig"
)

var (
	noon      = time.Date(2026, 12, 4, 12, 0, 0, 0, time.UTC)
	objective = rudderconfig.Objective{Firm: "umuvumu", Availability: 0.99, FirstTokenMS: 320, TokenGapMS: 63, ShortWaitMS: 100, LatencyShare: 0.95}
)

func resultAt(at time.Time, outcome string) RequestResult {
	return RequestResult{At: at, Firm: "umuvumu", Workspace: "kigali", Class: rudderconfig.ClassShort, Outcome: outcome, FirstToken: 200 * time.Millisecond, MeanGap: 20 * time.Millisecond, Tokens: 5}
}

func findLevel(t *testing.T, r rudderadmin.ObjectiveReport, name rudderadmin.Level) rudderadmin.LevelReport {
	t.Helper()
	for _, l := range r.Levels {
		if l.Level == name {
			return l
		}
	}
	require.Fail(t, "level missing in the report", name)
	return rudderadmin.LevelReport{}
}

// Guards against counts that are lost, doubled or assigned to the wrong window when the snapshots of several
// entry hosts are merged.
func TestBurnOverWindowsAndHosts(t *testing.T) {
	var first, second Recorder
	for range 98 {
		first.Record(resultAt(noon.Add(-2*time.Hour), outcomeComplete), objective)
	}
	first.Record(resultAt(noon.Add(-time.Minute), outcomeComplete), objective)
	second.Record(resultAt(noon.Add(-time.Minute), outcomeNotRun), objective)
	snapshots := []Snapshot{first.Snapshot("e1", noon), second.Snapshot("e2", noon)}
	report := BuildReports(noon, []rudderconfig.Objective{objective}, snapshots)[0]

	availability := findLevel(t, report, rudderadmin.LevelAvailability)
	require.Equal(t, []int64{2, 2, 100, 100}, []int64{
		availability.Windows[0].Total, availability.Windows[1].Total, availability.Windows[2].Total, availability.Windows[3].Total,
	})
	require.InDelta(t, 50, availability.Windows[0].Burn, 0.01, "half of the requests failed where 1 in 100 may")
	require.InDelta(t, 1, availability.Windows[3].Burn, 0.01)
	require.InDelta(t, 0, availability.BudgetLeft, 0.01)
	require.Equal(t, int64(1), report.Causes.Refused)
}

// Guards against requests that are counted as late although they are within the limit, or as cut although no
// token arrived.
func TestCountsOf(t *testing.T) {
	cut, lost, slow := resultAt(noon, "may_have_run"), resultAt(noon, "may_have_run"), resultAt(noon, outcomeComplete)
	lost.Tokens, lost.FirstToken, lost.MeanGap = 0, 0, 0
	slow.FirstToken, slow.MeanGap, slow.Wait = 321*time.Millisecond, 64*time.Millisecond, 101*time.Millisecond
	long := slow
	long.Class = rudderconfig.ClassLong
	tests := []struct {
		name   string
		result RequestResult
		want   Counts
	}{
		{"in time", resultAt(noon, outcomeComplete), Counts{Total: 1, Complete: 1, FirstToken: 1, TokenGap: 1, ShortWait: 1}},
		{"late", slow, Counts{Total: 1, Complete: 1, FirstToken: 1, LateFirstToken: 1, TokenGap: 1, LateTokenGap: 1, ShortWait: 1, LateShortWait: 1}},
		{"long work waits without limit", long, Counts{Total: 1, Complete: 1, FirstToken: 1, LateFirstToken: 1, TokenGap: 1, LateTokenGap: 1}},
		{"cut", cut, Counts{Total: 1, Cut: 1, FirstToken: 1, TokenGap: 1}},
		{"lost", lost, Counts{Total: 1, MayHaveRun: 1}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) { require.Equal(t, test.want, countsOf(test.result, objective)) })
	}
}

// Guards against a restart that loses the counts of the last day, and against a number of buckets that grows
// without bound.
func TestRestoreKeepsTheLastDay(t *testing.T) {
	var before Recorder
	for minute := range 3000 {
		before.Record(resultAt(noon.Add(time.Duration(minute-3000)*time.Minute), outcomeComplete), objective)
	}
	raw, err := json.Marshal(before.Snapshot("e1", noon))
	require.NoError(t, err)
	require.Less(t, len(raw), 64<<10, "a stored snapshot of one workspace")
	var stored Snapshot
	require.NoError(t, json.Unmarshal(raw, &stored))
	var after Recorder
	after.Restore(stored)
	after.Record(resultAt(noon, outcomeComplete), objective)
	total := findLevel(t, BuildReports(noon, []rudderconfig.Objective{objective}, []Snapshot{after.Snapshot("e1", noon)})[0], rudderadmin.LevelAvailability).Windows[3].Total
	require.InDelta(t, 24*60, total, 16)
}

// Guards against a workspace that is measured against the limits of its firm although it has its own.
func TestObjectiveFor(t *testing.T) {
	own := objective
	own.Workspace, own.FirstTokenMS = "kigali", 500
	document := &rudderconfig.Document{
		Objectives: []rudderconfig.Objective{objective, own},
		Workspaces: []rudderconfig.Workspace{{Name: "kigali", Firm: "umuvumu"}, {Name: "studio", Firm: "other"}},
	}
	require.Equal(t, 500, ObjectiveFor(document, "umuvumu", "kigali").FirstTokenMS)
	require.Equal(t, 320, ObjectiveFor(document, "umuvumu", "rubavu").FirstTokenMS)
	require.Equal(t, "other", ObjectivesWithDefaults(document)[2].Firm, "a firm without an objective gets the default one")
}
