package rudderbench

import (
	"os"
	"testing"

	"github.com/stretchr/testify/require"

	"comfreyrudder.example/shared/rudderconfig"
)

func logResults(t *testing.T, results []RoutingResult) {
	for _, r := range results {
		t.Logf("%-72s %-32s value %10.4f ratio %7.3f bound %9.4f met %v", r.Measure, r.Baseline, r.Value, r.Ratio, r.Bound, r.Met)
	}
}

// Guards against results that differ between two runs with one seed, and against a model that runs more
// requests than it has slots, which shows as a goodput above 1.
func TestModelIsDeterministic(t *testing.T) {
	size := CrestSize{"small", 6, 4, 8}
	use := func(m *model) *ownerScheme { return m.useOwners(false) }
	one, two := runCrest(3, size, rudderconfig.PresetCrestFirst, use), runCrest(3, size, rudderconfig.PresetCrestFirst, use)
	one.scheme, two.scheme = nil, nil
	require.Equal(t, one, two)
	require.LessOrEqual(t, one.goodput, 1.0)
	require.Greater(t, one.goodput, 0.5)
}

// Guards against a policy change that loses the advantage of the owner scheme over entry hosts that choose
// independently: short work must not wait behind long work, and the prefix-cache hit rate must exceed that of
// random choice.
func TestDecisionsBeatIndependentChoice(t *testing.T) {
	for _, r := range append(WaitingResults(1), PrefixResults(1)...) {
		logResults(t, []RoutingResult{r})
		switch r.Baseline {
		case "FIFO per group, random", "FIFO per group, two_choices":
			require.LessOrEqual(t, r.Ratio, 3.0, "the grant adds two messages to the wait")
		case "random":
			require.Greater(t, r.Ratio, 1.0)
		}
	}
}

// TestCrest logs the results at the crest for the current size and, if RUDDER_BENCH_TARGET is set, for the
// design size, which takes a minute or two. It guards against leaving more short work unserved than random
// choice does.
func TestCrest(t *testing.T) {
	sizes := []CrestSize{CurrentSize}
	if os.Getenv("RUDDER_BENCH_TARGET") != "" {
		sizes = append(sizes, DesignSize)
	}
	for _, size := range sizes {
		for _, preset := range []rudderconfig.Preset{rudderconfig.PresetWaitingFirst, rudderconfig.PresetCrestFirst} {
			results := CrestResults(1, size, preset)
			logResults(t, results)
			require.Less(t, results[1].Ratio, 1.0, "%s against %s", results[1].Measure, results[1].Baseline)
		}
	}
}
