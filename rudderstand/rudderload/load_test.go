package rudderload

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"comfreyrudder.example/rudderstand/ruddercaller"
	"comfreyrudder.example/rudderstand/rudderfleetstand"
	"comfreyrudder.example/rudderstand/rudderoracle"
	"comfreyrudder.example/rudderstand/rudderscene"
)

// Guards against wrong texts that are counted as correct answers.
func TestWrongTextIsCounted(t *testing.T) {
	c := newCollector()
	for _, text := range []string{"other", ""} {
		c.add("f", "short", ruddercaller.Result{Answer: rudderoracle.Answer{Outcome: "complete", Prompt: "p", MaxTokens: 3, Text: text}})
	}
	c.add("f", "short", ruddercaller.Result{Answer: rudderoracle.Answer{Outcome: "not_run", Code: "no_capacity", Prompt: "p"}})
	result := c.result(time.Second)
	require.Equal(t, 2, result.WrongTexts())
	require.Equal(t, map[string]int{"complete": 2, "not_run:no_capacity": 1}, result.Rows[0].Outcomes)
}

// Guards against requests or answers that are missing from the result.
func TestLoadOfARunningSystem(t *testing.T) {
	layout := rudderfleetstand.Small()
	scene := &rudderscene.Scene{Fleet: &rudderfleetstand.Fleet{Layout: layout}, Locations: rudderscene.LocationsOf(layout, 3)}
	t.Cleanup(scene.Close)
	require.NoError(t, scene.Start())
	load := Defaults()
	load.Rate, load.Duration, load.LongShare, load.BurstStart, load.BurstDuration, load.BurstFactor = 20, time.Second, 0, 0, time.Second, 2
	load.Entries = []string{scene.Entries()[0].App.CallerAddress()}
	workspace := scene.Fleet.Document.Workspaces[0].Name
	load.Firms = []Firm{{
		Name: rudderfleetstand.FirmUmuvumu, Model: rudderfleetstand.ModelLedger, Service: rudderfleetstand.ServiceLedger,
		Keys: map[string]string{workspace: rudderfleetstand.WorkspaceKey(workspace)},
	}}
	result, err := load.Run(context.Background())
	require.NoError(t, err)
	require.InDelta(t, 40, result.Requests, 20) // 20 a second, doubled by the burst, for one second
	require.Zero(t, result.WrongTexts())
}
