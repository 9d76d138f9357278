package rudderforward

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"comfreyrudder.example/rudderd/rudderroster"
	"comfreyrudder.example/rudderd/rudderroute"
	"comfreyrudder.example/rudderd/rudderview"
	"comfreyrudder.example/shared/rudderhost"
	"comfreyrudder.example/shared/rudderstore"
	"comfreyrudder.example/shared/ruddertarget"
)

// bench is a forwarder in front of stand-ins for targets.
type bench struct {
	t         *testing.T
	forwarder *Forwarder
	server    *httptest.Server
	records   []rudderstore.Entry
	document  rudderroute.Document
	targets   int
	suspects  sync.Map
	away      chan struct{} // closed when the key-value service is away
}

func newBench(t *testing.T) *bench {
	return &bench{t: t, away: make(chan struct{}), document: rudderroute.Document{
		Version: 1, Keyed: true, Workspaces: []rudderroute.Workspace{{Name: "firm", Keys: []string{"key"}}},
		Services: []rudderroute.Service{{Name: "plain"}, {Name: "llm", Engine: &rudderroute.Engine{Slots: 4, Models: []rudderroute.Model{{Name: "m", Size: 1}}}}},
	}}
}

func (b *bench) route(prefix string, change func(r *rudderroute.Route)) {
	r := rudderroute.Route{
		Name: prefix, Host: "h", Prefix: prefix, Kind: rudderroute.KindIdempotent, MaxAttempts: 2, Timeout: 3 * time.Second,
		Shares: []rudderroute.Share{{Service: "plain", Weight: 1}},
	}
	change(&r)
	b.document.Routes = append(b.document.Routes, r)
}

func (b *bench) record(key string, value any) {
	text, err := json.Marshal(value)
	require.NoError(b.t, err)
	b.records = append(b.records, rudderstore.Entry{Key: key, Value: text, Revision: 1})
}

// target adds a stand-in; it says its own name in the answers that h does not write itself.
func (b *bench) target(service string, h http.HandlerFunc) *httptest.Server {
	server := httptest.NewServer(h)
	b.t.Cleanup(server.Close)
	b.add(service, strings.TrimPrefix(server.URL, "http://"))
	return server
}

// add records a target that listens at an address.
func (b *bench) add(service, address string) {
	b.targets++
	name := fmt.Sprint("t", b.targets)
	x := rudderview.Target{
		Host:    rudderhost.Host{Name: name, Address: address, State: rudderhost.StateLive, FabricDomain: name},
		Service: service, Born: 1, Slots: 4,
	}
	if service == "llm" {
		x.Model = "m"
		x.Membership = ruddertarget.Membership{Group: "g-" + name, Epoch: 1, Phase: ruddertarget.GroupOpen}
		b.record(rudderview.PlanPrefix+"llm/"+name, rudderroster.Plan{Service: "llm", Domain: name, Groups: []rudderroster.Group{
			{Name: "g-" + name, Epoch: 1, Model: "m", Members: []rudderroster.Member{{Target: name, Born: 1}}},
		}})
	}
	b.record("targets/"+name, x)
}

