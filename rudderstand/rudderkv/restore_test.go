package rudderkv

import (
	"context"
	"fmt"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"comfreyrudder.example/shared/rudderstore"
)

// Guards against a watch that continues after a revision which a restored service has given out again, and so misses the
// changes before it.
func TestWatchAcrossARestoreFails(t *testing.T) {
	s := &Server{}
	server := httptest.NewServer(s.Handler())
	t.Cleanup(server.Close)
	store := (&rudderstore.HTTP{BaseURL: server.URL, Name: "watcher"}).Store()
	put := func(key string) int64 {
		revision, err := store.Put(t.Context(), rudderstore.PutRequest{Key: key, Value: []byte("v"), Expected: rudderstore.AnyRevision})
		require.NoError(t, err)
		return revision
	}
	put("before")
	snapshot := s.Snapshot()
	seen := put("lost")
	s.Restore(snapshot)
	for i := range 3 {
		put(fmt.Sprint("after-", i))
	}
	ctx, end := context.WithTimeout(t.Context(), 5*time.Second)
	defer end()
	result, err := store.Watch(ctx, rudderstore.WatchRequest{Prefixes: []string{""}, After: seen, Wait: time.Millisecond})
	require.True(t, errors.Is(err, rudderstore.ErrCompacted), "%v, %d of 3 changes", err, len(result.Events))
}
