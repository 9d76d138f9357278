package rudderedge

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"comfreyrudder.example/rudderd/rudderbalance"
)

func (f *verdictFleet) setFactor(factor float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.factor, f.reports = factor, 0
}

// Guards against an entry host that does not learn from the planner that a group is slow, and against an owner that takes a group
// for slow for ever, or only as long as streams run there.
func TestSlowGroupCountsAsSlowUntilItRecovers(t *testing.T) {
	f := silentFleet(t, 2)
	f.setFactor(6)
	key, e := ledgerKey{"llm", "m0", 0}, f.edges[1]
	group := e.view.Snapshot().Groups("llm", "m0")[0]
	for _, e := range f.edges { // the planner and another one
		found, ok := e.examine(t.Context(), group, 0)
		require.True(t, ok)
		require.Equal(t, []string{"t0"}, found.Slow)
	}
	slow := func() []string {
		return e.balance.pickLocal(key, rudderbalance.Request{ID: "q", PromptTokens: 1, Limit: time.Second}).Slow
	}
	require.Empty(t, slow())
	f.setFactor(6)
	begin := time.Now()
	e.balance.noteSlow(key, []string{group.ID, "g-t1@1"})
	require.Never(t, func() bool { return len(slow()) != 1 }, 2*slowTTL+2*slowCheckInterval, slowCheckInterval/10)
	f.mu.Lock()
	require.LessOrEqual(t, f.reports, int(time.Since(begin)/slowCheckInterval)+1, "reports while the group is slow")
	f.mu.Unlock()
	f.setFactor(1)
	require.Eventually(t, func() bool { return len(slow()) == 0 }, 10*time.Second, slowCheckInterval/10)
}
