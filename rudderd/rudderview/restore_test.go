package rudderview

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"comfreyrudder.example/rudderd/rudderroster"
	"comfreyrudder.example/rudderd/rudderroute"
	"comfreyrudder.example/shared/rudderhost"
	"comfreyrudder.example/shared/rudderstore"
	"comfreyrudder.example/shared/ruddertarget"
)

// at returns a record with a revision of an era.
func at(era, revision int64, key string, value any) rudderstore.Entry {
	e := put(key, value)
	e.Revision = rudderstore.JoinRevision(era, revision)
	return e
}

// member returns a target in a group.
func member(born, epoch int64, state rudderhost.State) Target {
	t := target("llm")
	t.Born, t.State, t.Membership = born, state, ruddertarget.Membership{Group: "g", Epoch: epoch, Phase: ruddertarget.GroupOpen}
	return t
}

// newView returns a view that reads nothing by itself.
func newView(now *time.Duration) *View {
	return &View{
		Keys: Keys{Routing: "routing", TargetPrefix: "targets/"}, Logger: zerolog.Nop(), Uptime: func() time.Duration { return *now }, ReturnGrace: 2 * time.Second,
		DecodeRouting: func(value []byte) (d rudderroute.Document, err error) { return d, json.Unmarshal(value, &d) },
		DecodeTarget: func(name string, value []byte) (x Target, err error) {
			err = json.Unmarshal(value, &x)
			x.Name = name
			return x, err
		},
		removedAt: map[string]time.Duration{},
	}
}

