package rudderedge

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"comfreyrudder.example/rudderd/rudderforward"
	"comfreyrudder.example/rudderd/rudderroster"
	"comfreyrudder.example/rudderd/rudderroute"
	"comfreyrudder.example/rudderd/rudderview"
	"comfreyrudder.example/shared/rudderhost"
	"comfreyrudder.example/shared/rudderstore"
	"comfreyrudder.example/shared/ruddertarget"
)

// verdictFleet is a fleet of entry hosts in front of targets that break the connection of each request after the response
// header. The probes of isolated entry hosts fail, and so do those of dead targets.
type verdictFleet struct {
	t     *testing.T
	store *rudderstore.Store
	edges []*Edge

	mu       sync.Mutex
	isolated map[string]bool // by name of an entry host
	dead     map[string]bool // by address
	silent   map[string]bool // by address; their probes get no answer
	refused  map[string]bool // by name of an entry host and address; connections are refused
	factor   float64         // time factor of all targets
	reports  int             // number of reports
	orders   []string        // by entry host, target, kind, group and members
	refusal  error           // of all orders
}

func (f *verdictFleet) put(key string, value any) {
	text, ok := value.([]byte)
	if !ok {
		var err error
		text, err = json.Marshal(value)
		require.NoError(f.t, err)
	}
	_, err := f.store.Put(f.t.Context(), rudderstore.PutRequest{Key: key, Value: text})
	require.NoError(f.t, err)
}

