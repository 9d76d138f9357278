package rudderbench

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against two grants for one key in any measured condition, and a measurement that is not
// repeatable. A missed bound of another measure is logged, not failed.
func TestMeasureClaims(t *testing.T) {
	figures := MeasureClaims(1)
	for _, f := range figures {
		t.Logf("%-45s baseline %9.2f value %9.2f ratio %6.2f bound %6.1f met %v", f.Measure, f.Baseline, f.Value, f.Ratio, f.Bound, f.Met)
	}
	first, err := json.Marshal(figures)
	require.NoError(t, err)
	second, err := json.Marshal(MeasureClaims(1))
	require.NoError(t, err)
	require.JSONEq(t, string(first), string(second))
	for _, f := range figures {
		if len(f.Measure) > 13 && f.Measure[len(f.Measure)-13:] == "double_grants" {
			require.True(t, f.Met, f.Measure)
		}
	}
}
