package rudderadmission

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"comfreyrudder.example/shared/rudderconfig"
)

var start = time.Date(2026, 3, 2, 8, 0, 0, 0, time.UTC)

func newShard(groups ...Group) *Shard {
	s := NewShard(nil)
	s.SetGroups(start, groups)
	return s
}

func short(id, workspace string) Work {
	return Work{RequestID: id, Holder: "h", Workspace: workspace, Class: rudderconfig.ClassShort, Tokens: 100}
}

func long(id string) Work {
	return Work{RequestID: id, Holder: "h", Workspace: "w", Class: rudderconfig.ClassLong, Tokens: 2000}
}

// Guards against long work that takes the slots reserved for short work, and against short work that cannot
// use free slots.
func TestLongWorkLeavesTheReservedShare(t *testing.T) {
	s := newShard(Group{ID: "g", Slots: 8})
	for i := range 6 {
		require.Equal(t, Granted, s.Admit(start, long(fmt.Sprint("l", i))).Kind)
	}
	require.Equal(t, Queued, s.Admit(start, long("l6")).Kind)
	require.Equal(t, Granted, s.Admit(start, short("s0", "w")).Kind)
	require.Equal(t, Granted, s.Admit(start, short("s1", "w")).Kind)
	require.Equal(t, Queued, s.Admit(start, short("s2", "w")).Kind)
	decisions := s.Release(start.Add(time.Second), "l0", Outcome{Tokens: 2000})
	require.Equal(t, "s2", decisions[0].RequestID, "short work is served before long work")
}

// Guards against a workspace that floods the queue and starves others, and against weights without effect.
func TestQueueIsFairByWeightedTokens(t *testing.T) {
	s := NewShard(func(rudderconfig.Preset) Policy {
		p := PolicyFor("")
		p.QueuePerSlot, p.ShortDeadline = 1000, time.Hour
		return p
	})
	s.SetGroups(start, []Group{{ID: "g", Slots: 1}})
	s.Admit(start, short("running", "x"))
	for i := range 300 {
		w := short(fmt.Sprint("a", i), "a")
		s.Admit(start, w)
	}
	for i := range 300 {
		w := short(fmt.Sprint("b", i), "b")
		w.Weight, w.Tokens = 2, 50
		s.Admit(start, w)
	}
	served, id, now := map[byte]int{}, "running", start
	for range 200 {
		now = now.Add(time.Second)
		d := s.Release(now, id, Outcome{})
		require.Len(t, d, 1)
		id = d[0].RequestID
		served[id[0]]++
	}
	// Twice the weight and half the tokens: four times as many requests.
	require.InDelta(t, 4, float64(served['b'])/float64(served['a']), 0.5)
}

// Guards against requests that wait past their deadline or in a queue that cannot drain in time, and against a
// retry time that ignores the drain rate.
func TestRefusalAndDeadline(t *testing.T) {
	s := newShard(Group{ID: "g", Slots: 2})
	for i := range 4 {
		w := short(fmt.Sprint(i), "w")
		w.Tokens = 40
		s.Admit(start, w)
	}
	refused := s.Admit(start, short("4", "w"))
	require.Equal(t, Refused, refused.Kind)
	// Half of the 80 queued tokens at two slots of 16 tokens a second, spread by up to a quarter.
	require.InDelta(t, 1.25*1.125, refused.RetryAfter.Seconds(), 1.25*0.126)
	require.Empty(t, s.Tick(start.Add(time.Second)))
	expired := s.Tick(start.Add(2 * time.Second))
	require.Len(t, expired, 2)
	require.Equal(t, Expired, expired[0].Kind)
	require.Zero(t, s.QueueLength())
	given, known := s.Abandon(start, "0")
	require.True(t, known)
	require.Equal(t, Expired, given.Kind)
}

