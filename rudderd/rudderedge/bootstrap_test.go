package rudderedge

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"comfreyrudder.example/rudderd/rudderview"
	"comfreyrudder.example/shared/rudderpeer"
	"comfreyrudder.example/shared/rudderstore"
)

// seedStub answers Bootstrap calls with a fixed state.
type seedStub struct{ *rudderpeer.StateResponse }

func (s seedStub) State(context.Context, *rudderpeer.StateRequest) (*rudderpeer.StateResponse, error) {
	return s.StateResponse, nil
}

func startSeed(t *testing.T, state *rudderpeer.StateResponse) string {
	t.Helper()
	if state.Known {
		var err error
		state.Records, err = (&packer{}).pack(packKey{}, func() []*rudderpeer.Change { return []*rudderpeer.Change{{Key: "k", Revision: 1}} })
		require.NoError(t, err)
	}
	server := httptest.NewServer(rudderpeer.NewBootstrapServer(seedStub{state}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// Guards against a process that starts with older records than another seed has, that waits for seeds which are down, and that
// serves what a seed knew long ago although the key-value service may only be slow.
func TestNewestSeedIsUsed(t *testing.T) {
	old := &rudderpeer.StateResponse{Known: true, Revision: 5, AgeMs: 2500, Away: true}
	newer := &rudderpeer.StateResponse{Known: true, Revision: 6, AgeMs: 3000, Away: true}
	fresh := &rudderpeer.StateResponse{Known: true, Revision: 5, AgeMs: 100, Secret: []byte("s")}
	outdated := &rudderpeer.StateResponse{Known: true, Revision: 4, AgeMs: 60_000, Away: true}
	unknown := &rudderpeer.StateResponse{}
	for _, test := range []struct {
		name     string
		seeds    []*rudderpeer.StateResponse // nil for one that is down
		revision int64
		from, to time.Duration
	}{
		{"one is down, one knows nothing", []*rudderpeer.StateResponse{nil, unknown, fresh}, 5, bootstrapDelay, time.Second},
		{"two know something old", []*rudderpeer.StateResponse{old, newer}, 6, bootstrapDelay, time.Second},
		{"outdated", []*rudderpeer.StateResponse{outdated}, 4, oldAnswerDelay, 4 * time.Second},
		{"nobody knows", []*rudderpeer.StateResponse{unknown, nil}, 0, 0, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			e := edge("new", newMemoryStore())
			e.Settings.MaxKeyStaleness, e.Settings.BootstrapListen = 4*time.Second, "127.0.0.1:1"
			e.Settings.Seeds = []string{e.Settings.BootstrapListen}
			for _, x := range test.seeds {
				if x == nil {
					e.Settings.Seeds = append(e.Settings.Seeds, freeAddress(t))
				} else {
					e.Settings.Seeds = append(e.Settings.Seeds, startSeed(t, x))
				}
			}
			e.Prepare()
			ctx, end := context.WithTimeout(t.Context(), 2*time.Second+test.to)
			defer end()
			begin := e.uptime()
			k, err := e.fetchKnown(ctx)
			if test.revision == 0 {
				require.ErrorIs(t, err, context.DeadlineExceeded, "it asks until the service has answered")
				return
			}
			require.NoError(t, err)
			require.Equal(t, test.revision, k.Revision)
			require.GreaterOrEqual(t, e.uptime()-begin, test.from)
			require.Less(t, e.uptime()-begin, test.to)
			require.Equal(t, test.revision == 5, e.peers.secret.Load() != nil, "the secret of the chosen answer")
		})
	}
	_, err := preparedEdge("alone").fetchKnown(t.Context())
	require.ErrorIs(t, err, errNoSource)
}

func preparedEdge(name string) *Edge {
	e := edge(name, newMemoryStore())
	e.Prepare()
	return e
}

// Guards against configurations and the shared secret that are told to anybody who is no entry host, and against many calls
// that are served at once when a whole fleet starts.
func TestOnlyEntryHostsAreBootstrapped(t *testing.T) {
	e := preparedEdge("a")
	call := func(remote string) int {
		body := strings.NewReader("{}")
		r := httptest.NewRequest(http.MethodPost, rudderpeer.BootstrapPathPrefix+"State", body)
		r.RemoteAddr = remote
		r.Header.Set("Content-Type", "application/json")
		w := httptest.NewRecorder()
		e.bootstrapHandler().ServeHTTP(w, r)
		return w.Code
	}
	require.Equal(t, http.StatusForbidden, call("10.0.0.1:5"), "no host is known yet")
	value, err := json.Marshal(rudderview.EntryHost{Name: "b", Address: "10.0.0.1:80"})
	require.NoError(t, err)
	_, err = e.Ports.Store.Put(t.Context(), rudderstore.PutRequest{Key: rudderview.EntryPrefix + "b", Value: value})
	require.NoError(t, err)
	go func() { _ = e.view.Run(t.Context()) }()
	<-e.view.Synced()
	require.Equal(t, http.StatusOK, call("10.0.0.1:5"))
	require.Equal(t, http.StatusForbidden, call("10.0.0.2:5"))
	require.Equal(t, http.StatusForbidden, call("nonsense"))
	for range maxBootstrapCalls {
		e.bootstrap.calls <- struct{}{}
	}
	require.Equal(t, http.StatusTooManyRequests, call("10.0.0.1:5"))
}

// Guards against a host that ends its read of all records for what another one knows, although that is no newer: two hosts that
// were suspended while the key-value service was restored then kept each other from reading it.
func TestOnlyNewerAnswersAreUsed(t *testing.T) {
	e := edge("a", newMemoryStore())
	var now atomic.Int64
	now.Store(int64(time.Minute))
	e.uptime = func() time.Duration { return time.Duration(now.Load()) }
	e.Settings.MaxKeyStaleness = 4 * time.Second
	e.Prepare()
	known := func(revision int64, age time.Duration) rudderview.Known {
		return rudderview.Known{Revision: revision, AsOf: time.Minute - age}
	}
	require.False(t, e.usable(known(0, 0), time.Minute))
	require.True(t, e.usable(known(5, 4*time.Second), 0))
	require.False(t, e.usable(known(5, 5*time.Second), 0))
	require.True(t, e.usable(known(5, 5*time.Second), oldAnswerDelay))
	require.NoError(t, listOnce(t, e))
	now.Add(int64(3 * time.Second))
	require.False(t, e.usable(known(5, 0), time.Minute), "as old as what is known")
	require.True(t, e.usable(known(5, -time.Second), time.Minute))
	require.False(t, e.usable(known(4, -time.Second), time.Minute), "an earlier revision")
}

// listOnce lets the view read all records at revision 5.
func listOnce(t *testing.T, e *Edge) error {
	t.Helper()
	for range 5 {
		if _, err := e.Ports.Store.Put(t.Context(), rudderstore.PutRequest{Key: "k", Expected: rudderstore.AnyRevision}); err != nil {
			return err
		}
	}
	ctx, end := context.WithCancel(t.Context())
	ended := make(chan error)
	go func() { ended <- e.view.Run(ctx) }()
	<-e.view.Synced()
	end()
	return <-ended
}
