package rudderkv

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"comfreyrudder.example/shared/rudderstore"
)

// Guards against an HTTP client that opens a connection for each call, which would make the measured cost of
// control traffic too high.
func TestAdapterReusesConnection(t *testing.T) {
	web := httptest.NewUnstartedServer((&Server{}).Handler())
	var opened atomic.Int64
	web.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateNew {
			opened.Add(1)
		}
	}
	web.Start()
	t.Cleanup(web.Close)
	ctx := context.Background()
	store := (&rudderstore.HTTP{BaseURL: web.URL, Client: &http.Client{Transport: &http.Transport{}}}).Store()
	for _, size := range []int{10, 1000, 100000, rudderstore.MaxValueBytes} {
		_, err := store.Put(ctx, rudderstore.PutRequest{Key: "k", Value: make([]byte, size), Expected: rudderstore.AnyRevision})
		require.NoError(t, err)
		for range 3 {
			_, _, err = store.Get(ctx, "k")
			require.NoError(t, err)
		}
	}
	require.EqualValues(t, 1, opened.Load())
}
