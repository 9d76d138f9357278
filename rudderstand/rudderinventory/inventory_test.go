package rudderinventory

import (
	"context"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"comfreyrudder.example/shared/rudderhost"
)

// Guards against a list without a lag, which would hide faults of a planner that relies on it being current.
func TestLag(t *testing.T) {
	clock := clockwork.NewFakeClock()
	i := &Inventory{Clock: clock, Lag: time.Second}
	i.Set([]rudderhost.Host{{Name: "a", State: rudderhost.StateLive}, {Name: "b", State: rudderhost.StateLive}})
	states := func() map[string]rudderhost.State {
		hosts, err := i.List().Hosts(context.Background())
		require.NoError(t, err)
		states := map[string]rudderhost.State{}
		for _, h := range hosts {
			states[h.Name] = h.State
		}
		return states
	}
	i.SetState("a", rudderhost.StateLeaving)
	i.Remove("b")
	require.Equal(t, map[string]rudderhost.State{"a": rudderhost.StateLive, "b": rudderhost.StateLive}, states())
	clock.Advance(time.Second)
	require.Equal(t, map[string]rudderhost.State{"a": rudderhost.StateLeaving}, states())
}
