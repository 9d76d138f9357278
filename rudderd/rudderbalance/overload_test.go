package rudderbalance

import (
	"cmp"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// server simulates a group that serves requests in order of arrival, each in one of its slots for its service
// time.
type server struct {
	free []time.Duration // time at which each slot becomes free
}

// start accepts a request and returns when it starts and ends.
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

// loadCounts counts sends by what became of them.
type loadCounts struct{ refused, inTime, late, lost int }

// simulateLoad sends requests at multiples of what two groups can serve, and returns the counts for each
// second. A refused caller returns after the time that again computes from the retry time it was given, until
// its tries are used up.
func simulateLoad(seconds, tries int, load func(second int) float64, again func(retryAfter time.Duration) time.Duration) []loadCounts {
	engine := Speed{Step: overloadService / defaultAnswerTokens, Slots: 48}
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
	out := make([]loadCounts, seconds)
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
		group, retryAfter, _ := l.Pick(next.at, engine, groups("a", "b"), Request{ID: id, Limit: time.Minute, Objective: overloadObjective})
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
		back := arrival{at: next.at + again(retryAfter), tried: next.tried + 1}
		place, _ := slices.BinarySearchFunc(arrivals, back, func(a, b arrival) int { return cmp.Compare(a.at, b.at) })
		arrivals = slices.Insert(arrivals, place, back)
	}
	return out
}

// While a fabric domain is dark for some seconds at a load peak, the remaining groups get 1.6 times what they
// can serve. Guards against a queue that lasts for seconds, so that every answer is late and no more requests
// are served.
func TestOverloadServesInTime(t *testing.T) {
	const settled, seconds, capacity = 3, 15, 64 // by then the queue of the first seconds has been served
	var sum loadCounts
	for _, p := range simulateLoad(seconds, 1, func(int) float64 { return 1.6 }, nil)[settled:] {
		sum.inTime, sum.late, sum.refused = sum.inTime+p.inTime, sum.late+p.late, sum.refused+p.refused
	}
	require.Greater(t, sum.inTime+sum.late, (seconds-settled)*capacity*95/100, "the groups are kept busy: %+v", sum)
	require.Greater(t, sum.inTime, (sum.inTime+sum.late)*4/5, "%+v", sum)
}

// Guards against refusing requests of a short burst that could be served soon.
func TestBurstIsNotRefused(t *testing.T) {
	seconds := simulateLoad(10, 1, func(second int) float64 {
		if second == 4 {
			return 1.3
		}
		return 0.7
	}, nil)
	for second, p := range seconds {
		require.Zero(t, p.refused, "second %d: %+v", second, p)
	}
}

// Refused callers return during five seconds of overload. Guards against retry times that end while all
// groups are still full, so that callers are refused again and give up.
func TestRefusedCallersComeBackWhenThereIsRoom(t *testing.T) {
	const tries, longest = 3, 2 * time.Second // as of a caller with a deadline of 6 s
	const soon = 300 * time.Millisecond
	simulate := func(again func(retryAfter time.Duration) time.Duration) (sends, lost int) {
		overload := func(second int) float64 {
			if second >= 3 && second < 8 {
				return 1.4
			}
			return 0.6
		}
		for _, p := range simulateLoad(15, tries, overload, again) {
			sends += p.inTime + p.late + p.refused
			lost += p.lost
		}
		return sends, lost
	}
	sends, lost := simulate(func(retryAfter time.Duration) time.Duration { return min(max(retryAfter, soon), longest) })
	sendsBefore, lostBefore := simulate(func(time.Duration) time.Duration { return soon })
	t.Logf("sends %d, lost %d; at 300 ms: %d, %d", sends, lost, sendsBefore, lostBefore)
	require.Less(t, lost, lostBefore*3/4)
	require.Less(t, sends, sendsBefore)
}
