package rudderbalance

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// server simulates a group that serves requests in order of arrival, each in one of its slots.
type server struct {
	free []time.Duration // time at which each slot becomes free
	pace float64         // multiplies service times
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
	ends = starts + time.Duration(s.pace*float64(service))
	s.free[first] = ends
	return starts, ends
}

const (
	overloadObjective = 300 * time.Millisecond
	overloadService   = 1500 * time.Millisecond
	overloadSlots     = 48
)

// arrival is one send of a caller.
type arrival struct {
	at      time.Duration
	tried   int
	request Request
	label   string
	service time.Duration
}

// arrivals returns sends of one kind from a time to another one, at a multiple of what one group can serve.
func arrivals(from, to time.Duration, load float64, label string, r Request) (list []arrival) {
	if r.Objective == 0 {
		r.Objective = overloadObjective
	}
	r.Limit, r.Cost = cmp.Or(r.Limit, time.Minute), overloadService/overloadSlots
	for at := from; at < to; at += time.Duration(float64(overloadService) / (load * overloadSlots)) {
		list = append(list, arrival{at: at, request: r, label: label, service: overloadService})
	}
	return list
}

// varied gives arrivals random service times, and moves them a little.
func varied(list []arrival) []arrival {
	random := rand.New(rand.NewPCG(1, 2))
	for i := range list {
		list[i].service = time.Duration((0.5 + random.Float64()) * float64(overloadService))
		list[i].at += time.Duration(random.Float64() * float64(50*time.Millisecond))
	}
	return list
}

// simulate runs the arrivals on one group for each pace, and reports what becomes of each send: the group and the wait there, or
// the retry time. A refused caller returns after the time that again returns, or not if that is 0.
func simulate(l *Ledger, paces []float64, list []arrival, report func(a arrival, group string, wait time.Duration), again func(a arrival, retryAfter time.Duration) time.Duration) {
	engine := Speed{Step: overloadService / defaultAnswerTokens, Slots: overloadSlots}
	servers, names := map[string]*server{}, []string{}
	for i, pace := range paces {
		names = append(names, string(rune('a'+i)))
		servers[names[i]] = &server{free: make([]time.Duration, engine.Slots), pace: pace}
	}
	slices.SortStableFunc(list, func(a, b arrival) int { return cmp.Compare(a.at, b.at) })
	type end struct {
		at time.Duration
		id string
	}
	var ends []end
	for i := 0; len(list) > 0; i++ {
		next := list[0]
		list = list[1:]
		for len(ends) > 0 && ends[0].at <= next.at {
			l.Done(ends[0].at, ends[0].id)
			ends = ends[1:]
		}
		next.request.ID = fmt.Sprint(i)
		group, wait, _ := l.Pick(next.at, engine, groups(names...), next.request)
		if group != "" {
			starts, at := servers[group].start(next.at, next.service)
			place, _ := slices.BinarySearchFunc(ends, at, func(e end, at time.Duration) int { return cmp.Compare(e.at, at) })
			ends = slices.Insert(ends, place, end{at, next.request.ID})
			wait = starts - next.at
		}
		report(next, group, wait)
		if group != "" || again == nil {
			continue
		}
		if after := again(next, wait); after > 0 {
			next.at, next.tried = next.at+after, next.tried+1
			place, _ := slices.BinarySearchFunc(list, next, func(a, b arrival) int { return cmp.Compare(a.at, b.at) })
			list = slices.Insert(list, place, next)
		}
	}
}

// loadCounts counts sends by what became of them.
type loadCounts struct{ refused, inTime, late, lost int }

// simulateLoad sends requests at multiples of what two groups can serve, and returns the counts for each second. A refused
// caller returns after the time that again computes from the retry time it was given, until its tries are used up.
func simulateLoad(seconds, tries int, load func(second int) float64, again func(retryAfter time.Duration) time.Duration) []loadCounts {
	var list []arrival
	for second := range seconds {
		from := time.Duration(second) * time.Second
		list = append(list, arrivals(from, from+time.Second, 2*load(second), "", Request{})...)
	}
	out := make([]loadCounts, seconds)
	simulate(NewLedger(), []float64{1, 1}, list, func(a arrival, group string, wait time.Duration) {
		second := &out[min(int(a.at/time.Second), seconds-1)]
		switch {
		case group == "":
			second.refused++
			if a.tried+1 == tries {
				second.lost++
			}
		case wait <= a.request.Objective:
			second.inTime++
		default:
			second.late++
		}
	}, func(a arrival, retryAfter time.Duration) time.Duration {
		if a.tried+1 == tries {
			return 0
		}
		return again(retryAfter)
	})
	return out
}

// While a fabric domain is unavailable for some seconds at a load peak, the remaining groups get 1.6 times what they
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
