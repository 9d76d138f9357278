package rudderdrain

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
	s := &Server{HTTP: &http.Server{ReadHeaderTimeout: time.Second, Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})}, Listener: listener}
	var waiting []net.Conn
	for range 10 {
		conn, err := net.Dial("tcp", listener.Addr().String())
		require.NoError(t, err)
		_, err = fmt.Fprint(conn, "GET / HTTP/1.1\r\nHost: entry\r\n\r\n")
		require.NoError(t, err)
		waiting = append(waiting, conn)
	}
	s.prepare()
	s.queue.drain()
	served := make(chan error, 1)
	go func() { served <- s.Serve() }()
	s.Drain(t.Context())
	require.NoError(t, s.HTTP.Shutdown(t.Context()))
	require.NoError(t, <-served)
	for _, conn := range waiting {
		response, err := io.ReadAll(conn)
		require.NoError(t, err)
		require.Contains(t, string(response), "200 OK")
		require.NoError(t, conn.Close())
	}
}

// Guards against a drain that waits for callers which keep connections open without a request.
func TestDrainClosesUnusedConnections(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := &Server{HTTP: &http.Server{ReadHeaderTimeout: time.Minute, Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})}, Listener: listener}
	go func() { _ = s.Serve() }()
	kept, err := net.Dial("tcp", listener.Addr().String())
	require.NoError(t, err)
	defer func() { _ = kept.Close() }()
	_, err = fmt.Fprint(kept, "GET / HTTP/1.1\r\nHost: entry\r\n\r\n")
	require.NoError(t, err)
	_, err = kept.Read(make([]byte, 1))
	require.NoError(t, err)
	unused, err := net.Dial("tcp", listener.Addr().String())
	require.NoError(t, err)
	defer func() { _ = unused.Close() }()
	begin := time.Now()
	s.Drain(t.Context())
	require.Less(t, time.Since(begin), 2*firstRequestTimeout)
	for _, c := range []net.Conn{kept, unused} {
		_, err = io.ReadAll(c)
		require.NoError(t, err)
	}
}
