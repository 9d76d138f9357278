package rudderview

import (
	"context"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"comfreyrudder.example/shared/rudderstore"
)

// Guards against followers that underestimate their staleness, miss changes, or stay with a watcher that has
// lost the service (violation CONFIG on trouble-1 of both sites, when followers learned of the loss after two
// seconds).
func TestFollowing(t *testing.T) {
	now := time.Minute
	watcher := play(t, &script{
		list:    []rudderstore.Entry{put("targets/a", target("x"))},
		watches: []watchAnswer{{events: []rudderstore.Event{{Entry: rudderstore.Entry{Key: "targets/b", Value: []byte(`{"Service":"x"}`), Revision: 11}}}}},
	}, &now)
	c := watcher.Changes(t.Context(), 10, time.Millisecond, false)
	require.True(t, c.Serving)
	require.Equal(t, int64(11), c.Revision)
	require.Len(t, c.Events, 1)
	require.Empty(t, watcher.Changes(t.Context(), 11, time.Millisecond, false).Events)
	require.True(t, watcher.Changes(t.Context(), 9, time.Millisecond, false).Gap)
	require.True(t, watcher.hasFollowers())

	// While groups form, each target writes its record several times. Only the last change is passed on.
	many := []rudderstore.Event{{Entry: rudderstore.Entry{Key: "targets/c", Revision: 11}, Deleted: true}}
	for range 8 {
		many = append(many, rudderstore.Event{Entry: rudderstore.Entry{Key: "targets/c", Value: make([]byte, defaultRelayBytes/4), Revision: 11}})
	}
	watcher.appendLog(many, 11)
	c = watcher.Changes(t.Context(), 10, time.Millisecond, false)
	require.False(t, c.Gap)
	require.Len(t, c.Events, 2)
	require.False(t, c.Events[1].Deleted)

	large := rudderstore.Event{Entry: rudderstore.Entry{Key: "routing", Value: make([]byte, defaultRelayBytes+1), Revision: 12}}
	watcher.appendLog([]rudderstore.Event{large}, 12)
	require.True(t, watcher.Changes(t.Context(), 11, time.Millisecond, false).Gap, "followers read large changes themselves")
	require.False(t, watcher.Changes(t.Context(), 12, time.Millisecond, false).Gap)

	now += maxRelayStaleness + watchWait
	require.False(t, watcher.Changes(t.Context(), 11, time.Millisecond, false).Serving, "the view is too stale")
	now -= maxRelayStaleness + watchWait
	released := make(chan Changes)
	go func() { released <- watcher.Changes(t.Context(), 12, time.Minute, false) }()
	require.Eventually(t, func() bool {
		watcher.markFailed(errUnavailable) // wakes the waiting calls, however late they begin
		watcher.failingSince = 0
		select {
		case c := <-released:
			return !c.Serving
		default:
			return false
		}
	}, 5*time.Second, time.Millisecond)
}

// Guards against a follower with a lower staleness than its watcher reported, and against one that does not
// watch the service itself when its watcher cannot serve.
func TestFollower(t *testing.T) {
	for _, test := range []struct {
		name    string
		answer  Changes
		err     error
		watches int
	}{
		{"served", Changes{Serving: true, Revision: 11, Age: time.Second, Events: []rudderstore.Event{written("targets/b", target("x"))}}, nil, 0},
		{"not served", Changes{}, nil, 1},
		{"gap", Changes{Serving: true, Gap: true}, nil, 1},
		{"not reached", Changes{}, errUnavailable, 1},
		{"followed by others", Changes{}, ErrWatcher, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			now := time.Minute
			ctx, end := context.WithTimeout(t.Context(), 5*time.Second)
			defer end()
			s := &script{end: end}
			v := &View{
				Store: s.store(), Keys: Keys{Routing: "routing", TargetPrefix: "targets/"}, Logger: zerolog.Nop(),
				Uptime:       func() time.Duration { return now },
				DecodeTarget: func(name string, value []byte) (Target, error) { return target("x"), nil },
				FetchChanges: func(context.Context, int64, time.Duration, bool) (Changes, error) {
					now += 10 * time.Second
					if test.watches == 0 {
						end()
					}
					return test.answer, test.err
				},
			}
			require.NoError(t, v.Run(ctx))
			require.Len(t, s.waits, test.watches)
			if test.watches == 0 {
				require.Contains(t, v.Snapshot().Targets, "b")
				age, _ := v.Staleness()
				require.Equal(t, 10*time.Second, age, "the list is more recent than the watcher's answer")
			}
		})
	}
}