// newVerdictFleet starts entry hosts e0, e1 and so on in front of the targets t0, t1 and t2, each of which is a group
// for the model of the same number. e0 holds the planner's lease.
func newVerdictFleet(t *testing.T, hosts int) *verdictFleet {
	return newVerdictFleetOf(t, hosts, 1, func(w http.ResponseWriter, _ *http.Request) {
		if connection, _, err := http.NewResponseController(w).Hijack(); err == nil {
			_, _ = connection.Write([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"))
			time.Sleep(20 * time.Millisecond)
			_ = connection.Close()
		}
	})
}

// newVerdictFleetOf starts a fleet whose targets serve requests as given. With more than one attempt, streams can be resumed.
func newVerdictFleetOf(t *testing.T, hosts, attempts int, serve http.HandlerFunc) *verdictFleet {
	f := &verdictFleet{t: t, store: newMemoryStore(), isolated: map[string]bool{}, dead: map[string]bool{}, silent: map[string]bool{}, refused: map[string]bool{}}
	f.put("routing", rudderroute.Document{
		Version: 1, Services: []rudderroute.Service{{Name: "llm", Engine: &rudderroute.Engine{
			Slots: 4, LoadsPerSecond: 5, LoadsAtOnce: 8, MaxStagedModels: 1,
			Models: []rudderroute.Model{{Name: "m0", Size: 1, Share: 0.3}, {Name: "m1", Size: 1, Share: 0.3}, {Name: "m2", Size: 1, Share: 0.3}},
		}}},
		Routes: []rudderroute.Route{{
			Name: "s", Host: "h", Prefix: "/", Kind: rudderroute.KindStream, MaxAttempts: attempts, Resumable: attempts > 1, Timeout: 8 * time.Second, Shares: []rudderroute.Share{{Service: "llm", Weight: 1}},
		}},
	})
	f.put(rudderview.SecretKey, []byte(strings.Repeat("5", 2*secretBytes)))
	for i := range 3 {
		server := httptest.NewServer(serve)
		t.Cleanup(server.Close)
		name, domain, model := fmt.Sprint("t", i), fmt.Sprint("d", i), fmt.Sprint("m", i)
		f.put(rudderview.PlanPrefix+"llm/"+domain, rudderroster.Plan{Service: "llm", Domain: domain, Groups: []rudderroster.Group{
			{Name: "g-" + name, Epoch: 1, Model: model, Members: []rudderroster.Member{{Target: name, Born: 1}}},
		}})
		f.put("targets/"+name, rudderview.Target{
			Host:    rudderhost.Host{Name: name, Address: strings.TrimPrefix(server.URL, "http://"), State: rudderhost.StateLive, FabricDomain: domain},
			Service: "llm", Born: 1, Slots: 4, Model: model, Staged: []string{model},
			Membership: ruddertarget.Membership{Group: "g-" + name, Epoch: 1, Phase: ruddertarget.GroupOpen},
		})
	}
	for i := range hosts {
		f.start(i)
		require.Eventually(t, f.edges[0].planner.Planning, 5*time.Second, time.Millisecond)
	}
	for _, e := range f.edges {
		require.Eventually(t, func() bool {
			s := e.view.Snapshot()
			return len(s.EntryHosts) == hosts && len(s.Groups("llm", "")) == 3 && s.PlannerName == "e0" && isClosed(e.peers.secretKnown)
		}, 5*time.Second, 5*time.Millisecond)
	}
	return f
}

func (f *verdictFleet) start(i int) {
	e := edge(fmt.Sprint("e", i), f.store)
	e.Settings.PeerListen, e.Settings.DataCentre = freeAddress(f.t), fmt.Sprint("z", i%3)
	e.Settings.Retries = rudderforward.RetryLimits{Ratio: 1, Extra: 100, Window: 10 * time.Second}
	e.Ports.DecodeTarget = func(_ string, value []byte) (x rudderview.Target, err error) { return x, json.Unmarshal(value, &x) }
	e.Ports.Control = &ruddertarget.GroupControl{
		Send: func(_ context.Context, name, _ string, o ruddertarget.GroupOrder) error {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.orders = append(f.orders, fmt.Sprint(e.Settings.Name, " ", name, " ", o.Kind, " ", o.Group, "@", o.Epoch, " ", o.Model, " ", o.Members))
			return f.refusal
		},
		Report: func(ctx context.Context, address string) (ruddertarget.GroupReport, error) {
			if f.refuses(e.Settings.Name, address) {
				return ruddertarget.GroupReport{}, syscall.ECONNREFUSED
			}
			if f.isSilent(address) {
				<-ctx.Done()
				return ruddertarget.GroupReport{}, ctx.Err()
			}
			f.mu.Lock()
			defer f.mu.Unlock()
			if f.isolated[e.Settings.Name] || f.dead[address] {
				return ruddertarget.GroupReport{}, errors.New("unreachable")
			}
			f.reports++
			return ruddertarget.GroupReport{Orders: 2, Born: 1, TimeFactor: f.factor}, nil
		},
	}
	e.Ports.Protocol = rudderforward.Protocol{
		DecodeRequest: func(r *http.Request) (rudderforward.Request, error) {
			return rudderforward.Request{ID: "q", Model: strings.TrimPrefix(r.URL.Path, "/"), Header: r.Header.Clone()}, nil
		},
		EncodeAttempt: func(http.Header, rudderforward.Attempt) {},
		SetRemaining:  func(http.Header, time.Duration) {},
		DecodeReply:   func(*http.Response) rudderforward.Reply { return rudderforward.Reply{RequestID: "q", Sealed: true} },
		SetRetryAfter: func(http.Header, time.Duration) {},
	}
	e.connect = func(ctx context.Context, address string) error {
		_, err := e.Ports.Control.Report(ctx, address)
		return err
	}
	e.Prepare()
	f.edges = append(f.edges, e)
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = e.Run(ctx)
	}()
	f.t.Cleanup(func() { stop(); <-ended })
}

func (f *verdictFleet) isolate(hosts ...int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, i := range hosts {
		f.isolated[fmt.Sprint("e", i)] = true
	}
}

// breakStream sends a request for a model through an entry host, whose target then breaks the connection.
func (f *verdictFleet) breakStream(i int, model string) {
	server := httptest.NewServer(f.edges[i].forwarder)
	defer server.Close()
	r, err := http.NewRequest(http.MethodPost, server.URL+"/"+model, nil)
	require.NoError(f.t, err)
	r.Host = "h"
	if response, err := http.DefaultClient.Do(r); err == nil {
		_ = response.Body.Close()
	}
}

// recorded reports whether a record of the key-value service has a key with this prefix.
func (f *verdictFleet) recorded(prefix string) bool {
	entries, _, err := f.store.List(f.t.Context(), "")
	require.NoError(f.t, err)
	return slices.ContainsFunc(entries, func(e rudderstore.Entry) bool { return strings.HasPrefix(e.Key, prefix) })
}

func (f *verdictFleet) refuses(host, address string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.refused[host+" "+address]
}

func (f *verdictFleet) kill(target string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.dead[f.edges[0].view.Snapshot().Targets[target].Address] = true
}

// A partition separates entry hosts from all targets, which the others reach. Guards against groups that end everywhere
// because these hosts found them dead, and against requests that are held responsible.
func TestIsolatedHostEndsNoGroup(t *testing.T) {
	for _, test := range []struct {
		name     string
		isolated []int
	}{
		{"one", []int{1}}, {"the planner", []int{0}}, {"most", []int{0, 1, 2}},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			f := newVerdictFleet(t, 4)
			f.isolate(test.isolated...)
			for _, i := range test.isolated {
				f.breakStream(i, "m0")
				f.breakStream(i, "m1")
				g := f.edges[i].view.Snapshot().Groups("llm", "m2")[0]
				found, _ := f.edges[i].examine(t.Context(), g, ruddertarget.MinSilence)
				require.Empty(t, found)
			}
			require.Never(t, func() bool { return len(f.edges[3].view.Snapshot().Groups("llm", "")) < 3 }, time.Second, 10*time.Millisecond)
			require.False(t, f.recorded(crashPrefix))
		})
	}
}

