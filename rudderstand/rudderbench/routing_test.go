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

// Guards against results that differ between two runs with one seed, and against a model that
// serves work without a slot.
func TestModelIsDeterministic(t *testing.T) {
	size := CrestSize{"small", 6, 4, 8}
	use := func(m *model) *ownerScheme { return m.useOwners(false) }
	one, two := runCrest(3, size, rudderconfig.PresetCrestFirst, use), runCrest(3, size, rudderconfig.PresetCrestFirst, use)
	one.scheme, two.scheme = nil, nil
	require.Equal(t, one, two)
	require.LessOrEqual(t, one.goodput, 1.0)
	require.Greater(t, one.goodput, 0.5)
}

// Guards against a policy change that gives up what the scheme gains over independent choice: short
// work must not wait behind long work, and the prefix cache must be used better than by chance.
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

// TestCrest prints the figures at the crest for today's size, and for the target's with
// RUDDER_BENCH_TARGET=1 (a minute or two). It guards against short work that is not served.
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
