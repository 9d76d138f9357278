package rudderswitch_test

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"comfreyrudder.example/rudderstand/rudderfleetstand"
	"comfreyrudder.example/rudderstand/rudderswitch"
	"comfreyrudder.example/shared/rudderstore"
	"comfreyrudder.example/shared/ruddertarget"
)

// Guards against switches that act on the wrong host or service, or that report success without an effect.
func TestSwitches(t *testing.T) {
	f := &rudderfleetstand.Fleet{Layout: rudderfleetstand.Small()}
	require.NoError(t, f.Start())
	t.Cleanup(f.Close)
	post := func(path, body string) int {
		response, err := http.Post(f.SwitchURL()+path, "application/json", strings.NewReader(body))
		require.NoError(t, err)
		require.NoError(t, response.Body.Close())
		return response.StatusCode
	}
	alive := func() (names []string) {
		response, err := http.Get(f.SwitchURL() + "/v1/hosts")
		require.NoError(t, err)
		var reports []rudderswitch.HostReport
		require.NoError(t, json.NewDecoder(response.Body).Decode(&reports))
		require.NoError(t, response.Body.Close())
		for _, r := range reports {
			if r.Alive {
				names = append(names, r.Name)
			}
		}
		return names
	}
	require.Len(t, alive(), 13)
	require.Equal(t, http.StatusOK, post("/v1/domains/kigali-1-a/faults", `{"kind":"kill"}`))
	require.Len(t, alive(), 7)
	require.Equal(t, http.StatusOK, post("/v1/hosts/kigali-1-a-01/faults", `{"kind":"restart"}`))
	require.Len(t, alive(), 8)
	_, err := (&ruddertarget.HTTP{}).Control().Status(context.Background(), f.Host("kigali-1-a-02").Address)
	require.ErrorIs(t, err, ruddertarget.ErrUnreachable)

	require.Equal(t, http.StatusNotFound, post("/v1/hosts/nobody/faults", `{"kind":"kill"}`))
	require.Equal(t, http.StatusUnprocessableEntity, post("/v1/hosts/kigali-1-ledger/faults", `{"kind":"straggle"}`))
	require.Equal(t, http.StatusBadRequest, post("/v1/kv/faults", `{"kind":"delay","delay":5}`))

	// A reused connection may be closed after the write was sent, and then its outcome is rightly unknown.
	fresh := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	store := (&rudderstore.HTTP{BaseURL: f.KVURL(), Client: fresh}).Store()
	put := func() error {
		_, err := store.Put(context.Background(), rudderstore.PutRequest{Key: "k"})
		return err
	}
	require.Equal(t, http.StatusOK, post("/v1/kv/faults", `{"kind":"snapshot","name":"s"}`))
	require.NoError(t, put())
	require.Equal(t, http.StatusOK, post("/v1/kv/faults", `{"kind":"restore","name":"s"}`))
	require.NoError(t, put(), "the key is absent again")
	require.Equal(t, http.StatusOK, post("/v1/kv/faults", `{"kind":"kill"}`))
	require.ErrorIs(t, put(), rudderstore.ErrUnavailable)
	require.Equal(t, http.StatusOK, post("/v1/kv/faults", `{"kind":"clear"}`))
	require.ErrorIs(t, put(), rudderstore.ErrConflict)
}
