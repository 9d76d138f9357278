package rudderforward

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"comfreyrudder.example/rudderd/rudderlimit"
	"comfreyrudder.example/rudderd/rudderview"
	"comfreyrudder.example/shared/ruddertarget"
)

// Guards against a sound target that is taken for silent because the probing process was delayed itself: its probes time out late, and
// the answers may have arrived.
func TestDelayedProbeIsNoEvidence(t *testing.T) {
	tests := []struct {
		name   string
		took   []time.Duration // by the failed attempts
		probes int
		alive  bool
	}{
		{"delayed once", []time.Duration{700 * time.Millisecond}, 2, true},
		{"delayed in both attempts", []time.Duration{500 * time.Millisecond, 100 * time.Millisecond, 800 * time.Millisecond}, 4, true},
		{"silent", []time.Duration{100 * time.Millisecond, 150 * time.Millisecond}, 2, false},
		{"refuses connections", []time.Duration{time.Millisecond, time.Millisecond}, 2, false},
		{"delayed all the time", []time.Duration{time.Second, time.Second, time.Second, time.Second}, 4, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			now, probes := time.Minute, 0
			f := &Forwarder{Uptime: func() time.Duration { return now }, Metrics: Metrics{Count: func(string) {}}, Limits: &rudderlimit.Table{}}
			f.Report = func(context.Context, string) (ruddertarget.GroupReport, error) {
				probes++
				if probes > len(test.took) {
					return ruddertarget.GroupReport{Born: 1}, nil
				}
				now += test.took[probes-1]
				return ruddertarget.GroupReport{}, context.DeadlineExceeded
			}
			target := &rudderview.Target{}
			target.Name, target.Born = "t", 1
			_, alive := f.ProbeTarget(t.Context(), target, nil)
			require.Equal(t, test.alive, alive)
			require.Equal(t, test.probes, probes)
		})
	}
}
