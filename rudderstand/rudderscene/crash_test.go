package rudderscene

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"comfreyrudder.example/rudderstand/rudderengine"
	"comfreyrudder.example/rudderstand/rudderfleetstand"
)

// Guards against a fleet that refuses sound requests after another request has crashed two engines.
func TestServesAfterEnginesCrashed(t *testing.T) {
	const marker = "crash-marker"
	s := startSmallScene(t, 3)
	awaitAnswers(t, s)
	var engines []*rudderengine.Engine
	for _, h := range s.Fleet.Hosts {
		if h.Engine != nil {
			engines = append(engines, h.Engine)
			h.Engine.SetCrashMarker(marker)
		}
	}
	key, model := rudderfleetstand.WorkspaceKey(s.Fleet.Document.Workspaces[0].Name), s.Fleet.Document.Models[0].Name
	require.NoError(t, Await(20*time.Second, "two crashes", func() bool {
		sendChat(t, s.Entries()[0].App.CallerAddress(), key, model, marker, 20)
		crashed := 0
		for _, e := range engines {
			if !e.Alive() {
				crashed++
			}
		}
		return crashed >= 2
	}))
	awaitAnswers(t, s)
}
