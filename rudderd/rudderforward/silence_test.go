package rudderforward

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"comfreyrudder.example/rudderd/rudderpath"
	"comfreyrudder.example/rudderd/rudderroute"
	"comfreyrudder.example/rudderd/rudderview"
	"comfreyrudder.example/shared/rudderstore"
)

// A stream has no attempt left, and its target is silent for longer than streams usually wait. Guards against cutting a response
// that the target would complete.
func TestLastAttemptWaitsForSilentTarget(t *testing.T) {
	b := newTestbed(t)
	b.route("/s/", func(r *rudderroute.Route) {
		streamRoute(true)(r)
		r.MaxAttempts, r.Timeout = 2, 10*time.Second
	})
	for range 2 {
		b.target("llm", func(w http.ResponseWriter, r *http.Request) {
			if r.Header.Get("Last") == "" {
				events(w, 0, 5, 3)
				return
			}
			events(w, 2, 3, 0)
			time.Sleep(silenceLimit + 300*time.Millisecond)
			_, _ = fmt.Fprint(w, "id: 4\ndata: e4\n\nid: 5\ndata: e5\n\n")
		})
	}
	b.start()
	b.forwarder.ExamineGroup = func(context.Context, *rudderview.Group, time.Duration) (GroupFinding, bool) {
		return GroupFinding{Silent: []string{"t"}}, true
	}
	response, body, err := b.send("POST", "/s/x", "prompt")
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, response.StatusCode)
	require.Equal(t, []string{"1", "2", "3", "4", "5"}, eventIDs(body))
}

// The connection of a stream goes silent for good, its target is alive, and no other group serves the model. Guards against a
// response that waits until its caller leaves, although the target would resume it on another connection.
func TestStreamLeavesFailedConnection(t *testing.T) {
	b := newTestbed(t)
	b.route("/s/", func(r *rudderroute.Route) {
		streamRoute(true)(r)
		r.MaxAttempts, r.Timeout = 2, 6*time.Second
	})
	b.target("llm", func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Last") != "" {
			events(w, 2, 5, 0)
			return
		}
		events(w, 0, 2, 0)
		<-r.Context().Done()
	})
	b.start()
	b.forwarder.ExamineGroup = func(context.Context, *rudderview.Group, time.Duration) (GroupFinding, bool) {
		return GroupFinding{}, true
	}
	_, body, err := b.send("POST", "/s/x", "prompt")
	require.NoError(t, err)
	require.Equal(t, []string{"1", "2", "3", "4", "5"}, eventIDs(body))
}

// A stream has not begun, its target is silent for a second, and no other send is possible. Guards against a failure in place of the
// response that the target would send.
func TestUnbegunStreamWaitsForSilentTarget(t *testing.T) {
	for _, test := range []struct {
		name    string
		targets int
		retries RetryLimits
	}{
		{"no other group", 1, RetryLimits{Ratio: 1, Extra: 100, Window: 10 * time.Second}},
		{"retry budget is spent", 2, RetryLimits{Window: 10 * time.Second}},
	} {
		t.Run(test.name, func(t *testing.T) {
			b := newTestbed(t)
			b.route("/s/", func(r *rudderroute.Route) {
				streamRoute(true)(r)
				r.MaxAttempts, r.Timeout = 2, 10*time.Second
			})
			for range test.targets {
				b.target("llm", func(w http.ResponseWriter, _ *http.Request) {
					time.Sleep(1100 * time.Millisecond)
					events(w, 0, 3, 0)
				})
			}
			b.start()
			b.forwarder.Retries = test.retries
			b.forwarder.ExamineGroup = func(context.Context, *rudderview.Group, time.Duration) (GroupFinding, bool) {
				return GroupFinding{Silent: []string{"t"}}, true
			}
			response, body, err := b.send("POST", "/s/x", "prompt")
			require.NoError(t, err)
			require.Equal(t, http.StatusOK, response.StatusCode, body)
			require.Equal(t, []string{"1", "2", "3"}, eventIDs(body))
		})
	}
}

// A stream that cannot be sent again waits for its first event while its target is alive. Guards against a failure in place of its
// response.
func TestUnbegunStreamThatCannotBeResumedWaits(t *testing.T) {
	b := newTestbed(t)
	b.route("/s/", func(r *rudderroute.Route) {
		streamRoute(false)(r)
		r.Timeout = 10 * time.Second
	})
	b.target("llm", func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(firstEventLimit + 600*time.Millisecond)
		events(w, 0, 3, 0)
	})
	b.start()
	b.forwarder.ExamineGroup = func(context.Context, *rudderview.Group, time.Duration) (GroupFinding, bool) {
		return GroupFinding{}, true
	}
	response, body, err := b.send("POST", "/s/x", "prompt")
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, response.StatusCode, body)
	require.Equal(t, []string{"1", "2", "3"}, eventIDs(body))
}

