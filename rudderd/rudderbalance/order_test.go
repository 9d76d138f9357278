package rudderbalance

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// served returns the share of the requests of each label that two groups serve in time after the first seconds, and as "busy" the
// work that they take relative to what they can do.
func served(l *Ledger, list []arrival) map[string]float64 {
	taken := 0.0
	seen, inTime := map[string]float64{}, map[string]float64{}
	simulate(l, []float64{1, 1}, varied(list), func(a arrival, group string, wait time.Duration) {
		if a.at < 3*time.Second {
			return
		}
		seen[a.label]++
		if group != "" {
			taken++
			if wait <= a.request.Objective {
				inTime[a.label]++
			}
		}
	}, nil)
	for label, n := range seen {
		inTime[label] /= n
	}
	inTime["busy"] = taken * overloadService.Seconds() / (2 * overloadSlots) / (list[len(list)-1].at - 3*time.Second).Seconds()
	return inTime
}

// Two groups get more than they can serve from kinds that differ in urgency or in their objectives. Guards against serving a
// less urgent kind more often than a more urgent one, against crowding out a kind that can wait for less time, and against
// starving a less urgent kind.
func TestOrderUnderOverload(t *testing.T) {
	const length = 20 * time.Second
	type load struct {
		load    float64 // of two groups
		request Request
	}
	for _, test := range []struct {
		name        string
		first, next load // the first one goes first, or both are equal
		firstLeast  float64
		excess      float64 // of the share of the next one
	}{
		{"burst of another urgency", load{0.5, Request{}}, load{1.5, Request{Urgency: 1}}, 0.97, 0.05},
		{"the more urgent kind is large", load{0.9, Request{}}, load{0.9, Request{Urgency: 1}}, 0.8, 0.05},
		{"the more urgent kind alone is too much", load{1.6, Request{Urgency: 1}}, load{0.4, Request{Urgency: 2}}, 0.4, 0.05},
		{"the less urgent kind can wait", load{0.5, Request{}}, load{1.5, Request{Urgency: 1, Objective: 2 * time.Second}}, 0.95, 0.05},
		{"one of two equal kinds can wait", load{0.8, Request{}}, load{0.8, Request{Objective: time.Second}}, 0.55, 0.1},
	} {
		t.Run(test.name, func(t *testing.T) {
			share := served(NewLedger(), append(arrivals(0, length, 2*test.first.load, "first", test.first.request),
				arrivals(time.Second, length, 2*test.next.load, "next", test.next.request)...))
			whole := (share["first"]*test.first.load + share["next"]*test.next.load) / (test.first.load + test.next.load)
			require.GreaterOrEqual(t, share["first"], test.firstLeast)
			require.LessOrEqual(t, share["next"], share["first"]+test.excess)
			require.GreaterOrEqual(t, share["next"], whole/4)
			require.Greater(t, share["busy"], 0.95)
		})
	}
}

// Below overload the order must change nothing. Guards against requests that are refused, or sent to another group, because of
// their urgency or their workspace although there is room.
func TestOrderChangesNothingWithoutOverload(t *testing.T) {
	picks := func(urgency int, workspace string) (list []string) {
		other := Request{Urgency: urgency, Objective: time.Second, Workspace: workspace}
		both := append(arrivals(0, 10*time.Second, 0.4, "", Request{Workspace: "a"}), arrivals(0, 10*time.Second, 1.4, "", other)...)
		simulate(NewLedger(), []float64{1, 1}, both, func(_ arrival, group string, _ time.Duration) { list = append(list, group) }, nil)
		return list
	}
	require.NotContains(t, picks(0, "a"), "")
	require.Equal(t, picks(0, "a"), picks(9, "b"))
}

// Guards against requests that are refused for a long time after a burst, although the groups have room again.
func TestOrderEndsWithTheOverload(t *testing.T) {
	const burst, end = 5 * time.Second, 15 * time.Second
	list := append(arrivals(0, end, 0.9, "", Request{}), arrivals(0, end, 0.8, "", Request{Urgency: 1, Objective: time.Second})...)
	list = append(list, arrivals(burst, burst+2*time.Second, 2, "", Request{})...)
	refused := map[bool]int{} // by whether it was long after the burst
	simulate(NewLedger(), []float64{1, 1}, list, func(a arrival, group string, _ time.Duration) {
		if group == "" {
			refused[a.at > burst+4*time.Second]++
		}
	}, nil)
	require.Positive(t, refused[false])
	require.Zero(t, refused[true])
}

// Two groups get more than they can serve from workspaces with very different traffic. Guards against a workspace that takes the
// capacity of others because it sends more, against shares that are left unused, and against starving the workspace.
func TestFairSharesUnderOverload(t *testing.T) {
	const length = 20 * time.Second
	for _, test := range []struct {
		name         string
		large, small float64 // load of one workspace, and of each of four others
		objective    time.Duration
		least        float64 // share of the others that is served
	}{
		{"ten times the traffic", 2, 0.2, overloadObjective, 0.95},
		{"ten times the traffic, and others with a shorter objective", 2, 0.2, time.Second, 0.95},
		{"others ask for more than their share", 4, 0.4, overloadObjective, 0.43},
		{"a flood", 10, 0.1, overloadObjective, 0.95},
	} {
		t.Run(test.name, func(t *testing.T) {
			list := arrivals(0, length, 2*test.large, "large", Request{Workspace: "large", Objective: test.objective})
			for _, name := range []string{"a", "b", "c", "d"} {
				list = append(list, arrivals(0, length, 2*test.small, "small", Request{Workspace: name})...)
			}
			share := served(NewLedger(), list)
			whole := (share["large"]*test.large + 4*share["small"]*test.small) / (test.large + 4*test.small)
			require.GreaterOrEqual(t, share["small"], test.least)
			require.GreaterOrEqual(t, share["large"], whole/4)
			require.Greater(t, share["busy"], 0.95)
		})
	}
}

// Entry hosts of earlier versions name no workspace. Guards against holding all of their requests to the share of one workspace.
func TestRequestsWithoutWorkspaceHaveNoShare(t *testing.T) {
	l := NewLedger()
	served(l, append(arrivals(0, 10*time.Second, 3, "old", Request{}), arrivals(0, 10*time.Second, 1, "new", Request{Workspace: "a"})...))
	require.False(t, l.OverShare(Request{Objective: overloadObjective}))
}
