package rudderapp

import (
	"testing"

	"github.com/stretchr/testify/require"

	"comfreyrudder.example/rudderd/rudderallocator"
	"comfreyrudder.example/rudderd/rudderfleet"
	"comfreyrudder.example/shared/rudderadmin"
	"comfreyrudder.example/shared/ruddergroup"
)

// Guards against reports that count groups as serving although they get no work because their hosts do not respond.
func TestReportsCountOnlyGroupsThatAcceptWork(t *testing.T) {
	group := func(id string, state ruddergroup.State, why rudderfleet.Reason) rudderfleet.GroupReport {
		return rudderfleet.GroupReport{Domain: "d", NotServingReason: why, Group: ruddergroup.Group{ID: id, Selector: "notes", State: state}}
	}
	groups := []rudderfleet.GroupReport{
		group("g1", ruddergroup.StateServing, ""),
		group("g2", ruddergroup.StateServing, rudderfleet.ReasonOldReport),
		group("g3", ruddergroup.StateDraining, rudderfleet.ReasonDraining),
	}
	require.Equal(t, 1, servingGroups("notes", groups))
	require.Equal(t, 0, servingGroups("cues", groups))

	e := rudderadmin.Explanation{Selector: "notes", Domains: []rudderadmin.DomainShare{{Domain: "d", Serving: 2, Draining: 1}}}
	subtractOutOfService(&e, groups)
	require.Equal(t, 1, e.Domains[0].Serving)
	require.Len(t, e.Reasons, 1)
	require.Equal(t, "g2", e.Reasons[0].Group)

	serving := string(rudderallocator.CodeServing)
	reasons := correctServing([]rudderadmin.Reason{{Code: serving, Group: "g1"}, {Code: serving, Group: "g2"}}, groups)
	require.Equal(t, serving, reasons[0].Code)
	require.Equal(t, string(rudderfleet.ReasonOldReport), reasons[1].Code)
	require.Contains(t, reasons[1].Text, "too old")
}
