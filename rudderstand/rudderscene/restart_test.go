package rudderscene

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"comfreyrudder.example/rudderd/rudderapp"
	"comfreyrudder.example/rudderstand/rudderfleetstand"
)

// An entry host restarts while the key-value service does not answer and the others serve. Guards against one that refuses
// requests until the service is back.
func TestEntryHostRestartsWithoutTheKeyValueService(t *testing.T) {
	const starts = 8 * time.Second
	s := startSmallScene(t, 3)
	awaitAnswers(t, s)
	key, model := rudderfleetstand.WorkspaceKey(s.Fleet.Document.Workspaces[0].Name), s.Fleet.Document.Models[0].Name
	old := s.Entries()[2]
	s.Fleet.KV.SetDown(true)
	defer s.Fleet.KV.SetDown(false)
	old.Kill()
	s.BeforeListen = func(_ int, app *rudderapp.App) {
		app.Settings.CallerListen, app.Settings.PeerListen = old.App.CallerAddress(), old.App.PeerAddress()
	}
	e, err := s.StartEntry(2)
	require.NoError(t, err)
	begin, status, text := time.Now(), 0, ""
	require.NoError(t, Await(starts, "a configuration", func() bool { _, ok := e.App.ServingVersion(); return ok }))
	t.Logf("configuration after %v", time.Since(begin))
	err = Await(starts, "an answer", func() bool {
		status, text = sendChat(t, e.App.CallerAddress(), key, model, "ready?", 1)
		return status == http.StatusOK
	})
	other, _ := sendChat(t, s.Entries()[0].App.CallerAddress(), key, model, "ready?", 1)
	require.Equal(t, http.StatusOK, other, "the other hosts serve")
	require.NoError(t, err, "%d %s", status, text)
	t.Logf("answer after %v", time.Since(begin))
}