// Guards against work that avoids the only group with a free slot and thereby blocks later work of its
// workspace, queued or new.
func TestWorkThatAvoidsGroupsDoesNotBlockTheQueue(t *testing.T) {
	s := newShard(Group{ID: "a", Slots: 1}, Group{ID: "b", Slots: 1})
	ids := []string{"1", "2"}
	for _, id := range ids {
		require.Equal(t, Granted, s.Admit(start, short(id, "w")).Kind)
	}
	avoids, later := short("avoids", "w"), short("later", "w")
	avoids.Tokens, later.Tokens = 10, 10
	avoids.Avoid = []string{"a"}
	require.Equal(t, Queued, s.Admit(start, avoids).Kind)
	require.Equal(t, Queued, s.Admit(start, later).Kind)
	inA := slices.IndexFunc(ids, func(id string) bool { return s.held[id].group.ID == "a" })
	d := s.Release(start, ids[inA], Outcome{})
	require.Len(t, d, 1)
	require.Equal(t, "later", d[0].RequestID)
	s.Release(start, "later", Outcome{})
	require.Equal(t, Granted, s.Admit(start, short("new", "w")).Kind)
	d = s.Release(start, ids[1-inA], Outcome{})
	require.Len(t, d, 1)
	require.Equal(t, "avoids", d[0].RequestID)
}

// Guards against losing queued work or held slots when groups are removed.
func TestRemovedGroup(t *testing.T) {
	s := newShard(Group{ID: "a", Slots: 1}, Group{ID: "b", Slots: 1})
	first := s.Admit(start, short("1", "w"))
	s.Admit(start, short("2", "w"))
	require.Equal(t, Queued, s.Admit(start, short("3", "w")).Kind)
	rest := Group{ID: "b", Slots: 1}
	if first.Group == "b" {
		rest.ID = "a"
	}
	require.Empty(t, s.SetGroups(start, []Group{rest}))
	require.Equal(t, 1, s.HeldCount(first.Group), "the slot stays until it is released")
	require.Empty(t, s.Release(start, "1", Outcome{}), "a draining group takes no new work")
	d := s.Release(start, "2", Outcome{})
	require.Equal(t, rest.ID, d[0].Group)
	require.Equal(t, Queued, s.Admit(start, short("4", "w")).Kind)
	d = s.SetGroups(start, nil)
	require.Equal(t, NoGroup, d[0].Kind, "no group remains")
}

// Guards against a new owner that grants slots which are still held under grants of the old owner.
func TestOwnerChangeCountsReportedLoad(t *testing.T) {
	s := newShard(Group{ID: "g", Slots: 2})
	s.Report("g", 2, start)
	require.Equal(t, []string{"g"}, s.OverAdmitted())
	require.Equal(t, Queued, s.Admit(start, short("new", "w")).Kind)
	require.False(t, s.Renew(start, "h", Summary{}.With("1", 1).With("2", 1)), "the new owner asks for the list")
	s.ReconcileHeld(start, "h", []HeldSlot{{Work: short("1", "w"), Group: "g"}, {Work: short("2", "w"), Group: "g"}})
	require.Empty(t, s.OverAdmitted())
	require.Equal(t, 1, s.QueueLength(), "both slots are in use")
	require.True(t, s.Renew(start, "h", Summary{}.With("1", 1).With("2", 1)))
	d := s.ReconcileHeld(start.Add(3*time.Second), "h", []HeldSlot{{Work: short("1", "w"), Group: "g"}})
	require.Len(t, d, 1, "the slot missing from the list is free")
	require.Equal(t, 2, s.HeldCount("g"))
	s.Renew(start.Add(10*time.Second), "h", Summary{})
	s.Tick(start.Add(24 * time.Second))
	require.Equal(t, 2, s.HeldCount("g"), "a renewal with a different summary still extends the lease")
	d = s.Tick(start.Add(time.Minute))
	require.Empty(t, d)
	require.Zero(t, s.HeldCount("g"), "leases that are not renewed end")
}

