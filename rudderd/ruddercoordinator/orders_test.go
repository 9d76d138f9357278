package ruddercoordinator

import (
	"context"
	"maps"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"comfreyrudder.example/rudderd/rudderview"
	"comfreyrudder.example/shared/rudderhost"
	"comfreyrudder.example/shared/ruddertarget"
)

// refuseLeader starts a planner, and has the leader of its only group refuse the planner's connections while a follower leaves.
// before is the number of earlier orders.
func refuseLeader(t *testing.T, set func(w *world, p *Planner)) (w *world, p *Planner, leader string, serving ruddertarget.Membership, before int) {
	w = newWorld("a", "b", "c")
	w.targets["d"] = &rudderview.Target{
		Host: rudderhost.Host{Name: "d", Address: "d", State: rudderhost.StateLive, FabricDomain: "d"}, Service: "llm", Born: 1, Staged: []string{"m"},
	}
	w.record("d")
	p, _ = w.run(t, "planner")
	set(w, p)
	require.Eventually(t, w.someOpen, 10*time.Second, 10*time.Millisecond)
	var follower string
	w.mu.Lock()
	for name, x := range w.targets {
		switch {
		case x.Membership.Phase == ruddertarget.GroupOpen:
			leader, serving = name, x.Membership
		case x.Membership.Group != "":
			follower = name
		}
	}
	w.refusing = leader
	before = len(w.orders)
	w.mu.Unlock()
	require.True(t, p.View.MarkLeaving(rudderview.Announcement{Target: follower, Born: 1}))
	return w, p, leader, serving, before
}

// The planner's connections to a leader are refused, while other entry hosts reach it and its group serves; a follower leaves.
// Guards against taking the refusal for the end of the leader: its members were ordered to join another group at once.
func TestRefusedConnectionDoesNotReleaseMembers(t *testing.T) {
	var asked atomic.Int32
	w, p, leader, serving, before := refuseLeader(t, func(_ *world, p *Planner) {
		p.Ended = func(context.Context, *rudderview.Target) bool {
			asked.Add(1)
			return false
		}
	})
	var left time.Time
	require.Eventually(t, func() bool {
		w.mu.Lock()
		defer w.mu.Unlock()
		for _, o := range w.orders[before:] {
			kind, name, _ := strings.Cut(o, " ")
			switch {
			case kind == "leave" && name != leader && left.IsZero():
				left = time.Now()
			case kind == "join" && name != leader && w.targets[name].Membership.Epoch != serving.Epoch:
				return true
			}
		}
		if x := w.targets[leader]; !left.IsZero() && time.Since(left) > p.StallTimeout && x.Membership.Phase == ruddertarget.GroupOpen {
			x.Membership.Phase = ruddertarget.GroupBroken
			w.record(leader)
		}
		return false
	}, 30*time.Second, 5*time.Millisecond, "the members join another group in the end")
	require.False(t, left.IsZero(), "they leave first")
	require.GreaterOrEqual(t, time.Since(left), p.StallTimeout, "they join after the leader must have broken")
	require.Positive(t, asked.Load())
}

// The same, and the planner can send its orders through another entry host. Guards against a group that waits until its leader must have
// broken, although another entry host reaches the leader.
func TestOrdersReachALeaderThroughAnotherHost(t *testing.T) {
	var relayed atomic.Int32
	w, p, leader, serving, before := refuseLeader(t, func(w *world, p *Planner) {
		p.Ended = func(context.Context, *rudderview.Target) bool { return false }
		p.Relay = func(_ context.Context, x *rudderview.Target, o ruddertarget.GroupOrder, maySend func() bool) (string, error) {
			if !maySend() {
				return "", ruddertarget.ErrUnreachable
			}
			relayed.Add(1)
			w.mu.Lock()
			defer w.mu.Unlock()
			w.orders = append(w.orders, "relayed "+string(o.Kind)+" "+x.Name)
			w.carryOut(x.Name, o)
			return "other", nil
		}
	})
	begin := time.Now()
	joined := func() bool {
		w.mu.Lock()
		defer w.mu.Unlock()
		return slices.ContainsFunc(slices.Collect(maps.Values(w.targets)), func(x *rudderview.Target) bool {
			return x.Membership.Phase == ruddertarget.GroupOpen && x.Membership.Epoch > serving.Epoch
		})
	}
	require.Eventually(t, joined, 30*time.Second, 5*time.Millisecond, "another group serves")
	require.Less(t, time.Since(begin), p.StallTimeout)
	w.mu.Lock()
	defer w.mu.Unlock()
	closed := slices.IndexFunc(w.orders, func(o string) bool { return o == "relayed close "+leader || o == "relayed leave "+leader })
	require.GreaterOrEqual(t, closed, before)
	for i, o := range w.orders[before:] {
		require.False(t, strings.HasPrefix(o, "join ") && before+i < closed, "the leader has closed before any member joins")
	}
	require.Positive(t, relayed.Load())
}

// No other entry host reaches the leader either. Guards against asking all of them again with each order.
func TestUnreachedTargetIsNotAskedForAtEachOrder(t *testing.T) {
	var asked atomic.Int32
	_, _, _, _, _ = refuseLeader(t, func(_ *world, p *Planner) {
		p.Relay = func(context.Context, *rudderview.Target, ruddertarget.GroupOrder, func() bool) (string, error) {
			asked.Add(1)
			return "", ruddertarget.ErrUnreachable
		}
	})
	time.Sleep(2 * recheckInterval)
	require.Positive(t, asked.Load())
	require.LessOrEqual(t, asked.Load(), int32(3))
}
