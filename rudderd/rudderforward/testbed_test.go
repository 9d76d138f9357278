package rudderforward

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"comfreyrudder.example/rudderd/rudderlimit"
	"comfreyrudder.example/rudderd/rudderpath"
	"comfreyrudder.example/rudderd/rudderpoison"
	"comfreyrudder.example/rudderd/rudderroster"
	"comfreyrudder.example/rudderd/rudderroute"
	"comfreyrudder.example/rudderd/ruddertestnet"
	"comfreyrudder.example/rudderd/rudderview"
	"comfreyrudder.example/shared/rudderhost"
	"comfreyrudder.example/shared/rudderresponse"
	"comfreyrudder.example/shared/rudderstore"
	"comfreyrudder.example/shared/ruddertarget"
)

// testbed is a forwarder in front of fake targets.
type testbed struct {
	t           *testing.T
	forwarder   *Forwarder
	server      *httptest.Server
	records     []rudderstore.Entry
	document    rudderroute.Document
	targets     int
	slots       int // of each target
	suspects    sync.Map
	unavailable chan struct{} // closed when the key-value service becomes unreachable
	changes     chan rudderstore.Entry
	network     *ruddertestnet.Network // in memory; nil for real sockets
	client      *http.Client           // of callers
	id          func() string          // returns the ID of the next request; nil for "q1"
	handlers    sync.WaitGroup         // on the network in memory
}

// newBubbleTestbed returns a testbed that uses no sockets, for a test in a bubble of testing/synctest.
func newBubbleTestbed(t *testing.T) *testbed {
	b := newTestbed(t)
	b.network = &ruddertestnet.Network{}
	transport := &http.Transport{DialContext: b.network.Dial}
	t.Cleanup(b.handlers.Wait) // those of hijacked connections outlive their server
	t.Cleanup(transport.CloseIdleConnections)
	b.client = &http.Client{Transport: transport}
	return b
}

func newTestbed(t *testing.T) *testbed {
	return &testbed{t: t, slots: 4, client: http.DefaultClient, unavailable: make(chan struct{}), changes: make(chan rudderstore.Entry), document: rudderroute.Document{
		Version: 1, KeyRequired: true, Workspaces: []rudderroute.Workspace{{Name: "firm", Keys: []string{"key"}}},
		Services: []rudderroute.Service{{Name: "plain"}, {Name: "llm", Engine: &rudderroute.Engine{Slots: 4, Models: []rudderroute.Model{{Name: "m", Size: 1}}}}},
	}}
}

func (b *testbed) route(prefix string, change func(r *rudderroute.Route)) {
	r := rudderroute.Route{
		Name: prefix, Host: "h", Prefix: prefix, Kind: rudderroute.KindIdempotent, MaxAttempts: 2, Timeout: 3 * time.Second,
		Shares: []rudderroute.Share{{Service: "plain", Weight: 1}},
	}
	change(&r)
	b.document.Routes = append(b.document.Routes, r)
}

func (b *testbed) record(key string, value any) {
	text, err := json.Marshal(value)
	require.NoError(b.t, err)
	b.records = append(b.records, rudderstore.Entry{Key: key, Value: text, Revision: 1})
}

// target starts a fake target that is served by h.
func (b *testbed) target(service string, h http.HandlerFunc) *httptest.Server {
	server := b.serve(h)
	b.t.Cleanup(server.Close)
	b.add(service, strings.TrimPrefix(server.URL, "http://"))
	return server
}

// serve starts a server on the network of the testbed.
func (b *testbed) serve(h http.Handler) *httptest.Server {
	server := httptest.NewUnstartedServer(h)
	if b.network != nil {
		server.Config.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			b.handlers.Add(1)
			defer b.handlers.Done()
			h.ServeHTTP(w, r)
		})
		_ = server.Listener.Close()
		server.Listener = b.network.Listen()
	}
	server.Start()
	return server
}

