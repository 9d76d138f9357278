package ruddercoordinator

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"comfreyrudder.example/rudderd/rudderverdict"
	"comfreyrudder.example/rudderd/rudderview"
	"comfreyrudder.example/shared/ruddertarget"
)

// Guards against a planner that probes a lost target all the time, with or without a record.
func TestLostTargetIsProbedSeldom(t *testing.T) {
	for _, test := range []struct {
		name       string
		registered bool
	}{{"registered", true}, {"without a record", false}} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			w := newWorld("a", "b")
			p, _ := w.run(t, "e")
			require.Eventually(t, p.Planning, 5*time.Second, time.Millisecond)
			w.mu.Lock()
			w.lost = "b"
			w.mu.Unlock()
			require.Eventually(t, func() bool {
				_, silent, _ := p.Examine(t.Context(), map[string]int64{"b": 1}, 0)
				return len(silent) == 1
			}, 5*time.Second, examineInterval/10)
			if !test.registered {
				w.cutOff("b")
			}
			time.Sleep(2 * ruddertarget.MinSilence)
			dead, _, _ := p.Examine(t.Context(), map[string]int64{"b": 1}, 0)
			require.Equal(t, []string{"b"}, dead)
			w.mu.Lock()
			defer w.mu.Unlock()
			require.LessOrEqual(t, w.probes, 6)
		})
	}
}

// Guards against a planner that tries all the time to probe a silent target which may not be probed again.
func TestSilentTargetThatMayNotBeProbed(t *testing.T) {
	w := newWorld("a", "b")
	var tries atomic.Int32
	p := w.planner(t, "e", nil)
	p.Probe = func(ctx context.Context, x *rudderview.Target, suspected bool) rudderverdict.Finding {
		switch {
		case x.Name != "b":
			return w.probe(ctx, x, suspected)
		case tries.Add(1) == 1:
			return rudderverdict.Finding{Path: true}
		}
		return rudderverdict.Finding{Alive: true, Skipped: true}
	}
	w.serve(t, p)
	require.Eventually(t, p.Planning, 5*time.Second, time.Millisecond)
	begin := time.Now()
	for time.Since(begin) < 2*ruddertarget.MinSilence {
		dead, _, _ := p.Examine(t.Context(), map[string]int64{"b": 1}, 0)
		require.Empty(t, dead)
		time.Sleep(examineInterval / 10)
	}
	require.LessOrEqual(t, int(tries.Load()), 2+int(time.Since(begin)/examineInterval))
}

// Guards against a silent target that counts as dead, and against a dead one that counts as silent.
func TestProbeResults(t *testing.T) {
	alive, silent := rudderverdict.Finding{Answered: true, Alive: true}, rudderverdict.Finding{Path: true}
	refused, restarted := rudderverdict.Finding{Path: true, Refused: true}, rudderverdict.Finding{Answered: true}
	skipped := rudderverdict.Finding{Alive: true, Skipped: true}
	const begin = time.Minute
	type probe struct {
		after   time.Duration
		finding rudderverdict.Finding
	}
	for _, test := range []struct {
		name         string
		silence      time.Duration // as told by an entry host with the first probe
		confirmed    bool          // by another entry host
		probes       []probe
		dead, silent bool
	}{
		{"answers", 0, false, []probe{{0, alive}}, false, false},
		{"silent", 0, false, []probe{{0, silent}, {ruddertarget.MinSilence - 1, silent}}, false, true},
		{"silent for long", 0, false, []probe{{0, silent}, {ruddertarget.MinSilence, silent}}, true, true},
		{"silent before the first probe", 300 * time.Millisecond, false, []probe{{0, silent}, {ruddertarget.MinSilence - 300*time.Millisecond, silent}}, true, true},
		{"silent twice", 0, false, []probe{{0, silent}, {500 * time.Millisecond, alive}, {ruddertarget.MinSilence, silent}}, false, true},
		{"refuses connections", 0, false, []probe{{0, refused}}, true, true},
		{"restarted", 0, false, []probe{{0, restarted}}, true, true},
		{"found dead by another entry host", 0, true, []probe{{0, silent}}, true, true},
		{"silent, then not probed", 0, false, []probe{{0, silent}, {2 * ruddertarget.MinSilence, skipped}}, false, true},
		{"dead, then not probed", 0, false, []probe{{0, refused}, {ruddertarget.MinSilence, skipped}}, true, true},
		{"silent after not probed", 0, false, []probe{{0, silent}, {300 * time.Millisecond, skipped}, {ruddertarget.MinSilence, silent}}, true, true},
		{"back", 0, true, []probe{{0, silent}, {2 * time.Second, alive}}, false, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			v := &probeResult{confirmed: test.confirmed}
			if test.silence > 0 {
				v.aliveAt = begin - test.silence
			}
			for _, p := range test.probes {
				v.record(p.finding, begin+p.after)
			}
			require.Equal(t, test.dead, v.dead)
			require.Equal(t, test.silent, v.silent)
		})
	}
}

// A stream has had no event for long, its target answers a probe, and falls silent afterwards. Guards against counting the silence
// of the stream as that of the target.
func TestSilenceBeginsAfterLastAnswer(t *testing.T) {
	w := newWorld("a", "b", "c")
	p, _ := w.run(t, "planner")
	require.Eventually(t, w.someOpen, 10*time.Second, 10*time.Millisecond)
	var silent atomic.Bool
	p.mu.Lock()
	p.Probe = func(ctx context.Context, x *rudderview.Target, suspected bool) rudderverdict.Finding {
		if silent.Load() {
			return rudderverdict.Finding{Path: true}
		}
		return w.probe(ctx, x, suspected)
	}
	p.mu.Unlock()
	born := p.View.Snapshot().Targets["a"].Born
	examine := func() (dead, silent []string) {
		dead, silent, planning := p.Examine(t.Context(), map[string]int64{"a": born}, 2*ruddertarget.MinSilence)
		require.True(t, planning)
		return dead, silent
	}
	time.Sleep(examineInterval)
	dead, unresponsive := examine()
	require.Empty(t, dead)
	require.Empty(t, unresponsive)
	silent.Store(true)
	time.Sleep(examineInterval + 10*time.Millisecond)
	dead, unresponsive = examine()
	require.Empty(t, dead)
	require.Equal(t, []string{"a"}, unresponsive)
}
