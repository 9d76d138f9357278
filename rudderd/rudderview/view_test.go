package rudderview

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"comfreyrudder.example/rudderd/rudderroster"
	"comfreyrudder.example/rudderd/rudderroute"
	"comfreyrudder.example/shared/rudderhost"
	"comfreyrudder.example/shared/rudderstore"
)

var errUnavailable = errors.New("unavailable")

// script is a fake key-value service with one prepared answer for each watch.
type script struct {
	list    []rudderstore.Entry
	lists   int
	watches []watchAnswer
	waits   []time.Duration
	end     context.CancelFunc
}

type watchAnswer struct {
	events []rudderstore.Event
	err    error
	before func()
}

func (s *script) store() *rudderstore.Store {
	return &rudderstore.Store{
		List: func(context.Context, string) ([]rudderstore.Entry, int64, error) {
			s.lists++
			return s.list, 10, nil
		},
		Watch: func(_ context.Context, r rudderstore.WatchRequest) (rudderstore.WatchResult, error) {
			s.waits = append(s.waits, r.Wait)
			if len(s.watches) == 0 {
				s.end()
				return rudderstore.WatchResult{Revision: r.After}, nil
			}
			next := s.watches[0]
			s.watches = s.watches[1:]
			if next.before != nil {
				next.before()
			}
			return rudderstore.WatchResult{Events: next.events, Revision: r.After + int64(len(next.events))}, next.err
		},
	}
}

func put(key string, value any) rudderstore.Entry {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return rudderstore.Entry{Key: key, Value: text, Revision: 1}
}

func written(key string, value any) rudderstore.Event {
	return rudderstore.Event{Entry: put(key, value)}
}

func removed(key string) rudderstore.Event {
	return rudderstore.Event{Entry: rudderstore.Entry{Key: key}, Deleted: true}
}

// play runs a view against the script until all answers are used.
func play(t *testing.T, s *script, now *time.Duration) *View {
	t.Helper()
	ctx, end := context.WithTimeout(t.Context(), 10*time.Second)
	defer end()
	s.end = end
	v := &View{
		Store: s.store(), Keys: Keys{Routing: "routing", TargetPrefix: "targets/"}, Logger: zerolog.Nop(),
		Uptime: func() time.Duration { return *now }, ReturnGrace: 2 * time.Second,
		DecodeRouting: func(value []byte) (rudderroute.Document, error) {
			var d rudderroute.Document
			return d, json.Unmarshal(value, &d)
		},
		DecodeTarget: func(name string, value []byte) (Target, error) {
			var x Target
			err := json.Unmarshal(value, &x)
			x.Name = name
			return x, err
		},
	}
	require.NoError(t, v.Run(ctx))
	return v
}

func target(service string) Target {
	return Target{Host: rudderhost.Host{State: rudderhost.StateLive, Address: "a:1"}, Service: service, Born: 1}
}

// Guards against replacing the routing document with an older version.
func TestRoutingNeverGoesBack(t *testing.T) {
	now := time.Minute
	v := play(t, &script{
		list:    []rudderstore.Entry{put("routing", rudderroute.Document{Version: 5})},
		watches: []watchAnswer{{events: []rudderstore.Event{written("routing", rudderroute.Document{Version: 4})}}},
	}, &now)
	require.Equal(t, int64(5), v.Snapshot().Table.Version())
}

// Guards against malformed records from other components: they must remove their own target and leave the
// others as they are.
func TestRecordThatCannotBeRead(t *testing.T) {
	now := time.Minute
	bad := rudderstore.Event{Entry: rudderstore.Entry{Key: "targets/a", Value: []byte{0xff, 0x00}}}
	v := play(t, &script{
		list:    []rudderstore.Entry{put("targets/a", target("x")), put("targets/b", target("x"))},
		watches: []watchAnswer{{events: []rudderstore.Event{bad}}},
	}, &now)
	require.NotContains(t, v.Snapshot().Targets, "a")
	require.Contains(t, v.Snapshot().Targets, "b")
}

