package ruddercoordinator

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"comfreyrudder.example/rudderd/rudderplacement"
	"comfreyrudder.example/rudderd/rudderroute"
	"comfreyrudder.example/rudderd/rudderverdict"
	"comfreyrudder.example/rudderd/rudderview"
	"comfreyrudder.example/shared/rudderhost"
	"comfreyrudder.example/shared/rudderstore"
	"comfreyrudder.example/shared/ruddertarget"
)

// world simulates a key-value service, and targets that carry out every order at once.
type world struct {
	mu       sync.Mutex
	entries  map[string]rudderstore.Entry
	events   []rudderstore.Event
	changed  chan struct{}
	leases   int64
	revoked  []int64
	targets  map[string]*rudderview.Target
	cut      map[string]bool // targets without a record
	orders   []string
	revision int64
	refused  int    // number of plan writes that were refused
	refuse   bool   // plan writes fail at once
	refusing string // target that refuses connections
	lost     string // target that does not answer
	probes   int    // of the lost target
}

const planPrefix = rudderview.PlanPrefix

func newWorld(names ...string) *world {
	w := &world{entries: map[string]rudderstore.Entry{}, changed: make(chan struct{}), targets: map[string]*rudderview.Target{}, cut: map[string]bool{}}
	w.write("routing", rudderroute.Document{Version: 1, Services: []rudderroute.Service{{Name: "llm", Engine: &rudderroute.Engine{
		Models: []rudderroute.Model{{Name: "m", Size: len(names), Share: 1}}, Slots: 4, LoadsPerSecond: 5, LoadsAtOnce: 8, MaxStagedModels: 1,
	}}}}, 0)
	for _, name := range names {
		w.targets[name] = &rudderview.Target{
			Host: rudderhost.Host{Name: name, Address: name, State: rudderhost.StateLive, FabricDomain: "d"}, Service: "llm", Born: 1, Staged: []string{"m"},
		}
		w.record(name)
	}
	return w
}

// write stores a value. The caller holds the lock, or no other goroutine uses the world yet.
func (w *world) write(key string, value any, lease int64) {
	text, ok := value.([]byte)
	if !ok {
		text, _ = json.Marshal(value)
	}
	w.revision++
	e := rudderstore.Entry{Key: key, Value: text, Revision: w.revision, Lease: lease}
	w.entries[key] = e
	w.emit(rudderstore.Event{Entry: e})
}

func (w *world) remove(key string) {
	w.revision++
	delete(w.entries, key)
	w.emit(rudderstore.Event{Entry: rudderstore.Entry{Key: key, Revision: w.revision}, Deleted: true})
}

func (w *world) emit(e rudderstore.Event) {
	w.events = append(w.events, e)
	close(w.changed)
	w.changed = make(chan struct{})
}

// record writes a target's record unless it is cut off.
func (w *world) record(name string) {
	if !w.cut[name] {
		w.write("targets/"+name, w.targets[name], 0)
	}
}

// cutOff removes the record of a target that keeps running.
func (w *world) cutOff(name string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cut[name] = true
	w.remove("targets/" + name)
}

func (w *world) store() *rudderstore.Store {
	return &rudderstore.Store{
		List: func(context.Context, string) ([]rudderstore.Entry, int64, error) {
			w.mu.Lock()
			defer w.mu.Unlock()
			return slices.Collect(maps.Values(w.entries)), w.revision, nil
		},
		Watch: func(ctx context.Context, r rudderstore.WatchRequest) (rudderstore.WatchResult, error) {
			for {
				w.mu.Lock()
				result, changed := rudderstore.WatchResult{Revision: w.revision}, w.changed
				for _, e := range w.events {
					if e.Revision > r.After {
						result.Events = append(result.Events, e)
					}
				}
				w.mu.Unlock()
				if len(result.Events) > 0 {
					return result, nil
				}
				select {
				case <-ctx.Done():
					return result, ctx.Err()
				case <-time.After(r.Wait):
					return result, nil
				case <-changed:
				}
			}
		},
		Put: func(_ context.Context, r rudderstore.PutRequest) (int64, error) {
			w.mu.Lock()
			defer w.mu.Unlock()
			if w.refuse && strings.HasPrefix(r.Key, planPrefix) {
				w.refused++
				return 0, rudderstore.ErrUnavailable
			}
			if r.Expected != rudderstore.AnyRevision && w.entries[r.Key].Revision != r.Expected {
				return 0, rudderstore.ErrConflict
			}
			w.write(r.Key, r.Value, r.Lease)
			return w.revision, nil
		},
		GrantLease: func(context.Context, time.Duration) (int64, error) {
			w.mu.Lock()
			defer w.mu.Unlock()
			w.leases++
			return w.leases, nil
		},
		KeepAlive: func(context.Context, int64) error { return nil },
		RevokeLease: func(_ context.Context, id int64) error {
			w.mu.Lock()
			defer w.mu.Unlock()
			w.revoked = append(w.revoked, id)
			for key, e := range w.entries {
				if e.Lease == id {
					w.remove(key)
				}
			}
			return nil
		},
	}
}

