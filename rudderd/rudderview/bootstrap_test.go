package rudderview

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"comfreyrudder.example/shared/rudderstore"
)

// Guards against a process that starts while the service is silent and takes the records of another entry host for younger than
// they are, or uses targets that have announced there that they leave.
func TestBootstrapCarriesAgeAndLeaves(t *testing.T) {
	now := time.Second // the other host's last sync was before the start of this process
	source := silentView(&now)
	source.replace([]rudderstore.Entry{{Key: "routing", Value: []byte{5}, Revision: 8}, {Key: "targets/a", Revision: 9}, {Key: "targets/b", Revision: 9}}, 9)
	require.Empty(t, source.Known(), "nothing is known before the first sync")
	source.markSynced(now, now-3*time.Second)
	source.markFailed(errUnavailable)
	require.True(t, source.MarkLeaving(Announcement{Target: "a", Born: 1}))
	require.True(t, source.MarkLeaving(Announcement{Target: "lapsed", Born: 1}))

	v := silentView(&now)
	v.FetchKnown = func(context.Context) (Known, error) {
		k := source.Known()
		k.AsOf = now - k.Age
		return k, nil
	}
	ctx, end := context.WithTimeout(t.Context(), 5*time.Second)
	defer end()
	go func() { _ = v.Run(ctx) }()
	<-v.Synced()
	age, ok := v.Staleness()
	require.True(t, ok)
	require.Equal(t, 3*time.Second, age)
	require.True(t, v.Unreachable())
	s := v.Snapshot()
	require.Equal(t, int64(5), s.Table.Version())
	require.True(t, s.Targets["a"].Leaving())
	require.False(t, s.Targets["b"].Leaving())
	require.ElementsMatch(t, source.allAnnouncements(), v.allAnnouncements())
	require.Equal(t, int64(9), v.Known().Revision, "it can be asked by others")
}

// Guards against records of another entry host that replace newer ones.
func TestBootstrapNeverGoesBack(t *testing.T) {
	now := time.Minute
	v := silentView(&now)
	v.replace([]rudderstore.Entry{{Key: "routing", Value: []byte{5}, Revision: 8}}, 9)
	v.markSynced(now, now)
	require.False(t, v.adopt(Known{Records: []rudderstore.Entry{{Key: "routing", Value: []byte{4}, Revision: 7}}, Revision: 8, AsOf: now}))
	require.Equal(t, int64(5), v.Snapshot().Table.Version())
	require.True(t, v.adopt(Known{Records: []rudderstore.Entry{{Key: "routing", Value: []byte{6}, Revision: 10}}, Revision: 10, AsOf: now - time.Second}))
	require.Equal(t, int64(6), v.Snapshot().Table.Version())
	age, _ := v.Staleness()
	require.Zero(t, age)
}

// Guards against an entry host that is not recognised when it restarts, because it gave up its registration before, and against
// addresses that are recognised for ever.
func TestFormerEntryHostsAreRecognised(t *testing.T) {
	now := time.Minute
	v := silentView(&now)
	entry := put(EntryPrefix+"a", EntryHost{Name: "a", Address: "10.0.0.1:80", Peer: "10.0.0.2:81"})
	v.replace([]rudderstore.Entry{entry, put(EntryPrefix+"b", EntryHost{Name: "b", Address: "10.0.0.3:80"})}, 1)
	v.applyChanges(rudderstore.WatchResult{Events: []rudderstore.Event{removed(EntryPrefix + "a")}, Revision: 2})
	v.replace(nil, 3)
	for ip, want := range map[string]bool{"10.0.0.1": true, "10.0.0.2": true, "10.0.0.3": true, "10.0.0.4": false, "": false} {
		require.Equal(t, want, v.HasEntryHostAt(ip), ip)
	}
	now += formerRetention / 2
	other := silentView(&now)
	for ip, age := range v.FormerHosts() {
		other.AddFormerHost(ip, age)
	}
	require.True(t, other.HasEntryHostAt("10.0.0.1"))
	now += formerRetention/2 + 1
	require.False(t, v.HasEntryHostAt("10.0.0.1"))
	require.False(t, other.HasEntryHostAt("10.0.0.1"))
	require.Empty(t, other.FormerHosts())
}

// A stopping host announces its departure before it loses its registration, also to hosts that have never seen that. Guards against
// an entry host that is not recognised when it restarts after an announced stop.
func TestDepartedEntryHostIsRecognised(t *testing.T) {
	now := time.Minute
	v := silentView(&now)
	require.True(t, v.MarkDeparted(Departure{EntryHost: EntryHost{Name: "a", Instance: "1", Peer: "10.0.0.1:81"}}))
	require.True(t, v.HasEntryHostAt("10.0.0.1"))
	now += formerRetention + 1
	require.False(t, v.HasEntryHostAt("10.0.0.1"))
}
