package rudderplanner

import (
	"context"
	"maps"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"comfreyrudder.example/shared/rudderconfig"
	"comfreyrudder.example/shared/ruddergroup"
	"comfreyrudder.example/shared/rudderstore"
	"comfreyrudder.example/shared/ruddertarget"
)

const planKey = ruddergroup.PlanPrefix + "d1"

// Guards against two planners that both send orders, and against groups that never serve.
func TestOnePlannerFormsGroups(t *testing.T) {
	w := newWorld(4, true)
	a, b := w.planner("a"), w.planner("b")
	w.ticks(3, a, b)
	require.NotNil(t, a.lease)
	require.Nil(t, b.lease)
	plan := storedPlan(t, a)
	require.Len(t, plan.Groups, 2)
	for _, g := range plan.Groups {
		require.Equal(t, ruddergroup.StateServing, g.State)
	}
}

// The holder is paused before it writes the plan, or between the plan and its orders. Guards against sending
// the orders although its lease has expired, to targets that check fencing numbers and to others.
func TestPausedHolderSendsNothing(t *testing.T) {
	for _, checks := range []bool{true, false} {
		for _, at := range []string{"poll", "plan"} {
			w := newWorld(4, checks)
			a, b := w.planner("a"), w.planner("b")
			var once sync.Once
			pause := func() { once.Do(func() { w.clock.Advance(7 * time.Second) }) }
			a.p.Control = &ruddertarget.Control{Send: w.send, Status: func(ctx context.Context, address string) (ruddertarget.Status, error) {
				if at == "poll" && a.lease != nil {
					pause()
				}
				return w.status(ctx, address)
			}}
			a.p.OnPlan = func(p ruddergroup.Plan) {
				if at == "plan" && len(p.Groups) > 0 {
					pause()
				}
			}
			a.tick(context.Background())
			require.Empty(t, w.sent, "checks=%v, paused at %s", checks, at)
			w.ticks(12, b)
			require.NotEmpty(t, w.sent)
			plan, sent := storedPlan(t, b), len(w.sent)
			w.ticks(2, a)
			require.Len(t, w.sent, sent, "the former holder sends no orders")
			require.Equal(t, plan, storedPlan(t, b))
		}
	}
}

// An old order arrives late and changes a member's role. Guards against a group that keeps serving in that
// state.
func TestLateOldOrder(t *testing.T) {
	for _, checks := range []bool{true, false} {
		w := newWorld(2, checks)
		a, b := w.planner("a"), w.planner("b")
		w.ticks(3, a)
		old := w.sent[0]
		w.clock.Advance(7 * time.Second)
		w.ticks(12, b)
		before := storedPlan(t, b)
		require.Equal(t, int64(2), before.Fencing)
		old.Role.Group = "old"
		_, err := w.send(context.Background(), "h0", old)
		w.ticks(1, b)
		after := storedPlan(t, b)
		if checks {
			require.ErrorIs(t, err, ruddertarget.ErrStaleFencing)
			require.Equal(t, before, after)
			continue
		}
		require.NotEqual(t, before.Groups[0].ID, after.Groups[0].ID)
		require.Equal(t, ruddergroup.StateLoading, after.Groups[0].State)
		w.ticks(3, b)
		require.Equal(t, ruddergroup.StateServing, storedPlan(t, b).Groups[0].State)
	}
}

// Guards against a new holder that acts while old orders to targets without fencing checks can still take
// effect.
func TestNewHolderWaits(t *testing.T) {
	for _, checks := range []bool{true, false} {
		w := newWorld(4, checks)
		a, b := w.planner("a"), w.planner("b")
		w.ticks(3, a)
		w.clock.Advance(6 * time.Second) // planner a has died
		w.configure(rudderconfig.Selector{Name: "a", Firm: "umuvumu", Model: "m", GroupSize: 4})
		b.tick(context.Background())
		require.Equal(t, int64(2), b.lease.fencing)
		if checks {
			require.Equal(t, int64(2), storedPlan(t, b).Fencing)
			continue
		}
		w.ticks(8, b)
		require.Equal(t, int64(1), storedPlan(t, b).Fencing, "waits lease_ttl + order_ttl")
		w.ticks(2, b)
		require.Equal(t, int64(2), storedPlan(t, b).Fencing)
	}
}