// start runs the view and the forwarder.
func (b *bench) start() {
	b.record("routing", b.document)
	ctx, end := context.WithCancel(b.t.Context())
	started := time.Now()
	uptime := func() time.Duration { return time.Since(started) + time.Second }
	view := &rudderview.View{
		Store: &rudderstore.Store{
			List: func(context.Context, string) ([]rudderstore.Entry, int64, error) { return b.records, 1, nil },
			Watch: func(ctx context.Context, r rudderstore.WatchRequest) (rudderstore.WatchResult, error) {
				select {
				case <-ctx.Done():
					return rudderstore.WatchResult{}, ctx.Err()
				case <-b.away:
					return rudderstore.WatchResult{}, errors.New("away")
				}
			},
		},
		Keys: rudderview.Keys{Routing: "routing", TargetPrefix: "targets/"}, Logger: zerolog.Nop(), Uptime: uptime,
		DecodeRouting: func(value []byte) (d rudderroute.Document, err error) { return d, json.Unmarshal(value, &d) },
		DecodeTarget: func(name string, value []byte) (x rudderview.Target, err error) {
			return x, json.Unmarshal(value, &x)
		},
	}
	b.forwarder = &Forwarder{
		View: view, Client: &http.Client{Transport: &http.Transport{DisableCompression: true}}, Logger: zerolog.Nop(), Uptime: uptime,
		Metrics:   Metrics{Count: func(string) {}, Observe: func(string, time.Duration) {}},
		LookLimit: time.Minute, Retries: RetryLimits{Ratio: 1, Extra: 100, Window: 10 * time.Second},
		Report: func(ctx context.Context, address string) (ruddertarget.GroupReport, error) {
			return ruddertarget.GroupReport{}, nil
		},
		Examine: func(context.Context, *rudderview.Group) ([]string, bool) { return nil, false },
		Pick:    func(context.Context, PickQuery) Pick { return Pick{} }, Nudge: func() {},
		Suspect:  func(t *rudderview.Target, _ string) { b.suspects.Store(t.Name, true) },
		Poisoned: func(uint64) bool { return false }, Crashed: func(uint64, *rudderview.Target) {},
		Protocol: Protocol{
			DecodeRequest: func(r *http.Request) (Request, error) {
				return Request{ID: r.Header.Get("Id"), Key: r.Header.Get("Key"), LastEvent: r.Header.Get("Last"), Header: r.Header.Clone()}, nil
			},
			EncodeAttempt: func(h http.Header, a Attempt) {
				h.Set("Target", a.Target)
				h.Set("Workspace", a.Workspace)
				h.Set("Last", a.LastEvent)
			},
			DecodeReply: func(r *http.Response) Reply {
				return Reply{RequestID: r.Header.Get("Id"), Sealed: r.Header.Get("Seal") != "", NotRun: r.Header.Get("Not-Run") != ""}
			},
			SetRetryAfter: func(h http.Header, d time.Duration) { h.Set("Retry-After", fmt.Sprint(d.Seconds())) },
		},
	}
	go func() { _ = view.Run(ctx) }()
	b.server = httptest.NewServer(b.forwarder)
	b.t.Cleanup(func() { b.server.Close(); end() })
	require.Eventually(b.t, func() bool { return view.Snapshot().Table != nil }, 5*time.Second, time.Millisecond)
}

// send sends a request and returns status, header, body and the error of reading the body.
func (b *bench) send(method, target, body string) (*http.Response, string, error) {
	b.t.Helper()
	r, err := http.NewRequest(method, b.server.URL+target, strings.NewReader(body))
	require.NoError(b.t, err)
	r.Host = "h"
	r.Header.Set("Id", "q1")
	r.Header.Set("Key", "key")
	response, err := http.DefaultClient.Do(r)
	require.NoError(b.t, err)
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	return response, string(text), err
}

func sealed(w http.ResponseWriter) {
	w.Header().Set("Seal", "s")
	w.Header().Set("Id", "q1")
}

// cut ends the connection without an answer.
func cut(w http.ResponseWriter) {
	connection, _, err := http.NewResponseController(w).Hijack()
	if err == nil {
		_ = connection.Close()
	}
}