// send carries out an order as a target does.
func (w *world) send(_ context.Context, name, _ string, o ruddertarget.GroupOrder) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.orders = append(w.orders, string(o.Kind)+" "+name)
	if name == w.refusing {
		return ruddertarget.ErrNotListening
	}
	w.carryOut(name, o)
	return nil
}

// carryOut changes a target as an order says. The caller holds the lock.
func (w *world) carryOut(name string, o ruddertarget.GroupOrder) {
	t := w.targets[name]
	switch o.Kind {
	case ruddertarget.OrderJoin:
		t.Membership = ruddertarget.Membership{Group: o.Group, Epoch: o.Epoch, Rank: slices.Index(o.Members, name), Phase: ruddertarget.GroupReady}
		t.Model = o.Model
	case ruddertarget.OrderOpen:
		t.Membership.Phase = ruddertarget.GroupOpen
	case ruddertarget.OrderClose:
		t.Membership.Phase = ruddertarget.GroupReady
	case ruddertarget.OrderLeave:
		t.Membership = ruddertarget.Membership{}
	}
	w.record(name)
}

// probe returns a target's reported membership.
func (w *world) probe(_ context.Context, t *rudderview.Target, _ bool) rudderverdict.Finding {
	w.mu.Lock()
	defer w.mu.Unlock()
	if t.Name == w.lost {
		w.probes++
		return rudderverdict.Finding{Path: true}
	}
	return rudderverdict.Finding{Answered: true, Alive: true, Report: ruddertarget.GroupReport{Membership: w.targets[t.Name].Membership}}
}

// run starts a view and a planner. It returns the planner and a channel that is closed when Run has returned.
func (w *world) run(t *testing.T, name string) (*Planner, <-chan struct{}) {
	t.Helper()
	return w.start(t, name, nil)
}

func (w *world) start(t *testing.T, name string, lowCapacity func() bool) (*Planner, <-chan struct{}) {
	t.Helper()
	p := w.planner(t, name, lowCapacity)
	return p, w.serve(t, p)
}

// planner returns a planner with a view.
func (w *world) planner(t *testing.T, name string, lowCapacity func() bool) *Planner {
	t.Helper()
	started := time.Now()
	uptime := func() time.Duration { return time.Since(started) + time.Minute }
	view := &rudderview.View{
		Store: w.store(), Keys: rudderview.Keys{Routing: "routing", TargetPrefix: "targets/"}, Logger: zerolog.Nop(), Uptime: uptime,
		DecodeRouting: func(value []byte) (d rudderroute.Document, err error) { return d, json.Unmarshal(value, &d) },
		DecodeTarget:  func(_ string, value []byte) (x rudderview.Target, err error) { return x, json.Unmarshal(value, &x) },
	}
	return &Planner{
		Name: name, View: view, Store: w.store(), Control: &ruddertarget.GroupControl{Send: w.send}, Logger: zerolog.Nop(), Uptime: uptime,
		StallTimeout: time.Second, Traffic: func() bool { return true }, Probe: w.probe, LowCapacity: lowCapacity,
	}
}

// serve runs a planner and its view, and returns a channel that is closed when the planner's Run has returned.
func (w *world) serve(t *testing.T, p *Planner) <-chan struct{} {
	t.Helper()
	go func() { _ = p.View.Run(t.Context()) }()
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = p.Run(t.Context())
	}()
	return done
}

// groups returns the stored plan as JSON.
func (w *world) groups() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	for key, e := range w.entries {
		if strings.HasPrefix(key, planPrefix) {
			return string(e.Value)
		}
	}
	return ""
}

func (w *world) open(name string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.targets[name].Membership.Phase == ruddertarget.GroupOpen
}

func (w *world) someOpen() bool { return w.open("a") || w.open("b") || w.open("c") }

// Guards against ending a group when a member loses its record and the planner uses a probe result from before
// the member joined. Seven targets cut off from the key-value service once ended five groups that could serve. Guards too against probes
// that compare each report with the record that is gone, and so confirm each of them.
func TestGroupWithUnregisteredMemberKeepsServing(t *testing.T) {
	w := newWorld("a", "b", "c")
	member, compared := "", []ruddertarget.GroupPhase{}
	p := w.planner(t, "planner", nil)
	p.Probe = func(ctx context.Context, x *rudderview.Target, suspected bool) rudderverdict.Finding {
		w.mu.Lock()
		if x.Name == member {
			compared = append(compared, x.Membership.Phase)
		}
		w.mu.Unlock()
		return w.probe(ctx, x, suspected)
	}
	w.serve(t, p)
	require.Eventually(t, w.someOpen, 10*time.Second, 10*time.Millisecond)
	before := w.groups()
	for _, name := range []string{"a", "b", "c"} {
		if !w.open(name) {
			w.cutOff(name)
			w.mu.Lock()
			member, w.targets[name].Membership.Phase = name, ruddertarget.GroupJoining
			w.mu.Unlock()
			break
		}
	}
	require.Never(t, func() bool { return w.groups() != before }, 5*unregisteredInterval/2, 20*time.Millisecond)
	w.mu.Lock()
	defer w.mu.Unlock()
	require.Empty(t, slices.DeleteFunc(slices.Clone(w.orders), func(o string) bool { return !strings.HasPrefix(o, "leave") }))
	require.GreaterOrEqual(t, len(compared), 2)
	require.NotContains(t, compared[1:], ruddertarget.GroupReady)
}

