package rudderview

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"comfreyrudder.example/rudderd/rudderroute"
	"comfreyrudder.example/shared/rudderhost"
	"comfreyrudder.example/shared/rudderstore"
)

var errAway = errors.New("away")

// script plays the answers of a key-value service, one for each watch.
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

// play runs a view over the script until its answers are used up.
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

// Guards against a routing document that goes back to an older version.
func TestRoutingNeverGoesBack(t *testing.T) {
	now := time.Minute
	v := play(t, &script{
		list:    []rudderstore.Entry{put("routing", rudderroute.Document{Version: 5})},
		watches: []watchAnswer{{events: []rudderstore.Event{written("routing", rudderroute.Document{Version: 4})}}},
	}, &now)
	require.Equal(t, int64(5), v.Snapshot().Table.Version())
}

// Guards against records of another writer: they name no target, and the others hold.
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

// Guards against targets that are dropped because their records lapsed while the service was away, and against
// targets that are kept although their records do not come back.
func TestRecordsComeBackAfterAnOutage(t *testing.T) {
	now := time.Minute
	away := func(d time.Duration) func() { return func() { now += d } }
	s := &script{
		list: []rudderstore.Entry{put("targets/a", target("x")), put("targets/b", target("x")), put("targets/c", target("x"))},
		watches: []watchAnswer{
			{events: []rudderstore.Event{removed("targets/c")}}, // the service is well: gone at once
			{err: errAway},
			{err: errAway, before: away(3 * time.Second)},
			{events: []rudderstore.Event{removed("targets/a"), removed("targets/b")}},
			{events: []rudderstore.Event{written("targets/a", target("x"))}, before: away(time.Second)},
			{before: away(1500 * time.Millisecond)},
		},
	}
	v := play(t, s, &now)
	require.Contains(t, v.Snapshot().Targets, "a")
	require.NotContains(t, v.Snapshot().Targets, "b")
	require.NotContains(t, v.Snapshot().Targets, "c")
	require.Contains(t, v.Snapshot().Removed, "b")
}

// Guards against changes that are missed when the service drops its history.
func TestHistoryIsDropped(t *testing.T) {
	now := time.Minute
	s := &script{watches: []watchAnswer{{err: rudderstore.ErrCompacted}}}
	play(t, s, &now)
	require.Equal(t, 2, s.lists)
}

// The pattern of an outage in which the service refuses calls at once: guards against a hundred entry hosts
// that call it hundreds of times a second, and against a single lost answer that delays the next look.
func TestRetriesRelentDuringAnOutage(t *testing.T) {
	require.LessOrEqual(t, RetryAfter(1, 1), retryPause)
	calls, now := 0, time.Duration(0)
	for now < 10*time.Second {
		calls++
		now += RetryAfter(calls, 0.5)
	}
	require.LessOrEqual(t, calls, 15)
	require.LessOrEqual(t, RetryAfter(1000, 1), retryLongest, "the look recovers soon after the service's return")
}

// Guards against a target that is taken for live again by its own record, or by one that comes back after an outage,
// after it has announced that it leaves; and against a new life of the target that is taken for the one that left.
func TestAnnouncedLeaveLastsAsLongAsTheLife(t *testing.T) {
	now := time.Minute
	v := play(t, &script{list: []rudderstore.Entry{
		put("routing", rudderroute.Document{Version: 1, Services: []rudderroute.Service{{Name: "x"}}}), put("targets/a", target("x")), put("targets/b", target("x")),
	}}, &now)
	changed := v.Changed()
	require.True(t, v.Announce(Announcement{Target: "a", Born: 1}))
	require.False(t, v.Announce(Announcement{Target: "a", Born: 1}), "no news")
	select {
	case <-changed:
	default:
		t.Fatal("who waits for changes is not woken")
	}
	serving := func() (names []string) {
		for _, g := range v.Snapshot().Groups("x", "") {
			names = append(names, g.ID)
		}
		return names
	}
	take := func(e ...rudderstore.Event) {
		v.take(rudderstore.WatchResult{Events: e, Revision: v.Snapshot().Revision + 1})
	}
	require.Equal(t, []string{"b"}, serving())
	require.Equal(t, []Announcement{{Target: "a", Born: 1}}, v.Announced())

	take(written("targets/a", target("x")))
	require.Equal(t, []string{"b"}, serving(), "the record still says that it is live")
	take(removed("targets/a"))
	now += announcedMemory / 2
	take(written("targets/a", target("x")))
	require.Equal(t, []string{"b"}, serving(), "the record came back")

	leaving := target("x")
	leaving.State = rudderhost.StateLeaving
	take(written("targets/a", leaving))
	require.Empty(t, v.Announced(), "the record says so itself")

	again := target("x")
	again.Born = 2
	take(written("targets/a", again))
	require.Equal(t, []string{"a", "b"}, serving(), "a new life takes work")
	require.False(t, v.Announce(Announcement{Target: "a", Born: 1}), "that life has ended")
	require.Equal(t, []string{"a", "b"}, serving())
	require.Empty(t, v.announcements.lives)
}

// Guards against announcements without end that fill the memory, and against ones that are kept for good.
func TestAnnouncementsAreBounded(t *testing.T) {
	now := time.Minute
	v := play(t, &script{}, &now)
	for i := range maxAnnounced + 10 {
		v.Announce(Announcement{Target: fmt.Sprint("t", i), Born: 1})
	}
	require.Len(t, v.announcements.lives, maxAnnounced)
	now += announcedMemory + time.Second
	v.take(rudderstore.WatchResult{Events: []rudderstore.Event{written("targets/b", target("x"))}, Revision: 100})
	require.Empty(t, v.announcements.lives)
}
