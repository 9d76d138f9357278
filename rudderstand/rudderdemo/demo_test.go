package rudderdemo

import (
	"bytes"
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"comfreyrudder.example/rudderstand/ruddercaller"
	"comfreyrudder.example/rudderstand/rudderfleetstand"
	"comfreyrudder.example/rudderstand/rudderoracle"
	"comfreyrudder.example/rudderstand/rudderscene"
	"comfreyrudder.example/rudderstand/rudderswitch"
)

// Guards against a report that shows "kept" regardless of the evidence, and against one that passes although
// a part of the demonstration did not happen.
func TestPlantedEvidenceBreaksTheTable(t *testing.T) {
	happened := []Part{{Name: "load", Happened: true}}
	tests := []struct {
		name     string
		evidence rudderoracle.Evidence
		parts    []Part
		kept     bool
		broken   rudderoracle.Promise
	}{
		{"sound", rudderoracle.Evidence{}, happened, true, ""},
		{"part missing", rudderoracle.Evidence{}, []Part{{Name: "load"}}, false, ""},
		{"wrong text", rudderoracle.Evidence{Answers: []rudderoracle.Answer{
			{RequestID: "r", Outcome: rudderoracle.OutcomeComplete, Prompt: "p", Text: "other"},
		}}, happened, false, rudderoracle.OwnAnswer},
		{"version goes back", rudderoracle.Evidence{Served: []rudderoracle.ServedVersion{
			{Entry: "e", Version: 2}, {Entry: "e", Version: 1},
		}}, happened, false, rudderoracle.Config},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			report := NewReport(test.evidence, test.parts)
			require.Equal(t, test.kept, report.Passed())
			require.Len(t, report.Rows, 8)
			for _, row := range report.Rows {
				require.Equal(t, row.Promise == test.broken, len(row.Violations) > 0, row.Promise)
			}
			var table bytes.Buffer
			require.NoError(t, report.Write(&table))
			require.Equal(t, test.broken != "", bytes.Contains(table.Bytes(), []byte("BROKEN")))
		})
	}
}

// Guards against incomplete evidence: a service that executes each call twice must show up as a violation of
// at_most_once in a run of the whole system.
func TestServiceThatRunsTwiceIsNoticed(t *testing.T) {
	layout := rudderfleetstand.Small()
	d := &Demo{http: &http.Client{}, Scene: &rudderscene.Scene{
		Fleet: &rudderfleetstand.Fleet{Layout: layout}, Locations: rudderscene.LocationsOf(layout, 3),
	}}
	t.Cleanup(d.Scene.Close)
	require.NoError(t, d.Scene.Start())
	caller := d.caller(rudderfleetstand.WorkspaceName(rudderfleetstand.FirmUmuvumu, 1), 0)
	call := ruddercaller.Call{Service: rudderfleetstand.ServiceLedger, Method: http.MethodPost, Path: "/payments", Body: "pay"}
	ctx := context.Background()
	require.NoError(t, rudderscene.Await(20*time.Second, "a call", func() bool {
		return caller.Call(ctx, call).Answer.Outcome == rudderoracle.OutcomeComplete
	}))
	judge := func() Report {
		return NewReport(d.recorder.Evidence(d.Scene.Fleet.Fabric.Ledger.Runs(), d.Scene.Fleet.Calls.Calls()), nil)
	}
	require.True(t, judge().Passed())
	require.NoError(t, d.Scene.Fleet.Switch.SetHost("kigali-1-ledger", rudderswitch.Fault{Kind: rudderswitch.KindRunTwice}))
	call.Key = "one-payment"
	require.Equal(t, rudderoracle.OutcomeComplete, caller.Call(ctx, call).Answer.Outcome)
	report := judge()
	require.False(t, report.Passed())
	for _, row := range report.Rows {
		require.Equal(t, row.Promise == rudderoracle.AtMostOnce, len(row.Violations) > 0, row.Promise)
	}
}
