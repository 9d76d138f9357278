package rudderforward

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"comfreyrudder.example/rudderd/rudderroute"
)

// Guards against retrying requests that must run at most once, and against a status that promises that a
// request did not run although it may have.
func TestOutcomesByKindAndAnswer(t *testing.T) {
	lost := func(w http.ResponseWriter, _ *http.Request) { cut(w) }
	full := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	failing := func(w http.ResponseWriter, _ *http.Request) { sealed(w); w.WriteHeader(http.StatusInternalServerError) }
	busy := func(w http.ResponseWriter, _ *http.Request) { sealed(w); w.WriteHeader(http.StatusTooManyRequests) }
	unsealed := func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("x")) }
	stranger := func(w http.ResponseWriter, _ *http.Request) {
		sealed(w)
		w.Header().Set("Id", "q0")
		_, _ = w.Write([]byte("other"))
	}
	short := func(w http.ResponseWriter, _ *http.Request) {
		sealed(w)
		w.Header().Set("Content-Length", "100")
		_, _ = w.Write([]byte("half"))
	}
	for _, test := range []struct {
		name     string
		kind     rudderroute.Kind
		target   http.HandlerFunc
		status   int
		arrivals int
	}{
		{"idempotent, answer lost", rudderroute.KindIdempotent, lost, 502, 2},
		{"at most once, answer lost", rudderroute.KindAtMostOnce, lost, 502, 1},
		{"at most once, answer without a seal", rudderroute.KindAtMostOnce, unsealed, 502, 1},
		{"at most once, answer of another request", rudderroute.KindAtMostOnce, stranger, 502, 1},
		{"at most once, answer cut", rudderroute.KindAtMostOnce, short, 502, 1},
		{"at most once, refused unrun by all", rudderroute.KindAtMostOnce, full, 503, 3},
		{"at most once, status of a refusal without the statement", rudderroute.KindAtMostOnce, busy, 502, 1},
		{"stream, status of a refusal without the statement", rudderroute.KindStream, busy, 502, 1},
		{"idempotent, status of a refusal without the statement", rudderroute.KindIdempotent, busy, 429, 1},
		{"idempotent, failure of the target", rudderroute.KindIdempotent, failing, 500, 2},
		{"at most once, failure of the target", rudderroute.KindAtMostOnce, failing, 500, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			b := newTestbed(t)
			b.route("/p/", func(r *rudderroute.Route) {
				r.Kind = test.kind
				if !r.Repeatable() {
					r.MaxAttempts = 1
				}
			})
			var arrivals atomic.Int32
			for range 3 {
				b.target("plain", func(w http.ResponseWriter, r *http.Request) { arrivals.Add(1); test.target(w, r) })
			}
			b.start()
			response, _, _ := b.send("POST", "/p/x", "body")
			require.Equal(t, test.status, response.StatusCode)
			require.Equal(t, test.arrivals, int(arrivals.Load()))
			require.Equal(t, test.status == 503, response.Header.Get("Retry-After") != "")
		})
	}
}

// Guards against changes to a request on its way to the target, and against a workspace header that the
// caller sets itself.
func TestRequestIsForwardedUnchanged(t *testing.T) {
	b := newTestbed(t)
	b.route("/p/", func(*rudderroute.Route) {})
	got := make(chan string, 1)
	b.target("plain", func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		got <- r.Method + " " + r.RequestURI + " " + r.Host + " " + string(body) + " " + r.Header.Get("Workspace") + " " + r.Header.Get("User-Agent") + r.Header.Get("Accept-Encoding")
		sealed(w)
	})
	b.start()
	r, err := http.NewRequest(http.MethodPost, b.server.URL+"/p/a%2Fb/../c?x=1&y=%20&z", strings.NewReader("text"))
	require.NoError(t, err)
	r.Host = "h"
	r.Header = http.Header{"Id": {"q1"}, "Key": {"key"}, "Workspace": {"other"}, "User-Agent": {""}, "Accept-Encoding": {"identity"}}
	response, err := http.DefaultClient.Do(r)
	require.NoError(t, err)
	_ = response.Body.Close()
	require.Equal(t, "POST /p/a%2Fb/../c?x=1&y=%20&z h text firm identity", <-got)
}

// Guards against retries by the HTTP client itself when a kept-alive connection has been closed.
func TestClientDoesNotRetry(t *testing.T) {
	for _, method := range []string{"GET", "POST", "DELETE"} {
		t.Run(method, func(t *testing.T) {
			b := newTestbed(t)
			b.id = shortIDs()
			b.route("/p/", func(r *rudderroute.Route) { r.Kind = rudderroute.KindAtMostOnce; r.MaxAttempts = 1 })
			var arrivals atomic.Int32
			b.target("plain", func(w http.ResponseWriter, r *http.Request) {
				if arrivals.Add(1) > 1 {
					cut(w)
					return
				}
				sealed(w)
				w.Header().Set("Id", r.Header.Get("Id"))
			})
			b.start()
			response, _, _ := b.send(method, "/p/x", "")
			require.Equal(t, 200, response.StatusCode)
			response, _, _ = b.send(method, "/p/x", "")
			require.Equal(t, 502, response.StatusCode)
			require.Equal(t, int32(2), arrivals.Load())
		})
	}
}

