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

// Guards against a look that seems young although the service has not answered, and against a first watch
// after a failure that waits long before it tells the age.
func TestAgeOfTheLook(t *testing.T) {
	now := time.Minute
	s := &script{watches: []watchAnswer{{}, {err: errAway, before: func() { now += 4 * time.Second }}}}
	s.watches = append(s.watches, watchAnswer{err: errAway})
	v := play(t, s, &now)
	require.Equal(t, []time.Duration{watchWait, watchWait, firstWait, firstWait}, s.waits[:4])
	age, ok := v.Staleness()
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
	age, _ := v.Staleness()
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
	age, _ := v.Staleness()
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
			_, looked := v.Staleness()
			require.Equal(t, test.whole, looked)
			if !test.whole {
				require.Less(t, time.Since(begin), 90*time.Millisecond, "no pause while there may be more")
				require.NoError(t, v.watch(ctx, time.Millisecond))
				_, looked = v.Staleness()
				require.True(t, looked)
			}
		})
	}
}