// A target accepts no connections for a second, and the retry budget is spent. Guards against the failure of a request because a check of
// its path has cancelled the only send.
func TestUnbegunCallWaitsForSilentTarget(t *testing.T) {
	b := newTestbed(t)
	b.route("/c/", func(r *rudderroute.Route) {
		streamRoute(true)(r)
		r.Kind, r.MaxAttempts, r.Timeout = rudderroute.KindIdempotent, 2, 10*time.Second
	})
	b.target("llm", func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(1100 * time.Millisecond)
		sealed(w)
		_, _ = w.Write([]byte("ok"))
	})
	b.start()
	b.forwarder.Path.Dial = func(ctx context.Context, _, _ string) (net.Conn, error) { <-ctx.Done(); return nil, ctx.Err() }
	b.forwarder.Retries = RetryLimits{Window: 10 * time.Second}
	b.forwarder.Relay.Transport = http.DefaultTransport
	b.forwarder.Relay.Peers = func() []rudderpath.Peer { return []rudderpath.Peer{{Name: "e1", Address: "127.0.0.1:1"}} }
	response, body, err := b.send("POST", "/c/x", "prompt")
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, response.StatusCode, body)
}

// A stream has no attempt left, and its target is found dead before it goes on. Guards against cutting the response then, or at the next
// silence because of the earlier finding, and against a stream that waits for a lost target.
func TestLastAttemptOutlivesAVerdict(t *testing.T) {
	const verdict = 1370 * time.Millisecond
	for _, test := range []struct {
		name     string
		silence  time.Duration
		reported bool // another entry host reports the target as dead, and only that
		events   []string
	}{
		{"goes on", verdict + 200*time.Millisecond, false, []string{"1", "2", "3"}},
		{"lost", time.Hour, false, []string{"1"}},
		{"reported, goes on", verdict + 200*time.Millisecond, true, []string{"1", "2", "3"}},
		{"reported, lost", time.Hour, true, []string{"1"}},
	} {
		t.Run(test.name, func(t *testing.T) {
			b := newTestbed(t)
			b.route("/s/", func(r *rudderroute.Route) {
				streamRoute(true)(r)
				r.MaxAttempts, r.Timeout = 1, 10*time.Second
			})
			b.target("llm", func(w http.ResponseWriter, r *http.Request) {
				events(w, 0, 1, 0)
				select {
				case <-r.Context().Done():
					return
				case <-time.After(test.silence):
				}
				events(w, 1, 2, 0)
				time.Sleep(2 * eventSilence)
				_, _ = fmt.Fprint(w, "id: 3\ndata: e3\n\n")
			})
			b.start()
			go func() { _ = b.forwarder.Run(t.Context()) }()
			if test.reported {
				time.AfterFunc(verdict, func() {
					b.changes <- rudderstore.Entry{Key: rudderview.SuspicionPrefix + "t1", Value: []byte(`{"target":"t1","born":1,"confirmed":true}`), Revision: 2}
				})
			}
			b.forwarder.ExamineGroup = func(_ context.Context, _ *rudderview.Group, silence time.Duration) (GroupFinding, bool) {
				if silence >= verdict && (!test.reported || test.silence == time.Hour) {
					return GroupFinding{Dead: []string{"t"}}, true
				}
				return GroupFinding{Silent: []string{"t"}}, true
			}
			begin := time.Now()
			_, body, _ := b.send("POST", "/s/x", "prompt")
			require.Equal(t, test.events, eventIDs(body))
			require.Less(t, time.Since(begin), 3*time.Second)
		})
	}
}

// Another entry host reports a target as dead that goes on sending events. Guards against moving its streams.
func TestReportedTargetKeepsStreamsThatProgress(t *testing.T) {
	b := newTestbed(t)
	b.route("/s/", func(r *rudderroute.Route) {
		streamRoute(true)(r)
		r.MaxAttempts, r.Timeout = 2, 10*time.Second
	})
	var sends atomic.Int32
	for i := range 2 {
		b.target("llm", func(w http.ResponseWriter, r *http.Request) {
			sends.Add(1)
			after, _ := strconv.Atoi(r.Header.Get("Last"))
			for n := after + 1; n <= 20; n++ {
				events(w, n-1, n, 0)
				time.Sleep(20 * time.Millisecond)
				if n == 5 {
					name := fmt.Sprint("t", i+1)
					value := fmt.Sprintf(`{"target":%q,"born":1,"confirmed":true}`, name)
					b.changes <- rudderstore.Entry{Key: rudderview.SuspicionPrefix + name, Value: []byte(value), Revision: 2}
				}
			}
		})
	}
	b.start()
	go func() { _ = b.forwarder.Run(t.Context()) }()
	_, body, err := b.send("POST", "/s/x", "prompt")
	require.NoError(t, err)
	require.Len(t, eventIDs(body), 20)
	require.EqualValues(t, 1, sends.Load())
}
