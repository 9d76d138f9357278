package rudderforward

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"comfreyrudder.example/rudderd/rudderroute"
	"comfreyrudder.example/rudderd/rudderview"
)

// The headers of these requests show that they cannot be served, while their body is still in transit. Guards
// against callers that learn only at their deadline that no group can take their request.
func TestRequestThatCannotBeServedIsRefusedAtOnce(t *testing.T) {
	const limit = 2 * time.Second
	for _, test := range []struct {
		name    string
		code    string
		service string
		prompt  int
		prepare func(b *testbed)
	}{
		{"no group", "no_group", "llm", 0, func(*testbed) {}},
		{"all targets pause", "targets_pause", "plain", 0, func(b *testbed) {
			x := &rudderview.Target{Born: 1}
			x.Name = "t1"
			b.forwarder.pauses.set(x, b.forwarder.Uptime()+time.Minute, b.forwarder.Uptime())
		}},
		{"prompt takes longer than the time left", "too_late", "llm", 5000, func(*testbed) {}},
		{"served", "", "llm", 100, func(*testbed) {}},
	} {
		t.Run(test.name, func(t *testing.T) {
			b := newTestbed(t)
			b.document.Services[1].Engine.PromptTokensPerSecond = 2000
			b.route("/p/", func(r *rudderroute.Route) {
				r.Timeout, r.Shares = limit, []rudderroute.Share{{Service: test.service, Weight: 1}}
			})
			b.target("plain", func(w http.ResponseWriter, _ *http.Request) { sealed(w) })
			if test.prompt > 0 {
				b.target("llm", func(w http.ResponseWriter, _ *http.Request) { sealed(w) })
				b.target("llm", func(w http.ResponseWriter, _ *http.Request) { sealed(w) })
			}
			b.start()
			test.prepare(b)
			body, writer := io.Pipe()
			defer func() { _ = writer.Close() }()
			if test.code == "" {
				go func() { _, _ = writer.Write([]byte("body")); _ = writer.Close() }()
			}
			r, err := http.NewRequest(http.MethodPost, b.server.URL+"/p/x", body)
			require.NoError(t, err)
			r.Host = "h"
			r.Header = http.Header{"Id": {"q1"}, "Key": {"key"}, "Prompt": {strconv.Itoa(test.prompt)}}
			begin := time.Now()
			response, err := http.DefaultClient.Do(r)
			require.NoError(t, err)
			defer func() { _ = response.Body.Close() }()
			require.Less(t, time.Since(begin), limit/8)
			if test.code == "" {
				require.Equal(t, 200, response.StatusCode)
				return
			}
			require.Equal(t, 503, response.StatusCode)
			var answer struct {
				Error struct {
					Code string `json:"code"`
				} `json:"error"`
			}
			require.NoError(t, json.NewDecoder(response.Body).Decode(&answer))
			require.Equal(t, test.code, answer.Error.Code)
			require.Equal(t, test.code == "too_late", response.Header.Get("Retry-After") == "", "a retry would have even less time")
		})
	}
}

// Guards against waiting for a body until the request's deadline, when it is already too late for the model
// to serve it.
func TestBodyIsNotAwaitedLongerThanItCanBeServed(t *testing.T) {
	b := newTestbed(t)
	b.document.Services[1].Engine.PromptTokensPerSecond = 1000
	b.route("/p/", func(r *rudderroute.Route) {
		r.Timeout, r.Shares = 2*time.Second, []rudderroute.Share{{Service: "llm", Weight: 1}}
	})
	b.target("llm", func(w http.ResponseWriter, _ *http.Request) { sealed(w) })
	b.start()
	body, writer := io.Pipe()
	defer func() { _ = writer.Close() }()
	r, err := http.NewRequest(http.MethodPost, b.server.URL+"/p/x", body)
	require.NoError(t, err)
	r.Host = "h"
	r.Header = http.Header{"Id": {"q1"}, "Key": {"key"}, "Prompt": {"1500"}}
	begin := time.Now()
	response, err := http.DefaultClient.Do(r)
	require.NoError(t, err)
	defer func() { _ = response.Body.Close() }()
	require.Equal(t, 408, response.StatusCode)
	require.InDelta(t, 0.5, time.Since(begin).Seconds(), 0.4)
}

// Guards against queueing requests at a group for longer than they can wait: a retry, or a stream that is
// resumed elsewhere, has less time left than the objective of its route.
func TestPickCarriesRemainingWait(t *testing.T) {
	for _, test := range []struct {
		name      string
		objective time.Duration
		timeout   time.Duration
		most      time.Duration
	}{
		{"much time left", 300 * time.Millisecond, 3 * time.Second, 300 * time.Millisecond},
		{"little time left", 2 * time.Second, 1500 * time.Millisecond, time.Second},
		{"no objective", 0, 1500 * time.Millisecond, time.Second},
	} {
		t.Run(test.name, func(t *testing.T) {
			b := newTestbed(t)
			b.document.Services[1].Engine.PromptTokensPerSecond = 1000
			b.route("/p/", func(r *rudderroute.Route) {
				r.Timeout, r.Objective, r.Shares = test.timeout, test.objective, []rudderroute.Share{{Service: "llm", Weight: 1}}
			})
			for range 2 {
				b.target("llm", func(w http.ResponseWriter, _ *http.Request) { sealed(w) })
			}
			b.start()
			var objectives []time.Duration
			b.forwarder.Pick = func(_ context.Context, q PickQuery) Pick {
				objectives = append(objectives, q.Objective)
				return Pick{}
			}
			r, err := http.NewRequest(http.MethodPost, b.server.URL+"/p/x", nil)
			require.NoError(t, err)
			r.Host = "h"
			r.Header = http.Header{"Id": {"q1"}, "Key": {"key"}, "Prompt": {"500"}}
			response, err := http.DefaultClient.Do(r)
			require.NoError(t, err)
			_ = response.Body.Close()
			require.Len(t, objectives, 1)
			require.LessOrEqual(t, objectives[0], test.most)
			require.Greater(t, objectives[0], test.most*8/10)
		})
	}
}