// Guards against the use of a target by its earlier record after another writer has replaced that by an odd one: in a watch,
// in changes that a watcher relays, or in a list that follows an outage, after which missing records are kept for a while.
func TestRecordThatTurnsOdd(t *testing.T) {
	odd := rudderstore.Entry{Key: "targets/a", Value: []byte(strings.Repeat("[", 1<<20)), Revision: 11}
	whole := []rudderstore.Entry{
		put("routing", rudderroute.Document{Version: 1, Services: []rudderroute.Service{{Name: "x"}}}), put("targets/a", target("x")), put("targets/b", target("x")),
	}
	for _, test := range []struct {
		name   string
		change func(v *View)
	}{
		{"watch", func(v *View) {
			v.applyChanges(rudderstore.WatchResult{Events: []rudderstore.Event{{Entry: odd}}, Revision: 11})
		}},
		{"list", func(v *View) { v.replace(append(slices.Clone(whole[:1]), odd, whole[2]), 11) }},
		{"list after an outage", func(v *View) {
			v.recoveredAt = v.Uptime()
			v.replace(append(slices.Clone(whole[:1]), odd, whole[2]), 11)
		}},
		{"removal before", func(v *View) {
			v.applyChanges(rudderstore.WatchResult{Events: []rudderstore.Event{removed("targets/a"), {Entry: odd}}, Revision: 11})
		}},
		{"relayed changes", func(v *View) {
			v.ownWatchAt = v.Uptime()
			v.FetchChanges = func(context.Context, int64, time.Duration, bool) (Changes, error) {
				return Changes{Serving: true, Revision: 11, Events: []rudderstore.Event{{Entry: odd}}}, nil
			}
			require.NoError(t, v.followOnce(t.Context()))
		}},
		{"copied records", func(v *View) {
			v.FetchRecords = func(context.Context) (RecordSet, error) {
				return RecordSet{Serving: true, Revision: 11, Entries: append(slices.Clone(whole[:1]), odd, whole[2])}, nil
			}
			require.NoError(t, v.loadFromPeer(t.Context()))
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			now := time.Minute
			v := play(t, &script{list: whole}, &now)
			require.Len(t, v.Snapshot().Groups("x", ""), 2)
			test.change(v)
			require.Len(t, v.Snapshot().Groups("x", ""), 1)
			require.Equal(t, "b", v.Snapshot().Groups("x", "")[0].ID)
			require.NotContains(t, v.Snapshot().Removed, "a")
			v.applyChanges(rudderstore.WatchResult{Events: []rudderstore.Event{written("targets/a", target("x"))}, Revision: 12})
			require.Len(t, v.Snapshot().Groups("x", ""), 2, "its own writer has written it again")
		})
	}
}

// Guards against log lines as long as a malformed record, which decoding errors quote.
func TestMalformedRecordIsNotLoggedWhole(t *testing.T) {
	now := time.Minute
	v := play(t, &script{}, &now)
	var lines bytes.Buffer
	v.Logger = zerolog.New(&lines)
	number := rudderstore.Entry{Key: "targets/a", Value: []byte(`{"Slots":` + strings.Repeat("9", 1<<20) + "}")}
	v.applyChanges(rudderstore.WatchResult{Events: []rudderstore.Event{{Entry: number}}, Revision: 11})
	require.Contains(t, lines.String(), "malformed")
	require.Less(t, lines.Len(), 2*maxLoggedError)
}

// Guards against odd values under the keys of plans and registrations: a plan that cannot be written any more, because the
// revision of the odd value is not known, groups that count twice, and hosts that stand under the name of others.
func TestOddPlansAndRegistrations(t *testing.T) {
	now := time.Minute
	plan := rudderroster.Plan{Service: "x", Domain: "d", Groups: []rudderroster.Group{{Name: "g", Epoch: 1}}, Serial: 3}
	other := rudderroster.Plan{Service: "x", Domain: "other", Groups: plan.Groups}
	key, odd := PlanPrefix+plan.Key(), []byte(strings.Repeat("[", 1<<20))
	for _, value := range [][]byte{odd, []byte("null"), put(key, other).Value} {
		v := play(t, &script{list: []rudderstore.Entry{put(key, plan)}}, &now)
		v.applyChanges(rudderstore.WatchResult{Events: []rudderstore.Event{{Entry: rudderstore.Entry{Key: key, Value: value, Revision: 11}}}, Revision: 11})
		kept := v.Snapshot().Plans[key]
		require.Equal(t, plan, kept.Plan)
		require.Equal(t, int64(11), kept.Revision)
		require.True(t, kept.Unsaved, "the planner writes it again")

		v = play(t, &script{list: []rudderstore.Entry{{Key: key, Value: value, Revision: 9}}}, &now)
		require.Equal(t, PlanRecord{Plan: rudderroster.Plan{Service: "x", Domain: "d"}, Revision: 9}, v.Snapshot().Plans[key])
	}
	host := EntryHost{Name: "e1", Address: "a:1"}
	v := play(t, &script{list: []rudderstore.Entry{
		put(EntryPrefix+"e1", host), put(EntryPrefix+"e2", host), {Key: EntryPrefix + "e3", Value: odd}, put(EntryPrefix+"e4", EntryHost{}),
		{Key: SuspicionPrefix + "t", Value: odd}, {Key: PlannerKey, Value: odd},
	}}, &now)
	require.Equal(t, []EntryHost{host}, v.Snapshot().EntryHosts)
}