// Guards against records of a restored service that replace newer knowledge, bring back what had gone, or stay forever
// although they were not written again.
func TestRestoreKeepsWhatIsNewer(t *testing.T) {
	now := time.Minute
	v := newView(&now)
	plan := func(serial int64) rudderroster.Plan {
		return rudderroster.Plan{Service: "llm", Domain: "d", Serial: serial}
	}
	unknown := rudderroster.Plan{Service: "llm", Domain: "new", Serial: 1}
	live, leaving := rudderhost.StateLive, rudderhost.StateLeaving
	v.replace([]rudderstore.Entry{
		at(1, 5, "routing", rudderroute.Document{Version: 7}), at(1, 20, PlanPrefix+"llm/d", plan(4)), at(1, 21, PlanPrefix+"llm/new", unknown),
		at(1, 22, "targets/epoch", member(1, 30, live)), at(1, 23, "targets/left", member(1, 30, live)), at(1, 24, "targets/born", member(9, 2, live)),
		at(1, 25, "targets/leaving", member(1, 1, leaving)), at(1, 9, "targets/ghost", member(1, 1, live)), at(1, 10, "targets/again", member(1, 1, live)),
		at(1, 26, EntryPrefix+"a", EntryHost{Name: "a"}), at(1, 27, EntryPrefix+"b", EntryHost{Name: "b"}), at(1, 8, EntryPrefix+"gone", EntryHost{Name: "gone"}),
		at(1, 28, SuspicionPrefix+"x", Suspicion{Target: "x", Born: 1}),
	}, rudderstore.JoinRevision(1, 28))
	v.applyChanges(rudderstore.WatchResult{Revision: 31, Events: []rudderstore.Event{removed("targets/ghost"), removed("targets/again"), removed(EntryPrefix + "gone")}})
	restored := map[string]bool{}
	v.OnRestored = func(has map[string]bool) { restored = has }
	v.replace([]rudderstore.Entry{
		at(2, 4, "routing", rudderroute.Document{Version: 6}), at(2, 12, PlanPrefix+"llm/d", plan(3)),
		at(2, 13, "targets/epoch", member(1, 20, live)), at(2, 14, "targets/left", member(1, 0, live)), at(2, 7, "targets/born", member(8, 5, live)),
		at(2, 11, "targets/leaving", member(1, 1, live)), at(2, 9, "targets/ghost", member(1, 1, live)), at(2, 15, "targets/again", member(1, 1, live)),
		at(2, 8, EntryPrefix+"gone", EntryHost{Name: "gone"}), at(2, 16, EntryPrefix+"b", EntryHost{Name: "b"}),
	}, rudderstore.JoinRevision(2, 16))
	require.True(t, restored["targets/again"])

	s := v.Snapshot()
	require.Equal(t, int64(7), s.Table.Version())
	require.Equal(t, PlanRecord{Plan: plan(4), Revision: rudderstore.JoinRevision(2, 12), RetiringSince: map[string]time.Duration{}, Unsaved: true}, s.Plans[PlanPrefix+"llm/d"])
	require.Equal(t, PlanRecord{Plan: unknown, RetiringSince: map[string]time.Duration{}, Unsaved: true}, s.Plans[PlanPrefix+"llm/new"])
	require.Equal(t, int64(30), s.Targets["epoch"].Membership.Epoch)
	require.Equal(t, int64(9), s.Targets["born"].Born)
	require.True(t, s.Targets["leaving"].Leaving())
	require.NotContains(t, s.Targets, "ghost")
	require.Contains(t, s.Targets, "again", "written again since")
	require.True(t, s.hasEntryHost("a") && s.hasEntryHost("b"))
	require.False(t, s.hasEntryHost("gone"))
	require.Len(t, s.Suspicions, 1)

	// Followers that copy the records get the newer ones too.
	v.direct.Store(true)
	v.markSynced(now, now)
	records := map[string]string{}
	for _, e := range v.Records(t.Context(), time.Millisecond).Entries {
		records[e.Key] = string(e.Value)
	}
	require.Contains(t, records["routing"], `7`)
	require.Contains(t, records[PlanPrefix+"llm/d"], `"serial":4`)

	// An older version is ignored, and not passed on either.
	v.applyChanges(rudderstore.WatchResult{Revision: rudderstore.JoinRevision(2, 17), Events: []rudderstore.Event{{Entry: at(2, 17, "routing", rudderroute.Document{Version: 5})}}})
	version, record := v.Routing(6)
	require.Equal(t, int64(7), version)
	require.Contains(t, string(record), "7")
	for _, e := range v.Records(t.Context(), time.Millisecond).Entries {
		require.False(t, e.Key == "routing" && string(e.Value) != string(record))
	}

	v.applyChanges(rudderstore.WatchResult{Revision: rudderstore.JoinRevision(2, 18), Events: []rudderstore.Event{
		{Entry: at(2, 17, PlanPrefix+"llm/d", plan(5))}, {Entry: at(2, 18, "targets/epoch", member(1, 31, live))},
	}})
	require.False(t, v.Snapshot().Plans[PlanPrefix+"llm/d"].Unsaved)
	now += max(retainedEntryTime, retainedSuspicionTime) + time.Second
	v.dropExpired()
	s = v.Snapshot()
	require.False(t, s.hasEntryHost("a"), "not registered again")
	require.True(t, s.hasEntryHost("b"))
	require.Empty(t, s.Suspicions)
	require.Equal(t, int64(31), s.Targets["epoch"].Membership.Epoch)
	require.Zero(t, s.Targets["left"].Membership.Epoch, "has left its group")
}

// Guards against a follower that takes an older state from a watcher which has not noticed the restore, and against one that
// does not copy the records of a watcher which has.
func TestFollowersOfAnotherEra(t *testing.T) {
	now := time.Minute
	second := rudderstore.JoinRevision(2, 3)
	for _, test := range []struct {
		name    string
		own     int64 // revision of the follower
		changes Changes
		want    error
	}{
		{"the watcher is behind", second, Changes{Serving: true, Gap: true, Revision: 900}, errNoWatcher},
		{"the watcher is ahead", 900, Changes{Serving: true, Gap: true, Revision: second}, errGap},
		{"the same era", second, Changes{Serving: true, Revision: second + 1}, nil},
	} {
		t.Run(test.name, func(t *testing.T) {
			v := newView(&now)
			v.FetchRecords = func(context.Context) (RecordSet, error) { return RecordSet{Serving: true, Revision: 900}, nil }
			v.replace(nil, test.own)
			require.ErrorIs(t, v.checkChanges(test.changes, nil, now), test.want)
			err := v.loadFromPeer(t.Context())
			require.Equal(t, test.own > 900, err != nil, "records of the first era: %v", err)
		})
	}
}