// listen returns a listener on the network of the testbed.
func (b *testbed) listen() net.Listener {
	if b.network != nil {
		return b.network.Listen()
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(b.t, err)
	return listener
}

// dial opens a connection on the network of the testbed.
func (b *testbed) dial(ctx context.Context, network, address string) (net.Conn, error) {
	if b.network != nil {
		return b.network.Dial(ctx, network, address)
	}
	return (&net.Dialer{}).DialContext(ctx, network, address)
}

// add records a target that listens at an address.
func (b *testbed) add(service, address string) {
	b.targets++
	name := fmt.Sprint("t", b.targets)
	x := rudderview.Target{
		Host:    rudderhost.Host{Name: name, Address: address, State: rudderhost.StateLive, FabricDomain: name},
		Service: service, Born: 1, Slots: b.slots,
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

// configure replaces the routing document and waits until it is in force.
func (b *testbed) configure(change func(d *rudderroute.Document)) {
	b.document.Version++
	change(&b.document)
	text, err := json.Marshal(b.document)
	assert.NoError(b.t, err)
	b.changes <- rudderstore.Entry{Key: "routing", Value: text, Revision: b.document.Version}
	assert.Eventually(b.t, func() bool { return b.forwarder.View.Snapshot().Table.Version() == b.document.Version }, 5*time.Second, time.Millisecond)
}

// start runs the view and the forwarder.
func (b *testbed) start() {
	b.record("routing", b.document)
	ctx, end := context.WithCancel(b.t.Context())
	transport := &http.Transport{DisableCompression: true, DialContext: rudderpath.Track(rudderresponse.Dial(b.dial))}
	started := time.Now()
	uptime := func() time.Duration { return time.Since(started) + time.Second }
	view := &rudderview.View{
		Store: &rudderstore.Store{
			List: func(context.Context, string) ([]rudderstore.Entry, int64, error) { return b.records, 1, nil },
			Watch: func(ctx context.Context, r rudderstore.WatchRequest) (rudderstore.WatchResult, error) {
				select {
				case <-ctx.Done():
					return rudderstore.WatchResult{}, ctx.Err()
				case <-b.unavailable:
					return rudderstore.WatchResult{}, errors.New("unavailable")
				case x := <-b.changes:
					return rudderstore.WatchResult{Events: []rudderstore.Event{{Entry: x}}, Revision: x.Revision}, nil
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
		View: view, Client: &http.Client{Transport: transport}, Logger: zerolog.Nop(), Uptime: uptime,
		Metrics:         Metrics{Count: func(string) {}, Observe: func(string, time.Duration) {}},
		MaxKeyStaleness: time.Minute, Retries: RetryLimits{Ratio: 1, Extra: 100, Window: 10 * time.Second},
		Limits: &rudderlimit.Table{},
		Path: &rudderpath.Monitor{
			Uptime: uptime, Dial: b.dial, Targets: func() []rudderpath.Target { return nil },
			EntryHosts: func() int { return 1 }, OnChange: func(rudderpath.Target, bool) {},
		},
		Relay: &rudderpath.Relay{Uptime: uptime, Peers: func() []rudderpath.Peer { return nil }},
		Report: func(ctx context.Context, address string) (ruddertarget.GroupReport, error) {
			return ruddertarget.GroupReport{}, nil
		},
		ExamineGroup: func(context.Context, *rudderview.Group, time.Duration) (GroupFinding, bool) {
			return GroupFinding{}, false
		},
		Pick: func(context.Context, PickQuery) Pick { return Pick{} }, SkipBatchPause: func() {},
		Suspect:     func(t *rudderview.Target, _ string) { b.suspects.Store(t.Name, true) },
		Poisoned:    func(uint64) time.Duration { return 0 },
		BlockedPart: func([]rudderpoison.Part) (rudderpoison.Part, time.Duration, bool) { return "", 0, false },
		RecordCrash: func(*rudderview.Target, []rudderpoison.SuspectRequest) {}, RecordSurvival: func(rudderpoison.SuspectRequest) {},
		Protocol: Protocol{
			DecodeRequest: func(r *http.Request) (Request, error) {
				prompt, _ := strconv.Atoi(r.Header.Get("Prompt"))
				answer, _ := strconv.Atoi(r.Header.Get("Answer"))
				expected, _ := strconv.Atoi(r.Header.Get("Expected"))
				return Request{AnswerTokens: answer, ExpectedTokens: expected, ID: r.Header.Get("Id"), Key: r.Header.Get("Key"), LastEvent: r.Header.Get("Last"), PromptTokens: prompt, Header: r.Header.Clone()}, nil
			},
			EncodeAttempt: func(h http.Header, a Attempt) {
				h.Set("Target", a.Target)
				h.Set("Remaining", strconv.FormatInt(a.Remaining.Milliseconds(), 10))
				h.Set("Workspace", a.Workspace)
				h.Set("Last", a.LastEvent)
			},
			SetRemaining: func(h http.Header, d time.Duration) { h.Set("Remaining", strconv.FormatInt(d.Milliseconds(), 10)) },
			DecodeReply: func(r *http.Response) Reply {
				seconds, _ := strconv.ParseFloat(r.Header.Get("Pause"), 64)
				reply := Reply{
					RequestID: r.Header.Get("Id"), Sealed: r.Header.Get("Seal") != "", NotRun: r.Header.Get("Not-Run") != "",
					Leaving: r.Header.Get("Leaving") != "", Pause: time.Duration(seconds * float64(time.Second)), InvalidLimit: r.Header.Get("Bad-Limit"),
				}
				if rate, err := strconv.ParseFloat(r.Header.Get("Limit"), 64); err == nil {
					reply.RequestLimit = &rate
				}
				if running, err := strconv.Atoi(r.Header.Get("Load")); err == nil {
					reply.Load = &Load{Running: running}
				}
				return reply
			},
			SetRetryAfter: func(h http.Header, d time.Duration) { h.Set("Retry-After", fmt.Sprint(d.Seconds())) },
		},
	}
	b.forwarder.Verdict = func(ctx context.Context, t *rudderview.Target) (ruddertarget.GroupReport, bool) {
		return b.forwarder.ProbeTarget(ctx, t, nil)
	}
	b.forwarder.Confirm = func(ctx context.Context, t *rudderview.Target, _ time.Duration) (ruddertarget.GroupReport, bool) {
		return b.forwarder.ProbeTarget(ctx, t, nil)
	}
	b.forwarder.ReachedElsewhere = func(context.Context, *rudderview.Target) bool { return false }
	var viewing sync.WaitGroup
	viewing.Go(func() { _ = view.Run(ctx) })
	b.server = b.serve(b.forwarder)
	b.t.Cleanup(func() {
		b.server.Close()
		end()
		if b.network != nil {
			transport.CloseIdleConnections()
			viewing.Wait()
		}
	})
	select {
	case <-view.Synced(): // before it, the routing document counts as stale
	case <-time.After(5 * time.Second):
		b.t.Fatal("the view has not read the records within 5 s")
	}
}

// send sends a request and returns the response, its body and the error of reading the body.
func (b *testbed) send(method, target, body string) (*http.Response, string, error) {
	b.t.Helper()
	r, err := http.NewRequest(method, b.server.URL+target, strings.NewReader(body))
	require.NoError(b.t, err)
	r.Host = "h"
	r.Header.Set("Id", "q1")
	if b.id != nil {
		r.Header.Set("Id", b.id())
	}
	r.Header.Set("Key", "key")
	response, err := b.client.Do(r)
	require.NoError(b.t, err)
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	return response, string(text), err
}

// shortIDs returns a function that returns IDs as long as "q1". None of 676 in a row comes twice, so that a connection to a target that
// carries fewer requests is used again.
func shortIDs() func() string {
	var requests atomic.Int64
	return func() string {
		n := requests.Add(1)
		return string([]byte{'a' + byte(n/26%26), 'a' + byte(n%26)})
	}
}

// sealed sets the seal and request ID headers of a valid response.
func sealed(w http.ResponseWriter) {
	w.Header().Set("Seal", "s")
	w.Header().Set("Id", "q1")
}

// cut closes the connection without a response.
func cut(w http.ResponseWriter) {
	connection, _, err := http.NewResponseController(w).Hijack()
	if err == nil {
		_ = connection.Close()
	}
}

// unreachable is a Report of a target that does not listen.
func unreachable(context.Context, string) (ruddertarget.GroupReport, error) {
	return ruddertarget.GroupReport{}, errors.New("connection refused")
}
