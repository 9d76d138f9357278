package rudderapp

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against requests on connections that the kernel has accepted, or that have just been accepted, which end without
// a response when the server shuts down.
func TestShutdownServesAcceptedConnections(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("Connection", "close") })
	callers := newCallerServer(&http.Server{ReadHeaderTimeout: time.Second, Handler: handler}, listener.(*net.TCPListener))
	var waiting []net.Conn
	for range 10 {
		conn, err := net.Dial("tcp", listener.Addr().String())
		require.NoError(t, err)
		_, err = fmt.Fprint(conn, "GET / HTTP/1.1\r\nHost: entry\r\n\r\n")
		require.NoError(t, err)
		waiting = append(waiting, conn)
	}
	callers.listener.drain()
	served := make(chan error, 1)
	go func() { served <- callers.serve() }()
	callers.drain(t.Context())
	require.NoError(t, callers.server.Shutdown(t.Context()))
	require.ErrorIs(t, <-served, net.ErrClosed)
	for _, conn := range waiting {
		response, err := io.ReadAll(conn)
		require.NoError(t, err)
		require.Contains(t, string(response), "200 OK")
		require.NoError(t, conn.Close())
	}
}
