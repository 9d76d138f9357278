package rudderview

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"comfreyrudder.example/rudderd/rudderroster"
	"comfreyrudder.example/rudderd/rudderroute"
	"comfreyrudder.example/shared/rudderhost"
	"comfreyrudder.example/shared/rudderstore"
	"comfreyrudder.example/shared/ruddertarget"
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
	require.Contains(t, v.Snapshot().Gone, "b")
}

// Guards against a look that seems young although the service has not answered, and against a first watch
// after a failure that waits long before it tells the age.
func TestAgeOfTheLook(t *testing.T) {
	now := time.Minute
	s := &script{watches: []watchAnswer{{}, {err: errAway, before: func() { now += 4 * time.Second }}}}
	s.watches = append(s.watches, watchAnswer{err: errAway})
	v := play(t, s, &now)
	require.Equal(t, []time.Duration{watchWait, watchWait, firstWait, firstWait}, s.waits[:4])
	age, ok := v.LookAge()
	require.True(t, ok)
	require.LessOrEqual(t, age, watchWait)
}

// Guards against a look that seems younger than it is because its answer was transferred slowly.
func TestSlowAnswer(t *testing.T) {
	now := time.Minute
	slow := watchAnswer{events: []rudderstore.Event{written("targets/a", target("x"))}, before: func() { now += 3 * time.Second }}
	v := &View{
		Store: (&script{watches: []watchAnswer{slow}}).store(), Uptime: func() time.Duration { return now }, Logger: zerolog.Nop(),
		Keys: Keys{TargetPrefix: "targets/"}, DecodeTarget: func(string, []byte) (Target, error) { return target("x"), nil },
	}
	require.NoError(t, v.watch(t.Context(), time.Millisecond))
	age, _ := v.LookAge()
	require.Equal(t, 3*time.Second, age)
}

// Guards against a look that seems younger than it is because an empty answer waited until a busy process read it.
func TestAnswerThatWaited(t *testing.T) {
	now := time.Minute
	late := watchAnswer{before: func() { now += 3 * time.Second }}
	v := &View{
		Store: (&script{watches: []watchAnswer{late}}).store(), Uptime: func() time.Duration { return now }, Logger: zerolog.Nop(),
	}
	require.NoError(t, v.watch(t.Context(), time.Millisecond))
	age, _ := v.LookAge()
	require.Equal(t, 3*time.Second, age)
}

// Guards against a service that seems away because its answer is too long for a slow link: it may have changes that are
// not known here.
func TestIncompleteAnswerIsNoOutage(t *testing.T) {
	now := time.Minute
	for _, test := range []struct {
		name        string
		err         error
		unreachable bool
	}{
		{"no answer", errAway, true},
		{"answer not whole", errors.Mark(errAway, rudderstore.ErrIncomplete), false},
	} {
		t.Run(test.name, func(t *testing.T) {
			v := &View{Uptime: func() time.Duration { return now }, Logger: zerolog.Nop()}
			v.failed(test.err)
			require.Equal(t, test.unreachable, v.Unreachable())
			v.answered()
			require.False(t, v.Unreachable())
		})
	}
}

// Guards against changes that are missed when the service drops its history.
func TestHistoryIsDropped(t *testing.T) {
	now := time.Minute
	s := &script{watches: []watchAnswer{{err: rudderstore.ErrCompacted}}}
	play(t, s, &now)
	require.Equal(t, 2, s.lists)
}

func groupFixture() (Snapshot, rudderroster.Group) {
	s := Snapshot{Targets: map[string]*Target{}, Gone: map[string]*Target{}, Plans: map[string]PlanRecord{}, Suspicions: map[string]Suspicion{}}
	s.Table = rudderroute.NewTable(rudderroute.Document{Services: []rudderroute.Service{{
		Name: "llm", Engine: &rudderroute.Engine{Slots: 4, Models: []rudderroute.Model{{Name: "m", Size: 2}}},
	}}})
	g := rudderroster.Group{Name: "g", Epoch: 7, Model: "m"}
	for rank, name := range []string{"a", "b"} {
		x := target("llm")
		x.Name, x.Model, x.FabricDomain = name, "m", "d"
		x.Membership = ruddertarget.Membership{Group: "g", Epoch: 7, Rank: rank, Phase: ruddertarget.GroupReady}
		s.Targets[name] = &x
		g.Members = append(g.Members, rudderroster.Member{Target: name, Born: 1})
	}
	s.Targets["a"].Membership.Phase = ruddertarget.GroupOpen
	s.Plans[PlanPrefix+"llm/d"] = PlanRecord{Plan: rudderroster.Plan{Service: "llm", Domain: "d", Groups: []rudderroster.Group{g}}}
	return s, g
}

