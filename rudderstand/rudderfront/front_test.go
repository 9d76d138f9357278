package rudderfront

import (
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func get(client *http.Client, address string, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address, nil)
	if err != nil {
		return err
	}
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	_, err = io.Copy(io.Discard, response.Body)
	return err
}

// Guards against fault switches without the effect on connections that the fault tests depend on.
func TestFrontFaults(t *testing.T) {
	f := &Front{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})}
	require.NoError(t, f.Start())
	t.Cleanup(f.Close)
	address := f.Address()
	open := &http.Client{Transport: &http.Transport{}}
	fresh := func() *http.Client { return &http.Client{Transport: &http.Transport{DisableKeepAlives: true}} }
	const long, short = 5 * time.Second, 100 * time.Millisecond
	require.NoError(t, get(open, address, long))

	f.StallConnections()
	require.ErrorIs(t, get(open, address, short), context.DeadlineExceeded, "an open connection stalls")
	require.NoError(t, get(fresh(), address, long), "a new connection works")

	for _, set := range []func(bool){f.Pause, f.SetIsolated, func(blocked bool) { f.SetBlocked("127.0.0.1", blocked) }} {
		set(true)
		require.ErrorIs(t, get(fresh(), address, short), context.DeadlineExceeded, "a new connection stalls")
		set(false)
		require.NoError(t, get(fresh(), address, long))
	}
	f.SetBlocked("127.0.0.9", true)
	require.NoError(t, get(fresh(), address, long), "another caller is blocked")

	f.Kill()
	for range 3 {
		require.ErrorContains(t, get(fresh(), address, long), "connection refused")
	}
	require.NoError(t, f.Restart())
	require.Equal(t, address, f.Address())
	require.NoError(t, get(fresh(), address, long), "the host returns at its address")
}
