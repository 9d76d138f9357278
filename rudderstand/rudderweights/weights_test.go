package rudderweights

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a limit that applies to each fetcher alone, which would make loading look too fast.
func TestSharedRate(t *testing.T) {
	s := &Store{BytesPerSecond: 20000, Sizes: map[string]int64{"m@1": 1000}}
	start := time.Now()
	var fetches sync.WaitGroup
	for range 3 {
		fetches.Go(func() {
			last := 0.0
			if err := s.Fetch(context.Background(), "m@1", func(fraction float64) { last = fraction }); err != nil || last != 1 {
				t.Errorf("fetch: %v at %v", err, last)
			}
		})
	}
	fetches.Wait()
	require.GreaterOrEqual(t, time.Since(start), 150*time.Millisecond)
	require.EqualValues(t, 3000, s.FetchedBytes())
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	require.ErrorIs(t, s.Fetch(ended, "m@1", func(float64) {}), context.Canceled)
}
