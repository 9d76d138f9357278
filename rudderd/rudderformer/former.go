// Package rudderformer carries out the decisions of rudderform: one entry host holds the planner's lease,
// stores the plans by compare-and-swap and sends the orders.
package rudderformer

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"comfreyrudder.example/rudderd/rudderform"
	"comfreyrudder.example/rudderd/rudderroute"
	"comfreyrudder.example/rudderd/rudderview"
	"comfreyrudder.example/shared/rudderstore"
	"comfreyrudder.example/shared/ruddertarget"
)

const (
	// LeaseTTL of the planner. A shorter one lets another entry host take over sooner, and a planner
	// that lost its lease can do no harm: plans are compared and swapped, orders carry epochs.
	LeaseTTL = time.Second
	// renewInterval leaves room for two lost renewals within the lease.
	renewInterval = 300 * time.Millisecond
	// stepInterval is the time between two steps while something is under way.
	stepInterval = 100 * time.Millisecond
	// takeOverSpread spreads the entry hosts that try to take the lease at the same time.
	takeOverSpread = 300 * time.Millisecond
	// weakDelay is how much longer a weak entry host waits than the strong ones: they learn of a free lease with their
	// next watch and write the key.
	weakDelay = 500 * time.Millisecond
	// yieldAfter is how long a planner on a weak entry host plans before it gives its lease to a strong one.
	yieldAfter = 3 * time.Second
	// storeTimeout bounds a call to the key-value service.
	storeTimeout = 800 * time.Millisecond
	// orderTimeout bounds an order; the answer comes within a round trip or not at all.
	orderTimeout = 500 * time.Millisecond
	// mostCalls is the number of orders and probes that run at once. Each takes a connection and its buffers, and a fleet of
	// thousands of targets is ordered to form groups within seconds.
	mostCalls = 256
	// settleTime is how long the targets may take to register before the first groups are formed with
	// loads; weights are staged meanwhile.
	settleTime = 4 * time.Second
	// recheckInterval is the time between two probes of a target that is suspected.
	recheckInterval = 1500 * time.Millisecond
	// goneInterval is the time between two probes of a member whose record is gone.
	goneInterval = time.Second
	// joiningInterval is the same while the member's group forms.
	joiningInterval = 200 * time.Millisecond
	// confirmInterval is how long an answer confirms a member for a group that is formed.
	confirmInterval = 2 * time.Second
	// examineInterval is how long the verdict on a target answers further questions about it.
	examineInterval = 300 * time.Millisecond
)

// Planner is one candidate for the planner. Set the exported fields before Run.
type Planner struct {
	Name    string
	View    *rudderview.View
	Store   *rudderstore.Store
	Control *ruddertarget.GroupControl
	Logger  zerolog.Logger
	Uptime  func() time.Duration
	// Stall is the time after which a leader without one of its members is broken.
	Stall time.Duration
	// Traffic tells whether this entry host has seen a request.
	Traffic func() bool
	// Demand is the part of the work of each model of a service, as seen here; nil for unknown.
	Demand func(service string) map[string]float64
	// Probe probes a target; alive is false when it does not answer.
	Probe func(ctx context.Context, t *rudderview.Target) (report ruddertarget.GroupReport, alive bool)
	// Weak tells whether other entry hosts can carry the planner better than this one; optional.
	Weak func() bool
	// OnOrder counts an order by its kind and outcome; optional.
	OnOrder func(kind, outcome string)

	calls    callSlots
	planning atomic.Bool
	mu       sync.Mutex
	memory   map[string]*rudderform.State     // by service
	plans    map[string]rudderform.StoredPlan // by key of the plan, stored by this planner
	dead     map[string]*verdict              // by target
	unstored map[string]unstored              // by key of a plan whose last write failed
	wake     chan struct{}
	left     chan struct{} // closed by Resign
	once     sync.Once
	begin    time.Duration // uptime at which the lease was taken
}

// Planning reports whether this entry host holds the planner's lease.
func (f *Planner) Planning() bool { return f.planning.Load() }

// verdict on one life of a target.
type verdict struct {
	born    int64
	dead    bool
	report  ruddertarget.GroupReport // of the last answer while the target had no record
	known   bool                     // there was such an answer
	running bool
	checked time.Duration // uptime of the begin or the end of the last probe
	done    chan struct{} // closed when the probe has ended
}

