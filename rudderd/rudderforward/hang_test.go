package rudderforward

import (
	"context"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"comfreyrudder.example/rudderd/rudderroute"
)

// hang keeps a request without a response until its connection closes or the test ends.
func hang(t *testing.T, r *http.Request) {
	select {
	case <-r.Context().Done():
	case <-t.Context().Done():
	}
}

// A target accepts a request and never answers it, while its probes are good. Guards against callers that leave with nothing
// although another target could have answered, and against a second run of a request that must not repeat.
func TestHungRequests(t *testing.T) {
	const idle = 2 * time.Second
	for _, test := range []struct {
		name   string
		path   string
		status int
		sends  int32
	}{
		{"stream that can be resumed", "/s/", http.StatusOK, 2},
		{"call that may repeat", "/c/", http.StatusOK, 2},
		{"call that may run once", "/once/", http.StatusGatewayTimeout, 1},
		{"stream that cannot be resumed", "/single/", http.StatusBadGateway, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				b := newBubbleTestbed(t)
				resumable := func(resumable bool) func(r *rudderroute.Route) {
					return func(r *rudderroute.Route) { streamRoute(resumable)(r); r.CallerIdleTimeout = idle }
				}
				b.route("/s/", resumable(true))
				b.route("/single/", resumable(false))
				b.route("/c/", func(*rudderroute.Route) {})
				b.route("/once/", func(r *rudderroute.Route) { r.Kind = rudderroute.KindAtMostOnce })
				var hangs atomic.Bool
				var arrivals atomic.Int32
				for range 2 {
					for _, service := range []string{"llm", "plain"} {
						b.target(service, func(w http.ResponseWriter, r *http.Request) {
							arrivals.Add(1)
							if hangs.Swap(false) {
								hang(t, r)
								return
							}
							events(w, 0, 2, 0)
						})
					}
				}
				b.start()
				var reported atomic.Int32 // groups of the last report to the owner of the model
				b.forwarder.Pick = func(_ context.Context, q PickQuery) Pick {
					reported.Store(int32(len(q.Silent)))
					return Pick{}
				}
				for range minDurationSamples {
					response, _, err := b.send("POST", test.path+"x", "body")
					require.NoError(t, err)
					require.Equal(t, http.StatusOK, response.StatusCode)
				}
				hangs.Store(true)
				arrivals.Store(0)
				begin := time.Now()
				response, _, err := b.send("POST", test.path+"x", "body")
				require.NoError(t, err)
				require.Equal(t, test.status, response.StatusCode)
				require.Equal(t, test.sends, arrivals.Load())
				switch {
				case test.sends > 1:
					require.Less(t, time.Since(begin), idle*3/4, "the caller leaves after %v", idle)
					if test.path == "/s/" {
						require.EqualValues(t, 1, reported.Load(), "other entry hosts do not learn that the target hangs")
					}
				case test.status == http.StatusBadGateway:
					require.Less(t, time.Since(begin), idle, "the caller has left without an answer")
				}
			})
		})
	}
}

// Guards against a request that is sent once more in an overload, in which all targets are slow, and against a retry without
// a budget.
func TestSlowRequestsAreNotRepeated(t *testing.T) {
	const slow = 1500 * time.Millisecond
	for _, test := range []struct {
		name    string
		retries RetryLimits
		allSlow bool
	}{
		{"overload", RetryLimits{Ratio: 1, Extra: 100, Window: 10 * time.Second}, true},
		{"no budget", RetryLimits{Window: 10 * time.Second}, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			b := newTestbed(t)
			b.route("/s/", streamRoute(true))
			var overloaded atomic.Bool
			var arrivals, slowed atomic.Int32
			for range 4 {
				b.target("llm", func(w http.ResponseWriter, _ *http.Request) {
					arrivals.Add(1)
					if overloaded.Load() && (test.allSlow || slowed.Add(1) == 1) {
						time.Sleep(slow)
					}
					events(w, 0, 2, 0)
				})
			}
			b.start()
			b.forwarder.Retries = test.retries
			for range 2 * minDurationSamples {
				_, _, err := b.send("POST", "/s/x", "body")
				require.NoError(t, err)
			}
			overloaded.Store(true)
			arrivals.Store(0)
			const requests = 6
			statuses := make(chan int, requests)
			for range requests {
				go func() {
					response, _, err := b.send("POST", "/s/x", "body")
					if err != nil {
						response = &http.Response{}
					}
					statuses <- response.StatusCode
				}()
			}
			for range requests {
				require.Equal(t, http.StatusOK, <-statuses)
			}
			require.EqualValues(t, requests, arrivals.Load())
		})
	}
}

// Guards against new requests for a target whose requests hang, while others answer.
func TestNewRequestsAvoidHungTargets(t *testing.T) {
	b := newTestbed(t)
	b.route("/once/", func(r *rudderroute.Route) { r.Kind = rudderroute.KindAtMostOnce })
	var hung atomic.Value
	for range 2 {
		b.target("plain", func(w http.ResponseWriter, r *http.Request) {
			if hung.Load() == r.Header.Get("Target") {
				hang(t, r)
				return
			}
			events(w, 0, 1, 0)
		})
	}
	b.start()
	for range 4 * minDurationSamples {
		_, _, err := b.send("POST", "/once/x", "body")
		require.NoError(t, err)
	}
	hung.Store("t1")
	ctx, leave := context.WithCancel(t.Context())
	defer leave()
	for range 4 {
		go func() {
			r, err := http.NewRequestWithContext(ctx, http.MethodPost, b.server.URL+"/once/x", http.NoBody)
			if err != nil {
				return
			}
			r.Host = "h"
			r.Header.Set("Id", "q1")
			r.Header.Set("Key", "key")
			if response, err := http.DefaultClient.Do(r); err == nil {
				_ = response.Body.Close()
			}
		}()
	}
	require.Eventually(t, func() bool { return b.forwarder.loads.avoided("t1", b.forwarder.Uptime()) }, 2*time.Second, 10*time.Millisecond)
	response, _, err := b.send("POST", "/once/x", "body")
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, response.StatusCode)
}
