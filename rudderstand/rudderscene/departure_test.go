package rudderscene

import (
	"encoding/json"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// listedEntries returns the names of the entry hosts that one of them lists for callers.
func listedEntries(t *testing.T, address string) map[string]bool {
	t.Helper()
	response, err := http.Get("http://" + address + "/v1/entries")
	require.NoError(t, err)
	defer func() { _ = response.Body.Close() }()
	var list struct {
		Entries []struct {
			Name string `json:"name"`
		} `json:"entries"`
	}
	require.NoError(t, json.NewDecoder(response.Body).Decode(&list))
	names := map[string]bool{}
	for _, e := range list.Entries {
		names[e.Name] = true
	}
	return names
}

// An entry host stops while the key-value service is silent. Guards against others that list it for longer than it serves.
func TestStopIsKnownWithoutTheKeyValueService(t *testing.T) {
	const hosts = 6
	s := startSmallScene(t, hosts)
	awaitAnswers(t, s)
	s.Fleet.KV.SetUnresponsive(true)
	stopped, others := s.Entries()[0], s.Entries()[1:]
	begin := time.Now()
	stopped.stop()
	for _, e := range others {
		require.NoError(t, Await(gossipMargin-time.Since(begin), e.Name+" drops the entry host", func() bool {
			return !listedEntries(t, e.App.CallerAddress())[stopped.Name]
		}))
		t.Logf("dropped by %s after %v", e.Name, time.Since(begin).Round(10*time.Millisecond))
	}
	require.Len(t, listedEntries(t, others[0].App.CallerAddress()), hosts-1)
}
