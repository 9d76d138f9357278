package rudderforward

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"comfreyrudder.example/rudderd/rudderlimit"
	"comfreyrudder.example/rudderd/rudderroute"
)

// limitedTarget is a target that names a limit of requests in one of the headers Limit and Bad-Limit, or none.
type limitedTarget struct {
	arrivals      atomic.Int32
	header, value string
}

func (a *limitedTarget) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	a.arrivals.Add(1)
	if a.header != "" {
		w.Header().Set(a.header, a.value)
	}
	sealed(w)
}

// permits is a Pick that chooses a group, or that all targets have reached their limits.
func permits(group string) func(context.Context, PickQuery) Pick {
	return func(context.Context, PickQuery) Pick {
		return Pick{Answered: true, Group: group, Full: group == "", Limited: group == "", Wait: 700 * time.Millisecond}
	}
}

// Guards against requests above a target's limit that are sent or that wait, for want of an owner, of a permit or of a
// permit that is still valid, and against a limit that keeps requests from targets without one.
func TestTargetsWithALimit(t *testing.T) {
	for _, test := range []struct {
		name       string
		service    string
		pick       func(context.Context, PickQuery) Pick
		suspended  time.Duration // while the owner answers
		unlimited  int           // number of further targets without a limit
		wantStatus int
		wantSends  int32 // to the target with the limit, after the one that named it
	}{
		{"permitted", "llm", permits("g-t1@1"), 0, 0, 200, 5},
		{"permitted, plain service", "plain", permits("t1"), 0, 0, 200, 5},
		{"none left", "llm", permits(""), 0, 0, 503, 0},
		{"none left, plain service", "plain", permits(""), 0, 0, 503, 0},
		{"no owner", "llm", nil, 0, 0, 503, 0},
		{"no owner, plain service", "plain", nil, 0, 0, 503, 0},
		{"no owner, another target", "plain", nil, 0, 1, 200, 0},
		{"expired permit", "llm", permits("g-t1@1"), time.Second, 0, 503, 0},
		{"expired permit, another target", "llm", permits("g-t1@1"), time.Second, 1, 200, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			b := newTestbed(t)
			b.route("/p/", func(r *rudderroute.Route) { r.Shares = []rudderroute.Share{{Service: test.service, Weight: 1}} })
			a := &limitedTarget{header: "Limit", value: "0.5"}
			b.target(test.service, a.ServeHTTP)
			for range test.unlimited {
				b.target(test.service, func(w http.ResponseWriter, _ *http.Request) { sealed(w) })
			}
			b.start()
			var jump atomic.Int64
			uptime := b.forwarder.Uptime
			b.forwarder.Uptime = func() time.Duration { return uptime() + time.Duration(jump.Load()) }
			require.Equal(t, rudderlimit.Began, b.forwarder.Limits.Name(rudderlimit.Process{Target: "t1", Born: 1}, 0.5, b.forwarder.Uptime()))
			b.forwarder.Limits.SetHosts(1000, b.forwarder.Uptime()) // this host's share is negligible
			b.forwarder.Pick = func(ctx context.Context, q PickQuery) Pick {
				jump.Add(int64(test.suspended))
				if test.pick == nil {
					return Pick{}
				}
				return test.pick(ctx, q)
			}
			for range 5 {
				begin := time.Now()
				response, body, err := b.send("GET", "/p/x", "")
				require.NoError(t, err)
				require.Equal(t, test.wantStatus, response.StatusCode, body)
				require.Less(t, time.Since(begin), 500*time.Millisecond, "not refused at once")
				if test.wantStatus == http.StatusServiceUnavailable {
					require.Contains(t, body, "rate_limited")
					after, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
					require.NoError(t, err)
					require.Positive(t, after)
				}
			}
			require.Equal(t, test.wantSends, a.arrivals.Load())
		})
	}
}

// Guards against a limit that is not taken from a response, that a malformed one replaces or ends, or that outlasts the
// target's word.
func TestLimitFollowsResponses(t *testing.T) {
	b := newTestbed(t)
	b.route("/p/", func(*rudderroute.Route) {})
	a := &limitedTarget{}
	b.target("plain", a.ServeHTTP)
	b.start()
	b.forwarder.Pick = permits("t1")
	process := rudderlimit.Process{Target: "t1", Born: 1}
	for i, test := range []struct {
		header, value string
		limited       bool
	}{
		{"", "", false}, {"Limit", "5", true}, {"Bad-Limit", "few", true}, {"Limit", "0", true}, {"", "", false}, {"Bad-Limit", "few", false}, {"Limit", "0.1", true},
	} {
		a.header, a.value = test.header, test.value
		response, _, err := b.send("GET", "/p/x", "")
		require.NoError(t, err)
		require.Equal(t, 200, response.StatusCode)
		require.Equal(t, test.limited, b.forwarder.Limits.Limited(process), fmt.Sprint(i, test))
	}
}
