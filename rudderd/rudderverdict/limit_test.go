package rudderverdict

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"comfreyrudder.example/rudderd/rudderlimit"
	"comfreyrudder.example/rudderd/rudderview"
	"comfreyrudder.example/shared/rudderhost"
	"comfreyrudder.example/shared/ruddertarget"
)

// limitedFleet is a fleet of entry hosts that probe a target with a limit of requests. The first one is the planner and grants
// the permits. All probe as often as silent streams let them.
type limitedFleet struct {
	target    *rudderview.Target
	rate      float64
	detectors []*Detector
	limits    []*rudderlimit.Table
	answers   func(now time.Duration) bool
	reaches   func(host int) bool // reports whether connections of an entry host reach the target
	uptime    func() time.Duration
	findings  []Finding // of the planner

	mu       sync.Mutex
	arrivals []time.Duration
}

func newLimitedFleet(hosts int, rate float64) *limitedFleet {
	f := &limitedFleet{rate: rate, target: &rudderview.Target{Host: rudderhost.Host{Name: "t", Address: "t"}, Service: "llm", Born: 1}}
	started := time.Now()
	f.uptime = func() time.Duration { return time.Since(started) + time.Minute }
	s := &rudderview.Snapshot{Targets: map[string]*rudderview.Target{"t": f.target}}
	for i := range hosts {
		name := fmt.Sprint("e", i)
		s.EntryHosts = append(s.EntryHosts, rudderview.EntryHost{Name: name, Peer: name})
		l := &rudderlimit.Table{}
		l.Name(processOf(f.target), rate, f.uptime())
		f.limits = append(f.limits, l)
		f.detectors = append(f.detectors, &Detector{
			Name: name, Logger: zerolog.Nop(), Uptime: f.uptime, Snapshot: func() *rudderview.Snapshot { return s },
			Limits: l, Planning: func() bool { return i == 0 },
			Connect: func(context.Context, string) error {
				if f.reaches(i) {
					return nil
				}
				return errDown
			},
			Probe: func(_ context.Context, _ *rudderview.Target, failed func()) (ruddertarget.GroupReport, bool) {
				return f.probe(i, failed)
			},
			Ask: func(_ context.Context, x rudderview.EntryHost, t *rudderview.Target, q Question) (Finding, error) {
				var n int
				_, _ = fmt.Sscanf(x.Name, "e%d", &n)
				return f.detectors[n].ProbeForPeer(t, q), nil
			},
		})
	}
	return f
}

func (f *limitedFleet) arrive() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.arrivals = append(f.arrivals, f.uptime())
}

// probe sends up to two requests for a report.
func (f *limitedFleet) probe(host int, failed func()) (ruddertarget.GroupReport, bool) {
	for i, timeout := range []time.Duration{100 * time.Millisecond, 150 * time.Millisecond} {
		f.limits[host].CountProbe(processOf(f.target))
		if f.reaches(host) {
			f.arrive()
		}
		if f.reaches(host) && f.answers(f.uptime()) {
			time.Sleep(time.Millisecond)
			return ruddertarget.GroupReport{Orders: 1, Born: 1}, true
		}
		time.Sleep(timeout)
		if i == 0 {
			failed()
		}
	}
	return ruddertarget.GroupReport{}, false
}

// run lets all entry hosts probe for a time, while requests use up all permits.
func (f *limitedFleet) run(d time.Duration) {
	begin := f.uptime()
	var running sync.WaitGroup
	for i, detector := range f.detectors {
		running.Go(func() {
			time.Sleep(time.Duration(i) * 10 * time.Millisecond)
			for f.uptime()-begin < d {
				switch {
				case i == 0:
					f.findings = append(f.findings, detector.Examine(context.Background(), f.target, len(f.findings)%2 == 1))
					time.Sleep(300 * time.Millisecond)
				case i%2 == 0:
					_, _ = detector.Verdict(context.Background(), f.target)
					time.Sleep(600 * time.Millisecond)
				default:
					_ = detector.ReachedElsewhere(context.Background(), f.target)
					time.Sleep(600 * time.Millisecond)
				}
			}
		})
	}
	for f.uptime()-begin < d {
		now := f.uptime()
		for _, l := range f.limits[1:] {
			f.limits[0].Merge(l.Reports([]rudderlimit.Process{processOf(f.target)}, now), now)
		}
		if f.limits[0].Wait(processOf(f.target), 0, now) == 0 {
			f.limits[0].Take(processOf(f.target))
			f.arrive()
		}
		time.Sleep(10 * time.Millisecond)
	}
	running.Wait()
	time.Sleep(time.Second) // probes for others end
}

// Guards against probes of a target by which it gets more requests than the limit that it names allows, while it is silent or
// late on many entry hosts at once.
func TestProbesKeepToLimits(t *testing.T) {
	const duration, span, ratio, extra = 20 * time.Second, 4 * time.Second, 1.5, 5
	never, always := func(time.Duration) bool { return false }, func(time.Duration) bool { return true }
	all, some := func(int) bool { return true }, func(host int) bool { return host%2 == 1 }
	for _, test := range []struct {
		name    string
		reaches func(host int) bool
		answers func(now time.Duration) bool
	}{
		{"silent", all, never}, {"answers", all, always}, {"answers now and then", all, func(now time.Duration) bool { return now%time.Second < 400*time.Millisecond }},
		{"cut off from some hosts", some, always}, {"silent, cut off from some hosts", some, never},
	} {
		for _, hosts := range []int{4, 18} {
			for _, rate := range []float64{0.5, 4, 20} {
				t.Run(fmt.Sprint(test.name, ", ", hosts, " hosts, ", rate, " a second"), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						f := newLimitedFleet(hosts, rate)
						f.reaches, f.answers = test.reaches, test.answers
						f.run(duration)
						most, first := 0, 0
						for i, at := range f.arrivals {
							for at-f.arrivals[first] > span {
								first++
							}
							most = max(most, i-first+1)
						}
						require.LessOrEqual(t, most, int(ratio*rate*span.Seconds())+extra)
						require.GreaterOrEqual(t, float64(len(f.arrivals)), 0.6*rate*duration.Seconds(), "limit not used up")
					})
				})
			}
		}
	}
}

// Guards against a lost or ended target that is not found because it has named a limit of requests.
func TestLostTargetWithLimitIsFound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newLimitedFleet(4, 0.5)
		f.reaches = func(int) bool { return false }
		f.run(10 * time.Second)
		require.Greater(t, len(f.findings), 10)
		for _, found := range f.findings {
			require.Equal(t, Finding{Path: true}, found)
		}
	})
}

// Guards against a target that is silent for good and accepts connections, but is not found because it has named a limit of
// requests, and against one that is found silent by an entry host which alone gets no answer.
func TestSilentTargetWithLimitIsFound(t *testing.T) {
	for _, test := range []struct {
		name   string
		answer bool // to the other entry hosts
	}{{"silent", false}, {"answers others", true}} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newLimitedFleet(4, 4)
				f.reaches, f.answers = func(int) bool { return true }, func(time.Duration) bool { return test.answer }
				f.detectors[0].Probe = func(_ context.Context, _ *rudderview.Target, failed func()) (ruddertarget.GroupReport, bool) {
					failed()
					return ruddertarget.GroupReport{}, false
				}
				f.run(20 * time.Second)
				silent, alive := 0, 0
				for _, found := range f.findings {
					switch {
					case found.Answered && found.Alive:
						alive++
					case !found.Skipped:
						silent++
					}
				}
				require.Equal(t, test.answer, alive >= 3)
				require.Equal(t, !test.answer, silent >= 3)
			})
		})
	}
}
