package rudderforward

import (
	"context"
	"net/http"
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

// Guards against a copy of an earlier answer that is taken for a target's state, and against reports that are confirmed although they
// cannot be copies or contradict nothing that is read from them.
func TestReportsThatMayBeCopies(t *testing.T) {
	own := ruddertarget.Membership{Group: "g-t1", Epoch: 1, Phase: ruddertarget.GroupOpen} // that of the testbed's target
	broken := ruddertarget.Membership{Group: "g-t1", Epoch: 1, Phase: ruddertarget.GroupBroken}
	for _, test := range []struct {
		name        string
		target      string
		report      ruddertarget.GroupReport
		confirmed   *ruddertarget.GroupReport // on a new connection; nil if that fails
		want        ruddertarget.Membership
		connections int
	}{
		{"as known", "lapsed", ruddertarget.GroupReport{Membership: own, Born: 1, Kept: true}, nil, own, 0},
		{"has left, first call on its connection", "lapsed", ruddertarget.GroupReport{Born: 1}, nil, ruddertarget.Membership{}, 0},
		{"has left, with a record", "t1", ruddertarget.GroupReport{Born: 1, Kept: true}, nil, ruddertarget.Membership{}, 0},
		{"has left", "lapsed", ruddertarget.GroupReport{Born: 1, Kept: true}, &ruddertarget.GroupReport{Born: 1}, ruddertarget.Membership{}, 1},
		{"copy", "lapsed", ruddertarget.GroupReport{Born: 1, Kept: true}, &ruddertarget.GroupReport{Membership: own, Born: 1}, own, 1},
		{"has broken", "lapsed", ruddertarget.GroupReport{Membership: broken, Born: 1, Kept: true}, &ruddertarget.GroupReport{Membership: broken, Born: 1}, broken, 1},
		{"not confirmed", "lapsed", ruddertarget.GroupReport{Born: 1, Kept: true}, nil, own, 1},
		{"answer to an order", "t1", ruddertarget.GroupReport{Kept: true}, &ruddertarget.GroupReport{Membership: own, Born: 1}, own, 1},
		{"answer to an order, not confirmed", "t1", ruddertarget.GroupReport{Kept: true}, nil, own, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			b := newTestbed(t)
			b.target("llm", func(http.ResponseWriter, *http.Request) {})
			b.start()
			connections := 0
			b.forwarder.Report = func(context.Context, string) (ruddertarget.GroupReport, error) { return test.report, nil }
			b.forwarder.ReportAnew = func(context.Context, string) (ruddertarget.GroupReport, error) {
				if connections++; test.confirmed == nil {
					return ruddertarget.GroupReport{}, context.DeadlineExceeded
				}
				return *test.confirmed, nil
			}
			x := &rudderview.Target{Born: 1, Membership: own}
			x.Name = test.target
			report, alive := b.forwarder.ProbeTarget(t.Context(), x, nil)
			require.True(t, alive)
			require.Equal(t, test.want, report.Membership)
			require.Equal(t, int64(1), report.Born)
			require.Equal(t, test.connections, connections)
		})
	}
}
