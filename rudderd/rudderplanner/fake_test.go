package rudderplanner

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"

	"comfreyrudder.example/rudderd/rudderallocator"
	"comfreyrudder.example/shared/rudderconfig"
	"comfreyrudder.example/shared/ruddergroup"
	"comfreyrudder.example/shared/rudderhost"
	"comfreyrudder.example/shared/rudderstore"
	"comfreyrudder.example/shared/ruddertarget"
)

// world is a fake key-value service with the fake targets of one domain.
type world struct {
	mu       sync.Mutex
	clock    *clockwork.FakeClock
	entries  map[string]rudderstore.Entry
	leases   map[int64]time.Time
	revision int64
	nextID   int64
	ttl      time.Duration
	down     bool
	loseNext string // the next put of this key takes effect, but its answer is lost
	dropNext string // the next put of this key is lost before it takes effect
	hosts    []rudderhost.Host
	targets  map[string]*ruddertarget.Status // by address
	checks   bool                            // targets check fencing numbers
	cutOff   string                          // name of a planner that reaches no target
	onSend   func(ruddertarget.Order)
	sent     []ruddertarget.Order
	config   *rudderconfig.Document
}

func newWorld(hosts int, checks bool) *world {
	w := &world{clock: clockwork.NewFakeClockAt(time.Date(2026, 12, 4, 10, 0, 0, 0, time.UTC)), entries: map[string]rudderstore.Entry{},
		leases: map[int64]time.Time{}, targets: map[string]*ruddertarget.Status{}, checks: checks,
		config: &rudderconfig.Document{Version: 1, Models: []rudderconfig.Model{{Name: "m", Version: "1"}},
			Selectors: []rudderconfig.Selector{{Name: "a", Firm: "umuvumu", Model: "m", GroupSize: 2}}}}
	for i := range hosts {
		name := fmt.Sprintf("h%d", i)
		w.hosts = append(w.hosts, rudderhost.Host{Name: name, Address: name, Kind: rudderhost.KindEngine, FabricDomain: "d1", State: rudderhost.StateLive})
		w.config.Hosts = append(w.config.Hosts, rudderconfig.HostSettings{Name: name, ChecksFencing: checks})
		w.targets[name] = &ruddertarget.Status{Host: name, Incarnation: "1", Phase: ruddertarget.PhaseIdle}
	}
	return w
}

func (w *world) lock() (func(), error) {
	w.mu.Lock()
	if w.down {
		w.mu.Unlock()
		return func() {}, rudderstore.ErrUnavailable
	}
	for id, end := range w.leases {
		if !w.clock.Now().Before(end) {
			w.end(id)
		}
	}
	return w.mu.Unlock, nil
}

func (w *world) end(id int64) {
	delete(w.leases, id)
	for k, e := range w.entries {
		if e.Lease == id {
			delete(w.entries, k)
		}
	}
}

func (w *world) get(_ context.Context, key string) (rudderstore.Entry, int64, error) {
	unlock, err := w.lock()
	if err != nil {
		return rudderstore.Entry{}, 0, err
	}
	defer unlock()
	e, ok := w.entries[key]
	if !ok {
		return e, w.revision, rudderstore.ErrNotFound
	}
	return e, w.revision, nil
}

func (w *world) put(_ context.Context, r rudderstore.PutRequest) (int64, error) {
	unlock, err := w.lock()
	if err != nil {
		return 0, err
	}
	defer unlock()
	if w.dropNext == r.Key {
		w.dropNext = ""
		return 0, rudderstore.ErrUnknownOutcome
	}
	if r.Expected != rudderstore.AnyRevision && w.entries[r.Key].Revision != r.Expected {
		return 0, rudderstore.ErrConflict
	}
	if _, ok := w.leases[r.Lease]; r.Lease != 0 && !ok {
		return 0, rudderstore.ErrNotFound
	}
	w.revision++
	w.entries[r.Key] = rudderstore.Entry{Key: r.Key, Value: r.Value, Revision: w.revision, Lease: r.Lease}
	if w.loseNext == r.Key {
		w.loseNext = ""
		return 0, rudderstore.ErrUnknownOutcome
	}
	return w.revision, nil
}

func (w *world) store() *rudderstore.Store {
	return &rudderstore.Store{Get: w.get, Put: w.put,
		GrantLease: func(_ context.Context, ttl time.Duration) (int64, error) {
			unlock, err := w.lock()
			if err != nil {
				return 0, err
			}
			defer unlock()
			w.nextID++
			w.ttl = ttl
			w.leases[w.nextID] = w.clock.Now().Add(ttl)
			return w.nextID, nil
		},
		KeepAlive: func(_ context.Context, id int64) error {
			unlock, err := w.lock()
			if err != nil {
				return err
			}
			defer unlock()
			if _, ok := w.leases[id]; !ok {
				return rudderstore.ErrNotFound
			}
			w.leases[id] = w.clock.Now().Add(w.ttl)
			return nil
		},
		RevokeLease: func(_ context.Context, id int64) error {
			unlock, err := w.lock()
			if err != nil {
				return err
			}
			defer unlock()
			w.end(id)
			return nil
		}}
}

func (w *world) status(_ context.Context, address string) (ruddertarget.Status, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	s := *w.targets[address]
	s.Load.At = w.clock.Now()
	return s, nil
}

func (w *world) send(_ context.Context, address string, o ruddertarget.Order) (ruddertarget.Status, error) {
	if w.onSend != nil {
		w.onSend(o)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sent = append(w.sent, o)
	s := w.targets[address]
	if w.checks {
		if o.Fencing < s.HighestFencing {
			return *s, ruddertarget.ErrStaleFencing
		}
		s.HighestFencing = o.Fencing
	}
	switch o.Kind {
	case ruddertarget.OrderAssign:
		s.Role, s.Phase = o.Role, ruddertarget.PhaseReady
	case ruddertarget.OrderRelease:
		s.Role, s.Phase = ruddertarget.Role{}, ruddertarget.PhaseIdle
	}
	return *s, nil
}

// planner returns a planner of rank 0 and its worker for the domain.
func (w *world) planner(name string) *worker {
	status := func(ctx context.Context, address string) (ruddertarget.Status, error) {
		if w.cutOff == name {
			return ruddertarget.Status{}, ruddertarget.ErrUnreachable
		}
		return w.status(ctx, address)
	}
	p := &Planner{Store: w.store(), Control: &ruddertarget.Control{Status: status, Send: w.send},
		Hosts:  func(context.Context) ([]rudderhost.Host, error) { return slices.Clone(w.hosts), nil },
		Config: func() *rudderconfig.Document { return w.config }, Clock: w.clock, Name: name,
		CandidateRank: func(string) int { return 0 }, OnStatus: func(string, string, string, ruddertarget.Status, time.Duration) {},
		OnPlan: func(ruddergroup.Plan) {}, Logger: zerolog.Nop(), Times: DefaultTimes(), Timing: rudderallocator.DefaultTiming()}
	p.hosts = w.hosts
	return newWorker(p, "d1")
}

// configure activates a new version of the configuration with the given selectors.
func (w *world) configure(selectors ...rudderconfig.Selector) {
	next := *w.config
	next.Version++
	next.Selectors = selectors
	w.config = &next
}

func (w *world) ticks(n int, workers ...*worker) {
	for range n {
		for _, k := range workers {
			k.tick(context.Background())
		}
		w.clock.Advance(time.Second)
	}
}

func storedPlan(t *testing.T, k *worker) ruddergroup.Plan {
	t.Helper()
	plan, _, err := k.readPlan(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	return plan
}
