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

// Guards against a first snapshot that is served from before it is up to date, and against a list that may be behind where
// much has changed since: the watch that follows it would not end on a slow link.
func TestFirstSnapshot(t *testing.T) {
	for _, test := range []struct {
		name         string
		copied       RecordSet
		err          error
		lists, stale int
		looked       bool
		age          time.Duration
	}{
		{"first start of the fleet", RecordSet{}, ErrFirstStart, 0, 1, false, 0},
		{"nobody to copy from", RecordSet{}, errAway, 1, 0, true, 0},
		{"a watcher that does not serve", RecordSet{}, nil, 1, 0, true, 0},
		{"copied", RecordSet{Serving: true, Revision: 9, Age: 700 * time.Millisecond, Held: 200 * time.Millisecond}, nil, 0, 0, true, 500 * time.Millisecond},
	} {
		t.Run(test.name, func(t *testing.T) {
			lists, stale := 0, 0
			v := &View{
				Logger: zerolog.Nop(), Uptime: func() time.Duration { return time.Minute },
				Store: &rudderstore.Store{
					List:      func(context.Context, string) ([]rudderstore.Entry, int64, error) { lists++; return nil, 10, nil },
					ListStale: func(context.Context, string) ([]rudderstore.Entry, int64, error) { stale++; return nil, 8, nil },
				},
				FetchRecords: func(context.Context) (RecordSet, error) { return test.copied, test.err },
				gone:         map[string]time.Duration{},
			}
			require.NoError(t, v.list(t.Context(), true))
			require.Equal(t, test.lists, lists)
			require.Equal(t, test.stale, stale)
			age, looked := v.Staleness()
			require.Equal(t, test.looked, looked)
			require.Equal(t, test.age, age)
			require.NoError(t, v.list(t.Context(), false))
			require.Equal(t, stale, test.stale, "later lists are up to date")
		})
	}
}

// The pattern of thousands of targets that form groups at once, seen by an entry host on a slow link: guards against one
// that asks for changes again and again which never arrive in time, become more, and leave it with an old configuration.
func TestTooManyChangesEndInASnapshot(t *testing.T) {
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
				FetchChanges: func(context.Context, int64, time.Duration, bool) (Changes, error) { return test.follow, nil },
				FetchRecords: func(context.Context) (RecordSet, error) {
					if copies++; copies == 2 {
						end()
					}
					return RecordSet{Serving: true, Revision: int64(copies)}, nil
				},
			}
			require.NoError(t, v.Run(ctx))
			require.Equal(t, 2, copies)
		})
	}
}
