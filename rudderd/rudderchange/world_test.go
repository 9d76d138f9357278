package rudderchange

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"comfreyrudder.example/rudderd/ruddermember"
	"comfreyrudder.example/rudderd/rudderpermit"
	"comfreyrudder.example/shared/rudderconfig"
	"comfreyrudder.example/shared/rudderpeer"
	"comfreyrudder.example/shared/rudderstore"
)

const (
	testTTL         = 5 * time.Second
	testRemoveAfter = 3 * time.Minute
	testLatency     = 2 * time.Millisecond
)

// host is an entry host process with its controller.
type host struct {
	controller *Controller
	ctx        context.Context
	cancel     context.CancelFunc
	done       sync.WaitGroup
}

// world is a simulated set of entry hosts with a platform, and the cuts between them.
type world struct {
	t        *testing.T
	platform *platform

	checking    sync.Mutex
	mu          sync.Mutex
	hosts       []*host // nil while stopped
	starts      int
	platformCut []bool
	peersCut    []bool        // cut off from all other hosts
	zone        []int         // hosts in different zones cannot talk
	resumed     chan struct{} // closed when a paused host resumes
	paused      []bool
	accepted    rudderpermit.Version
	highest     []rudderpermit.Version // served by each process
	violations  []string
	restore     func() // restores an older state of the platform
	stop        chan struct{}
	watching    sync.WaitGroup
}

func newWorld(t *testing.T, size int) *world {
	w := &world{
		t: t, platform: newPlatform(), hosts: make([]*host, size), platformCut: make([]bool, size),
		peersCut: make([]bool, size), zone: make([]int, size), paused: make([]bool, size),
		highest: make([]rudderpermit.Version, size), resumed: make(chan struct{}), stop: make(chan struct{}),
	}
	for i := range size {
		w.start(i)
	}
	w.watching.Go(func() {
		for {
			select {
			case <-w.stop:
				return
			case <-time.After(50 * time.Millisecond):
				w.checkInvariants()
			}
		}
	})
	return w
}

func (w *world) close() {
	close(w.stop)
	w.watching.Wait()
	for i := range w.hosts {
		w.pause(i, false)
		w.kill(i)
	}
	time.Sleep(5 * time.Second) // background calls end by their timeouts
}

// set changes the simulated faults under the locks.
func (w *world) set(change func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.platform.mu.Lock()
	defer w.platform.mu.Unlock()
	change()
}

func address(i int) string { return fmt.Sprintf("10.0.0.%d:7000", i) }

func (w *world) start(i int, prepare ...func(*Controller)) {
	clock := clockwork.NewRealClock()
	w.mu.Lock()
	w.starts++
	incarnation := uint32(w.starts)
	w.mu.Unlock()
	node := &ruddermember.Node{
		Self: ruddermember.Member{
			Name: fmt.Sprintf("entry-%02d", i), PeerAddress: address(i), Region: "r1", DataCentre: "d1",
		},
		Incarnation: incarnation, Clock: clock, Peer: w.peer(i), Seeds: []string{address(0), address(1), address(2)},
	}
	store := w.store(i)
	registrar := &ruddermember.Registrar{Node: node, Store: store, Clock: clock, PermitTTL: testTTL, RemoveAfter: testRemoveAfter}
	c := &Controller{Node: node, Registrar: registrar, Store: store, Clock: clock, PermitTTL: testTTL}
	for _, p := range prepare {
		p(c)
	}
	c.Connect()
	ctx, cancel := context.WithCancel(context.Background())
	h := &host{controller: c, ctx: ctx, cancel: cancel}
	h.done.Go(func() { _ = node.Run(ctx) })
	h.done.Go(func() { _ = registrar.Run(ctx) })
	h.done.Go(func() { _ = c.Run(ctx) })
	w.mu.Lock()
	defer w.mu.Unlock()
	w.hosts[i], w.highest[i] = h, rudderpermit.Version{}
}

func (w *world) kill(i int) {
	w.mu.Lock()
	h := w.hosts[i]
	w.hosts[i] = nil
	w.mu.Unlock()
	if h != nil {
		h.cancel()
		h.done.Wait()
	}
}

