package rudderlimit

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against more requests to a cold target than it bears, in a burst of requests that arrive a hundred times as fast, and against a
// limit that outlives the time for which the target is cold.
func TestColdTargetsInABurst(t *testing.T) {
	const rate, most = 17.0, 30 // most is below 1.5 times the rate, and 5
	p := Process{"a", 1}
	for _, test := range []struct {
		name  string
		named float64 // limit that the target names; 0 for none
		want  int     // in 3 s
	}{
		{"cold", 0, 50}, {"names a lower limit", 5, 14}, {"names a higher limit", 100, 50},
	} {
		t.Run(test.name, func(t *testing.T) {
			l := &Table{}
			now := at(100)
			l.Uptime = func() time.Duration { return now }
			if test.named > 0 {
				l.Name(p, test.named, now-at(10))
			}
			require.Equal(t, Began, l.SetCold(p, rate, now+at(3), now))
			sent := []time.Duration{}
			for end := now + at(3); now < end; now += time.Millisecond {
				if l.Wait(p, 5, now) == 0 {
					l.Take(p)
					sent = append(sent, now)
				}
			}
			require.InDelta(t, test.want, len(sent), 2)
			for i := range sent {
				if i >= most {
					require.Greater(t, sent[i]-sent[i-most], at(1))
				}
			}
			require.Equal(t, test.named > 0, l.Limited(p), "no longer cold")
		})
	}
}

// Guards against a cold target that ends the limit which the target names, at an entry host that hears of both.
func TestColdTargetsTellNothingAboutNamedLimits(t *testing.T) {
	p, now := Process{"a", 1}, at(100)
	a, b := &Table{}, &Table{}
	a.SetCold(p, 17, now+at(3), now)
	b.Name(p, 2, now-at(1))
	require.Empty(t, b.Merge(a.Reports([]Process{p}, now), now))
	require.True(t, b.Limited(p))
}

// Guards against a limit of an earlier incarnation, and against one that stays although the target is no longer cold.
func TestColdEnds(t *testing.T) {
	l, now := &Table{}, at(100)
	l.Uptime = func() time.Duration { return now }
	l.SetCold(Process{"a", 1}, 17, now+at(3), now)
	require.False(t, l.Limited(Process{"a", 2}))
	require.Equal(t, Ended, l.SetCold(Process{"a", 1}, 17, 0, now))
	require.False(t, l.Limited(Process{"a", 1}))
}