// Guards against a slow group that gets as much work as the others.
func TestStragglerGetsLessWork(t *testing.T) {
	s := newShard(Group{ID: "fast", Slots: 8}, Group{ID: "slow", Slots: 8})
	for i := range 40 {
		id := fmt.Sprint(i)
		elapsed := 2 * time.Second
		if d := s.Admit(start, short(id, "w")); d.Group == "slow" {
			elapsed = 10 * time.Second
		}
		if i%2 == 1 {
			s.Release(start.Add(elapsed), id, Outcome{Tokens: 100})
			s.Release(start.Add(2*time.Second), fmt.Sprint(i-1), Outcome{Tokens: 100})
		}
	}
	counts := map[string]int{}
	for i := range 8 {
		counts[s.Admit(start, short(fmt.Sprint("x", i), "w")).Group]++
	}
	require.LessOrEqual(t, counts["slow"], 1)
}

// Guards against more held slots than a group has, and against final decisions that are lost or repeated, under
// random sequences of calls.
func TestRandomCallsKeepTheLimits(t *testing.T) {
	rng := rand.New(rand.NewPCG(7, 7))
	s := newShard(Group{ID: "a", Slots: 3}, Group{ID: "b", Slots: 5})
	now, open := start, map[string]bool{}
	final := func(ds ...Decision) {
		for _, d := range ds {
			require.True(t, open[d.RequestID], "%s is answered once", d.RequestID)
			delete(open, d.RequestID)
		}
	}
	var held []string
	for i := range 5000 {
		now = now.Add(time.Duration(rng.IntN(100)) * time.Millisecond)
		w := short(fmt.Sprint(i), fmt.Sprint(rng.IntN(4)))
		if rng.IntN(5) == 0 {
			w = long(fmt.Sprint(i))
		}
		d := s.Admit(now, w)
		if d.Kind == Queued {
			open[w.RequestID] = true
		}
		ds := s.Tick(now)
		if len(held) > 0 && rng.IntN(2) == 0 {
			ds = append(ds, s.Release(now, held[0], Outcome{Tokens: 100})...)
			held = held[1:]
		}
		final(ds...)
		for _, d := range append(ds, d) {
			if d.Kind == Granted {
				held = append(held, d.RequestID)
			}
		}
		require.LessOrEqual(t, s.HeldCount("a"), 3)
		require.LessOrEqual(t, s.HeldCount("b"), 5)
		require.Equal(t, len(open), s.QueueLength())
	}
}

// Guards against prefix affinity that is ignored or that fills one group while others are idle, and against
// short work that starves long work.
func TestPreferenceAndAge(t *testing.T) {
	s := newShard(Group{ID: "a", Slots: 10}, Group{ID: "b", Slots: 10})
	chosen := map[string]int{}
	for i := range 10 {
		w := short(fmt.Sprint(i), "w")
		w.PrefixShares = map[string]float64{"b": 0.9}
		chosen[s.Admit(start, w).Group]++
	}
	require.InDelta(t, 8, chosen["b"], 1, "up to AffinitySlack above the least utilised group")

	s = newShard(Group{ID: "g", Slots: 4})
	for i := range 4 {
		s.Admit(start, short(fmt.Sprint(i), "w"))
	}
	w := long("long")
	w.Deadline = start.Add(300 * time.Second)
	require.Equal(t, Queued, s.Admit(start, w).Kind)
	later := start.Add(200 * time.Second)
	w = short("late", "w")
	w.Deadline = later.Add(time.Minute)
	s.Renew(later.Add(-time.Second), "h", Summary{})
	require.Equal(t, Queued, s.Admit(later, w).Kind)
	s.demandMean = 0
	d := s.Release(later, "0", Outcome{Failed: true})
	require.Equal(t, "long", d[0].RequestID, "aged work goes first")
}

// Guards against an estimate that follows the caller's limit instead of the workspace's history.
func TestEstimatorLearns(t *testing.T) {
	e := &Estimator{}
	_, class := e.Estimate("w", 100, 100000)
	require.Equal(t, rudderconfig.ClassShort, class)
	for range 20 {
		e.Observe("w", 100, 3000)
	}
	tokens, class := e.Estimate("w", 120, 100000)
	require.Equal(t, rudderconfig.ClassLong, class)
	require.InDelta(t, 3000, tokens, 50)
	tokens, _ = e.Estimate("w", 120, 40)
	require.Equal(t, 46, tokens)
}
