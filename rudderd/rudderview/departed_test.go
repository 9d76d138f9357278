package rudderview

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"comfreyrudder.example/shared/rudderstore"
)

// Guards against a process that stops and is listed again by its own record, whichever way that comes back, and against the
// departure of a process that hides a later one of the same entry host.
func TestDepartedProcessStaysHidden(t *testing.T) {
	first, second := EntryHost{Name: "a", Instance: "1"}, EntryHost{Name: "a", Instance: "2"}
	earlier := EntryHost{Name: "a"} // registered by an earlier version
	register := func(x EntryHost) rudderstore.Event { return written(EntryPrefix+"a", x) }
	for _, test := range []struct {
		name    string
		records func(v *View)
		want    []EntryHost
	}{
		{"nothing changes", func(*View) {}, nil},
		{"late write", func(v *View) {
			v.applyChanges(rudderstore.WatchResult{Events: []rudderstore.Event{register(first)}, Revision: 11})
		}, nil},
		{"removed and written again", func(v *View) {
			v.applyChanges(rudderstore.WatchResult{Events: []rudderstore.Event{removed(EntryPrefix + "a"), register(first)}, Revision: 12})
		}, nil},
		{"list", func(v *View) { v.replace([]rudderstore.Entry{register(first).Entry}, 11) }, nil},
		{"restored from a copy", func(v *View) {
			v.replace([]rudderstore.Entry{register(first).Entry}, rudderstore.JoinRevision(2, 5))
		}, nil},
		{"successor", func(v *View) {
			v.applyChanges(rudderstore.WatchResult{Events: []rudderstore.Event{register(second)}, Revision: 11})
		}, []EntryHost{second}},
		{"successor of an earlier version", func(v *View) { v.replace([]rudderstore.Entry{register(earlier).Entry}, 11) }, []EntryHost{earlier}},
		{"late write after the successor", func(v *View) {
			v.applyChanges(rudderstore.WatchResult{Events: []rudderstore.Event{register(second)}, Revision: 11})
			v.applyChanges(rudderstore.WatchResult{Events: []rudderstore.Event{register(first)}, Revision: 12})
			v.applyChanges(rudderstore.WatchResult{Events: []rudderstore.Event{register(second)}, Revision: 13})
		}, []EntryHost{second}},
	} {
		t.Run(test.name, func(t *testing.T) {
			now := time.Minute
			v := play(t, &script{list: []rudderstore.Entry{register(first).Entry}}, &now)
			require.Equal(t, []EntryHost{first}, v.Snapshot().EntryHosts)
			require.True(t, v.MarkDeparted(Departure{EntryHost: EntryHost{Name: "a", Instance: "1"}}))
			require.False(t, v.MarkDeparted(Departure{EntryHost: EntryHost{Name: "a", Instance: "1"}}))
			require.Empty(t, v.Snapshot().EntryHosts)
			test.records(v)
			require.ElementsMatch(t, test.want, v.Snapshot().EntryHosts)
		})
	}
}

// Guards against departures that fill the memory, and against new ones that are ignored because old ones do.
func TestDeparturesAreBounded(t *testing.T) {
	now := time.Minute
	v := play(t, &script{}, &now)
	require.False(t, v.MarkDeparted(Departure{EntryHost: EntryHost{Name: "a"}}), "the processes of an earlier version cannot be told apart")
	for i := range maxDepartures + 10 {
		now += time.Millisecond
		require.True(t, v.MarkDeparted(Departure{EntryHost: EntryHost{Name: "a", Instance: fmt.Sprint(i)}}))
	}
	require.Len(t, v.Departures(time.Hour), maxDepartures)
	require.False(t, v.MarkDeparted(Departure{EntryHost: EntryHost{Name: "a", Instance: fmt.Sprint(maxDepartures + 9)}}))
	now += 2 * DepartureRetention
	require.True(t, v.MarkDeparted(Departure{EntryHost: EntryHost{Name: "b", Instance: "1"}}))
	require.Len(t, v.Departures(time.Hour), 1)
}

// Guards against a directory that sends callers to a process which has read no records, because others have arrived and departed.
func TestArrivalsAreNoRecords(t *testing.T) {
	v := silentView(new(time.Duration))
	v.running.Store(true)
	require.True(t, v.AwaitsRecords())
	x := EntryHost{Name: "a", Instance: "1"}
	require.True(t, v.MarkArrived(x))
	require.True(t, v.MarkDeparted(Departure{EntryHost: x}))
	require.True(t, v.AwaitsRecords())
}

// A host was killed while it could not register, and started again; an entry host that does not know that yet tells of the first
// process. Guards against that process in place of the later one: its stop then left the host listed.
func TestArrivalOfAnEarlierProcess(t *testing.T) {
	now := time.Minute
	v := play(t, &script{}, &now)
	first, second := EntryHost{Name: "a", Instance: "1"}, EntryHost{Name: "a", Instance: "2"}
	require.True(t, v.MarkArrived(first))
	now += time.Second
	require.True(t, v.MarkArrived(second))
	now += time.Second
	require.False(t, v.MarkReportedArrival(first))
	require.Len(t, v.Snapshot().EntryHosts, 1)
	require.Equal(t, "2", v.Snapshot().EntryHosts[0].Instance)
	require.True(t, v.MarkDeparted(Departure{EntryHost: second}))
	require.Empty(t, v.Snapshot().EntryHosts)
}