// Guards against an outage in a large fleet during which all followers call the service although the watchers
// report that it does not answer, and against followers that stop because only the watchers cannot reach the
// service.
func TestFollowersSpareAnUnavailableService(t *testing.T) {
	for _, test := range []struct {
		name     string
		err      error
		most     int
		answered bool
	}{
		{"unavailable to all", errUnavailable, 4, false},
		{"unavailable to the watchers", nil, 1000, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			ctx, end := context.WithTimeout(t.Context(), 4*time.Second)
			defer end()
			started := time.Now()
			watches := 0
			v := &View{
				Logger: zerolog.Nop(), Uptime: func() time.Duration { return time.Since(started) + time.Minute },
				Store: &rudderstore.Store{
					List: func(context.Context, string) ([]rudderstore.Entry, int64, error) { return nil, 10, nil },
					Watch: func(ctx context.Context, r rudderstore.WatchRequest) (rudderstore.WatchResult, error) {
						watches++
						sleep(ctx, min(r.Wait, 50*time.Millisecond))
						return rudderstore.WatchResult{Revision: r.After}, test.err
					},
				},
				FetchChanges: func(ctx context.Context, _ int64, wait time.Duration, inOutage bool) (Changes, error) {
					if inOutage {
						sleep(ctx, wait)
					}
					return Changes{Unavailable: true}, nil
				},
			}
			require.NoError(t, v.Run(ctx))
			require.LessOrEqual(t, watches, test.most)
			require.Positive(t, watches)
			require.Equal(t, !test.answered, v.Unreachable())
		})
	}
}

// The service answers a follower that it no longer has the changes, and then refuses the watchers. Guards against taking that
// answer, or a failure before the last answer, for an outage: followers went on with an old configuration for seconds
// without a call of their own while the service served them.
func TestFollowerOfRefusedWatchersAsksTheServiceThatAnswered(t *testing.T) {
	for _, test := range []struct {
		name   string
		first  error
		listed bool // all records are read in between
		asked  bool
	}{
		{"compacted", rudderstore.ErrCompacted, false, true},
		{"incomplete", rudderstore.ErrIncomplete, false, true},
		{"unavailable, then read", errUnavailable, true, true},
		{"unavailable", errUnavailable, false, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			now := time.Minute
			s := &script{watches: []watchAnswer{{err: test.first}, {}}}
			v := &View{Logger: zerolog.Nop(), Uptime: func() time.Duration { return now }, Store: s.store(), removedAt: map[string]time.Duration{}}
			require.NoError(t, v.list(t.Context(), false))
			require.ErrorIs(t, v.watch(t.Context(), firstWait), test.first)
			v.FetchChanges = func(context.Context, int64, time.Duration, bool) (Changes, error) {
				return Changes{Unavailable: true}, nil
			}
			now += time.Second
			if test.listed {
				require.NoError(t, v.list(t.Context(), false))
			}
			err := v.watch(t.Context(), firstWait)
			if !test.asked {
				require.ErrorIs(t, err, errServiceUnavailable)
				return
			}
			require.NoError(t, err)
			age, _ := v.Staleness()
			require.Zero(t, age)
		})
	}
}

