package rudderreport

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"comfreyrudder.example/rudderd/rudderburn"
	"comfreyrudder.example/rudderd/ruddermember"
	"comfreyrudder.example/shared/rudderadmin"
	"comfreyrudder.example/shared/rudderconfig"
	"comfreyrudder.example/shared/rudderpeer"
	"comfreyrudder.example/shared/rudderstore"
)

// memoryStore is an in-memory store with the operations of the key-value service that reports use.
func memoryStore() *rudderstore.Store {
	values := make(map[string][]byte)
	return &rudderstore.Store{
		Get: func(_ context.Context, key string) (rudderstore.Entry, int64, error) {
			value, ok := values[key]
			if !ok {
				return rudderstore.Entry{}, 1, rudderstore.ErrNotFound
			}
			return rudderstore.Entry{Key: key, Value: value}, 1, nil
		},
		Put: func(_ context.Context, r rudderstore.PutRequest) (int64, error) {
			values[r.Key] = r.Value
			return 1, nil
		},
		List: func(_ context.Context, prefix string) ([]rudderstore.Entry, int64, error) {
			var entries []rudderstore.Entry
			for key, value := range values {
				if strings.HasPrefix(key, prefix) {
					entries = append(entries, rudderstore.Entry{Key: key, Value: value})
				}
			}
			return entries, 1, nil
		},
	}
}

func recorderWith(now time.Time, requests int) *rudderburn.Recorder {
	recorder := &rudderburn.Recorder{}
	for range requests {
		recorder.Record(rudderburn.RequestResult{At: now, Firm: "umuvumu", Workspace: "kigali", Outcome: "complete"}, rudderconfig.Objective{})
	}
	return recorder
}

// Guards against a report that omits the counts of an entry host that is down or no longer registered, or
// that does not show which counts are missing.
func TestReportSurvivesLostEntryHosts(t *testing.T) {
	clock := clockwork.NewFakeClockAt(time.Date(2026, 12, 4, 12, 0, 0, 0, time.UTC))
	store := memoryStore()
	ctx := context.Background()
	collector := func(name string, requests int) *Collector {
		return &Collector{
			Self: name, Recorder: recorderWith(clock.Now(), requests), Store: store, HTTPClient: http.DefaultClient, Clock: clock,
			OnError: func(err error) { t.Error(err) },
		}
	}
	serve := func(c *Collector) ruddermember.Member {
		server := httptest.NewServer(c.Handler())
		t.Cleanup(server.Close)
		return ruddermember.Member{Name: c.Self, PeerAddress: strings.TrimPrefix(server.URL, "http://")}
	}
	live, dead, gone := collector("e1", 1), collector("e2", 10), collector("e4", 1000)
	dead.StoreSnapshot(ctx)
	gone.StoreSnapshot(ctx)
	members := []ruddermember.Member{serve(live), {Name: "e2", PeerAddress: "127.0.0.1:1"}, {Name: "e3", PeerAddress: "127.0.0.1:1"}}
	live.Members = func() []ruddermember.Member { return members }
	clock.Advance(time.Minute)

	snapshots, sources := live.Collect(ctx)
	require.Equal(t, []rudderadmin.EntrySource{
		{Entry: "e1", Source: rudderadmin.SourceLive},
		{Entry: "e2", Source: rudderadmin.SourceStored, AgeMS: 60000},
		{Entry: "e3", Source: rudderadmin.SourceMissing},
		{Entry: "e4", Source: rudderadmin.SourceStored, AgeMS: 60000},
	}, sources)
	report := rudderburn.BuildReports(clock.Now(), []rudderconfig.Objective{{Firm: "umuvumu", Availability: 0.99}}, snapshots)
	require.Equal(t, int64(1011), report[0].Levels[0].Windows[3].Total)
}

// Guards against a restart that loses the counts of the last day, and against a malformed stored value that
// is loaded without an error.
func TestRestartRestoresTheStoredCounts(t *testing.T) {
	clock := clockwork.NewFakeClockAt(time.Date(2026, 12, 4, 12, 0, 0, 0, time.UTC))
	store := memoryStore()
	ctx := context.Background()
	failures := 0
	first := &Collector{Self: "e1", Recorder: recorderWith(clock.Now(), 5), Store: store, Clock: clock}
	first.StoreSnapshot(ctx)
	second := &Collector{Self: "e1", Recorder: &rudderburn.Recorder{}, Store: store, Clock: clock, OnError: func(error) { failures++ }}
	second.restore(ctx)
	response, err := second.BurnCounters(ctx, &rudderpeer.BurnCountersRequest{})
	require.NoError(t, err)
	var snapshot rudderburn.Snapshot
	require.NoError(t, json.Unmarshal(response.GetSnapshot(), &snapshot))
	require.Equal(t, int64(5), snapshot.Workspaces[0].Coarse[0].Total)

	_, err = store.Put(ctx, rudderstore.PutRequest{Key: rudderburn.SnapshotKeyPrefix + "e1", Value: []byte("{")})
	require.NoError(t, err)
	second.restore(ctx)
	require.Equal(t, 1, failures)
}