// Guards against requests that are sent to a group which lacks a member, has begun another life, is not open
// or is not planned.
func TestGroupsThatTakeRequests(t *testing.T) {
	for _, test := range []struct {
		name   string
		change func(s *Snapshot)
		serves bool
	}{
		{"complete", func(*Snapshot) {}, true},
		{"leader only ready", func(s *Snapshot) { s.Targets["a"].Membership.Phase = ruddertarget.GroupReady }, false},
		{"leader has no record", func(s *Snapshot) { s.Gone["a"] = s.Targets["a"]; delete(s.Targets, "a") }, false},
		{"follower has no record", func(s *Snapshot) { s.Gone["b"] = s.Targets["b"]; delete(s.Targets, "b") }, true},
		{"follower is unknown", func(s *Snapshot) { delete(s.Targets, "b") }, false},
		{"follower restarted", func(s *Snapshot) { s.Targets["b"].Born = 2 }, false},
		{"follower joined another group", func(s *Snapshot) { s.Targets["b"].Membership.Group = "h" }, false},
		{"follower has another epoch", func(s *Snapshot) { s.Targets["b"].Membership.Epoch = 8 }, false},
		{"follower is suspected", func(s *Snapshot) { s.Suspicions["x"] = Suspicion{Target: "b", Born: 1} }, false},
		{"leader leaves", func(s *Snapshot) { s.Targets["a"].State = rudderhost.StateLeaving }, false},
		{"follower leaves", func(s *Snapshot) { s.Targets["b"].State = rudderhost.StateLeaving }, true},
		{"not planned", func(s *Snapshot) { s.Plans = map[string]PlanRecord{} }, false},
		{"planned to end", func(s *Snapshot) {
			record := s.Plans[PlanPrefix+"llm/d"]
			record.Plan.Groups[0].Retiring = true
		}, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			s, _ := groupFixture()
			test.change(&s)
			s.index()
			require.Equal(t, test.serves, len(s.Groups("llm", "m")) == 1)
		})
	}
}

// Guards against streams that go on waiting for a group that has ended, and against streams that are cut
// because a record is late.
func TestGroupsThatEnd(t *testing.T) {
	s, _ := groupFixture()
	s.index()
	g := s.Groups("llm", "m")[0]
	require.False(t, s.Ended(g))
	s.Gone["b"] = s.Targets["b"]
	delete(s.Targets, "b")
	require.False(t, s.Ended(g))
	restarted := *s.Gone["b"]
	restarted.Born = 2
	s.Targets["b"] = &restarted
	require.True(t, s.Ended(g))
}

// Guards against followers that take an old look for a young one, miss changes, or stay with an entry host that
// has lost the service (CONFIG on trouble-1 of both sites, when they learned it after two seconds).
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
	require.True(t, watcher.Changes(t.Context(), 12, time.Millisecond, false).Gap)
	require.True(t, watcher.followed())

	// Groups that form: each target writes its record several times. Only the last one is passed on.
	many := []rudderstore.Event{{Entry: rudderstore.Entry{Key: "targets/c", Revision: 11}, Deleted: true}}
	for range 8 {
		many = append(many, rudderstore.Event{Entry: rudderstore.Entry{Key: "targets/c", Value: make([]byte, defaultRelayBytes/4), Revision: 11}})
	}
	watcher.remember(many, 11)
	c = watcher.Changes(t.Context(), 10, time.Millisecond, false)
	require.False(t, c.Gap)
	require.Len(t, c.Events, 2)
	require.False(t, c.Events[1].Deleted)

	large := rudderstore.Event{Entry: rudderstore.Entry{Key: "routing", Value: make([]byte, defaultRelayBytes+1), Revision: 12}}
	watcher.remember([]rudderstore.Event{large}, 12)
	require.True(t, watcher.Changes(t.Context(), 11, time.Millisecond, false).Gap, "followers read large changes themselves")
	require.False(t, watcher.Changes(t.Context(), 12, time.Millisecond, false).Gap)

	now += relayAge + watchWait
	require.False(t, watcher.Changes(t.Context(), 11, time.Millisecond, false).Serving, "the look is too old")
	now -= relayAge + watchWait
	released := make(chan Changes)
	go func() { released <- watcher.Changes(t.Context(), 12, time.Minute, false) }()
	require.Eventually(t, func() bool {
		watcher.failed(errAway) // wakes the calls that wait, however late they begin
		watcher.failingSince = 0
		select {
		case c := <-released:
			return !c.Serving
		default:
			return false
		}
	}, 5*time.Second, time.Millisecond)
}

