package rudderforward

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"comfreyrudder.example/rudderd/rudderroute"
)

// Guards against losing a refusal that is sent while the body is in transit: the connection was closed at once, so that the
// rest of the body reset it.
func TestEarlyRefusalReachesACallerThatStillSends(t *testing.T) {
	b := newTestbed(t)
	b.route("/p/", func(*rudderroute.Route) {})
	b.start()
	for _, test := range []struct {
		name, target, key string
		want              int
	}{
		{"no route", "/other/x", "key", 404}, {"withdrawn key", "/p/x", "withdrawn", 401}, {"no group", "/p/x", "key", 503},
	} {
		t.Run(test.name, func(t *testing.T) {
			connection, err := net.Dial("tcp", strings.TrimPrefix(b.server.URL, "http://"))
			require.NoError(t, err)
			defer func() { _ = connection.Close() }()
			_, err = fmt.Fprintf(connection, "POST %s HTTP/1.1\r\nHost: h\r\nId: q1\r\nKey: %s\r\nContent-Length: 4000\r\n\r\n", test.target, test.key)
			require.NoError(t, err)
			for range 40 {
				time.Sleep(10 * time.Millisecond)
				_, err = connection.Write(make([]byte, 100))
				require.NoError(t, err)
			}
			response, err := http.ReadResponse(bufio.NewReader(connection), nil)
			require.NoError(t, err)
			_ = response.Body.Close()
			require.Equal(t, test.want, response.StatusCode)
		})
	}
}

// Guards against callers that hold a connection, or a stop of the host, with the body of a request that was refused.
func TestBodyOfARefusedRequestIsBounded(t *testing.T) {
	const bodyBytes = 64 << 10
	for _, test := range []struct {
		name       string
		send       func(c net.Conn) error // the next part of the body
		stop       bool
		least, max time.Duration
	}{
		{"nothing is sent", func(net.Conn) error { return nil }, false, bodyPauseTimeout * 9 / 10, bodyPauseTimeout * 3 / 2},
		{"without end", func(c net.Conn) error { _, err := fmt.Fprintf(c, "1000\r\n%s\r\n", make([]byte, 0x1000)); return err }, false, 0, bodyPauseTimeout / 2},
		{"slow without end", func(c net.Conn) error { _, err := fmt.Fprint(c, "1\r\nx\r\n"); return err }, false, 2 * time.Second, 3 * time.Second},
		{"stop", func(c net.Conn) error { _, err := fmt.Fprint(c, "1\r\nx\r\n"); return err }, true, 0, bodyPauseTimeout / 2},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			b := newTestbed(t)
			b.document.Limits.BodyBytes = bodyBytes
			b.route("/p/", func(r *rudderroute.Route) { r.Timeout = 2 * time.Second })
			b.start()
			connection, err := net.Dial("tcp", strings.TrimPrefix(b.server.URL, "http://"))
			require.NoError(t, err)
			defer func() { _ = connection.Close() }()
			_, err = fmt.Fprint(connection, "POST /p/x HTTP/1.1\r\nHost: h\r\nId: q1\r\nKey: key\r\nTransfer-Encoding: chunked\r\n\r\n")
			require.NoError(t, err)
			begin := time.Now()
			reader := bufio.NewReader(connection)
			response, err := http.ReadResponse(reader, nil)
			require.NoError(t, err)
			_, err = io.Copy(io.Discard, response.Body)
			require.NoError(t, err)
			require.Equal(t, 503, response.StatusCode)
			require.Less(t, time.Since(begin), 500*time.Millisecond, "refusal waits for the body")
			require.Eventually(t, func() bool { return b.forwarder.InFlight() == 0 }, 200*time.Millisecond, time.Millisecond, "the stop of the host waits for the body")
			go func() {
				for test.send(connection) == nil {
					time.Sleep(time.Millisecond)
				}
			}()
			if test.stop {
				time.Sleep(50 * time.Millisecond)
				b.forwarder.CancelUnanswered()
			}
			require.NoError(t, connection.SetReadDeadline(time.Now().Add(10*time.Second)))
			_, err = reader.ReadByte()
			var timeout net.Error
			require.False(t, errors.As(err, &timeout) && timeout.Timeout(), "connection is still open")
			require.Error(t, err)
			require.GreaterOrEqual(t, time.Since(begin), test.least)
			require.Less(t, time.Since(begin), test.max)
		})
	}
}

