package rudderfaults

import (
	"os"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// histories generates random histories from a seed.
var histories = rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) Event {
	return Event{
		Kind: rapid.SampledFrom(Events()).Draw(rt, "kind"), Entry: rapid.IntRange(0, 3).Draw(rt, "entry"),
		Wait: time.Duration(rapid.IntRange(0, 600).Draw(rt, "wait")) * time.Millisecond,
	}
}), 8, 16)

const (
	// fixedSeed is the first seed in CI, which runs one batch of parallelHistories. The environment variables
	// FUZZ_SEED and FUZZ_TIME set another first seed and the time for which further batches are run.
	fixedSeed         = 1
	parallelHistories = 4
)

// Guards against violations under combinations and timings of requests, operator actions and faults that the
// matrix does not cover. Real sockets make a history only nearly reproducible: run a failed seed several
// times.
func TestHistories(t *testing.T) {
	seed, end := fixedSeed, time.Time{}
	if text := os.Getenv("FUZZ_SEED"); text != "" {
		given, err := strconv.Atoi(text)
		require.NoError(t, err)
		seed = given
	}
	if text := os.Getenv("FUZZ_TIME"); text != "" {
		limit, err := time.ParseDuration(text)
		require.NoError(t, err)
		end = time.Now().Add(limit)
	}
	for first := seed; ; first += parallelHistories {
		var running sync.WaitGroup
		for i := range parallelHistories {
			running.Go(func() { runHistory(t, first+i) })
		}
		running.Wait()
		if t.Failed() || !time.Now().Before(end) {
			return
		}
	}
}

func runHistory(t *testing.T, seed int) {
	history := History(histories.Example(seed))
	violations, err := history.Run(4, nil)
	if err != nil || len(violations) > 0 {
		t.Errorf("FUZZ_SEED=%d: %v, violations %v, history %+v", seed, err, violations, history)
	}
	t.Logf("seed %d: %d events", seed, len(history))
}
