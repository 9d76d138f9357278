package rudderchange

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"comfreyrudder.example/rudderd/ruddermember"
)

// Guards against an operator who forgets an entry host that is alive and cut off: it must have lost its
// permit before a change no longer waits for it. Also guards against forgetting a live one.
func TestForgetMember(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 5)
		defer w.close()
		w.settle()
		ctx := context.Background()
		forget := func(name string) error { return w.hosts[0].keeper.Registrar.Forget(ctx, name) }
		require.ErrorIs(t, forget("entry-04"), ruddermember.ErrLiveMember)
		require.ErrorIs(t, forget("entry-99"), ruddermember.ErrUnknownMember)

		w.set(func() { w.platformCut[4], w.peersCut[4] = true, true })
		time.Sleep(2 * ruddermember.SuspectAfter)
		require.NoError(t, forget("entry-04"))
		time.Sleep(2*testTTL + 10*time.Second)
		require.Len(t, w.hosts[0].keeper.Node.Members(), 4)
		require.False(t, w.hosts[0].keeper.Node.Registry().Uncommitted)

		began := time.Now()
		result, err := w.change(0, 1, "kigali", 30*time.Second)
		require.NoError(t, err)
		require.Equal(t, StateAccepted, result.State)
		require.Less(t, time.Since(began), testTTL, "the change no longer waits for the forgotten host's permit")
		w.requireServing(2, 0, 1, 2, 3)
		w.requireServing(0, 4)
	})
}
