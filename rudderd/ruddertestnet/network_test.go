package ruddertestnet

import (
	"io"
	"net/http"
	"net/http/httptest"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a network on which the clock of a bubble stands still, and against ends, resets and time limits that differ from
// those of TCP.
func TestNetwork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := &Network{}
		server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			time.Sleep(time.Hour)
			_, _ = io.WriteString(w, "late")
		}))
		_ = server.Listener.Close()
		server.Listener = n.Listen()
		server.Start()
		transport := &http.Transport{DialContext: n.Dial}
		response, err := (&http.Client{Transport: transport}).Get(server.URL)
		require.NoError(t, err)
		body, err := io.ReadAll(response.Body)
		require.NoError(t, err)
		require.Equal(t, "late", string(body))
		transport.CloseIdleConnections()
		server.Close()
		_, err = n.Dial(t.Context(), "tcp", server.Listener.Addr().String())
		require.ErrorIs(t, err, syscall.ECONNREFUSED)

		l := n.Listen()
		client, err := n.Dial(t.Context(), "tcp", l.Addr().String())
		require.NoError(t, err)
		peer, err := l.Accept()
		require.NoError(t, err)
		_, _ = peer.Write([]byte("x"))
		require.NoError(t, client.SetReadDeadline(time.Now().Add(time.Second)))
		buffer := make([]byte, 2)
		read, err := client.Read(buffer)
		require.NoError(t, err)
		require.Equal(t, 1, read)
		_, err = client.Read(buffer)
		require.ErrorContains(t, err, "timeout")
		require.NoError(t, client.SetReadDeadline(time.Time{}))
		_, _ = client.Write([]byte("unread"))
		require.NoError(t, peer.Close())
		_, err = client.Read(buffer)
		require.ErrorIs(t, err, syscall.ECONNRESET)
		_, err = client.Write([]byte("x"))
		require.ErrorIs(t, err, syscall.EPIPE)
		require.NoError(t, client.Close())
		require.NoError(t, l.Close())
	})
}
