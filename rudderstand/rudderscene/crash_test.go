package rudderscene

import (
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"comfreyrudder.example/rudderstand/rudderfleetstand"
)

// setCrashMarker sets the crash marker of all engines.
func setCrashMarker(s *Scene, marker string) {
	for _, h := range s.Fleet.Hosts {
		if h.Engine != nil {
			h.Engine.SetCrashMarker(marker)
		}
	}
}

// crashedEngines counts the engines that have crashed.
func crashedEngines(s *Scene) int {
	crashed := 0
	for _, h := range s.Fleet.Hosts {
		if h.Engine != nil && !h.Engine.Alive() {
			crashed++
		}
	}
	return crashed
}

// Guards against a fleet that refuses sound requests after another request has crashed two engines.
func TestServesAfterEnginesCrashed(t *testing.T) {
	const marker = "crash-marker"
	s := startSmallScene(t, 3)
	awaitAnswers(t, s)
	setCrashMarker(s, marker)
	key, model := rudderfleetstand.WorkspaceKey(s.Fleet.Document.Workspaces[0].Name), s.Fleet.Document.Models[0].Name
	require.NoError(t, Await(20*time.Second, "two crashes", func() bool {
		sendChat(t, s.Entries()[0].App.CallerAddress(), key, model, marker, 20)
		return crashedEngines(s) >= 2
	}))
	awaitAnswers(t, s)
}

// Guards against a request that is refused for half an hour because one engine died while it ran the request, where all
// groups are in one fabric domain.
func TestServesRequestWhoseEngineCrashedInTheOnlyDomain(t *testing.T) {
	const marker = "crash-marker"
	layout := rudderfleetstand.Small()
	layout.Domains = layout.Domains[:1]
	location := Location{Region: layout.Domains[0].Region, DataCentre: layout.Domains[0].DataCentre}
	s := &Scene{Fleet: &rudderfleetstand.Fleet{Layout: layout}, Locations: []Location{location, location}}
	t.Cleanup(s.Close)
	require.NoError(t, s.Start())
	awaitAnswers(t, s)
	key, model := rudderfleetstand.WorkspaceKey(s.Fleet.Document.Workspaces[0].Name), s.Fleet.Document.Models[0].Name
	setCrashMarker(s, marker)
	var sending sync.WaitGroup
	sending.Go(func() { sendChat(t, s.Entries()[0].App.CallerAddress(), key, model, marker, 20) })
	require.NoError(t, Await(10*time.Second, "a crash", func() bool { return crashedEngines(s) > 0 }))
	setCrashMarker(s, "")
	sending.Wait()
	text := ""
	require.NoError(t, Await(10*time.Second, "an answer", func() bool {
		var status int
		status, text = sendChat(t, s.Entries()[0].App.CallerAddress(), key, model, marker, 20)
		return status == http.StatusOK
	}), "%s", text)
}