// Guards against orders for a plan that was not stored, and against a planner that stops when an answer is
// lost.
func TestLostAnswerOfPlanWrite(t *testing.T) {
	for _, took := range []bool{true, false} {
		w := newWorld(2, true)
		a := w.planner("a")
		a.tick(context.Background())
		require.Len(t, storedPlan(t, a).Groups, 1)
		w.configure()
		if took {
			w.loseNext = planKey
		} else {
			w.dropNext = planKey
		}
		w.onSend = func(o ruddertarget.Order) { require.Equal(t, storedPlan(t, a).Seq, o.PlanSeq) }
		w.clock.Advance(time.Second)
		a.tick(context.Background())
		require.Equal(t, ruddergroup.StateDraining, storedPlan(t, a).Groups[0].State)
		require.Nil(t, a.pending)
		w.ticks(10, a)
		require.Empty(t, storedPlan(t, a).Groups)
	}
}

// Guards against going back to the older plan of a restored platform.
func TestPlatformRestoredToOlderState(t *testing.T) {
	w := newWorld(4, true)
	a := w.planner("a")
	a.tick(context.Background())
	older, revision := maps.Clone(w.entries), w.revision
	w.ticks(3, a)
	before := storedPlan(t, a)
	w.entries, w.revision = older, revision
	w.ticks(2, a)
	after := storedPlan(t, a)
	require.Greater(t, after.Seq, before.Seq)
	require.Equal(t, before.Groups, after.Groups)
}

// Guards against stale confirmations, orders and plan changes while the platform is down, and against a holder
// that does not resume afterwards.
func TestPlatformOutage(t *testing.T) {
	w := newWorld(4, true)
	a, b := w.planner("a"), w.planner("b")
	b.p.CandidateRank = func(string) int { return 1 }
	confirmed := map[string]int{}
	a.p.OnStatus = func(_, host, _ string, _ ruddertarget.Status, _ time.Duration) { confirmed[host]++ }
	w.ticks(3, a, b)
	plan := storedPlan(t, a)
	w.down = true
	clear(confirmed)
	sent := len(w.sent)
	w.targets["h0"].Role = ruddertarget.Role{}
	w.ticks(20, a, b)
	require.Nil(t, a.lease)
	require.Equal(t, map[string]int{"h0": 20, "h1": 20, "h2": 20, "h3": 20}, confirmed)
	require.Len(t, w.sent, sent, "no order without a plan")
	w.down = false
	w.ticks(4, a, b)
	require.NotNil(t, a.lease)
	require.Greater(t, storedPlan(t, a).Fencing, plan.Fencing)
	require.NotEqual(t, plan.Groups[0].ID, storedPlan(t, a).Groups[0].ID, "the broken group is formed anew")
}

// Guards against a holder that continues although the platform ended its lease, and against a lease that stays
// unused because the answer to its write was lost.
func TestLeaseLostAndUnanswered(t *testing.T) {
	w := newWorld(4, true)
	a, b := w.planner("a"), w.planner("b")
	w.loseNext = ruddergroup.LeasePrefix + "d1"
	w.ticks(3, a)
	require.NotNil(t, a.lease)
	w.end(a.lease.id)
	b.tick(context.Background())
	require.NotNil(t, b.lease)
	sent := len(w.sent)
	w.configure()
	w.ticks(2, a)
	require.Nil(t, a.lease)
	require.Len(t, w.sent, sent)
}

// Guards against a new holder that uses the platform's older plan although its own entry host knows a newer
// one, and against a fencing number below one that a target has seen.
func TestNewHolderKnowsNewerPlan(t *testing.T) {
	w := newWorld(4, true)
	a, b := w.planner("a"), w.planner("b")
	w.ticks(3, a)
	known := storedPlan(t, a)
	w.entries, w.revision = map[string]rudderstore.Entry{}, 0
	w.targets["h3"].HighestFencing = 9
	b.p.KnownPlan = func(string) (ruddergroup.Plan, bool) { return known, true }
	w.ticks(1, b)
	plan := storedPlan(t, b)
	require.Equal(t, known.Groups, plan.Groups)
	require.Greater(t, plan.Seq, known.Seq)
	require.Equal(t, int64(10), plan.Fencing)
}

// Guards against a planner that ends all groups of a domain because it is cut off from them itself.
func TestPlannerCutOffFromTargets(t *testing.T) {
	w := newWorld(4, true)
	a, b := w.planner("a"), w.planner("b")
	w.ticks(3, a, b)
	before := storedPlan(t, a)
	w.cutOff = "a"
	w.ticks(6, a, b)
	require.Nil(t, a.lease)
	require.NotNil(t, b.lease)
	require.Equal(t, before.Groups, storedPlan(t, a).Groups)
}