// Guards against a follower that learns late of the end of an outage: its call must be held until the service
// answers its watcher.
func TestFollowerLearnsOfTheEndOfAnOutage(t *testing.T) {
	now := time.Minute
	v := &View{Logger: zerolog.Nop(), Uptime: func() time.Duration { return now }, Store: (&script{watches: []watchAnswer{{}}}).store()}
	v.direct.Store(true)
	v.markSynced(now, now)
	v.markFailed(errUnavailable)
	require.True(t, v.Changes(t.Context(), 0, time.Minute, false).Unavailable, "a follower that does not know is answered at once")
	answers := make(chan Changes, 1)
	go func() { answers <- v.Changes(t.Context(), 0, 100*time.Millisecond, true) }()
	time.Sleep(20 * time.Millisecond)
	require.Empty(t, answers)
	require.NoError(t, v.watch(t.Context(), time.Millisecond))
	select {
	case c := <-answers:
		require.False(t, c.Unavailable)
	case <-time.After(time.Second):
		t.Fatal("the call is still held")
	}
}

// Hosts that stop and return change which hosts are watchers. Guards against followers that then read all records from the service,
// because the new watcher lacks the changes that it has followed, or because it is behind a follower.
func TestFollowersKeepTheirRecordsWhenTheWatcherChanges(t *testing.T) {
	now := time.Minute
	written := func(revision int64) rudderstore.Event {
		e := written("targets/"+string(rune('a'+revision)), target("x"))
		e.Revision = revision
		return e
	}
	followed := Changes{Serving: true, Revision: 12, Events: []rudderstore.Event{written(11), written(12)}}
	s := &script{watches: []watchAnswer{{events: []rudderstore.Event{written(13)}}}}
	v := &View{
		Logger: zerolog.Nop(), Uptime: func() time.Duration { return now }, Store: s.store(), Keys: Keys{TargetPrefix: "targets/"},
		removedAt: map[string]time.Duration{}, DecodeTarget: func(string, []byte) (Target, error) { return target("x"), nil },
	}
	require.NoError(t, v.list(t.Context(), false)) // at revision 10
	v.FetchChanges = func(context.Context, int64, time.Duration, bool) (Changes, error) { return followed, nil }
	require.NoError(t, v.watch(t.Context(), firstWait))
	require.False(t, v.Changes(t.Context(), 10, 0, false).Serving, "a follower is no watcher")
	v.FetchChanges = nil
	require.NoError(t, v.watch(t.Context(), firstWait))
	for _, test := range []struct {
		name  string
		after int64
		gap   bool
		count int
	}{
		{"before the list", 9, true, 3},
		{"at the list", 10, false, 3},
		{"between the changes", 11, false, 2},
		{"at the last one followed", 12, false, 1},
		{"up to date", 13, false, 0},
		{"ahead", 14, false, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := v.Changes(t.Context(), test.after, time.Millisecond, false)
			require.True(t, c.Serving)
			require.Equal(t, test.gap, c.Gap)
			require.Len(t, c.Events, test.count)
			require.Equal(t, int64(13), c.Revision)
		})
	}
}

// A follower has read records that its watcher has not seen yet. Guards against a follower that reads all records again and again
// until the watcher catches up: 20 to 30 times within a second where stopping hosts changed the watchers beside a silent service.
func TestFollowerAheadOfItsWatcherReadsNoRecords(t *testing.T) {
	s := &script{}
	ctx, end := context.WithTimeout(t.Context(), 5*time.Second)
	defer end()
	s.end = end
	now, calls := time.Minute, 0
	v := &View{
		Store: s.store(), Keys: Keys{Routing: "routing", TargetPrefix: "targets/"}, Logger: zerolog.Nop(), Uptime: func() time.Duration { return now },
		FetchRecords: func(context.Context) (RecordSet, error) { return RecordSet{}, errUnavailable },
		FetchChanges: func(_ context.Context, after int64, _ time.Duration, _ bool) (Changes, error) {
			if calls++; calls > 10 {
				end()
			}
			return Changes{Serving: true, Gap: true, Revision: after - 1}, nil
		},
	}
	require.NoError(t, v.Run(ctx))
	require.Equal(t, 1, s.lists)
	require.Len(t, s.waits, 1, "it watches the service itself for a while")
}
