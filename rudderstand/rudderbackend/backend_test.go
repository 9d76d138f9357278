package rudderbackend

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func call(t *testing.T, b *Backend, id string) error {
	request, err := http.NewRequest(http.MethodPost, "http://"+b.Address()+"/entries", strings.NewReader("x"))
	require.NoError(t, err)
	request.Header.Set(HeaderRequestID, id)
	request.Header.Set(HeaderIdempotencyKey, "key-"+id)
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 5 * time.Second}
	response, err := client.Do(request)
	if err == nil {
		err = response.Body.Close()
	}
	return err
}

// Guards against a ledger that misses work done right before the host died, or that records work that was
// never done. The oracle's checks of "at most once" and "not run" depend on it.
func TestKillAroundRun(t *testing.T) {
	cases := []struct {
		name string
		set  func(b *Backend)
		runs int64
	}{
		{"before", func(b *Backend) { b.KillBeforeRun(1) }, 0},
		{"after", func(b *Backend) { b.KillAfterRun(1) }, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := &Backend{Host: "s1", Service: "ledger", Ledger: &Ledger{}}
			require.NoError(t, b.Start())
			t.Cleanup(b.Close)
			require.NoError(t, call(t, b, "good"))
			c.set(b)
			require.Error(t, call(t, b, "bad"))
			require.Equal(t, c.runs, b.Ledger.CountOfRequest("bad"))
			require.Equal(t, c.runs, b.Ledger.CountOfKey("key-bad"))
			require.Error(t, call(t, b, "dead"))
			require.NoError(t, b.Restart())
			require.NoError(t, call(t, b, "again"))
			require.EqualValues(t, 1, b.Status().RequestsStarted)
		})
	}
}