// Guards against groups that stop serving while their planner is dead and its lease has not expired yet.
func TestCandidatePollsForDeadHolder(t *testing.T) {
	w := newWorld(2, true)
	a, b := w.planner("a"), w.planner("b")
	w.ticks(3, a)
	polled := 0
	b.p.OnStatus = func(string, string, string, ruddertarget.Status, time.Duration) { polled++ }
	b.p.Stale = func(string) bool { return true }
	w.ticks(2, b)
	require.Nil(t, b.lease)
	require.Equal(t, 4, polled)
}

// Guards against a new holder that reverts a configuration change that it has not received yet.
func TestOlderConfigurationDoesNotPlan(t *testing.T) {
	w := newWorld(4, true)
	a, b := w.planner("a"), w.planner("b")
	old := w.config
	b.p.Config = func() *rudderconfig.Document { return old }
	w.configure(rudderconfig.Selector{Name: "new", Firm: "umuvumu", Model: "m", GroupSize: 4})
	w.ticks(3, a)
	w.end(a.lease.id)
	w.ticks(3, b)
	require.NotNil(t, b.lease)
	require.Equal(t, "new", storedPlan(t, b).Groups[0].Selector)
	require.Len(t, storedPlan(t, b).Groups, 1)
}

// Guards against a planner that stops without revoking its leases.
func TestRunRevokesLease(t *testing.T) {
	w := newWorld(2, true)
	p := w.planner("a").p
	ctx, cancel := context.WithCancel(context.Background())
	served, done := make(chan struct{}), make(chan error)
	p.OnPlan = func(plan ruddergroup.Plan) {
		if len(plan.Groups) == 1 && plan.Groups[0].State == ruddergroup.StateServing {
			close(served)
		}
	}
	go func() { done <- p.Run(ctx) }()
	for waiting := true; waiting; {
		select {
		case <-served:
			waiting = false
		case <-time.After(5 * time.Millisecond):
			w.clock.Advance(time.Second)
		}
	}
	cancel()
	require.ErrorIs(t, <-done, context.Canceled)
	_, _, err := w.get(context.Background(), ruddergroup.LeasePrefix+"d1")
	require.ErrorIs(t, err, rudderstore.ErrNotFound)
}

// Guards against a plan that does not list unreachable hosts, so that other domains count on them; against a
// new holder that drops them from the list before they have answered; and against an unreachable domain that is
// not listed.
func TestPlanListsSilentHosts(t *testing.T) {
	w := newWorld(4, true)
	a, b := w.planner("a"), w.planner("b")
	unreachable := map[string]bool{}
	for _, k := range []*worker{a, b} {
		answer := k.p.Control.Status
		k.p.Control.Status = func(ctx context.Context, address string) (ruddertarget.Status, error) {
			if unreachable[address] {
				return ruddertarget.Status{}, ruddertarget.ErrUnreachable
			}
			return answer(ctx, address)
		}
		k.p.Control.Send = func(ctx context.Context, address string, o ruddertarget.Order) (ruddertarget.Status, error) {
			if unreachable[address] {
				return ruddertarget.Status{}, ruddertarget.ErrUnreachable
			}
			return w.send(ctx, address, o)
		}
	}
	w.ticks(3, a)
	unreachable["h3"] = true
	w.ticks(4, a)
	require.Equal(t, []string{"h3"}, storedPlan(t, a).Unresponsive)
	seq := storedPlan(t, a).Seq
	w.ticks(5, a)
	require.Equal(t, seq, storedPlan(t, a).Seq, "an unchanged list is not written again")
	a.resign()
	w.ticks(2, b)
	require.NotNil(t, b.lease)
	require.Equal(t, []string{"h3"}, storedPlan(t, b).Unresponsive)
	unreachable["h0"], unreachable["h1"], unreachable["h2"] = true, true, true
	w.ticks(4, b)
	require.Equal(t, []string{"h0", "h1", "h2", "h3"}, storedPlan(t, b).Unresponsive)
	clear(unreachable)
	w.ticks(20, b)
	require.Empty(t, storedPlan(t, b).Unresponsive)
}

// Guards against lease reads by entry hosts that are no candidates for a domain: with 330 entry hosts they were
// thousands per second.
func TestOnlyCandidatesReadTheLease(t *testing.T) {
	w := newWorld(2, true)
	a := w.planner("a")
	reads, rank, get := 0, -1, a.p.Store.Get
	a.p.Store.Get = func(ctx context.Context, key string) (rudderstore.Entry, int64, error) {
		reads++
		return get(ctx, key)
	}
	a.p.CandidateRank = func(string) int { return rank }
	w.ticks(3, a)
	require.Zero(t, reads)
	rank = 0
	w.ticks(1, a)
	require.NotNil(t, a.lease)
}
