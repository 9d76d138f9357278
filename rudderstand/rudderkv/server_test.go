package rudderkv

import (
	"context"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"comfreyrudder.example/shared/rudderstore"
)

type fixture struct {
	name   string
	server *Server
	store  *rudderstore.Store
}

// fixtures returns the service with an in-process client and with one over HTTP.
func fixtures(t *testing.T, clock clockwork.Clock) []fixture {
	inner := &Server{Clock: clock, History: 4}
	outer := &Server{Clock: clock, History: 4}
	web := httptest.NewServer(outer.Handler())
	t.Cleanup(web.Close)
	return []fixture{
		{"in process", inner, inner.StoreFor("a")},
		{"http", outer, (&rudderstore.HTTP{BaseURL: web.URL, Name: "a"}).Store()},
	}
}

// Guards against lost updates, and against an HTTP client that maps an error to the wrong one.
func TestCompareAndSwap(t *testing.T) {
	ctx := context.Background()
	for _, f := range fixtures(t, clockwork.NewRealClock()) {
		t.Run(f.name, func(t *testing.T) {
			_, _, err := f.store.Get(ctx, "control/config")
			require.ErrorIs(t, err, rudderstore.ErrNotFound)
			first, err := f.store.Put(ctx, rudderstore.PutRequest{Key: "control/config", Value: []byte("1")})
			require.NoError(t, err)
			_, err = f.store.Put(ctx, rudderstore.PutRequest{Key: "control/config", Value: []byte("2")})
			require.ErrorIs(t, err, rudderstore.ErrConflict)
			entry, revision, err := f.store.Get(ctx, "control/config")
			require.NoError(t, err)
			require.Equal(t, "1", string(entry.Value))
			require.Equal(t, first, revision)
			_, err = f.store.Put(ctx, rudderstore.PutRequest{Key: "big", Value: make([]byte, rudderstore.MaxValueBytes)})
			require.NoError(t, err)
			_, err = f.store.Put(ctx, rudderstore.PutRequest{Key: "big", Value: make([]byte, rudderstore.MaxValueBytes+1)})
			require.ErrorIs(t, err, rudderstore.ErrTooLarge)
			_, err = f.store.Delete(ctx, "control/config", first+100)
			require.ErrorIs(t, err, rudderstore.ErrConflict)
			_, err = f.store.Delete(ctx, "control/config", first)
			require.NoError(t, err)
			entries, _, err := f.store.List(ctx, "control/")
			require.NoError(t, err)
			require.Empty(t, entries)
			require.EqualValues(t, 2, f.server.Counts().ByPrefix["put control/config"])
		})
	}
}

// Guards against faults that reach the caller as the wrong error: a lost response that looks like a refusal
// would hide a wrong "not run".
func TestFaults(t *testing.T) {
	ctx := context.Background()
	put := rudderstore.PutRequest{Key: "claims/1/head", Value: []byte("x"), Expected: rudderstore.AnyRevision}
	for _, f := range fixtures(t, clockwork.NewRealClock()) {
		t.Run(f.name, func(t *testing.T) {
			before := f.server.Snapshot()
			f.server.DropResponses(1)
			_, err := f.store.Put(ctx, put)
			require.ErrorIs(t, err, rudderstore.ErrUnknownOutcome)
			_, revision, err := f.store.Get(ctx, put.Key)
			require.NoError(t, err, "the write took effect")
			f.server.DropResponsesUnder("claims/", true)
			_, err = f.store.Put(ctx, put)
			require.ErrorIs(t, err, rudderstore.ErrUnknownOutcome)
			f.server.ClearFaults()

			f.server.SetClientBlocked("a", true)
			_, err = f.store.Put(ctx, put)
			require.ErrorIs(t, err, rudderstore.ErrUnavailable)
			f.server.SetClientBlocked("a", false)
			f.server.SetDown(true)
			_, _, err = f.store.Get(ctx, put.Key)
			require.ErrorIs(t, err, rudderstore.ErrUnavailable)
			f.server.ClearFaults()

			f.server.SetDelay(50 * time.Millisecond)
			short, cancel := context.WithTimeout(ctx, 10*time.Millisecond)
			_, err = f.store.Put(short, rudderstore.PutRequest{Key: "late"})
			cancel()
			require.ErrorIs(t, err, rudderstore.ErrUnknownOutcome)
			f.server.ClearFaults()
			require.Eventually(t, func() bool {
				_, _, err := f.store.Get(ctx, "late")
				return err == nil
			}, 5*time.Second, 5*time.Millisecond, "a delayed write takes effect after its caller gave up")

			f.server.Restore(before)
			_, older, err := f.store.Get(ctx, put.Key)
			require.ErrorIs(t, err, rudderstore.ErrNotFound)
			require.Less(t, older, revision, "the revision goes back")
			_, err = f.store.Watch(ctx, rudderstore.WatchRequest{Prefixes: []string{"claims/"}, After: revision})
			require.ErrorIs(t, err, rudderstore.ErrCompacted)
		})
	}
}

// Guards against a watch that misses a change or the end of a lease, and one that does not report a gap in the
// history.
func TestWatchAndLease(t *testing.T) {
	ctx := context.Background()
	clock := clockwork.NewFakeClock()
	for _, f := range fixtures(t, clock) {
		t.Run(f.name, func(t *testing.T) {
			lease, err := f.store.GrantLease(ctx, 3*time.Second)
			require.NoError(t, err)
			revision, err := f.store.Put(ctx, rudderstore.PutRequest{Key: "control/lease/d1", Lease: lease})
			require.NoError(t, err)
			clock.Advance(2 * time.Second)
			require.NoError(t, f.store.KeepAlive(ctx, lease))

			results := make(chan rudderstore.WatchResult, 1)
			go func() {
				result, _ := f.store.Watch(ctx, rudderstore.WatchRequest{
					Prefixes: []string{"other/", "control/lease/"}, After: revision, Wait: time.Minute,
				})
				results <- result
			}()
			require.NoError(t, clock.BlockUntilContext(ctx, 1))
			clock.Advance(2 * time.Second)
			_, _, err = f.store.Get(ctx, "control/lease/d1")
			require.NoError(t, err, "the lease was renewed")
			require.NoError(t, clock.BlockUntilContext(ctx, 1))
			clock.Advance(time.Second)
			result := <-results
			require.Len(t, result.Events, 1)
			require.True(t, result.Events[0].Deleted)
			require.ErrorIs(t, f.store.KeepAlive(ctx, lease), rudderstore.ErrNotFound)
			require.EqualValues(t, 1, f.server.Counts().ByKind[KindWatch])

			for range 5 {
				_, err = f.store.Put(ctx, rudderstore.PutRequest{Key: "k", Expected: rudderstore.AnyRevision})
				require.NoError(t, err)
			}
			_, err = f.store.Watch(ctx, rudderstore.WatchRequest{Prefixes: []string{"k"}, After: revision})
			require.ErrorIs(t, err, rudderstore.ErrCompacted)
		})
	}
}

// Guards against a rate limit that admits more calls than the platform does.
func TestRateLimit(t *testing.T) {
	server := &Server{Clock: clockwork.NewFakeClock(), WritesPerSecond: 2}
	store := server.Store()
	put := func() error {
		_, err := store.Put(context.Background(), rudderstore.PutRequest{Key: "k", Expected: rudderstore.AnyRevision})
		return err
	}
	require.NoError(t, put())
	require.NoError(t, put())
	require.ErrorIs(t, put(), rudderstore.ErrRateLimited)
}