// Guards against a follower whose look is younger than the one that it was told of, and against one that does
// not watch the service itself when its watcher cannot serve.
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
		{"not reached", Changes{}, errAway, 1},
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
				Follow: func(context.Context, int64, time.Duration, bool) (Changes, error) {
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
				age, _ := v.LookAge()
				require.Equal(t, 10*time.Second, age, "the list is younger than what the watcher told")
			}
		})
	}
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

// The pattern of an outage in a large fleet: guards against followers that all call a service of which the watchers say
// that it does not answer, and against an outage of the watchers alone that stops the followers.
func TestFollowersLeaveAnAwayServiceAlone(t *testing.T) {
	for _, test := range []struct {
		name     string
		err      error
		most     int
		answered bool
	}{
		{"away for all", errAway, 4, false},
		{"away for the watchers", nil, 1000, true},
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
				Follow: func(ctx context.Context, _ int64, wait time.Duration, away bool) (Changes, error) {
					if away {
						sleep(ctx, wait)
					}
					return Changes{Away: true}, nil
				},
			}
			require.NoError(t, v.Run(ctx))
			require.LessOrEqual(t, watches, test.most)
			require.Positive(t, watches)
			require.Equal(t, !test.answered, v.Unreachable())
		})
	}
}

// Guards against a follower that learns late of the end of an outage: its call is held until its watcher has heard from
// the service.
func TestFollowerLearnsOfTheEndOfAnOutage(t *testing.T) {
	now := time.Minute
	v := &View{Logger: zerolog.Nop(), Uptime: func() time.Duration { return now }, Store: (&script{watches: []watchAnswer{{}}}).store()}
	v.direct.Store(true)
	v.looked(now, now)
	v.failed(errAway)
	require.True(t, v.Changes(t.Context(), 0, time.Minute, false).Away, "a follower that does not know is told at once")
	told := make(chan Changes, 1)
	go func() { told <- v.Changes(t.Context(), 0, 100*time.Millisecond, true) }()
	time.Sleep(20 * time.Millisecond)
	require.Empty(t, told)
	require.NoError(t, v.watch(t.Context(), time.Millisecond))
	select {
	case c := <-told:
		require.False(t, c.Away)
	case <-time.After(time.Second):
		t.Fatal("the call is still held")
	}
}

// Guards against a first picture that is served from before it is up to date, and against a list that may be behind where
// much has changed since: the watch that follows it would not end on a slow link.
func TestFirstPicture(t *testing.T) {
	for _, test := range []struct {
		name         string
		copied       Copied
		err          error
		lists, stale int
		looked       bool
		age          time.Duration
	}{
		{"first start of the fleet", Copied{}, ErrFirstStart, 0, 1, false, 0},
		{"nobody to copy from", Copied{}, errAway, 1, 0, true, 0},
		{"a watcher that does not serve", Copied{}, nil, 1, 0, true, 0},
		{"copied", Copied{Serving: true, Revision: 9, Age: 700 * time.Millisecond, Held: 200 * time.Millisecond}, nil, 0, 0, true, 500 * time.Millisecond},
	} {
		t.Run(test.name, func(t *testing.T) {
			lists, stale := 0, 0
			v := &View{
				Logger: zerolog.Nop(), Uptime: func() time.Duration { return time.Minute },
				Store: &rudderstore.Store{
					List:      func(context.Context, string) ([]rudderstore.Entry, int64, error) { lists++; return nil, 10, nil },
					ListStale: func(context.Context, string) ([]rudderstore.Entry, int64, error) { stale++; return nil, 8, nil },
				},
				Copy: func(context.Context) (Copied, error) { return test.copied, test.err },
				gone: map[string]time.Duration{},
			}
			require.NoError(t, v.list(t.Context(), true))
			require.Equal(t, test.lists, lists)
			require.Equal(t, test.stale, stale)
			age, looked := v.LookAge()
			require.Equal(t, test.looked, looked)
			require.Equal(t, test.age, age)
			require.NoError(t, v.list(t.Context(), false))
			require.Equal(t, stale, test.stale, "later lists are up to date")
		})
	}
}