// Run takes the planner's lease whenever it is free and plans while it is held.
func (f *Planner) Run(ctx context.Context) error {
	f.wake = make(chan struct{}, 1)
	ctx, end := context.WithCancel(ctx)
	defer end()
	go func() {
		select {
		case <-f.leftChannel():
			end()
		case <-ctx.Done():
		}
	}()
	for ctx.Err() == nil {
		changed := f.View.Changed()
		snapshot := f.View.Snapshot()
		if snapshot.Table == nil || snapshot.PlannerHeld || !hasEngine(snapshot.Table) {
			wait(ctx, changed, time.Second)
			continue
		}
		if wait(ctx, changed, f.takeOverDelay()); f.View.Snapshot().PlannerHeld {
			continue
		}
		lease, err := f.take(ctx)
		if err != nil {
			f.Logger.Debug().Err(err).Msg("planner's lease not taken")
			wait(ctx, nil, takeOverSpread)
			continue
		}
		f.plan(ctx, lease)
	}
	return nil
}

// takeOverDelay is the time that this entry host waits before it takes a free lease. Weak ones leave it to the others
// first.
func (f *Planner) takeOverDelay() time.Duration {
	delay := rand.N(takeOverSpread)
	if f.weak() {
		delay += takeOverSpread + weakDelay
	}
	return delay
}

func (f *Planner) weak() bool { return f.Weak != nil && f.Weak() }

// yields reports whether a planner on a weak entry host gives its lease to a strong one. It plans for a while first, so
// that a lease that no strong host takes does not go back and forth.
func (f *Planner) yields() bool { return f.weak() && f.Uptime()-f.begin >= yieldAfter }

func hasEngine(t *rudderroute.Table) bool {
	for _, s := range t.Services() {
		if s.Engine != nil && len(s.Engine.Models) > 0 {
			return true
		}
	}
	return false
}

// plan steps until the lease is lost.
func (f *Planner) plan(ctx context.Context, lease int64) {
	f.mu.Lock()
	f.memory, f.plans, f.dead = map[string]*rudderform.State{}, map[string]rudderform.StoredPlan{}, map[string]*verdict{}
	f.unstored = map[string]unstored{}
	f.mu.Unlock()
	f.Logger.Info().Int64("lease", lease).Msg("planner's lease taken")
	held, cancel := context.WithCancel(ctx)
	defer cancel()
	go f.renew(held, cancel, lease)
	f.planning.Store(true)
	defer f.planning.Store(false)
	f.begin = f.Uptime()
	yielded := false
	for held.Err() == nil && !yielded {
		changed := f.View.Changed()
		busy := f.step(held, f.View.Snapshot())
		pause := 5 * stepInterval
		if busy {
			pause = stepInterval
		}
		f.await(held, changed, pause)
		yielded = f.yields()
	}
	f.Logger.Warn().Int64("lease", lease).Bool("stopping", ctx.Err() != nil).Bool("yielded", yielded).Msg("planner's lease ended")
	if ctx.Err() != nil || yielded {
		f.giveBack(lease)
	}
}

// step stores what changes and sends the orders that are due. busy reports that something is under way.
func (f *Planner) step(ctx context.Context, snapshot *rudderview.Snapshot) (busy bool) {
	f.checkSuspects(snapshot)
	for _, service := range snapshot.Table.Services() {
		if service.Engine == nil || len(service.Engine.Models) == 0 {
			continue
		}
		in := f.input(snapshot, &service)
		f.mu.Lock()
		changes := rudderform.Step(in)
		f.mu.Unlock()
		for _, c := range changes {
			if f.mayStore(c) && f.confirmed(ctx, in, c) && f.store(ctx, c) {
				in.Plans[c.Plan.Domain] = f.stored(c)
			}
			busy = true
		}
		f.mu.Lock()
		orders := rudderform.Orders(in)
		for _, o := range orders {
			in.State.MarkSent(in.Now, o)
		}
		f.mu.Unlock()
		for _, o := range orders {
			go f.send(ctx, in.State, o)
		}
		busy = busy || len(orders) > 0 || underWay(in)
	}
	return busy
}

// underWay reports whether a group waits for something.
func underWay(in rudderform.Input) bool {
	for _, stored := range in.Plans {
		for _, g := range stored.Plan.Groups {
			leader := in.Targets[g.Members[0].Target]
			if g.Retiring || leader == nil || leader.Membership.Phase != ruddertarget.GroupOpen {
				return true
			}
		}
	}
	return false
}

// await waits for a change of the view, an answer to an order or the time.
func (f *Planner) await(ctx context.Context, changed <-chan struct{}, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-changed:
	case <-f.wake:
	case <-timer.C:
	}
}

func wait(ctx context.Context, changed <-chan struct{}, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-changed:
	case <-timer.C:
	}
}
