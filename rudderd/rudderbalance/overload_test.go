package rudderbalance

import (
	"cmp"
	"fmt"
	"slices"
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

// The pattern of callers that come back after a refusal, during five seconds of overload: guards against callers
// that are told to come back while all groups are still full, so that they are refused again and give up.
func TestRefusedCallersComeBackWhenThereIsRoom(t *testing.T) {
	const tries, longest = 3, 2 * time.Second // what a caller with a deadline of 6 s does
	play := func(after func(told time.Duration) time.Duration) (sends, lost int) {
		const objective, service = 300 * time.Millisecond, 1500 * time.Millisecond
		engine := Speed{Step: service / usualAnswer, Slots: 48}
		type arrival struct {
			at    time.Duration
			tried int
		}
		var arrivals []arrival
		for now := time.Duration(0); now < 15*time.Second; {
			load := 0.6
			if now > 3*time.Second && now < 8*time.Second {
				load = 1.4
			}
			arrivals = append(arrivals, arrival{at: now})
			now += time.Duration(float64(service) / (load * 2 * float64(engine.Slots)))
		}
		l := NewLedger()
		running := map[string]time.Duration{}
		for i := 0; len(arrivals) > 0; i++ {
			next := arrivals[0]
			arrivals = arrivals[1:]
			for id, ends := range running {
				if ends <= next.at {
					l.Done(id)
					delete(running, id)
				}
			}
			sends++
			id := fmt.Sprint(i)
			group, told, _ := l.Pick(next.at, engine, groups("a", "b"), Request{ID: id, Limit: time.Minute, Objective: objective})
			switch {
			case group != "":
				running[id] = next.at + told + service
			case next.tried+1 == tries:
				lost++
			default:
				again := arrival{at: next.at + min(after(told), longest), tried: next.tried + 1}
				place, _ := slices.BinarySearchFunc(arrivals, again, func(a, b arrival) int { return cmp.Compare(a.at, b.at) })
				arrivals = slices.Insert(arrivals, place, again)
			}
		}
		return sends, lost
	}
	sends, lost := play(func(told time.Duration) time.Duration { return max(told, 300*time.Millisecond) })
	sendsBefore, lostBefore := play(func(time.Duration) time.Duration { return 300 * time.Millisecond })
	t.Logf("sends %d, lost %d; at 300 ms: %d, %d", sends, lost, sendsBefore, lostBefore)
	require.Less(t, lost, lostBefore*3/4)
	require.Less(t, sends, sendsBefore)
}
