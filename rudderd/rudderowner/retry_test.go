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

// Guards against a release that comes while Run ends: counting it then raced with the wait for calls.
func TestReleaseAfterTheEndMakesNoCall(t *testing.T) {
	member := ruddermember.Member{Name: "e1", PeerAddress: "127.0.0.1:1"}
	o := &Owner{
		Self: member, Clock: clockwork.NewFakeClock(), Logger: zerolog.Nop(),
		Members: func() []ruddermember.Member { return []ruddermember.Member{member} },
		Groups:  func() []rudderrouter.Servable { return nil },
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