// The connection of a request breaks, and the HTTP client, which takes a POST with an empty key for repeatable, takes another one that
// has carried its ID. Guards against a request that is sent again, and runs twice, because nothing was written to that connection, and
// against connections that are taken in vain.
func TestRequestIsNotSentAgainAfterItsConnection(t *testing.T) {
	b := newTestbed(t)
	b.route("/p/", func(r *rudderroute.Route) { r.Kind, r.MaxAttempts = rudderroute.KindAtMostOnce, 1 })
	var arrivals, replaced atomic.Int32
	both := make(chan struct{})
	b.rawTarget("plain", func(w net.Conn, r *http.Request, _, _ int) {
		switch n := arrivals.Add(1); {
		case n == 2:
			close(both)
		case n > 2:
			_ = w.Close()
			return
		}
		<-both
		id := r.Header.Get("Id")
		if id == "q2" {
			time.Sleep(100 * time.Millisecond) // its connection is used next
		}
		_, _ = io.WriteString(w, answer(id, "own"))
	})
	b.start()
	b.forwarder.Metrics.Count = func(name string) {
		if name == "targets.replaced_connections" {
			replaced.Add(1)
		}
	}
	send := func(id string) (status int) {
		r, err := http.NewRequest(http.MethodPost, b.server.URL+"/p/x", nil)
		if err != nil {
			return 0
		}
		r.Host, r.Header = "h", http.Header{"Id": {id}, "Key": {"key"}, "Idempotency-Key": {""}}
		response, err := b.client.Do(r)
		if err != nil {
			return 0
		}
		_ = response.Body.Close()
		return response.StatusCode
	}
	first := make(chan int)
	go func() { first <- send("q1") }()
	require.Equal(t, http.StatusOK, send("q2"))
	require.Equal(t, http.StatusOK, <-first)
	require.Equal(t, http.StatusBadGateway, send("q1"))
	require.Equal(t, int32(3), arrivals.Load())
	require.Zero(t, replaced.Load())
}

// Guards against requests that keep a slot at a target after their caller has left.
func TestCallerLeaves(t *testing.T) {
	b := newTestbed(t)
	b.route("/p/", func(*rudderroute.Route) {})
	arrived, left := make(chan struct{}), make(chan struct{})
	b.target("plain", func(_ http.ResponseWriter, r *http.Request) {
		close(arrived)
		<-r.Context().Done()
		close(left)
	})
	b.start()
	ctx, leave := context.WithCancel(t.Context())
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, b.server.URL+"/p/x", nil)
	require.NoError(t, err)
	r.Host = "h"
	r.Header.Set("Id", "q1")
	r.Header.Set("Key", "key")
	go func() {
		if response, err := http.DefaultClient.Do(r); err == nil {
			_ = response.Body.Close()
		}
	}()
	<-arrived
	leave()
	select {
	case <-left:
	case <-time.After(5 * time.Second):
		t.Fatal("the request at the target was not cancelled within 5 s")
	}
}

// A target refuses a request without running it, and the key is withdrawn meanwhile. Guards against sending the request to
// another target, as requests that a target has begun are.
func TestRefusedRequestNeedsTheCurrentConfiguration(t *testing.T) {
	const staleness = time.Second
	for _, kind := range []rudderroute.Kind{rudderroute.KindIdempotent, rudderroute.KindAtMostOnce, rudderroute.KindStream} {
		for _, stale := range []bool{false, true} {
			b := newTestbed(t)
			b.route("/x/", func(r *rudderroute.Route) { r.Kind, r.MaxAttempts, r.Timeout = kind, 3, 9*time.Second })
			var arrivals atomic.Int32
			for range 2 {
				b.target("plain", func(w http.ResponseWriter, _ *http.Request) {
					if arrivals.Add(1) == 1 {
						if stale {
							time.Sleep(staleness)
						} else {
							b.configure(func(d *rudderroute.Document) { d.Workspaces = nil })
						}
						sealed(w)
						w.Header().Set("Not-Run", "1")
						w.WriteHeader(http.StatusServiceUnavailable)
						return
					}
					events(w, 0, 1, 0)
				})
			}
			b.start()
			b.forwarder.MaxKeyStaleness = staleness
			response, _, err := b.send("POST", "/x/x", "body")
			require.NoError(t, err)
			require.NotEqual(t, http.StatusOK, response.StatusCode)
			require.EqualValues(t, 1, arrivals.Load())
		}
	}
}

// A request that may run once is sent, its connection closes, and its key is withdrawn. Guards against a second run.
func TestBegunRequestRunsOnceAfterItsKeyIsWithdrawn(t *testing.T) {
	b := newTestbed(t)
	b.route("/x/", func(r *rudderroute.Route) { r.Kind, r.MaxAttempts = rudderroute.KindAtMostOnce, 3 })
	b.route("/s/", streamRoute(false))
	var arrivals atomic.Int32
	for _, service := range []string{"plain", "plain", "llm", "llm"} {
		b.target(service, func(w http.ResponseWriter, _ *http.Request) { arrivals.Add(1); cut(w) })
	}
	b.start()
	for _, path := range []string{"/x/x", "/s/x"} {
		arrivals.Store(0)
		response, _, err := b.send("POST", path, "body")
		require.NoError(t, err)
		require.Equal(t, http.StatusBadGateway, response.StatusCode)
		require.EqualValues(t, 1, arrivals.Load())
	}
}