// The pattern of thousands of targets that form groups at once, seen by an entry host on a slow link: guards against one
// that asks for changes again and again which never arrive in time, become more, and leave it with an old configuration.
func TestTooManyChangesEndInAPicture(t *testing.T) {
	for _, test := range []struct {
		name   string
		follow Changes
		watch  error
	}{
		{"the watcher cannot pass them on", Changes{Serving: true, Gap: true}, nil},
		{"the answer of the service does not arrive whole", Changes{}, errors.Mark(errAway, rudderstore.ErrIncomplete)},
	} {
		t.Run(test.name, func(t *testing.T) {
			ctx, end := context.WithTimeout(t.Context(), 5*time.Second)
			defer end()
			copies, now := 0, time.Minute
			v := &View{
				Logger: zerolog.Nop(), Uptime: func() time.Duration { return now },
				Store: &rudderstore.Store{
					List: func(context.Context, string) ([]rudderstore.Entry, int64, error) { return nil, 0, errAway },
					Watch: func(context.Context, rudderstore.WatchRequest) (rudderstore.WatchResult, error) {
						return rudderstore.WatchResult{}, test.watch
					},
				},
				Follow: func(context.Context, int64, time.Duration, bool) (Changes, error) { return test.follow, nil },
				Copy: func(context.Context) (Copied, error) {
					if copies++; copies == 2 {
						end()
					}
					return Copied{Serving: true, Revision: int64(copies)}, nil
				},
			}
			require.NoError(t, v.Run(ctx))
			require.Equal(t, 2, copies)
		})
	}
}

// The pattern of 3,000 targets that write their records while groups form: the service cuts its answers, so that an entry
// host needs many of them. Guards against a look that counts although changes of the configuration are still to come (a
// fleet of 300 served by a version that had been replaced 4.9 s before), and against pauses between such answers.
func TestCutAnswersAreNoLook(t *testing.T) {
	now := time.Minute
	many := make([]rudderstore.Event, 500)
	for i := range many {
		many[i] = written("targets/a", target("x"))
	}
	large := rudderstore.Event{Entry: rudderstore.Entry{Key: "targets/b", Value: make([]byte, wholeBytes)}}
	for _, test := range []struct {
		name   string
		events []rudderstore.Event
		whole  bool
	}{
		{"nothing", nil, true}, {"a few changes", many[:20], true}, {"as many as an answer holds", many, false},
		{"as large as an answer may be", []rudderstore.Event{large}, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			v := &View{
				Store: (&script{watches: []watchAnswer{{events: test.events}, {}}}).store(), Uptime: func() time.Duration { return now }, Logger: zerolog.Nop(),
				Keys: Keys{TargetPrefix: "targets/"}, DecodeTarget: func(string, []byte) (Target, error) { return target("x"), nil }, BatchPause: time.Hour,
			}
			ctx, end := context.WithTimeout(t.Context(), 100*time.Millisecond)
			defer end()
			begin := time.Now()
			require.NoError(t, v.watch(ctx, time.Millisecond))
			_, looked := v.LookAge()
			require.Equal(t, test.whole, looked)
			if !test.whole {
				require.Less(t, time.Since(begin), 90*time.Millisecond, "no pause while there may be more")
				require.NoError(t, v.watch(ctx, time.Millisecond))
				_, looked = v.LookAge()
				require.True(t, looked)
			}
		})
	}
}
