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

func firstChoices(hosts []Host) map[string]int {
	counts := map[string]int{}
	for i := range 6000 {
		caller := Caller{Key: fmt.Sprint("caller-", i), Region: "laurentie", DataCentre: "d0"}
		counts[Rank(caller, hosts)[0].Name]++
	}
	return counts
}

// Guards against callers that concentrate on one address, and against preferring hosts that are down,
// leaving, overloaded or under high load.
func TestRankSpreadsCallers(t *testing.T) {
	hosts := fleet()
	hosts[0].Live = false
	hosts[3].Leaving = true
	hosts[6].QueuePermille = 900
	hosts[9].InFlight = 60
	counts := firstChoices(hosts)
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

// Guards against callers that change to another host although a host left that they did not use.
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

// Guards against an overloaded host that redirects callers to a host with a higher load.
func TestLessLoaded(t *testing.T) {
	hosts := fleet()
	for i := range hosts {
		hosts[i].InFlight = 100
	}
	hosts[0].QueuePermille, hosts[0].InFlight = 1000, 90
	_, found := LessLoaded(Caller{Key: "x"}, hosts[0], hosts)
	require.False(t, found)
	hosts[5].InFlight = 10
	better, found := LessLoaded(Caller{Key: "x"}, hosts[0], hosts)
	require.True(t, found)
	require.Equal(t, "entry-05", better.Name)
}

// Guards against a shutdown that rejects callers with a valid cached ranking or cuts off running streams.
func TestShutdownPhases(t *testing.T) {
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
	var shutdown Shutdown
	require.Equal(t, PhaseServing, shutdown.Advance(start, 3))
	require.True(t, shutdown.Listed() && shutdown.TakesNewWork())
	shutdown.Begin(start, time.Hour)
	for _, s := range steps {
		require.Equal(t, s.want, shutdown.Advance(start.Add(s.after), s.running), s.after)
		require.Equal(t, s.listed, shutdown.Listed(), s.after)
		require.Equal(t, s.takes, shutdown.TakesNewWork(), s.after)
	}
	var limited Shutdown
	limited.Begin(start, time.Minute)
	limited.Begin(start.Add(time.Hour), time.Hour)
	require.Equal(t, PhaseDraining, limited.Advance(start.Add(time.Minute), 1))
	require.Equal(t, PhaseStopped, limited.Advance(start.Add(gossipMargin+RankingTTL+time.Minute), 1))
}

// Guards against work that is started although it can't end before it is cut off, and against refusing work that can.
func TestShutdownTakesWorkThatEndsInTime(t *testing.T) {
	begin := time.Unix(1_800_000_000, 0)
	end := 4*time.Second + gossipMargin + RankingTTL - deliveryMargin
	tests := []struct {
		after time.Duration
		work  Limit
		want  bool
	}{
		{0, Limit{}, false},
		{0, Limit{Duration: end + 1}, false},
		{0, Limit{Duration: end - 1}, true},
		{3 * time.Second, Limit{Duration: end - 2*time.Second}, false},
		{3 * time.Second, Limit{Deadline: begin.Add(end)}, true},
		{3 * time.Second, Limit{Deadline: begin.Add(end + 1)}, false},
		{3 * time.Second, Limit{Deadline: begin.Add(end + 1), Duration: time.Second}, true},
		{gossipMargin + RankingTTL, Limit{Duration: time.Second}, true},
		{end, Limit{Duration: time.Second}, false},
	}
	for _, test := range tests {
		var s Shutdown
		require.True(t, s.Takes(begin, test.work))
		s.Begin(begin, 4*time.Second)
		now := begin.Add(test.after)
		require.Equal(t, test.want, s.Takes(now, test.work), test)
		s.Advance(now, 1)
		require.Equal(t, test.want, s.MayStart(now, test.work), test)
		require.Equal(t, test.want && s.Phase() == PhaseLeaving, s.Takes(now, test.work), test)
	}
	var unlimited Shutdown
	unlimited.Begin(begin, 0)
	require.True(t, unlimited.Takes(begin, Limit{}))
}

// Guards against estimates below the slowest work of the last minutes, and against slow work that counts for ever.
func TestPaces(t *testing.T) {
	var p Paces
	now := time.Unix(1_800_000_000, 0)
	require.Zero(t, p.Bound("a", 10))
	p.Observe(now, "a", time.Second, 20*time.Millisecond)
	p.Observe(now, "a", 2*time.Second, 10*time.Millisecond)
	require.Equal(t, paceMargin*2180*time.Millisecond, p.Bound("a", 10))
	require.Zero(t, p.Bound("b", 10))
	for _, want := range []time.Duration{2 * time.Second, time.Second} {
		now = now.Add(paceWindow + 1)
		p.Observe(now, "a", time.Second, 0)
		require.Equal(t, paceMargin*want, p.Bound("a", 1))
	}
}

// Guards against an estimate for a long answer from answers of a single unit, which show nothing about the time for each
// further unit.
func TestPacesOfSingleUnits(t *testing.T) {
	var p Paces
	now := time.Unix(1_800_000_000, 0)
	p.Observe(now, "a", 50*time.Millisecond, 0)
	require.Zero(t, p.Bound("a", 1000))
	require.Equal(t, paceMargin*50*time.Millisecond, p.Bound("a", 1))
	p.Observe(now, "a", 50*time.Millisecond, 10*time.Millisecond)
	require.Equal(t, paceMargin*(50+9990)*time.Millisecond, p.Bound("a", 1000))
}

// Guards against an estimate that ignores work in progress which is slower than all work that has ended.
func TestPacesOfRunningWork(t *testing.T) {
	var p Paces
	p.Observe(time.Unix(1_800_000_000, 0), "a", time.Second, 10*time.Millisecond)
	usual := paceMargin * 1990 * time.Millisecond
	for _, test := range []struct {
		name    string
		running []Progress
		want    time.Duration
	}{
		{"waits for its first unit", []Progress{{Elapsed: 900 * time.Millisecond}}, usual},
		{"waits four times as long", []Progress{{Elapsed: 4 * time.Second}, {Elapsed: time.Second}}, 4 * usual},
		{"at the usual pace", []Progress{{Elapsed: 1500 * time.Millisecond, Units: 50}}, usual},
		{"at a third of it", []Progress{{Elapsed: 4500 * time.Millisecond, Units: 50}}, 3 * usual},
	} {
		require.Equal(t, test.want, p.Bound("a", 100, test.running...), test.name)
	}
}

// Hosts stop one after the other. Guards against callers that all stay for the usual time with the first host that is back.
func TestRankingsAreShortLivedWhileHostsLeave(t *testing.T) {
	taking, leaving, dead := Host{Live: true}, Host{Live: true, Leaving: true}, Host{}
	for _, test := range []struct {
		usual time.Duration
		hosts []Host
		want  time.Duration
	}{
		{10 * time.Second, []Host{taking, taking, dead}, 10 * time.Second},
		{10 * time.Second, []Host{taking, taking, taking, leaving}, 7500 * time.Millisecond},
		{10 * time.Second, []Host{taking, leaving, leaving, leaving, leaving}, 2 * time.Second},
		{10 * time.Second, []Host{leaving, leaving}, time.Second},
		{500 * time.Millisecond, []Host{taking, leaving, leaving}, 500 * time.Millisecond},
		{10 * time.Second, nil, 10 * time.Second},
	} {
		require.Equal(t, test.want, Lifetime(test.usual, test.hosts), "%v", test.hosts)
	}
}
