package rudderentry

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func fleet() []Host {
	var hosts []Host
	for i := range 18 {
		hosts = append(hosts, Host{
			Name: fmt.Sprintf("entry-%02d", i), Address: fmt.Sprintf("10.0.0.%d:80", i), Live: true,
			Region: "laurentie", DataCentre: fmt.Sprintf("d%d", i%3), InFlight: 20,
		})
	}
	return hosts
}

func firsts(hosts []Host) map[string]int {
	counts := map[string]int{}
	for i := range 6000 {
		caller := Caller{Key: fmt.Sprint("caller-", i), Region: "laurentie", DataCentre: "d0"}
		counts[Rank(caller, hosts)[0].Name]++
	}
	return counts
}

// Guards against callers that herd on one address, and against addresses that are down, leaving,
// overloaded or loaded but still preferred.
func TestRankSpreadsCallers(t *testing.T) {
	hosts := fleet()
	hosts[0].Live = false
	hosts[3].Leaving = true
	hosts[6].QueuePermille = 900
	hosts[9].InFlight = 60
	counts := firsts(hosts)
	require.Zero(t, counts["entry-00"])
	require.Zero(t, counts["entry-03"])
	require.Zero(t, counts["entry-06"])
	require.Less(t, 2*counts["entry-09"], counts["entry-12"], "three times the load takes less than half the callers")
	for name, count := range counts {
		require.Less(t, count, 6000/2, name)
	}
	near := counts["entry-09"] + counts["entry-12"] + counts["entry-15"]
	require.Greater(t, near, 3000, "most callers stay in their data centre")
	last := Rank(Caller{Key: "x", Region: "laurentie", DataCentre: "d0"}, hosts)
	require.Len(t, last, 16)
	require.Equal(t, "entry-06", last[15].Name, "an overloaded host is the last resort")
}

// Guards against callers that change hosts although only another host left.
func TestRankIsStableForACaller(t *testing.T) {
	hosts := fleet()
	left := fleet()
	left[12].Leaving = true
	for i := range 300 {
		caller := Caller{Key: fmt.Sprint(i), Region: "laurentie", DataCentre: "d0"}
		before, after := Rank(caller, hosts), Rank(caller, left)
		if before[0].Name == "entry-12" {
			require.Equal(t, before[1], after[0])
			continue
		}
		require.Equal(t, before[0], after[0])
	}
}

// Guards against an overloaded host that sends callers to one that is worse off.
func TestBetterNamesALessLoadedHost(t *testing.T) {
	hosts := fleet()
	for i := range hosts {
		hosts[i].InFlight = 100
	}
	hosts[0].QueuePermille, hosts[0].InFlight = 1000, 90
	_, found := Better(Caller{Key: "x"}, hosts[0], hosts)
	require.False(t, found)
	hosts[5].InFlight = 10
	better, found := Better(Caller{Key: "x"}, hosts[0], hosts)
	require.True(t, found)
	require.Equal(t, "entry-05", better.Name)
}

// Guards against a stop that refuses callers with a valid ranking or cuts off running streams.
func TestLeavingSequence(t *testing.T) {
	start := time.Unix(1_800_000_000, 0)
	steps := []struct {
		after   time.Duration
		running int
		want    Phase
		listed  bool
		takes   bool
	}{
		{0, 3, PhaseLeaving, false, true},
		{gossipMargin + RankingTTL - time.Millisecond, 0, PhaseLeaving, false, true},
		{gossipMargin + RankingTTL, 2, PhaseDraining, false, false},
		{time.Minute, 1, PhaseDraining, false, false},
		{61 * time.Second, 0, PhaseStopped, false, false},
		{62 * time.Second, 1, PhaseStopped, false, false},
	}
	var l Leaving
	require.Equal(t, PhaseServing, l.Advance(start, 3))
	require.True(t, l.Listed() && l.TakesNewWork())
	l.Begin(start, time.Hour)
	for _, s := range steps {
		require.Equal(t, s.want, l.Advance(start.Add(s.after), s.running), s.after)
		require.Equal(t, s.listed, l.Listed(), s.after)
		require.Equal(t, s.takes, l.TakesNewWork(), s.after)
	}
	var limited Leaving
	limited.Begin(start, time.Minute)
	limited.Begin(start.Add(time.Hour), time.Hour)
	require.Equal(t, PhaseDraining, limited.Advance(start.Add(time.Minute), 1))
	require.Equal(t, PhaseStopped, limited.Advance(start.Add(gossipMargin+RankingTTL+time.Minute), 1))
}
