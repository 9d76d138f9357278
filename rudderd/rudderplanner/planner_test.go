package rudderplanner

import (
	"context"
	"maps"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"comfreyrudder.example/shared/ruddergroup"
	"comfreyrudder.example/shared/ruddertarget"
)

const planKey = ruddergroup.PlanPrefix + "d1"

// Guards against two planners that both send orders, and against a plan that never serves.
func TestOnePlannerForms(t *testing.T) {
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

// Guards against a holder that is paused between polling and sending and then sends its orders
// although another planner took over, on targets that check fencing numbers and on others.
func TestPausedHolderSendsNothing(t *testing.T) {
	for _, checks := range []bool{true, false} {
		w := newWorld(4, checks)
		a, b := w.planner("a"), w.planner("b")
		poll := a.p.Control.Status
		var pause sync.Once
		a.p.Control = &ruddertarget.Control{Send: w.send, Status: func(ctx context.Context, address string) (ruddertarget.Status, error) {
			s, err := poll(ctx, address)
			if a.lease != nil {
				pause.Do(func() { w.clock.Advance(7 * time.Second) })
			}
			return s, err
		}}
		a.tick(context.Background())
		require.Empty(t, w.sent, "the lease expired during the pause")
		w.ticks(12, b)
		plan := storedPlan(t, b)
		sent := len(w.sent)
		w.ticks(2, a)
		require.Len(t, w.sent, sent, "checks=%v", checks)
		require.Equal(t, plan.Fencing, storedPlan(t, b).Fencing)
	}
}

// Guards against a new holder that acts before old orders to targets without fencing have lapsed.
func TestNewHolderWaits(t *testing.T) {
	for _, checks := range []bool{true, false} {
		w := newWorld(4, checks)
		a, b := w.planner("a"), w.planner("b")
		w.ticks(3, a)
		w.clock.Advance(6 * time.Second) // a has died
		w.config.Selectors[0].GroupSize = 4
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

// Guards against orders for a plan that was not stored, and against a lost answer that stops planning.
func TestLostAnswerOfPlanWrite(t *testing.T) {
	for _, took := range []bool{true, false} {
		w := newWorld(2, true)
		a := w.planner("a")
		a.tick(context.Background())
		require.Len(t, storedPlan(t, a).Groups, 1)
		w.config.Selectors = nil
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

// Guards against a restored platform that brings back an older plan.
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
