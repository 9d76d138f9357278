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

// histories draws the events of a history from a seed.
var histories = rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) Event {
	return Event{
		Kind: rapid.SampledFrom(Events()).Draw(rt, "kind"), Entry: rapid.IntRange(0, 3).Draw(rt, "entry"),
		Wait: time.Duration(rapid.IntRange(0, 600).Draw(rt, "wait")) * time.Millisecond,
	}
}), 8, 16)

const (
	// fixedSeed is for CI, which runs as many histories as run at a time. The environment variables
	// FUZZ_SEED and FUZZ_TIME make the test go on from a seed until the time has passed.
	fixedSeed        = 1
	historiesAtATime = 4
)

// Guards against a promise broken by an order of callers, operators, faults and times that nobody
// thought of. Real sockets make a history only nearly repeatable: run a failed seed several times.
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
	for first := seed; ; first += historiesAtATime {
		var running sync.WaitGroup
		for i := range historiesAtATime {
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
