package rudderbalance

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A burst on groups with some room is refused for the most part. Guards against callers that all come back at the same time, when
// they were told, and are refused for the same reason, and against retry times so long that room stays unused.
func TestCallersReturnOneByOne(t *testing.T) {
	const tries = 3
	for _, test := range []struct {
		name        string
		calm, burst float64 // loads of two groups; the burst lasts for 200 ms
		refused     float64 // of the callers that come back
		lost        float64 // of the callers that are refused
	}{
		{"half of the capacity is free", 0.5, 12, 0.2, 0},
		// The places of the longest retry time do not suffice for all.
		{"a fifth of the capacity is free", 0.8, 8, 0.3, 0.05},
	} {
		t.Run(test.name, func(t *testing.T) {
			list := arrivals(0, 12*time.Second, 2*test.calm, "calm", Request{Limit: 9 * time.Second})
			list = append(list, arrivals(5*time.Second, 5200*time.Millisecond, 2*test.burst, "burst", Request{Limit: 9 * time.Second})...)
			returned, refused := 0.0, [tries]float64{} // by tries before
			simulate(NewLedger(), []float64{1, 1}, varied(list), func(a arrival, group string, _ time.Duration) {
				if a.tried > 0 {
					returned++
				}
				if group == "" {
					refused[a.tried]++
				}
			}, func(a arrival, retryAfter time.Duration) time.Duration {
				if a.tried+1 == tries {
					return 0
				}
				return max(retryAfter, time.Millisecond)
			})
			require.LessOrEqual(t, refused[1]+refused[2], test.refused*returned)
			require.LessOrEqual(t, refused[2], test.lost*refused[0])
		})
	}
}

// Guards against callers of targets with a limit that all come back when the next permit is free.
func TestCallersReturnAtTheRateOfPermits(t *testing.T) {
	l := NewLedger()
	list := []Group{{ID: "a", Wait: 100 * time.Millisecond, Rate: 4}, {ID: "b", Wait: time.Second, Rate: 6}}
	for i, want := range []time.Duration{100, 200, 300} {
		_, wait, full := l.Pick(time.Second, speed, list, Request{ID: string(rune('a' + i)), Limit: time.Minute})
		require.True(t, full)
		require.Equal(t, want*time.Millisecond, wait)
	}
	for range 100 {
		_, wait, _ := l.Pick(time.Second, speed, list, Request{Limit: 3 * time.Second})
		require.LessOrEqual(t, wait, time.Second, "callers wait for a third of the time left")
	}
}
