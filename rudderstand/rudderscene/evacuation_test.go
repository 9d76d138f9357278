package rudderscene

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"comfreyrudder.example/rudderstand/rudderbackend"
	"comfreyrudder.example/rudderstand/rudderengine"
	"comfreyrudder.example/rudderstand/rudderfleetstand"
	"comfreyrudder.example/shared/rudderadmin"
)

// sendAll sends model requests of some tokens and plain calls at once through all entry hosts, and returns the bodies of responses
// that are no success.
func sendAll(t *testing.T, s *Scene, tokens int) string {
	var running sync.WaitGroup
	chat := fmt.Sprintf(`{"model":%q,"max_tokens":%d,"messages":[{"role":"user","content":%q}]}`, rudderfleetstand.ModelLedger, tokens, rudderengine.LengthMark(tokens))
	refused := make([]string, 16*len(s.Entries()))
	for i := range refused {
		running.Go(func() {
			path, body := "/v1/chat/completions", chat
			if i%2 == 0 {
				path, body = "/v1/services/"+rudderfleetstand.ServiceLedger+"/book", "pay"
			}
			request, err := http.NewRequest(http.MethodPost, "http://"+s.Entries()[i/16].App.CallerAddress()+path, strings.NewReader(body))
			assert.NoError(t, err)
			request.Header.Set("Authorization", "Bearer "+rudderfleetstand.WorkspaceKey(rudderfleetstand.WorkspaceName(rudderfleetstand.FirmUmuvumu, 1)))
			response, err := http.DefaultClient.Do(request)
			if !assert.NoError(t, err) {
				return
			}
			text, err := io.ReadAll(response.Body)
			_ = response.Body.Close()
			if err != nil || response.StatusCode != http.StatusOK {
				refused[i] = string(text) + "\n"
			}
		})
	}
	running.Wait()
	return strings.Join(refused, "")
}

// Guards against new requests and calls in an evacuated data centre, also from an entry host that starts during the evacuation,
// against streams and groups there that end because of it, and against work that waits or is refused without a reason when no
// data centre is left.
func TestEvacuatedDataCentreGetsNoNewWork(t *testing.T) {
	layout := rudderfleetstand.Small()
	layout.Domains[1].DataCentre = "kigali-2"
	layout.Services = append(layout.Services, layout.Services[0])
	layout.Services[1].Name, layout.Services[1].DataCentre = "kigali-2-ledger", "kigali-2"
	here := Location{Region: rudderfleetstand.RegionKigali, DataCentre: "kigali-1"}
	s := &Scene{Fleet: &rudderfleetstand.Fleet{Layout: layout}, Locations: []Location{here, here}}
	t.Cleanup(s.Close)
	require.NoError(t, s.Start())
	admin := func(method, path string, result any) {
		client := &rudderadmin.Client{Addresses: []string{s.Entries()[0].App.AdminAddress()}, Token: rudderfleetstand.OperatorToken, HTTP: http.DefaultClient}
		require.NoError(t, client.Do(t.Context(), method, "/data-centres"+path, nil, 0, nil, result))
	}
	begunThere := func(after time.Time) (request, call bool) {
		return slices.ContainsFunc(s.Fleet.Fabric.Ledger.Runs(), func(run rudderengine.Run) bool {
				return strings.HasPrefix(run.Host, "kigali-1-b") && run.Start.After(after)
			}), slices.ContainsFunc(s.Fleet.Calls.Calls(), func(call rudderbackend.Call) bool {
				return call.Host == "kigali-2-ledger" && call.At.After(after)
			})
	}
	bothServe := func() bool {
		begin := time.Now()
		refused := sendAll(t, s, 2)
		request, call := begunThere(begin)
		return refused == "" && request && call
	}
	require.NoError(t, Await(20*time.Second, "work in both data centres", bothServe))
	groups := plannedGroups(t, s)
	streams := make(chan string)
	go func() { streams <- sendAll(t, s, 150) }()
	time.Sleep(300 * time.Millisecond)
	var change rudderadmin.ChangeResult
	admin(http.MethodPut, "/kigali-2/evacuation", &change)
	require.Equal(t, rudderadmin.StateAccepted, change.State)
	since := time.Now().Add(500 * time.Millisecond) // connections may have been about to open when the change came in force
	require.NoError(t, Await(2*time.Second, "a report of the streams", func() bool {
		var list struct {
			DataCentres []rudderadmin.DataCentre `json:"data_centres"`
		}
		admin(http.MethodGet, "", &list)
		return list.DataCentres[1].Evacuated && list.DataCentres[1].Running > 0
	}))
	s.Locations = append(s.Locations, here)
	_, err := s.StartEntry(2)
	require.NoError(t, err)
	require.NoError(t, Await(20*time.Second, "work at all entry hosts", func() bool { return sendAll(t, s, 2) == "" }))
	require.Empty(t, <-streams)
	request, call := begunThere(since)
	require.False(t, request || call)
	require.True(t, slices.ContainsFunc(s.Fleet.Fabric.Ledger.Runs(), func(run rudderengine.Run) bool {
		return strings.HasPrefix(run.Host, "kigali-1-b") && run.Start.Before(since) && run.End.After(since) && run.Tokens == 150
	}), "streams in the data centre go on")

	admin(http.MethodPut, "/kigali-1/evacuation", &change)
	require.NoError(t, Await(5*time.Second, "refusals at once", func() bool {
		begin := time.Now()
		refused := sendAll(t, s, 2)
		quick := time.Since(begin) < 400*time.Millisecond // work waits 500 ms for groups that may form
		return quick && strings.Count(refused, `"code":"evacuated"`) == 3*16 && strings.Count(refused, `"outcome":"not_run"`) == 3*16
	}))
	admin(http.MethodDelete, "/kigali-1/evacuation", &change)
	admin(http.MethodDelete, "/kigali-2/evacuation", &change)
	require.Subset(t, plannedGroups(t, s), groups, "groups stay as they are")
	require.NoError(t, Await(20*time.Second, "work in both data centres", bothServe))
}
