package rudderview

import (
	"context"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"comfreyrudder.example/rudderd/rudderroute"
	"comfreyrudder.example/shared/rudderhost"
	"comfreyrudder.example/shared/rudderstore"
)

// silentView returns a view whose service answers no list before the context ends, and no watch.
func silentView(now *time.Duration) *View {
	v := &View{
		Logger: zerolog.Nop(), Keys: Keys{Routing: "routing", TargetPrefix: "targets/"}, Uptime: func() time.Duration { return *now },
		DecodeRouting: func(value []byte) (rudderroute.Document, error) {
			return rudderroute.Document{Version: int64(value[0])}, nil
		},
		DecodeTarget: func(name string, _ []byte) (Target, error) {
			return Target{Host: rudderhost.Host{Name: name, State: rudderhost.StateLive}, Service: "x", Born: 1}, nil
		},
		Store: &rudderstore.Store{
			List: func(ctx context.Context, _ string) ([]rudderstore.Entry, int64, error) {
				<-ctx.Done()
				return nil, 0, errUnavailable
			},
			Watch: func(ctx context.Context, _ rudderstore.WatchRequest) (rudderstore.WatchResult, error) {
				<-ctx.Done()
				return rudderstore.WatchResult{}, errUnavailable
			},
		},
	}
	return v
}

// The service answers some calls only. Guards against an entry host that refuses requests because its own last sync is old,
// although another one has a younger one, and against a sync that counts as younger than it is.
func TestYoungestLookIsShared(t *testing.T) {
	now := time.Minute
	synced := func(at time.Duration, revision int64) *View {
		v := silentView(&now)
		v.replace([]rudderstore.Entry{{Key: "routing", Value: []byte{5}, Revision: 8}}, 9)
		v.resetLog(9)
		v.direct.Store(true)
		if revision > 9 {
			events := []rudderstore.Event{{Entry: rudderstore.Entry{Key: "routing", Value: []byte{6}, Revision: revision}}}
			v.appendLog(events, revision)
			v.applyChanges(rudderstore.WatchResult{Events: events, Revision: revision})
		}
		v.markSynced(at, at)
		v.markFailed(errUnavailable)
		return v
	}
	young, old, follower := synced(now-time.Second, 10), synced(now-4*time.Second, 9), synced(now-4*time.Second, 9)
	old.FetchLook = func(ctx context.Context, after int64) (Changes, error) {
		return young.Changes(ctx, after, 0, true), nil
	}
	old.lookElsewhere(t.Context())
	age, _ := old.Staleness()
	require.Equal(t, time.Second, age)
	require.Equal(t, int64(6), old.Snapshot().Table.Version())
	require.True(t, old.Unreachable(), "the service has not answered this entry host")

	follower.FetchChanges = func(ctx context.Context, after int64, _ time.Duration, _ bool) (Changes, error) {
		return old.Changes(ctx, after, 0, true), nil
	}
	require.ErrorIs(t, follower.followOnce(t.Context()), errNoWatcher, "it asks the service itself")
	age, _ = follower.Staleness()
	require.Equal(t, time.Second, age)
	require.Equal(t, int64(6), follower.Snapshot().Table.Version())

	for _, c := range []Changes{old.Changes(t.Context(), 8, 0, true), old.Changes(t.Context(), 11, 0, true)} {
		require.Equal(t, Changes{Unavailable: true}, c, "nothing is told to one that lacks earlier changes or knows more")
	}
	young.FetchLook = func(context.Context, int64) (Changes, error) {
		return Changes{Unavailable: true, Revision: 9, Age: time.Millisecond}, nil
	}
	young.lookElsewhere(t.Context())
	age, _ = young.Staleness()
	require.Equal(t, time.Second, age, "a host with older records tells nothing")
}

// A follower takes over a change from a watcher that the service does not answer, and then becomes a watcher itself. Guards against
// followers of it that never learn of the change, and yet count as being in sync.
func TestLooksArePassedOn(t *testing.T) {
	now := time.Minute
	withdrawn := rudderstore.Event{Entry: rudderstore.Entry{Key: "routing", Value: []byte{6}, Revision: 10}}
	v := silentView(&now)
	v.replace([]rudderstore.Entry{{Key: "routing", Value: []byte{5}, Revision: 8}}, 9)
	v.markSynced(now-4*time.Second, now-4*time.Second)
	v.FetchChanges = func(context.Context, int64, time.Duration, bool) (Changes, error) {
		return Changes{Unavailable: true, Revision: 10, Events: []rudderstore.Event{withdrawn}, Age: time.Second}, nil
	}
	ctx, end := context.WithTimeout(t.Context(), time.Millisecond)
	defer end()
	require.Error(t, v.watch(ctx, firstWait), "it asks the service itself")
	v.markFailed(errUnavailable)
	require.True(t, v.WatchesDirectly())
	require.Equal(t, int64(6), v.Snapshot().Table.Version())

	c := v.Changes(t.Context(), 9, 0, true)
	require.Equal(t, int64(10), c.Revision)
	require.Equal(t, []rudderstore.Event{withdrawn}, c.Events)
}

// A watcher is suspended while it answers. Guards against a sync that counts as younger than it is by that time, so that a withdrawn
// key is accepted for longer.
func TestSuspendedAnswerIsNoYounger(t *testing.T) {
	for _, test := range []struct {
		name  string
		asOf  func(v *View) time.Duration // as an entry host sees it that calls now
		fails bool
	}{
		{"changes", func(v *View) time.Duration { c := v.Changes(t.Context(), 9, 0, false); return c.Held - c.Age }, false},
		{"changes in an outage", func(v *View) time.Duration { c := v.Changes(t.Context(), 9, 0, true); return c.Held - c.Age }, true},
		{"records", func(v *View) time.Duration { c := v.Records(t.Context(), 0); return c.Held - c.Age }, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			now := time.Minute
			v := silentView(&now)
			v.replace([]rudderstore.Entry{{Key: "routing", Value: []byte{5}, Revision: 8}}, 9)
			v.markSynced(now, now)
			v.direct.Store(true)
			v.failing.Store(test.fails)
			begin, step := now, 100*time.Millisecond
			v.Uptime = func() time.Duration { // each step takes longer than the one before
				now, step = now+step, 2*step
				return now
			}
			require.LessOrEqual(t, begin+test.asOf(v), begin)
		})
	}
}

// A follower's watchers report an outage. Guards against a probe of the service that lasts so long that the follower refuses
// requests meanwhile.
func TestFollowerProbesForAShortTime(t *testing.T) {
	now := time.Minute
	s := &script{end: func() {}}
	v := silentView(&now)
	v.Store = s.store()
	v.FetchChanges = func(context.Context, int64, time.Duration, bool) (Changes, error) {
		return Changes{Unavailable: true}, nil
	}
	require.NoError(t, v.watch(t.Context(), watchWait))
	require.Equal(t, []time.Duration{firstWait}, s.waits)
}

// Guards against a watcher whose pauses between calls are longer than the service answers in an outage that comes and goes, so that
// its followers refuse requests for seconds.
func TestFollowedHostRetriesSoon(t *testing.T) {
	now := time.Minute
	v := silentView(&now)
	const failures = 10
	require.GreaterOrEqual(t, v.retryAfter(failures), maxRetryPause/2)
	v.noteFollower(now, time.Millisecond)
	require.LessOrEqual(t, v.retryAfter(failures), shortRetryPause)
	now += followerTimeout
	require.GreaterOrEqual(t, v.retryAfter(failures), maxRetryPause/2)
}
