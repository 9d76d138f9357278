package rudderplanner

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"comfreyrudder.example/shared/rudderconfig"
	"comfreyrudder.example/shared/ruddergroup"
	"comfreyrudder.example/shared/rudderstore"
)

// Some hosts of a domain do not check fencing numbers. Guards against a domain without drains for lease_ttl +
// order_ttl after the planned stop of its planner.
func TestPlannedStopHandsDomainOver(t *testing.T) {
	w := newWorld(4, false)
	a, b := w.planner("a"), w.planner("b")
	a.p.Successor = func(string) string { return "b" }
	w.ticks(3, a, b)
	w.configure(rudderconfig.Selector{Name: "a", Firm: "umuvumu", Model: "m", GroupSize: 4})
	leaving := true
	a.p.Leaving = func() bool { return leaving }
	w.ticks(1, a, b)
	require.Nil(t, a.lease)
	require.NotNil(t, b.lease)
	require.Equal(t, int64(2), b.lease.fencing)
	w.ticks(1, a, b)
	require.Equal(t, int64(1), storedPlan(t, b).Fencing, "orders of the old planner may still arrive within order_ttl")
	w.ticks(2, a, b)
	require.Equal(t, int64(2), storedPlan(t, b).Fencing)
	require.Nil(t, a.lease, "an entry host that leaves does not take a lease again")
}

// Guards against two planners that send orders at the same time: a handover must be accepted only by the entry
// host that it names, once, and only if it belongs to the newest lease that this entry host knows.
func TestHandoverIsAcceptedOnce(t *testing.T) {
	ctx := context.Background()
	tests := []struct {
		name     string
		change   func(w *world, b *worker, passed rudderstore.Entry)
		accepted bool
	}{
		{"as written", func(*world, *worker, rudderstore.Entry) {}, true},
		{"for another entry host", func(w *world, _ *worker, passed rudderstore.Entry) {
			var v leaseValue
			_ = json.Unmarshal(passed.Value, &v)
			v.PassedTo = "c"
			passed.Value, _ = json.Marshal(v)
			w.entries[passed.Key] = passed
		}, false},
		{"the process has not seen the lease before", func(_ *world, b *worker, _ rudderstore.Entry) {
			b.seen = leaseValue{}
		}, false},
		{"accepted before the platform was restored", func(_ *world, b *worker, _ rudderstore.Entry) {
			b.accepted = 1
		}, false},
		{"a newer plan is known", func(_ *world, b *worker, _ rudderstore.Entry) {
			b.known.Fencing = 2
		}, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			w := newWorld(4, false)
			a, b := w.planner("a"), w.planner("b")
			a.p.Successor = func(string) string { return "b" }
			w.ticks(3, a, b)
			key := ruddergroup.LeasePrefix + "d1"
			a.p.Leaving = func() bool { return true }
			a.tick(ctx)
			require.Nil(t, a.lease)
			test.change(w, b, w.entries[key])
			w.clock.Advance(time.Second)
			b.tick(ctx)
			require.Equal(t, test.accepted, b.lease != nil)
			if test.accepted {
				return
			}
			// Without an accepted handover the lease expires, and the next holder waits.
			w.ticks(8, b)
			require.NotNil(t, b.lease)
			require.True(t, w.clock.Now().Before(b.ordersFrom))
		})
	}
}

// Guards against a domain without a planner when the answer to the handover is lost, or when no successor
// exists.
func TestHandoverFails(t *testing.T) {
	w := newWorld(2, true)
	a, b := w.planner("a"), w.planner("b")
	a.p.Successor = func(string) string { return "b" }
	w.ticks(3, a, b)
	a.p.Leaving = func() bool { return true }
	w.loseNext = ruddergroup.LeasePrefix + "d1"
	w.ticks(1, a, b)
	require.Nil(t, a.lease)
	require.NotNil(t, b.lease)

	b.p.Successor = func(string) string { return "" }
	b.p.Leaving = func() bool { return true }
	w.ticks(8, b)
	require.NotNil(t, b.lease, "the last planner keeps the domain until its process ends")
}