// Guards against a planner without a path to the targets that keeps the lease, and against another one that takes it.
func TestIsolatedPlannerHandsOver(t *testing.T) {
	f := newVerdictFleet(t, 4)
	f.isolate(0, 1, 2)
	require.Eventually(t, func() bool {
		for _, g := range f.edges[3].view.Snapshot().Groups("llm", "") {
			_, _ = f.edges[3].examine(t.Context(), g, 0)
		}
		return f.edges[3].planner.Planning()
	}, 6*time.Second, 50*time.Millisecond)
	require.Never(t, func() bool { return !f.edges[3].planner.Planning() }, time.Second, 10*time.Millisecond)
}

// Guards against a dead target that stays in service because some entry hosts cannot tell whether it is dead.
func TestDeadTargetIsFound(t *testing.T) {
	for _, test := range []struct {
		name     string
		hosts    int
		isolated []int
		reporter int
	}{
		{"a single host", 1, nil, 0},
		{"all hosts have a path", 4, nil, 1},
		{"some are isolated", 4, []int{2}, 1},
		{"most are isolated", 4, []int{1, 2, 3}, 0},
		{"reported by an isolated host", 4, []int{1, 2, 3}, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			f := newVerdictFleet(t, test.hosts)
			f.isolate(test.isolated...)
			f.kill("t0")
			f.breakStream(test.reporter, "m0")
			begin := time.Now()
			dead, _, planning := f.edges[0].planner.Examine(t.Context(), map[string]int64{"t0": 1, "t1": 1}, ruddertarget.MinSilence)
			require.Equal(t, []string{"t0"}, dead)
			require.True(t, planning)
			require.Less(t, time.Since(begin), examineTimeout)
			last := f.edges[len(f.edges)-1]
			require.Eventually(t, func() bool { return len(last.view.Snapshot().Groups("llm", "m0")) == 0 }, 2*time.Second, 5*time.Millisecond)
			require.Eventually(t, func() bool { return f.recorded(crashPrefix) }, 2*time.Second, 5*time.Millisecond)
			require.Len(t, last.view.Snapshot().Groups("llm", ""), 2)
		})
	}
}

