package rudderbalance

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a planner that doesn't see which model lacks groups: all of the refused work counts, and is forgotten.
func TestRefusedShareOfTheWork(t *testing.T) {
	l, now := NewLedger(), time.Second
	groups := []Group{{ID: "g"}}
	for i := range 40 {
		l.Pick(now, Speed{Slots: 5}, groups, Request{ID: fmt.Sprint(i), Limit: time.Hour, Cost: time.Second})
	}
	require.Zero(t, l.RefusedShare(now))
	require.InDelta(t, 0.75, l.RefusedShare(now+minWorkAge), 1e-6) // 10 fit
	now += time.Minute
	for i := range 10 {
		l.Done(now, fmt.Sprint(i))
		l.Pick(now, Speed{Slots: 5}, groups, Request{ID: fmt.Sprint("late", i), Limit: time.Hour, Cost: time.Second})
	}
	require.Less(t, l.RefusedShare(now), 0.01)
}
