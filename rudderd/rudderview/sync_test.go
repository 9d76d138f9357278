package rudderview

import (
	"context"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"comfreyrudder.example/shared/rudderstore"
)

// Guards against a low staleness although the service has not answered, and against a first watch after a
// failure that waits long before the staleness is known.
func TestStaleness(t *testing.T) {
	now := time.Minute
	s := &script{watches: []watchAnswer{{}, {err: errUnavailable, before: func() { now += 4 * time.Second }}}}
	s.watches = append(s.watches, watchAnswer{err: errUnavailable})
	v := play(t, s, &now)
	require.Equal(t, []time.Duration{watchWait, watchWait, firstWait, firstWait}, s.waits[:4])
	age, ok := v.Staleness()
	require.True(t, ok)
	require.LessOrEqual(t, age, watchWait)
}

// Guards against a staleness that is too low because the answer was transferred slowly.
func TestSlowAnswer(t *testing.T) {
	now := time.Minute
	slow := watchAnswer{events: []rudderstore.Event{written("targets/a", target("x"))}, before: func() { now += 3 * time.Second }}
	v := &View{
		Store: (&script{watches: []watchAnswer{slow}}).store(), Uptime: func() time.Duration { return now }, Logger: zerolog.Nop(),
		Keys: Keys{TargetPrefix: "targets/"}, DecodeTarget: func(string, []byte) (Target, error) { return target("x"), nil },
	}
	require.NoError(t, v.watch(t.Context(), time.Millisecond))
	age, _ := v.Staleness()
	require.Equal(t, 3*time.Second, age)
}

// Guards against a staleness that is too low because a busy process was late to read an empty answer.
func TestStalenessCountsUnreadTime(t *testing.T) {
	now := time.Minute
	late := watchAnswer{before: func() { now += 3 * time.Second }}
	v := &View{
		Store: (&script{watches: []watchAnswer{late}}).store(), Uptime: func() time.Duration { return now }, Logger: zerolog.Nop(),
	}
	require.NoError(t, v.watch(t.Context(), time.Millisecond))
	age, _ := v.Staleness()
	require.Equal(t, 3*time.Second, age)
}

// Guards against taking the service for unreachable because its answer is too long for a slow link: it may
// have changes that the entry host does not know.
func TestIncompleteAnswerIsNoOutage(t *testing.T) {
	now := time.Minute
	for _, test := range []struct {
		name        string
		err         error
		unreachable bool
	}{
		{"no answer", errUnavailable, true},
		{"incomplete answer", errors.Mark(errUnavailable, rudderstore.ErrIncomplete), false},
	} {
		t.Run(test.name, func(t *testing.T) {
			v := &View{Uptime: func() time.Duration { return now }, Logger: zerolog.Nop()}
			v.markFailed(test.err)
			require.Equal(t, test.unreachable, v.Unreachable())
			v.markAnswered()
			require.False(t, v.Unreachable())
		})
	}
}

// While groups form, 3,000 targets write their records and the service truncates its answers, so that an
// entry host needs many of them. Guards against counting a truncated answer as a sync although changes of the
// configuration are still to come (a fleet of 300 served by a version that had been replaced 4.9 s before),
// and against pauses between such answers.
func TestTruncatedAnswersAreNoSync(t *testing.T) {
	now := time.Minute
	many := make([]rudderstore.Event, 500)
	for i := range many {
		many[i] = written("targets/a", target("x"))
	}
	large := rudderstore.Event{Entry: rudderstore.Entry{Key: "targets/b", Value: make([]byte, completeBytes)}}
	for _, test := range []struct {
		name     string
		events   []rudderstore.Event
		complete bool
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
			_, synced := v.Staleness()
			require.Equal(t, test.complete, synced)
			if !test.complete {
				require.Less(t, time.Since(begin), 90*time.Millisecond, "no pause while there may be more")
				require.NoError(t, v.watch(ctx, time.Millisecond))
				_, synced = v.Staleness()
				require.True(t, synced)
			}
		})
	}
}