func (w *world) pause(i int, paused bool) {
	w.mu.Lock()
	w.paused[i] = paused
	close(w.resumed)
	w.resumed = make(chan struct{})
	w.mu.Unlock()
	if !paused {
		w.checkInvariants() // check before the process does anything
	}
}

// running waits while a host is paused, and then reports whether the context has not ended.
func (w *world) running(ctx context.Context, i int) bool {
	for {
		w.mu.Lock()
		paused, resumed := w.paused[i], w.resumed
		w.mu.Unlock()
		if !paused {
			return ctx.Err() == nil
		}
		select {
		case <-ctx.Done():
			return false
		case <-resumed:
		}
	}
}

func (w *world) platformReachable(i int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.platform.mu.Lock()
	defer w.platform.mu.Unlock()
	return !w.platformCut[i] && !w.platform.down
}

func (w *world) store(i int) rudderstore.Store {
	pass := func(ctx context.Context) error {
		w.checkHost(i)
		time.Sleep(testLatency)
		w.checkHost(i)
		if !w.running(ctx, i) || !w.platformReachable(i) {
			return rudderstore.ErrUnavailable
		}
		return nil
	}
	return rudderstore.Store{
		Get: func(ctx context.Context, key string) (rudderstore.Entry, int64, error) {
			if err := pass(ctx); err != nil {
				return rudderstore.Entry{}, 0, err
			}
			e, revision, err := w.platform.get(key)
			if lost := pass(ctx); lost != nil {
				return rudderstore.Entry{}, 0, lost
			}
			return e, revision, err
		},
		Put: func(ctx context.Context, r rudderstore.PutRequest) (int64, error) {
			if err := pass(ctx); err != nil {
				return 0, err
			}
			revision, err := w.platform.put(r)
			if pass(ctx) != nil {
				return 0, rudderstore.ErrUnknownOutcome
			}
			return revision, err
		},
		Delete: func(context.Context, string, int64) (int64, error) { return 0, rudderstore.ErrNotFound },
		Watch: func(ctx context.Context, q rudderstore.WatchRequest) (rudderstore.WatchResult, error) {
			if err := pass(ctx); err != nil {
				return rudderstore.WatchResult{}, err
			}
			result, err := w.platform.watch(ctx, q)
			if lost := pass(ctx); lost != nil {
				return rudderstore.WatchResult{}, lost
			}
			return result, err
		},
	}
}

func (w *world) reachable(from, to int) *host {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.peersCut[from] || w.peersCut[to] || w.zone[from] != w.zone[to] {
		return nil
	}
	return w.hosts[to]
}

// call simulates a peer call under the current cuts and pauses. A cut drops requests and answers silently.
func call[A any](ctx context.Context, w *world, from int, to string, f func(n *ruddermember.Node) (A, error)) (A, error) {
	var none A
	var j int
	if _, err := fmt.Sscanf(to, "10.0.0.%d:7000", &j); err != nil {
		return none, err
	}
	w.checkHost(from)
	time.Sleep(testLatency)
	w.checkHost(from)
	h := w.reachable(from, j)
	if h == nil || !w.running(ctx, from) || !w.running(ctx, j) {
		<-ctx.Done()
		return none, ctx.Err()
	}
	a, err := f(h.controller.Node)
	time.Sleep(testLatency)
	if w.reachable(from, j) != h || !w.running(ctx, from) {
		<-ctx.Done()
		return none, ctx.Err()
	}
	return a, err
}

