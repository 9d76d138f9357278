package rudderverdict

import (
	"context"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"comfreyrudder.example/rudderd/rudderview"
	"comfreyrudder.example/shared/ruddertarget"
)

// Guards against a silent target that is taken for dead, and against a lost one that is awaited for longer than needed.
func TestConfirm(t *testing.T) {
	const never = time.Hour
	for _, test := range []struct {
		name       string
		answers    time.Duration // from when on the target answers
		connect    error
		silence    time.Duration
		alive      bool
		from, upTo time.Duration
	}{
		{"answers", 0, nil, 0, true, 0, 300 * time.Millisecond},
		{"silent for a second", time.Second, errDown, 0, true, time.Second, 1400 * time.Millisecond},
		{"lost", never, errDown, 0, false, ruddertarget.MinSilence, 1500 * time.Millisecond},
		{"lost for a while", never, errDown, 600 * time.Millisecond, false, ruddertarget.MinSilence - 600*time.Millisecond, 900 * time.Millisecond},
		{"lost for long", never, errDown, 2 * time.Second, false, 0, 600 * time.Millisecond},
		{"nothing listens", never, syscall.ECONNREFUSED, 0, false, 0, 600 * time.Millisecond},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			d, _ := newDetector(dead, true)
			begin := time.Now()
			d.Probe = func(_ context.Context, _ *rudderview.Target, failed func()) (ruddertarget.GroupReport, bool) {
				if time.Since(begin) >= test.answers {
					return ruddertarget.GroupReport{Orders: 5, Born: 1}, true
				}
				failed()
				return ruddertarget.GroupReport{}, false
			}
			d.Connect = func(_ context.Context, address string) error {
				if address == "t0" {
					return test.connect
				}
				return nil
			}
			_, alive := d.Confirm(t.Context(), d.Snapshot().Targets["t0"], test.silence)
			require.Equal(t, test.alive, alive)
			require.GreaterOrEqual(t, time.Since(begin), test.from)
			require.Less(t, time.Since(begin), test.upTo)
		})
	}
}

// Guards against a sound target that is found dead, by an entry host without the planner, because it was silent for a second or so.
func TestConfirmOfSilentTarget(t *testing.T) {
	const probeTime = 250 * time.Millisecond
	for _, test := range []struct {
		name             string
		silence, answers time.Duration // answers: from when on the target answers
		again            time.Duration // from when on it is silent again for a while
		alive            bool
	}{
		{"events seldom", 250 * time.Millisecond, 1200 * time.Millisecond, 0, true},
		{"more than a second", 220 * time.Millisecond, 1300 * time.Millisecond, 0, true},
		{"for long", ruddertarget.MinSilence, 400 * time.Millisecond, 0, true},
		{"twice", 0, 500 * time.Millisecond, 900 * time.Millisecond, true},
		{"lost", 220 * time.Millisecond, time.Hour, 0, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d, _ := newDetector(dead, true)
				begin := time.Now()
				d.Uptime = func() time.Duration { return time.Since(begin) + time.Minute }
				d.Probe = func(_ context.Context, _ *rudderview.Target, failed func()) (ruddertarget.GroupReport, bool) {
					failed()
					for until := time.Now().Add(probeTime); time.Since(begin) < test.answers || test.again > 0 && time.Since(begin) >= test.again; time.Sleep(time.Millisecond) {
						if !time.Now().Before(until) {
							return ruddertarget.GroupReport{}, false
						}
					}
					return ruddertarget.GroupReport{Orders: 5, Born: 1}, true
				}
				d.Connect = func(context.Context, string) error { return nil }
				_, alive := d.Confirm(t.Context(), d.Snapshot().Targets["t0"], test.silence)
				require.Equal(t, test.alive, alive)
				require.Less(t, time.Since(begin), 1500*time.Millisecond)
			})
		})
	}
}

// Guards against a path that counts as lost although no other entry host reaches the target either.
func TestReachedElsewhere(t *testing.T) {
	for _, test := range []struct {
		name   string
		others []func() (Finding, error)
		want   bool
	}{
		{"by another", []func() (Finding, error){says(dead), says(alive)}, true},
		{"by nobody", []func() (Finding, error){says(dead), says(dead)}, false},
		{"restarted", []func() (Finding, error){says(restarted)}, false},
		{"no other entry host", nil, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			d, _ := newDetector(dead, true, test.others...)
			require.Equal(t, test.want, d.ReachedElsewhere(t.Context(), d.Snapshot().Targets["t0"]))
		})
	}
}
