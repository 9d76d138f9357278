package ruddercapacity

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a kind of traffic that goes through an uncounted transport and is reported as zero.
func TestMeasureCountsAllTraffic(t *testing.T) {
	f, err := StartFleet(Size{Nodes: 6})
	require.NoError(t, err)
	defer f.Close()
	s, err := f.Measure(3 * time.Second)
	require.NoError(t, err)
	for name, rate := range map[string]float64{
		"peer": s.PeerBytes, "platform": s.PlatformBytes, "list": s.ListBytes, "control": s.ControlBytes,
		"digests": s.Calls["Digest"], "polls": s.Calls["control"], "watches": s.PlatformCalls["watch"], "reads": s.Reads, "processor": s.CPU,
	} {
		require.Positive(t, rate, name)
	}
	t.Logf("%+v", s)
}
