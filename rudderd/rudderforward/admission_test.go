package rudderforward

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"comfreyrudder.example/rudderd/rudderroute"
	"comfreyrudder.example/rudderd/rudderview"
)

// Guards against requests that are served without a valid key, and against refusals that blame the caller
// while this entry host lacks a current routing document.
func TestAdmission(t *testing.T) {
	b := newTestbed(t)
	b.route("/p/", func(*rudderroute.Route) {})
	b.route("/open/", func(r *rudderroute.Route) { r.Public = true })
	b.target("plain", func(w http.ResponseWriter, _ *http.Request) { sealed(w) })
	b.document.Limits.BodyBytes = 10
	b.start()
	send := func(path, key, body string) int {
		r, err := http.NewRequest(http.MethodPost, b.server.URL+path, strings.NewReader(body))
		require.NoError(t, err)
		r.Host = "H:80"
		r.Header.Set("Id", "q1")
		r.Header.Set("Key", key)
		response, err := http.DefaultClient.Do(r)
		require.NoError(t, err)
		_ = response.Body.Close()
		return response.StatusCode
	}
	require.Equal(t, 200, send("/p/x", "key", ""))
	require.Equal(t, 401, send("/p/x", "wrong", ""))
	require.Equal(t, 404, send("/q/x", "key", ""))
	require.Equal(t, 413, send("/p/x", "key", strings.Repeat("x", 11)))
	require.Equal(t, 200, send("/open/x", "", ""))
	b.forwarder.MaxKeyStaleness = 0
	require.Equal(t, 503, send("/p/x", "key", ""))
	require.Equal(t, 200, send("/open/x", "", ""))
	b.forwarder.Close()
	require.Equal(t, 503, send("/open/x", "", ""))
}

// After a power failure of the whole fleet, callers return before an entry host has read the routing document
// for the first time. Guards against refusing requests that could be served a moment later, which uses up the
// callers' tries, and against holding requests in a process that has been up for long.
func TestRequestsWaitForTheFirstRoutingRead(t *testing.T) {
	for _, test := range []struct {
		name    string
		started time.Duration // before the request
		status  int
		least   time.Duration
		most    time.Duration
	}{
		{"just started", 0, 200, 300 * time.Millisecond, startupWait},
		{"up for long", time.Minute, 503, 0, 200 * time.Millisecond},
	} {
		t.Run(test.name, func(t *testing.T) {
			b := newTestbed(t)
			b.route("/p/", func(*rudderroute.Route) {})
			b.target("plain", func(w http.ResponseWriter, _ *http.Request) { sealed(w) })
			b.start()
			known := b.forwarder.View
			late := &rudderview.View{
				Store: known.Store, Keys: known.Keys, Logger: zerolog.Nop(), Uptime: known.Uptime,
				DecodeRouting: known.DecodeRouting, DecodeTarget: known.DecodeTarget,
			}
			b.forwarder.View = late
			b.forwarder.startedAt.Store(int64(b.forwarder.Uptime() - test.started))
			if test.status == 200 {
				go func() {
					time.Sleep(300 * time.Millisecond)
					_ = late.Run(t.Context())
				}()
			}
			begin := time.Now()
			response, _, _ := b.send("POST", "/p/x", "")
			require.Equal(t, test.status, response.StatusCode)
			require.GreaterOrEqual(t, time.Since(begin), test.least)
			require.Less(t, time.Since(begin), test.most)
		})
	}
}

// In a large fleet a slow host may hold a routing document that is older than the time within which a change
// must be in force, while the key-value service answers other hosts. Guards against serving, or finally
// refusing, requests by a document that may have been replaced.
func TestStaleDocumentDecidesNothing(t *testing.T) {
	for _, test := range []struct {
		name        string
		unreachable bool
		open, keyed int
		unknown     int // status for a path without a route
	}{
		{"the service answers", false, 503, 503, 503},
		{"the service is away", true, 200, 200, 404},
	} {
		t.Run(test.name, func(t *testing.T) {
			b := newTestbed(t)
			b.route("/p/", func(*rudderroute.Route) {})
			b.route("/open/", func(r *rudderroute.Route) { r.Public = true })
			b.target("plain", func(w http.ResponseWriter, _ *http.Request) { sealed(w) })
			b.start()
			if test.unreachable {
				close(b.away)
				require.Eventually(t, b.forwarder.View.Unreachable, 5*time.Second, time.Millisecond)
			}
			b.forwarder.MaxStaleness = time.Nanosecond
			for path, want := range map[string]int{"/p/x": test.keyed, "/open/x": test.open, "/none/x": test.unknown} {
				response, _, _ := b.send("POST", path, "")
				require.Equal(t, want, response.StatusCode, path)
			}
		})
	}
}
