package rudderview

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"comfreyrudder.example/rudderd/rudderroute"
	"comfreyrudder.example/shared/rudderstore"
)

// Guards against an entry host that refuses requests while nothing changes: its last sync must not become older between two
// watches than it may before an outage is noticed, also if the service answers as late as it may.
func TestIdleWatchIsNotStale(t *testing.T) {
	const margin = 10 * time.Millisecond
	for _, test := range []struct {
		name     string
		late     time.Duration
		followed bool
	}{
		{"on time", 0, false},
		{"late", watchTimeout - margin, false},
		{"on time, a follower", 0, true},
		{"late, a follower", followedTimeout - margin, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, end := context.WithCancel(t.Context())
				defer end()
				watcher := idleView(test.late)
				go func() { _ = watcher.Run(ctx) }()
				v := watcher
				if test.followed {
					v = idleView(test.late)
					v.FetchChanges = func(ctx context.Context, after int64, wait time.Duration, inOutage bool) (Changes, error) {
						return watcher.Changes(ctx, after, wait, inOutage), nil
					}
					go func() { _ = v.Run(ctx) }()
				}
				<-v.Synced()
				most := time.Duration(0)
				for begin := time.Now(); time.Since(begin) < 10*OutageDetectionTime; time.Sleep(time.Millisecond) {
					age, _ := v.Staleness()
					most = max(most, age)
				}
				require.LessOrEqual(t, most, OutageDetectionTime)
				require.Equal(t, !test.followed, v.WatchesDirectly())
			})
		})
	}
}

// idleView is a view of a service without records that answers each watch late.
func idleView(late time.Duration) *View {
	begin := time.Now()
	return &View{
		Logger: zerolog.Nop(), Uptime: func() time.Duration { return time.Since(begin) + time.Second }, Keys: Keys{Routing: "routing", TargetPrefix: "targets/"},
		Store: &rudderstore.Store{
			List: func(context.Context, string) ([]rudderstore.Entry, int64, error) { return nil, 1, nil },
			Watch: func(ctx context.Context, r rudderstore.WatchRequest) (rudderstore.WatchResult, error) {
				sleep(ctx, r.Wait+late)
				return rudderstore.WatchResult{Revision: r.After}, ctx.Err()
			},
		},
	}
}

// Guards against requests that are refused at the end of an outage because the service answers again, but its answer has not
// been applied yet: here, and at followers that would take over the old sync as that of a service which answers.
func TestServiceIsUnreachableUntilItsAnswerIsApplied(t *testing.T) {
	entry := rudderstore.Entry{Key: "routing", Value: []byte("x"), Revision: 2}
	for _, test := range []struct {
		name string
		read func(v *View) error
	}{
		{"list", func(v *View) error { return v.list(t.Context(), false) }},
		{"watch", func(v *View) error { return v.watch(t.Context(), time.Millisecond) }},
		{"another entry host", func(v *View) error { return v.loadFromPeer(t.Context()) }},
	} {
		t.Run(test.name, func(t *testing.T) {
			var v *View
			applied := false
			var waiting <-chan struct{}
			v = &View{
				Logger: zerolog.Nop(), Uptime: func() time.Duration { return time.Minute }, Keys: Keys{Routing: "routing", TargetPrefix: "targets/"},
				DecodeRouting: func([]byte) (rudderroute.Document, error) {
					applied = true
					require.True(t, v.Unreachable(), "the last sync is old")
					require.False(t, v.Records(t.Context(), 0).Serving)
					require.False(t, v.Changes(t.Context(), 0, 0, true).Serving)
					return rudderroute.Document{}, nil
				},
				Store: &rudderstore.Store{
					List: func(context.Context, string) ([]rudderstore.Entry, int64, error) {
						return []rudderstore.Entry{entry}, 2, nil
					},
					Watch: func(context.Context, rudderstore.WatchRequest) (rudderstore.WatchResult, error) {
						return rudderstore.WatchResult{Events: []rudderstore.Event{{Entry: entry}}, Revision: 2}, nil
					},
				},
			}
			v.direct.Store(true)
			v.markSynced(0, v.Uptime()-maxRelayStaleness)
			v.markFailed(errUnavailable)
			v.OnSync = func(time.Duration) { waiting = v.Changed() }
			if test.name == "another entry host" {
				v.FetchRecords = func(context.Context) (RecordSet, error) {
					return RecordSet{Serving: true, Entries: []rudderstore.Entry{entry}, Revision: 2}, nil
				}
			}
			require.NoError(t, test.read(v))
			require.True(t, applied)
			require.False(t, v.Unreachable())
			age, _ := v.Staleness()
			require.Zero(t, age)
			<-waiting // followers wait for the end of the outage
			require.True(t, v.Records(t.Context(), 0).Serving)
		})
	}
}
