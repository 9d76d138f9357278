package rudderbalance

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// One of three groups is three times slower than the others, for a while, and some of its sends end early. Guards against requests
// that wait there because the ledger takes all groups for equally fast, against a group that counts as slow for ever, and against
// taking failures for speed.
func TestSlowerGroupGetsItsShare(t *testing.T) {
	const length = 20 * time.Second
	for _, test := range []struct {
		name   string
		load   float64 // of three groups, of which one can do a third
		inTime float64 // of the requests of the slow group
	}{
		{"below capacity", 0.6, 1},
		{"at capacity", 0.75, 0.9},
		{"overload", 1.2, 0.8},
	} {
		t.Run(test.name, func(t *testing.T) {
			list := varied(arrivals(0, length, 3*test.load, "", Request{}))
			taken, inTime := map[string]float64{}, map[string]float64{}
			simulate(NewLedger(), []float64{1, 1, 3}, list, func(a arrival, group string, wait time.Duration) {
				if a.at >= length/4 {
					taken[group]++
				}
				if a.at >= length/4 && wait <= overloadObjective {
					inTime[group]++
				}
			}, nil)
			require.GreaterOrEqual(t, inTime["c"], test.inTime*taken["c"])
			require.Positive(t, taken["c"])
			require.Less(t, taken["c"], taken["a"]*0.45)
		})
	}
}

// Guards against a pace that is kept although it is no longer measured, and against sends that ended early, for example because
// their target failed, that make a group look fast.
func TestPace(t *testing.T) {
	for _, test := range []struct {
		name  string
		took  time.Duration // by the sends of the group
		after time.Duration
		want  float64
	}{
		{"slow", 4500 * time.Millisecond, 0, 3},
		{"forgotten", 4500 * time.Millisecond, paceTTL, 1},
		{"ended early", 10 * time.Millisecond, 0, 1},
		{"even", 1800 * time.Millisecond, 0, 1},
		{"bounded", time.Minute, 0, maxPace},
	} {
		t.Run(test.name, func(t *testing.T) {
			l := NewLedger()
			now := time.Hour
			for range 20 {
				now += time.Second / 4
				for group, took := range map[string]time.Duration{"a": overloadService, "b": overloadService, "c": test.took} {
					l.observe(now, &send{group: l.account(group), at: now - took, expected: overloadService})
				}
			}
			now += test.after
			l.updatePaces(now)
			require.InDelta(t, test.want, l.groups["c"].pace, 0.7)
		})
	}
}