func (w *world) peer(i int) ruddermember.Peer {
	return ruddermember.Peer{
		Digest: func(ctx context.Context, to string, q *rudderpeer.DigestRequest) (*rudderpeer.DigestResponse, error) {
			return call(ctx, w, i, to, func(n *ruddermember.Node) (*rudderpeer.DigestResponse, error) { return n.Digest(ctx, q) })
		},
		Acknowledge: func(ctx context.Context, to string, q *rudderpeer.AcknowledgeRequest) (*rudderpeer.AcknowledgeResponse, error) {
			return call(ctx, w, i, to, func(n *ruddermember.Node) (*rudderpeer.AcknowledgeResponse, error) { return n.Acknowledge(ctx, q) })
		},
		ConfigDocument: func(ctx context.Context, to string) (*rudderpeer.ConfigDocumentResponse, error) {
			return call(ctx, w, i, to, func(n *ruddermember.Node) (*rudderpeer.ConfigDocumentResponse, error) {
				return n.ConfigDocument(ctx, &rudderpeer.ConfigDocumentRequest{})
			})
		},
	}
}

// serving returns the version that a host serves now, or the zero value if it does not serve.
func (w *world) serving(i int) rudderpermit.Version {
	w.mu.Lock()
	h, paused := w.hosts[i], w.paused[i]
	w.mu.Unlock()
	if h == nil || paused || h.controller.Permit(time.Now()) != nil {
		return rudderpermit.Version{}
	}
	return h.controller.Version()
}

// checkInvariants records violations: no host serves an older version than the last accepted one, hosts that
// serve its number serve its document, and no process goes back to an older version.
func (w *world) checkInvariants() {
	for i := range w.hosts {
		w.checkHost(i)
	}
}

func (w *world) checkHost(i int) {
	w.checking.Lock() // a version that was read earlier must not be compared later
	defer w.checking.Unlock()
	w.mu.Lock()
	before := w.accepted
	w.mu.Unlock()
	v := w.serving(i)
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case v.Number == 0:
	case v.Number < before.Number || v.Number == before.Number && before.Hash != 0 && v != before:
		w.violations = append(w.violations, fmt.Sprintf("host %d serves %s after %s was accepted", i, v, before))
	case v.Number < w.highest[i].Number:
		w.violations = append(w.violations, fmt.Sprintf("host %d went back from %s to %s", i, w.highest[i], v))
	default:
		w.highest[i] = v
	}
}

// change makes a change through a host and records the version if it is accepted.
func (w *world) change(i int, expected int64, author string, limit time.Duration) (Result, error) {
	w.mu.Lock()
	h := w.hosts[i]
	w.mu.Unlock()
	if h == nil {
		return Result{}, rudderpermit.ErrExpired
	}
	ctx, cancel := context.WithTimeout(h.ctx, limit) // a change ends with its process
	defer cancel()
	result, err := h.controller.Change(ctx, expected, &rudderconfig.Document{}, author, "by "+author)
	if err == nil && result.State == StateAccepted {
		accepted := rudderpermit.Version{Number: result.Version}
		if v := h.controller.Version(); v.Number == result.Version {
			accepted = v
		}
		w.mu.Lock()
		if accepted.Number > w.accepted.Number {
			w.accepted = accepted
		}
		w.mu.Unlock()
		w.checkInvariants()
	}
	return result, err
}

// settle makes the first change and waits until all hosts serve it.
func (w *world) settle() {
	time.Sleep(10 * time.Second)
	result, err := w.change(0, 0, "first", time.Minute)
	require.NoError(w.t, err)
	require.Equal(w.t, StateAccepted, result.State, "missing %v", result.Missing)
	time.Sleep(20 * time.Second)
	w.requireServing(1)
}

// requireServing checks that the given hosts, or all if none is given, serve a version; 0 means that they do
// not serve.
func (w *world) requireServing(version int64, hosts ...int) {
	w.t.Helper()
	if len(hosts) == 0 {
		for i := range w.hosts {
			hosts = append(hosts, i)
		}
	}
	for _, i := range hosts {
		var reason error
		if w.hosts[i] != nil {
			reason = w.hosts[i].controller.Permit(time.Now())
		}
		require.EqualValues(w.t, version, w.serving(i).Number, "host %d: %v", i, reason)
	}
}

// revertPlatform restores the state of the platform that its previous call recorded, and records the current one.
func (w *world) revertPlatform() {
	now := w.platform.snapshot()
	w.mu.Lock()
	restore := w.restore
	w.restore = now
	w.mu.Unlock()
	if restore != nil {
		restore()
	}
}