// Guards against work that repeats although it must not, and against answers that promise too much.
func TestOutcomesByKindAndAnswer(t *testing.T) {
	lost := func(w http.ResponseWriter, _ *http.Request) { cut(w) }
	full := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	failing := func(w http.ResponseWriter, _ *http.Request) { sealed(w); w.WriteHeader(http.StatusInternalServerError) }
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
		{"idempotent, failure of the target", rudderroute.KindIdempotent, failing, 500, 2},
		{"at most once, failure of the target", rudderroute.KindAtMostOnce, failing, 500, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			b := newBench(t)
			b.route("/p/", func(r *rudderroute.Route) {
				r.Kind = test.kind
				if test.kind == rudderroute.KindAtMostOnce {
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

// Guards against a request that is changed on its way, and against a workspace that the caller makes up.
func TestRequestGoesOutAsItCame(t *testing.T) {
	b := newBench(t)
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

// Guards against requests that the HTTP client repeats by itself when a kept connection has ended.
func TestClientRepeatsNothingByItself(t *testing.T) {
	for _, method := range []string{"GET", "POST", "DELETE"} {
		t.Run(method, func(t *testing.T) {
			b := newBench(t)
			b.route("/p/", func(r *rudderroute.Route) { r.Kind = rudderroute.KindAtMostOnce; r.MaxAttempts = 1 })
			var arrivals atomic.Int32
			b.target("plain", func(w http.ResponseWriter, _ *http.Request) {
				if arrivals.Add(1) > 1 {
					cut(w)
					return
				}
				sealed(w)
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

// Guards against requests that are let in without a right, and against refusals that blame the caller while
// this entry host knows too little.
func TestAdmission(t *testing.T) {
	b := newBench(t)
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
	b.forwarder.LookLimit = 0
	require.Equal(t, 503, send("/p/x", "key", ""))
	require.Equal(t, 200, send("/open/x", "", ""))
	b.forwarder.Close()
	require.Equal(t, 503, send("/open/x", "", ""))
}

// The pattern of a fleet that has lost power: callers come back before an entry host has read the routing document for
// the first time. Guards against requests that are refused, and use up their callers' tries, although they can be served
// within a moment, and against requests that are held by a process that has been up for long.
func TestRequestsWaitForTheFirstLook(t *testing.T) {
	for _, test := range []struct {
		name    string
		started time.Duration // before the request
		status  int
		least   time.Duration
		most    time.Duration
	}{
		{"just started", 0, 200, 300 * time.Millisecond, startWait},
		{"up for long", time.Minute, 503, 0, 200 * time.Millisecond},
	} {
		t.Run(test.name, func(t *testing.T) {
			b := newBench(t)
			b.route("/p/", func(*rudderroute.Route) {})
			b.target("plain", func(w http.ResponseWriter, _ *http.Request) { sealed(w) })
			b.start()
			known := b.forwarder.View
			late := &rudderview.View{
				Store: known.Store, Keys: known.Keys, Logger: zerolog.Nop(), Uptime: known.Uptime,
				DecodeRouting: known.DecodeRouting, DecodeTarget: known.DecodeTarget,
			}
			b.forwarder.View = late
			b.forwarder.started.Store(int64(b.forwarder.Uptime() - test.started))
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

// The pattern of a slow host in a large fleet: its look at the routing document is older than the time in which a
// change must be in force, while the key-value service answers the others. Guards against requests that are served, or
// refused for good, by a document that no longer holds.
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
			b := newBench(t)
			b.route("/p/", func(*rudderroute.Route) {})
			b.route("/open/", func(r *rudderroute.Route) { r.Public = true })
			b.target("plain", func(w http.ResponseWriter, _ *http.Request) { sealed(w) })
			b.start()
			if test.unreachable {
				close(b.away)
				require.Eventually(t, b.forwarder.View.Unreachable, 5*time.Second, time.Millisecond)
			}
			b.forwarder.ApplyLimit = time.Nanosecond
			for path, want := range map[string]int{"/p/x": test.keyed, "/open/x": test.open, "/none/x": test.unknown} {
				response, _, _ := b.send("POST", path, "")
				require.Equal(t, want, response.StatusCode, path)
			}
		})
	}
}

// events writes numbered events up to one that is cut in its middle, if any.
func events(w http.ResponseWriter, after, last, cutAt int) {
	sealed(w)
	w.Header().Set("Content-Type", "text/event-stream")
	for i := after + 1; i <= last; i++ {
		if i == cutAt {
			_, _ = fmt.Fprintf(w, "id: %d\ndata: par", i)
			_ = http.NewResponseController(w).Flush()
			cut(w)
			return
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: e%d\n\n", i, i)
		_ = http.NewResponseController(w).Flush()
	}
}

func streamRoute(resumable bool) func(r *rudderroute.Route) {
	return func(r *rudderroute.Route) {
		r.Kind, r.Resumable, r.Shares = rudderroute.KindStream, resumable, []rudderroute.Share{{Service: "llm", Weight: 1}}
	}
}

// Guards against pieces that are missing, come twice or stand half in the answer when a stream goes on
// elsewhere, and against a cut stream that looks complete.
func TestCutStreams(t *testing.T) {
	for _, test := range []struct {
		name      string
		resumable bool
		whole     bool
	}{{"resumable", true, true}, {"not resumable", false, false}} {
		t.Run(test.name, func(t *testing.T) {
			b := newBench(t)
			b.route("/s/", streamRoute(test.resumable))
			var arrivals atomic.Int32
			for range 2 {
				b.target("llm", func(w http.ResponseWriter, r *http.Request) {
					if arrivals.Add(1) == 1 {
						w.Header().Set("First", "yes")
						events(w, 0, 5, 3)
						return
					}
					var after int
					_, _ = fmt.Sscan(r.Header.Get("Last"), &after)
					events(w, after, 5, 0)
				})
			}
			b.start()
			response, body, err := b.send("POST", "/s/x", "prompt")
			require.Equal(t, 200, response.StatusCode)
			require.Equal(t, "yes", response.Header.Get("First"))
			if !test.whole {
				require.Error(t, err)
				require.Equal(t, "id: 1\ndata: e1\n\nid: 2\ndata: e2\n\n", body)
				require.Equal(t, int32(1), arrivals.Load())
				return
			}
			require.NoError(t, err)
			var ids []string
			for lines := bufio.NewScanner(strings.NewReader(body)); lines.Scan(); {
				if id, found := strings.CutPrefix(lines.Text(), "id: "); found {
					ids = append(ids, id)
				}
			}
			require.Equal(t, []string{"1", "2", "3", "4", "5"}, ids)
		})
	}
}

// Guards against streams that wait for a dead member of their group: another one lets the members be probed,
// and the stream goes on elsewhere long before the caller gives up.
func TestSilentGroup(t *testing.T) {
	b := newBench(t)
	b.route("/s/", streamRoute(true))
	release := make(chan struct{})
	defer close(release)
	var arrivals atomic.Int32
	var dead atomic.Value
	for range 2 {
		b.target("llm", func(w http.ResponseWriter, r *http.Request) {
			if arrivals.Add(1) == 1 {
				dead.Store(r.Host)
				dead.Store(r.Header.Get("Target"))
				events(w, 0, 1, 0)
				<-release
				return
			}
			events(w, 1, 2, 0)
		})
	}
	b.start()
	b.forwarder.Report = func(_ context.Context, address string) (ruddertarget.GroupReport, error) {
		for _, x := range b.forwarder.View.Snapshot().Targets {
			if x.Address == address && x.Name == dead.Load() {
				return ruddertarget.GroupReport{}, errors.New("no answer")
			}
		}
		return ruddertarget.GroupReport{}, nil
	}
	begin := time.Now()
	_, body, err := b.send("POST", "/s/x", "prompt")
	require.NoError(t, err)
	require.Equal(t, "id: 1\ndata: e1\n\nid: 2\ndata: e2\n\n", body)
	require.Less(t, time.Since(begin), silenceLimit)
	require.Eventually(t, func() bool { _, found := b.suspects.Load(dead.Load()); return found }, time.Second, time.Millisecond)
}

// Guards against requests that hold a place at a target after their caller has left.
func TestCallerLeaves(t *testing.T) {
	b := newBench(t)
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
		t.Fatal("the target still works")
	}
}
