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

const (
	overloadObjective = 300 * time.Millisecond
	overloadService   = 1500 * time.Millisecond
)

// played counts what became of the sends that arrived in a time.
type played struct{ refused, inTime, late, lost int }

// playLoad sends requests at multiples of what two groups can serve, and returns what became of the sends in each
// second. A refused caller comes back after the time that again returns for the told one, until it has had its
// tries.
func playLoad(seconds, tries int, load func(second int) float64, again func(told time.Duration) time.Duration) []played {
	engine := Speed{Step: overloadService / usualAnswer, Slots: 48}
	servers := map[string]*server{"a": {free: make([]time.Duration, engine.Slots)}, "b": {free: make([]time.Duration, engine.Slots)}}
	type arrival struct {
		at    time.Duration
		tried int
	}
	var arrivals []arrival
	for now := time.Duration(0); now < time.Duration(seconds)*time.Second; {
		arrivals = append(arrivals, arrival{at: now})
		now += time.Duration(float64(overloadService) / (load(int(now/time.Second)) * 2 * float64(engine.Slots)))
	}
	l := NewLedger()
	running := map[string]time.Duration{}
	out := make([]played, seconds)
	for i := 0; len(arrivals) > 0; i++ {
		next := arrivals[0]
		arrivals = arrivals[1:]
		for id, ends := range running {
			if ends <= next.at {
				l.Done(id)
				delete(running, id)
			}
		}
		second := &out[min(int(next.at/time.Second), seconds-1)]
		id := fmt.Sprint(i)
		group, told, _ := l.Pick(next.at, engine, groups("a", "b"), Request{ID: id, Limit: time.Minute, Objective: overloadObjective})
		if group != "" {
			starts, ends := servers[group].start(next.at, overloadService)
			running[id] = ends
			if starts-next.at <= overloadObjective {
				second.inTime++
			} else {
				second.late++
			}
			continue
		}
		second.refused++
		if next.tried+1 == tries {
			second.lost++
			continue
		}
		back := arrival{at: next.at + again(told), tried: next.tried + 1}
		place, _ := slices.BinarySearchFunc(arrivals, back, func(a, b arrival) int { return cmp.Compare(a.at, b.at) })
		arrivals = slices.Insert(arrivals, place, back)
	}
	return out
}

// The pattern of a fabric domain that is dark for some seconds at the crest: the groups that are left get 1.6
// times what they can serve. Guards against a queue that stands for seconds, so that every answer is late and
// not one more is served.
func TestOverloadServesInTime(t *testing.T) {
	const settled, seconds, capacity = 3, 15, 64 // the queue of the first seconds is worked off
	var sum played
	for _, p := range playLoad(seconds, 1, func(int) float64 { return 1.6 }, nil)[settled:] {
		sum.inTime, sum.late, sum.refused = sum.inTime+p.inTime, sum.late+p.late, sum.refused+p.refused
	}
	require.Greater(t, sum.inTime+sum.late, (seconds-settled)*capacity*95/100, "the groups are kept busy: %+v", sum)
	require.Greater(t, sum.inTime, (sum.inTime+sum.late)*4/5, "%+v", sum)
}

// The pattern of a short burst: guards against requests that are refused although they could soon be served.
func TestBurstIsNotRefused(t *testing.T) {
	seconds := playLoad(10, 1, func(second int) float64 {
		if second == 4 {
			return 1.3
		}
		return 0.7
	}, nil)
	for second, p := range seconds {
		require.Zero(t, p.refused, "second %d: %+v", second, p)
	}
}

// The pattern of callers that come back after a refusal, during five seconds of overload: guards against callers
// that are told to come back while all groups are still full, so that they are refused again and give up.
func TestRefusedCallersComeBackWhenThereIsRoom(t *testing.T) {
	const tries, longest = 3, 2 * time.Second // what a caller with a deadline of 6 s does
	const soon = 300 * time.Millisecond
	play := func(again func(told time.Duration) time.Duration) (sends, lost int) {
		overload := func(second int) float64 {
			if second >= 3 && second < 8 {
				return 1.4
			}
			return 0.6
		}
		for _, p := range playLoad(15, tries, overload, again) {
			sends += p.inTime + p.late + p.refused
			lost += p.lost
		}
		return sends, lost
	}
	sends, lost := play(func(told time.Duration) time.Duration { return min(max(told, soon), longest) })
	sendsBefore, lostBefore := play(func(time.Duration) time.Duration { return soon })
	t.Logf("sends %d, lost %d; at 300 ms: %d, %d", sends, lost, sendsBefore, lostBefore)
	require.Less(t, lost, lostBefore*3/4)
	require.Less(t, sends, sendsBefore)
}
