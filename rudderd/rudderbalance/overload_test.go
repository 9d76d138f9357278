package rudderbalance

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// server is one group that works requests off in order of arrival: slots at a time, each for service.
type server struct {
	free []time.Duration // when each slot becomes free
}

// start takes a request and returns when it starts and ends.
func (s *server) start(now, service time.Duration) (starts, ends time.Duration) {
	first := 0
	for i := range s.free {
		if s.free[i] < s.free[first] {
			first = i
		}
	}
	starts = max(now, s.free[first])
	ends = starts + service
	s.free[first] = ends
	return starts, ends
}

// played counts what became of requests that arrived in a time.
type played struct{ refused, inTime, late int }

// playLoad sends requests at multiples of what two groups can serve, and returns what became of them in each
// second.
func playLoad(seconds int, load func(second int) float64) []played {
	const objective, service = 300 * time.Millisecond, 1500 * time.Millisecond
	engine := Speed{Step: service / usualAnswer, Slots: 48}
	servers := map[string]*server{"a": {free: make([]time.Duration, engine.Slots)}, "b": {free: make([]time.Duration, engine.Slots)}}
	type end struct {
		id string
		at time.Duration
	}
	var ends []end
	l := NewLedger()
	out := make([]played, seconds)
	now := time.Duration(0)
	for i := 0; now < time.Duration(seconds)*time.Second; i++ {
		second := int(now / time.Second)
		kept := ends[:0]
		for _, e := range ends {
			if e.at <= now {
				l.Done(e.id)
			} else {
				kept = append(kept, e)
			}
		}
		ends = kept
		id := fmt.Sprint(i)
		group, _, _ := l.Pick(now, engine, groups("a", "b"), Request{ID: id, Limit: time.Minute, Objective: objective})
		if group == "" {
			out[second].refused++
		} else {
			starts, done := servers[group].start(now, service)
			ends = append(ends, end{id, done})
			if starts-now <= objective {
				out[second].inTime++
			} else {
				out[second].late++
			}
		}
		perSecond := load(second) * 2 * float64(engine.Slots) / service.Seconds()
		now += time.Duration(float64(time.Second) / perSecond)
	}
	return out
}

// The pattern of a fabric domain that is dark for some seconds at the crest: the groups that are left get 1.6
// times what they can serve. Guards against a queue that stands for seconds, so that every answer is late and
// not one more is served.
func TestOverloadServesInTime(t *testing.T) {
	const settled, seconds, capacity = 3, 15, 64 // the queue of the first seconds is worked off
	var sum played
	for _, p := range playLoad(seconds, func(int) float64 { return 1.6 })[settled:] {
		sum.inTime, sum.late, sum.refused = sum.inTime+p.inTime, sum.late+p.late, sum.refused+p.refused
	}
	require.Greater(t, sum.inTime+sum.late, (seconds-settled)*capacity*95/100, "the groups are kept busy: %+v", sum)
	require.Greater(t, sum.inTime, (sum.inTime+sum.late)*4/5, "%+v", sum)
}

// The pattern of a short burst: guards against requests that are refused although they could soon be served.
func TestBurstIsNotRefused(t *testing.T) {
	seconds := playLoad(10, func(second int) float64 {
		if second == 4 {
			return 1.3
		}
		return 0.7
	})
	for second, p := range seconds {
		require.Zero(t, p.refused, "second %d: %+v", second, p)
	}
}