// Guards against dropping targets because their records lapsed during an outage, and against keeping targets
// that do not write their records again.
func TestRecordsComeBackAfterAnOutage(t *testing.T) {
	now := time.Minute
	advance := func(d time.Duration) func() { return func() { now += d } }
	s := &script{
		list: []rudderstore.Entry{put("targets/a", target("x")), put("targets/b", target("x")), put("targets/c", target("x"))},
		watches: []watchAnswer{
			{events: []rudderstore.Event{removed("targets/c")}}, // no outage: removed at once
			{err: errUnavailable},
			{err: errUnavailable, before: advance(3 * time.Second)},
			{events: []rudderstore.Event{removed("targets/a"), removed("targets/b")}},
			{events: []rudderstore.Event{written("targets/a", target("x"))}, before: advance(time.Second)},
			{before: advance(1500 * time.Millisecond)},
		},
	}
	v := play(t, s, &now)
	require.Contains(t, v.Snapshot().Targets, "a")
	require.NotContains(t, v.Snapshot().Targets, "b")
	require.NotContains(t, v.Snapshot().Targets, "c")
	require.Contains(t, v.Snapshot().Removed, "b")
}

// Guards against missing changes when the service compacts its history.
func TestHistoryIsCompacted(t *testing.T) {
	now := time.Minute
	s := &script{watches: []watchAnswer{{err: rudderstore.ErrCompacted}}}
	play(t, s, &now)
	require.Equal(t, 2, s.lists)
}

// The service refuses calls at once during an outage. Guards against a hundred entry hosts that call it
// hundreds of times a second, and against a single lost answer that delays the next sync.
func TestRetriesBackOffDuringAnOutage(t *testing.T) {
	require.LessOrEqual(t, RetryAfter(1, 1), retryPause)
	calls, now := 0, time.Duration(0)
	for now < 10*time.Second {
		calls++
		now += RetryAfter(calls, 0.5)
	}
	require.LessOrEqual(t, calls, 15)
	require.LessOrEqual(t, RetryAfter(1000, 1), maxRetryPause, "the first sync after an outage is not delayed for long")
}

// Guards against taking a target for live again after it has announced that it is leaving, because of its own
// record or one that is written again after an outage; and against taking a restarted target for the process
// that left.
func TestAnnouncedLeaveLastsAsLongAsTheProcess(t *testing.T) {
	now := time.Minute
	v := play(t, &script{list: []rudderstore.Entry{
		put("routing", rudderroute.Document{Version: 1, Services: []rudderroute.Service{{Name: "x"}}}), put("targets/a", target("x")), put("targets/b", target("x")),
	}}, &now)
	changed := v.Changed()
	require.True(t, v.MarkLeaving(Announcement{Target: "a", Born: 1}))
	require.False(t, v.MarkLeaving(Announcement{Target: "a", Born: 1}), "already known")
	select {
	case <-changed:
	default:
		t.Fatal("Changed was not closed")
	}
	serving := func() (names []string) {
		for _, g := range v.Snapshot().Groups("x", "") {
			names = append(names, g.ID)
		}
		return names
	}
	apply := func(e ...rudderstore.Event) {
		v.applyChanges(rudderstore.WatchResult{Events: e, Revision: v.Snapshot().Revision + 1})
	}
	require.Equal(t, []string{"b"}, serving())
	require.Equal(t, []Announcement{{Target: "a", Born: 1}}, v.UnrecordedAnnouncements())

	apply(written("targets/a", target("x")))
	require.Equal(t, []string{"b"}, serving(), "the record still has the state live")
	apply(removed("targets/a"))
	now += announcementRetention / 2
	apply(written("targets/a", target("x")))
	require.Equal(t, []string{"b"}, serving(), "the record was written again")

	leaving := target("x")
	leaving.State = rudderhost.StateLeaving
	apply(written("targets/a", leaving))
	require.Empty(t, v.UnrecordedAnnouncements(), "the record shows it now")

	again := target("x")
	again.Born = 2
	apply(written("targets/a", again))
	require.Equal(t, []string{"a", "b"}, serving(), "the restarted target takes work")
	require.False(t, v.MarkLeaving(Announcement{Target: "a", Born: 1}), "that process has ended")
	require.Equal(t, []string{"a", "b"}, serving())
	require.Empty(t, v.announcements.byTarget)
}

// Guards against announcements that accumulate without limit, and against announcements that are never deleted.
func TestAnnouncementsAreBounded(t *testing.T) {
	now := time.Minute
	v := play(t, &script{}, &now)
	for i := range maxAnnouncements + 10 {
		v.MarkLeaving(Announcement{Target: fmt.Sprint("t", i), Born: 1})
	}
	require.Len(t, v.announcements.byTarget, maxAnnouncements)
	now += announcementRetention + time.Second
	v.applyChanges(rudderstore.WatchResult{Events: []rudderstore.Event{written("targets/b", target("x"))}, Revision: 100})
	require.Empty(t, v.announcements.byTarget)
}
