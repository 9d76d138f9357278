package rudderapp

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"comfreyrudder.example/rudderd/rudderfleet"
	"comfreyrudder.example/rudderd/rudderpath"
)

// Guards against a relayed response that is cut off and looks complete, and against a request that is reported as not sent
// although it may have run, or the other way round.
func TestRelayedRequest(t *testing.T) {
	a := &App{Clock: clockwork.NewRealClock(), fleet: &rudderfleet.Fleet{}}
	a.Settings.MaxInFlight, a.Settings.PeerSecret = 1, "peer-secret-of-test"
	a.stopping.init()
	a.wirePaths()
	peer := httptest.NewServer(http.HandlerFunc(a.serveRelayed))
	defer peer.Close()
	a.paths.relay.Transport = http.DefaultTransport
	a.paths.relay.Peers = func() []rudderpath.Peer {
		return []rudderpath.Peer{{Name: "peer", Address: strings.TrimPrefix(peer.URL, "http://")}}
	}
	for _, test := range []struct {
		name, response string
		sent, complete bool
	}{
		{"complete", "HTTP/1.1 201 Created\r\nContent-Length: 4\r\n\r\nbody", true, true},
		{"cut off", "HTTP/1.1 201 Created\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n", true, false},
		{"no response", "", true, false},
		{"no target", "", false, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			target := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				sent, _ := io.ReadAll(r.Body)
				if string(sent) != "request" || r.URL.RawQuery != "q=1" {
					return
				}
				conn, _, err := http.NewResponseController(w).Hijack()
				if err == nil {
					_, _ = fmt.Fprint(conn, test.response)
					_ = conn.Close()
				}
			}))
			defer target.Close()
			if !test.sent {
				target.Close()
			}
			connected := false
			trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected = true }}
			request, err := http.NewRequestWithContext(httptrace.WithClientTrace(t.Context(), trace), http.MethodPost, target.URL+"/x?q=1", nil)
			require.NoError(t, err)
			response, err := a.sendRelayed(request, a.pathTarget(request.URL.Host), []byte("request"))
			require.Equal(t, test.sent, connected)
			require.Equal(t, !test.sent, isDial(err) || errors.Is(err, rudderpath.ErrNoPeer), "%v", err)
			if err != nil {
				require.False(t, test.complete)
				return
			}
			body, err := io.ReadAll(response.Body)
			require.NoError(t, response.Body.Close())
			require.Equal(t, test.complete, err == nil, "%v", err)
			require.Equal(t, "body", string(body))
			require.Equal(t, http.StatusCreated, response.StatusCode)
		})
	}
}

// Guards against a repeat by the HTTP client of a request that its sender has marked as sent.
func TestSentRequestIsNotRepeatedBelowThePath(t *testing.T) {
	a := &App{Clock: clockwork.NewRealClock(), fleet: &rudderfleet.Fleet{}}
	a.wirePaths()
	var runs atomic.Int64
	target := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		if runs.Add(1) > 1 {
			panic(http.ErrAbortHandler)
		}
	}))
	defer target.Close()
	transport := a.throughPath(a.newTargetTransport(nil))
	for _, broken := range []bool{false, true} {
		request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, target.URL, io.NopCloser(strings.NewReader("")))
		require.NoError(t, err)
		request.ContentLength = -1
		request.GetBody = func() (io.ReadCloser, error) { return nil, errors.New("sent") }
		response, err := transport.RoundTrip(request)
		require.Equal(t, broken, err != nil, "%v", err)
		if err == nil {
			require.NoError(t, response.Body.Close())
		}
	}
	require.Equal(t, int64(2), runs.Load())
}