// Guards against metrics that do not show the reason and the lateness of refusals.
func TestRefusalsAreCountedByPlaceAndTime(t *testing.T) {
	b := newTestbed(t)
	b.route("/p/", func(r *rudderroute.Route) { r.Shares = []rudderroute.Share{{Service: "llm", Weight: 1}} })
	b.start()
	var mu sync.Mutex
	counts := map[string]int{}
	b.forwarder.Metrics.Count = func(name string) {
		mu.Lock()
		defer mu.Unlock()
		counts[name]++
	}
	_, _, _ = b.send("GET", "/p/x", "")
	mu.Lock()
	defer mu.Unlock()
	require.Equal(t, 1, counts["refusals.no_group.at_once"])
	for _, test := range []struct {
		used, limit time.Duration
		want        string
	}{
		{0, 0, "at_once"}, {time.Second, 0, "at_once"}, {124 * time.Millisecond, time.Second, "at_once"}, {125 * time.Millisecond, time.Second, "early"},
		{499 * time.Millisecond, time.Second, "early"}, {500 * time.Millisecond, time.Second, "late"}, {2 * time.Second, time.Second, "late"},
	} {
		require.Equal(t, test.want, lateness(test.used, test.limit))
	}
}

// Guards against losing the connection, or a panic of the server, after a refusal that did not wait for the
// body: the next request on the connection must be served.
func TestConnectionIsUsedAgainAfterAnEarlyRefusal(t *testing.T) {
	b := newTestbed(t)
	b.route("/p/", func(*rudderroute.Route) {})
	b.route("/none/", func(r *rudderroute.Route) { r.Shares = []rudderroute.Share{{Service: "llm", Weight: 1}} })
	b.target("plain", func(w http.ResponseWriter, _ *http.Request) { sealed(w) })
	b.start()
	var logged strings.Builder
	b.server.Config.ErrorLog = log.New(&logged, "", 0)
	address := strings.TrimPrefix(b.server.URL, "http://")
	connection, err := net.Dial("tcp", address)
	require.NoError(t, err)
	defer func() { _ = connection.Close() }()
	reader := bufio.NewReader(connection)
	for i := range 200 {
		path, want := "/none/x", 503
		if i%2 == 1 {
			path, want = "/p/x", 200
		}
		_, err := fmt.Fprintf(connection, "POST %s HTTP/1.1\r\nHost: h\r\nId: q1\r\nKey: key\r\nContent-Length: 4\r\n\r\nbody", path)
		require.NoError(t, err)
		response, err := http.ReadResponse(reader, nil)
		require.NoError(t, err, "request %d", i)
		_, err = io.Copy(io.Discard, response.Body)
		require.NoError(t, err)
		require.Equal(t, want, response.StatusCode)
		require.False(t, response.Close, "request %d", i)
	}
	b.server.Close()
	require.Empty(t, logged.String())
}

// Guards against a Retry-After that callers do not obey because they have less time left, so that they come back before there is
// a place, and against owners that cannot share the groups between workspaces.
func TestRetryAfterOfFullGroups(t *testing.T) {
	for _, test := range []struct {
		timeout, wait time.Duration
		want          float64 // in seconds
	}{{30 * time.Second, 0, 0.3}, {30 * time.Second, 1500 * time.Millisecond, 1.5}, {30 * time.Second, 10 * time.Second, 3}, {6 * time.Second, 10 * time.Second, 2}} {
		b := newTestbed(t)
		b.route("/p/", func(r *rudderroute.Route) {
			r.Timeout, r.Shares = test.timeout, []rudderroute.Share{{Service: "llm", Weight: 1}}
		})
		b.target("llm", func(w http.ResponseWriter, _ *http.Request) { sealed(w) })
		b.target("llm", func(w http.ResponseWriter, _ *http.Request) { sealed(w) })
		b.start()
		var workspace atomic.Value
		b.forwarder.Pick = func(_ context.Context, q PickQuery) Pick {
			workspace.Store(q.Workspace)
			return Pick{Answered: true, Full: true, Wait: test.wait}
		}
		response, body, err := b.send("POST", "/p/x", "")
		require.NoError(t, err)
		require.Contains(t, body, "groups_full")
		after, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
		require.NoError(t, err)
		require.LessOrEqual(t, after, test.want)
		require.Greater(t, after, test.want/2)
		require.Equal(t, "firm", workspace.Load())
	}
}
