package ruddercapacity

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against an estimate that does not extrapolate the linear trend of the samples.
func TestEstimateFollowsTheSlope(t *testing.T) {
	var samples []GossipSample
	for _, n := range []int{6, 12, 18} {
		samples = append(samples, GossipSample{
			Nodes: n, BytesPerSecond: 100 + 10*float64(n), CoreShare: 0.1, InForceSilent: time.Duration(n) * time.Second,
		})
	}
	e := EstimateGossip(samples)
	require.InDelta(t, 3400, e.BytesPerSecond.At(designNodes), 1e-6)
	require.InDelta(t, 1, e.BytesPerSecond.RSquared, 1e-9)
	require.Equal(t, []string{"share of a core", "time until in force"}, e.Missed())
}

// Guards against nodes that drop live members from their member lists, and against configuration changes that
// do not come into force in time, over real connections.
func TestGossipOverLoopback(t *testing.T) {
	sample, err := MeasureGossip(6, 5*time.Second, 3*time.Second, false)
	require.NoError(t, err)
	require.Equal(t, 6, sample.Live)
	require.Less(t, sample.InForce, budgetInForce)
	require.Less(t, sample.InForceSilent, budgetInForce)
	require.Positive(t, sample.BytesPerSecond)
}

// BenchmarkGossip reports the cost of a node at each size and the estimate for the design size, for gossip and
// for the polling baseline. Run it with -benchtime 1x.
func BenchmarkGossip(b *testing.B) {
	for _, pollAll := range []bool{false, true} {
		name := "gossip"
		if pollAll {
			name = "poll_all"
		}
		b.Run(name, func(b *testing.B) {
			for range b.N {
				var samples []GossipSample
				for _, size := range []int{6, 12, 18, 36, 72} {
					s, err := MeasureGossip(size, 8*time.Second, 10*time.Second, pollAll)
					require.NoError(b, err)
					b.Logf("%+v", s)
					samples = append(samples, s)
				}
				e := EstimateGossip(samples)
				b.Logf("%+v missed %v", e, e.Missed())
				b.ReportMetric(e.BytesPerSecond.At(designNodes), "B/s@330")
				b.ReportMetric(100*e.CoreShare.At(designNodes), "%core@330")
				b.ReportMetric(e.MemoryBytes.At(designNodes)/1e6, "MB@330")
				b.ReportMetric(e.InForceSeconds.At(designNodes), "s_in_force@330")
			}
		})
	}
}
