package rudderowner

import (
	"context"
	"testing"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"comfreyrudder.example/rudderd/ruddermember"
	"comfreyrudder.example/rudderd/rudderrouter"
	"comfreyrudder.example/shared/rudderpeer"
)

// Guards against a data race between a release while Run ends, which adds to the wait group, and the wait for
// the background calls.
func TestReleaseAfterTheEndMakesNoCall(t *testing.T) {
	member := ruddermember.Member{Name: "e1", PeerAddress: "127.0.0.1:1"}
	o := &Owner{
		Self: member, Clock: clockwork.NewFakeClock(), Logger: zerolog.Nop(),
		Members: func() []ruddermember.Member { return []ruddermember.Member{member} },
		Groups:  func() []rudderrouter.Group { return nil },
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	require.ErrorIs(t, o.Run(ctx), context.Canceled)
	o.mu.Lock()
	defer o.mu.Unlock()
	o.background(func(context.Context) error {
		t.Error("called after the end")
		return nil
	})
	o.sendRelease("s1", &rudderpeer.ReleasedSlot{})
	o.calls.Wait()
}

// Guards against a retry budget that grows while requests wait for a group and ask again.
func TestRepeatedAcquireAddsNothingToTheBudget(t *testing.T) {
	clock := clockwork.NewFakeClock()
	member := ruddermember.Member{Name: "e1", PeerAddress: "127.0.0.1:1"}
	o := &Owner{
		Self: member, Clock: clock, Logger: zerolog.Nop(),
		Members: func() []ruddermember.Member { return []ruddermember.Member{member} },
		Groups:  func() []rudderrouter.Group { return nil },
	}
	for i := range 50 {
		w := work("a")
		w.Repeat = i > 0
		_, err := o.Acquire(context.Background(), w)
		require.ErrorIs(t, err, ErrNoGroup)
	}
	require.True(t, o.TakeRetry())
	require.False(t, o.TakeRetry())
}

// Guards against control requests that a plain service takes for calls: the demo's oracle found requests for
// cache events in a service's ledger.
func TestOwnedLeadersAreModelGroups(t *testing.T) {
	member := ruddermember.Member{Name: "e1", PeerAddress: "127.0.0.1:1"}
	clock := clockwork.NewFakeClock()
	groups := []rudderrouter.Group{
		{ID: "g1", Model: "m", Leader: "127.0.0.1:2", Slots: 1},
		{ID: "g2", Service: "ledger", Leader: "127.0.0.1:3", Slots: 1},
	}
	o := &Owner{
		Self: member, Clock: clock, Logger: zerolog.Nop(),
		Members: func() []ruddermember.Member { return []ruddermember.Member{member} },
		Groups:  func() []rudderrouter.Group { return groups },
	}
	o.init()
	for _, s := range rudderrouter.BuildShards(groups) {
		o.mu.Lock()
		o.ownedShard(clock.Now(), s.ID())
		o.mu.Unlock()
	}
	require.Equal(t, map[string]string{"g1": "127.0.0.1:2"}, o.OwnedLeaders())
}
