package rudderbench

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against two grants for one key under any condition, and against results that differ between two runs
// with one seed. Missed bounds of other measures do not fail this test; BenchmarkClaims reports them.
func TestMeasureClaims(t *testing.T) {
	figures := MeasureClaims(1, 2, 10, 100)
	first, err := json.Marshal(figures)
	require.NoError(t, err)
	second, err := json.Marshal(MeasureClaims(1, 2, 10, 100))
	require.NoError(t, err)
	require.JSONEq(t, string(first), string(second))
	for _, f := range figures {
		if strings.HasSuffix(f.Measure, "/double_grants") {
			require.True(t, f.Met, f.Measure)
		}
	}
}

// BenchmarkClaims prints all results of one run.
func BenchmarkClaims(b *testing.B) {
	for b.Loop() {
		for _, f := range MeasureClaims(1, 20, ClaimsRates...) {
			fmt.Printf("%-42s baseline %7.2f value %8.2f ratio %6.2f bound %5.0f met %v\n", f.Measure, f.Baseline, f.Value, f.Ratio, f.Bound, f.Met)
		}
	}
}