// Guards against a planner that probes a target without regard to the limit that the target names, because only other entry hosts
// have got responses of it.
func TestPlannerLearnsLimitsWithQuestions(t *testing.T) {
	f := newVerdictFleet(t, 2)
	g := f.edges[1].view.Snapshot().Groups("llm", "m0")[0]
	f.edges[1].limits.Name(processOf(g), 5, f.edges[1].uptime())
	_, byPlanner := f.edges[1].examine(t.Context(), g, 0)
	require.True(t, byPlanner)
	rate, limited := f.edges[0].limits.Rate(processOf(g))
	require.True(t, limited)
	require.InDelta(t, 5, rate, 0)
	require.Eventually(t, func() bool {
		now := f.edges[1].uptime()
		f.edges[1].limits.NameNone(processOf(g), now, now)
		_, _ = f.edges[1].examine(t.Context(), g, 0)
		return !f.edges[0].limits.Limited(processOf(g))
	}, 5*time.Second, 20*time.Millisecond)
}

// The connections of the planner to a target are refused. Guards against the end of a target that is only silent for the other entry
// hosts, and against one that nobody confirms because their answers do not say that they were refused.
func TestEndIsConfirmedByRefusals(t *testing.T) {
	for _, test := range []struct {
		name    string
		refused []string // entry hosts besides the planner
		silent  bool     // for the others
		ended   bool
	}{
		{"refused everywhere", []string{"e1", "e2", "e3"}, false, true},
		{"silent for the others", nil, true, false},
		{"silent for one", []string{"e1", "e2"}, true, false},
		{"reached by the others", nil, false, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			f := newVerdictFleet(t, 4)
			target := f.edges[0].view.Snapshot().Targets["t0"]
			f.mu.Lock()
			for _, host := range append(test.refused, "e0") {
				f.refused[host+" "+target.Address] = true
			}
			f.silent[target.Address] = test.silent
			f.mu.Unlock()
			require.Equal(t, test.ended, f.edges[0].detector.Ended(t.Context(), target))
			require.Equal(t, test.ended, f.edges[0].detector.Examine(t.Context(), target, false).Ended())
		})
	}
}

// The planner does not reach a target that others reach. Guards against orders that wait until the planner reaches it again, and against
// an outcome that gets lost on the way back.
func TestOrderThroughAnotherHost(t *testing.T) {
	for _, test := range []struct {
		name     string
		refusal  error // of the target
		isolated []int
		maySend  bool
		born     int64
		host     string
		want     error
	}{
		{"accepted", nil, []int{0, 2}, true, 1, "e1", nil},
		{"refused by the target", ruddertarget.ErrRefused, []int{0, 2}, true, 1, "e1", ruddertarget.ErrRefused},
		{"another target at the address", ruddertarget.ErrOtherTarget, []int{0, 2}, true, 1, "e1", ruddertarget.ErrOtherTarget},
		{"without an answer", errors.New("no answer"), []int{0, 2}, true, 1, "e1", ruddertarget.ErrUnknownOutcome},
		{"nobody reaches it", nil, []int{0, 1, 2}, true, 1, "", ruddertarget.ErrUnreachable},
		{"another incarnation", nil, []int{0}, true, 2, "", ruddertarget.ErrUnreachable},
		{"no longer wanted", nil, []int{0}, false, 1, "", ruddertarget.ErrUnreachable},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			f := newVerdictFleet(t, 3)
			f.isolate(test.isolated...)
			f.mu.Lock()
			f.refusal, f.orders = test.refusal, nil
			f.mu.Unlock()
			target := *f.edges[0].view.Snapshot().Targets["t0"]
			target.Born = test.born
			order := ruddertarget.GroupOrder{Kind: ruddertarget.OrderJoin, Group: "g", Epoch: 7, Model: "m0", Members: []string{"t0", "t1"}}
			host, err := f.edges[0].relayOrder(t.Context(), &target, order, func() bool { return test.maySend })
			require.Equal(t, test.host, host)
			require.ErrorIs(t, err, test.want)
			f.mu.Lock()
			defer f.mu.Unlock()
			sent := slices.Contains(f.orders, "e1 t0 join g@7 m0 [t0 t1]")
			require.Equal(t, test.host != "", sent)
		})
	}
}