// A target announces that it leaves while its record still has the state live. Guards against keeping its group until
// the target is lost: another target must replace it while it still serves.
func TestAnnouncedLeaveIsReplacedBeforeTheLoss(t *testing.T) {
	w := newWorld("a", "b")
	w.targets["c"] = &rudderview.Target{
		Host: rudderhost.Host{Name: "c", Address: "c", State: rudderhost.StateLive, FabricDomain: "d"}, Service: "llm", Born: 1, Staged: []string{"m"},
	}
	w.record("c")
	p, _ := w.run(t, "planner")
	require.Eventually(t, w.someOpen, 10*time.Second, 10*time.Millisecond)
	leader := ""
	for _, name := range []string{"a", "b", "c"} {
		if w.open(name) {
			leader = name
		}
	}
	require.True(t, p.View.MarkLeaving(rudderview.Announcement{Target: leader, Born: 1}))
	require.Eventually(t, func() bool {
		return !w.open(leader) && w.someOpen()
	}, 20*time.Second, 10*time.Millisecond, "a group without the leaving member serves")
	require.NotContains(t, w.groups(), `"`+leader+`"`)
}

// Guards against a planned stop that leaves the fleet without a planner until the lease expires, and against a
// stopping entry host that acquires the lease again.
func TestPlannedStopRevokesLease(t *testing.T) {
	w := newWorld("a", "b", "c")
	p, done := w.run(t, "first")
	require.Eventually(t, w.someOpen, 10*time.Second, 10*time.Millisecond)
	require.True(t, p.Planning())
	p.Resign()
	p.Resign() // a second signal changes nothing
	select {
	case <-done:
	case <-time.After(LeaseTTL):
		require.Fail(t, "the planner does not end")
	}
	w.mu.Lock()
	require.Equal(t, []int64{1}, w.revoked)
	require.NotContains(t, w.entries, rudderview.PlannerKey)
	w.mu.Unlock()
	second, _ := w.run(t, "second")
	require.Eventually(t, second.Planning, LeaseTTL, 5*time.Millisecond)
}

// A small host starts first. Guards against planning for hundreds of targets on a host without the capacity,
// and against the lease going back to it.
func TestLowCapacityPlannerYields(t *testing.T) {
	w := newWorld("a", "b", "c")
	low, _ := w.start(t, "low", func() bool { return true })
	require.Eventually(t, low.Planning, 5*time.Second, 5*time.Millisecond)
	high, _ := w.run(t, "high")
	require.Eventually(t, high.Planning, yieldAfter+2*time.Second, 5*time.Millisecond)
	require.Never(t, low.Planning, time.Second, 20*time.Millisecond)
	require.True(t, high.Planning())
}

// Thousands of targets form groups at the same time. Guards against a connection to each of them at once, for
// which a small host lacks the memory, and against sending an order after the lease was lost.
func TestCallsToTargetsAreBounded(t *testing.T) {
	var running, most atomic.Int32
	p := &Planner{Logger: zerolog.Nop(), Uptime: func() time.Duration { return time.Minute }, wake: make(chan struct{}, 1), Control: &ruddertarget.GroupControl{
		Send: func(context.Context, string, string, ruddertarget.GroupOrder) error {
			most.Store(max(most.Load(), running.Add(1)))
			time.Sleep(time.Millisecond)
			running.Add(-1)
			return nil
		},
	}}
	state := rudderplacement.NewState()
	var waiting sync.WaitGroup
	for i := range 3000 {
		waiting.Go(func() { p.send(t.Context(), state, rudderplacement.Order{Target: strconv.Itoa(i)}) })
	}
	waiting.Wait()
	require.Positive(t, most.Load())
	require.LessOrEqual(t, most.Load(), int32(maxCalls))
	lost, cancel := context.WithCancel(t.Context())
	cancel()
	most.Store(0)
	p.send(lost, state, rudderplacement.Order{Target: "late"})
	require.Zero(t, most.Load(), "an order is not sent after the lease was lost")
}

// The key-value service refuses calls at once. Guards against writing the same plan at each of ten steps a
// second; 22 writes within half a second were seen.
func TestRefusedPlanIsNotWrittenAtEachStep(t *testing.T) {
	w := newWorld("a", "b", "c")
	w.refuse = true
	p, _ := w.run(t, "planner")
	require.Eventually(t, p.Planning, 5*time.Second, 5*time.Millisecond)
	time.Sleep(2 * time.Second)
	w.mu.Lock()
	refused := w.refused
	w.refuse = false
	w.mu.Unlock()
	require.Positive(t, refused)
	require.LessOrEqual(t, refused, 8)
	require.Eventually(t, w.someOpen, 5*time.Second, 10*time.Millisecond)
}
