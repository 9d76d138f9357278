package rudderconfig

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"

	"comfreyrudder.example/shared/rudderhost"
)

// Guards against an evacuation that a partial document ends or that no difference shows, against the name of a data centre
// without hosts that is accepted silently, and against a document without evacuations that is written in another form.
func TestEvacuations(t *testing.T) {
	hosts := []rudderhost.Host{{Name: "h1", DataCentre: "a"}, {Name: "h2", DataCentre: "b"}}
	tests := []struct {
		evacuate []string
		diff     string
		warnings []Rule
	}{
		{nil, "", nil},
		{[]string{"b"}, "+ evacuated_data_centres b", nil},
		{[]string{"c", "b"}, "+ evacuated_data_centres b\n+ evacuated_data_centres c", []Rule{RuleUnknownReference}},
		{[]string{"b", "a"}, "+ evacuated_data_centres a\n+ evacuated_data_centres b", []Rule{RuleNotEnoughHosts}},
	}
	for _, tt := range tests {
		d := Document{Version: 3}
		for _, name := range tt.evacuate {
			d.SetEvacuated(name, true)
		}
		require.Equal(t, tt.diff, DiffText(Diff(Document{}, Merge(d, Document{}))))
		require.Equal(t, d.EvacuatedDataCentres, Merge(Document{}, Document{EvacuatedDataCentres: tt.evacuate}).EvacuatedDataCentres, "sorted")
		var rules []Rule
		for _, f := range CheckAgainstHosts(d, hosts) {
			rules = append(rules, f.Rule)
		}
		require.Equal(t, tt.warnings, rules)
		for _, name := range tt.evacuate {
			d.SetEvacuated(name, false)
		}
		text, err := json.Marshal(d)
		require.NoError(t, err)
		require.JSONEq(t, `{"version":3}`, string(text))
	}
}
