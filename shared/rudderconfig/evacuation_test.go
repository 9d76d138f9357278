package rudderconfig

import (
	"testing"

	"github.com/stretchr/testify/require"

	"comfreyrudder.example/shared/rudderhost"
)

// Guards against an evacuation that a partial document ends or that no difference shows, and against the name of a data centre
// without hosts that is accepted silently.
func TestEvacuations(t *testing.T) {
	hosts := []rudderhost.Host{{Name: "h1", DataCentre: "a"}, {Name: "h2", DataCentre: "b"}}
	tests := []struct {
		evacuate []string
		diff     string
		warnings int
	}{
		{nil, "", 0},
		{[]string{"c", "b"}, "+ evacuated_data_centres b\n+ evacuated_data_centres c", 1},
		{[]string{"b", "a"}, "+ evacuated_data_centres a\n+ evacuated_data_centres b", 1},
	}
	for _, tt := range tests {
		var d Document
		for _, name := range tt.evacuate {
			d.SetEvacuated(name, true)
		}
		require.Equal(t, d.EvacuatedDataCentres, Merge(Document{}, Document{EvacuatedDataCentres: tt.evacuate}).EvacuatedDataCentres)
		require.Equal(t, tt.diff, DiffText(Diff(Document{}, Merge(d, Document{}))))
		require.Len(t, CheckAgainstHosts(d, hosts), tt.warnings)
	}
}