// Guards against losing the refusal of a body that is larger than what is dropped of it, because the connection is reset before
// the caller has read the response.
func TestRefusalOfALargeBodyReachesItsCaller(t *testing.T) {
	const bodyBytes = 32 << 20
	b := newTestbed(t)
	b.document.Limits.BodyBytes = 64 << 10
	b.route("/p/", func(*rudderroute.Route) {})
	b.target("plain", func(w http.ResponseWriter, _ *http.Request) { sealed(w) })
	b.start()
	for _, test := range []struct {
		path string
		want int
	}{{"/other/x", 404}, {"/p/x", 413}} {
		t.Run(test.path, func(t *testing.T) {
			connection, err := net.Dial("tcp", strings.TrimPrefix(b.server.URL, "http://"))
			require.NoError(t, err)
			defer func() { _ = connection.Close() }()
			_, err = fmt.Fprintf(connection, "POST %s HTTP/1.1\r\nHost: h\r\nId: q1\r\nKey: key\r\nContent-Length: %d\r\n\r\n", test.path, bodyBytes)
			require.NoError(t, err)
			go func() { _, _ = connection.Write(make([]byte, bodyBytes)) }()
			require.NoError(t, connection.SetReadDeadline(time.Now().Add(5*time.Second)))
			reader := bufio.NewReader(connection)
			response, err := http.ReadResponse(reader, nil)
			require.NoError(t, err)
			_, err = io.Copy(io.Discard, response.Body)
			require.NoError(t, err)
			require.Equal(t, test.want, response.StatusCode)
			_, err = reader.ReadByte()
			require.ErrorIs(t, err, io.EOF)
		})
	}
}

// Guards against a refusal that waits for the rest of a body that has already come too late.
func TestLateBodyIsRefusedInTime(t *testing.T) {
	b := newTestbed(t)
	b.route("/p/", func(r *rudderroute.Route) { r.Timeout = 500 * time.Millisecond })
	b.target("plain", func(w http.ResponseWriter, _ *http.Request) { sealed(w) })
	b.start()
	connection, err := net.Dial("tcp", strings.TrimPrefix(b.server.URL, "http://"))
	require.NoError(t, err)
	defer func() { _ = connection.Close() }()
	_, err = fmt.Fprint(connection, "POST /p/x HTTP/1.1\r\nHost: h\r\nId: q1\r\nKey: key\r\nContent-Length: 100\r\n\r\nhalf")
	require.NoError(t, err)
	require.NoError(t, connection.SetReadDeadline(time.Now().Add(2*time.Second)))
	response, err := http.ReadResponse(bufio.NewReader(connection), nil)
	require.NoError(t, err)
	_ = response.Body.Close()
	require.Equal(t, 408, response.StatusCode)
}

// Guards against a request that is read whole and gets no response because its caller closes only its sending side.
func TestCallerThatClosesItsSendingSideGetsAResponse(t *testing.T) {
	for _, kind := range []rudderroute.Kind{rudderroute.KindIdempotent, rudderroute.KindStream} {
		t.Run(string(kind), func(t *testing.T) {
			b := newTestbed(t)
			b.route("/p/", func(r *rudderroute.Route) { r.Kind = kind })
			b.target("plain", func(w http.ResponseWriter, _ *http.Request) { time.Sleep(200 * time.Millisecond); sealed(w) })
			b.start()
			connection, err := net.Dial("tcp", strings.TrimPrefix(b.server.URL, "http://"))
			require.NoError(t, err)
			defer func() { _ = connection.Close() }()
			_, err = fmt.Fprint(connection, "POST /p/x HTTP/1.1\r\nHost: h\r\nId: q1\r\nKey: key\r\nContent-Length: 4\r\n\r\nbody")
			require.NoError(t, err)
			require.NoError(t, connection.(*net.TCPConn).CloseWrite())
			response, err := http.ReadResponse(bufio.NewReader(connection), nil)
			require.NoError(t, err)
			_, err = io.Copy(io.Discard, response.Body)
			require.NoError(t, err)
			require.Contains(t, []int{200, 502, 503}, response.StatusCode)
		})
	}
}
