package rudderapp

import (
	"testing"

	"github.com/stretchr/testify/require"

	"comfreyrudder.example/shared/rudderconfig"
	"comfreyrudder.example/shared/ruddergroup"
)

// Guards against work that is refused as evacuated although a group elsewhere serves it or is about to, and against work that waits
// for groups when all of them are in evacuated data centres.
func TestOnlyEvacuated(t *testing.T) {
	selectors := []rudderconfig.Selector{{Name: "notes", Model: "m"}, {Name: "ledger", Service: "ledger"}}
	notes := func(state ruddergroup.State) ruddergroup.Group {
		return ruddergroup.Group{Selector: "notes", State: state}
	}
	tests := []struct {
		name      string
		evacuated []string
		elsewhere []ruddergroup.Group
		want      bool
	}{
		{"nothing is evacuated", nil, nil, false},
		{"the only one", []string{"a"}, nil, true},
		{"a group elsewhere serves", []string{"a"}, []ruddergroup.Group{notes(ruddergroup.StateServing)}, false},
		{"a group elsewhere loads", []string{"a"}, []ruddergroup.Group{notes(ruddergroup.StateLoading)}, false},
		{"a group elsewhere drains", []string{"a"}, []ruddergroup.Group{notes(ruddergroup.StateDraining)}, true},
		{"a group elsewhere serves other work", []string{"a"}, []ruddergroup.Group{{Selector: "ledger"}}, true},
		{"both at once", []string{"a", "b"}, []ruddergroup.Group{notes(ruddergroup.StateServing)}, true},
	}
	for _, tt := range tests {
		document := &rudderconfig.Document{Selectors: selectors, EvacuatedDataCentres: tt.evacuated}
		plans := []ruddergroup.Plan{{DataCentre: "a", Groups: []ruddergroup.Group{notes(ruddergroup.StateServing)}}, {DataCentre: "b", Groups: tt.elsewhere}}
		require.Equal(t, tt.want, onlyEvacuated(document, plans, func(s rudderconfig.Selector) bool { return s.Model == "m" }), tt.name)
	}
}
