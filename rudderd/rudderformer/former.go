// Package rudderformer carries out the decisions of rudderform: one entry host holds the planner's lease,
// stores the plans by compare-and-swap and sends the orders.
package rudderformer

import (
	"context"
	"maps"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
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
	// storeTimeout bounds a call to the key-value service.
	storeTimeout = 800 * time.Millisecond
	// orderTimeout bounds an order; the answer comes within a round trip or not at all.
	orderTimeout = 500 * time.Millisecond
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

// Former is one candidate for the planner. Set the exported fields before Run.
type Former struct {
	Name      string
	View      *rudderview.View
	Store     *rudderstore.Store
	Committer *rudderstore.Committer
	Control   *ruddertarget.GroupControl
	Logger    zerolog.Logger
	Uptime    func() time.Duration
	// Stall is the time after which a leader without one of its members is broken.
	Stall time.Duration
	// Traffic tells whether this entry host has seen a request.
	Traffic func() bool
	// Demand is the part of the work of each model of a service, as seen here; nil for unknown.
	Demand func(service string) map[string]float64
	// Ask probes a target; alive is false when it does not answer.
	Ask func(ctx context.Context, t *rudderview.Target) (report ruddertarget.GroupReport, alive bool)
	// OnOrder counts an order by its kind and outcome; optional.
	OnOrder func(kind, outcome string)

	planning atomic.Bool
	mu       sync.Mutex
	memory   map[string]*rudderform.Memory // by service
	plans    map[string]rudderform.Stored  // by key of the plan, stored by this planner
	dead     map[string]*verdict           // by target
	wake     chan struct{}
	left     chan struct{} // closed by Leave
	once     sync.Once
	begin    time.Duration // uptime at which the lease was taken
}

// Planning reports whether this entry host holds the planner's lease.
func (f *Former) Planning() bool { return f.planning.Load() }

// verdict on one life of a target.
type verdict struct {
	born    int64
	dead    bool
	report  ruddertarget.GroupReport // of the last answer
	known   bool                     // there was an answer
	running bool
	checked time.Duration // uptime of the begin or the end of the last probe
	done    chan struct{} // closed when the probe has ended
}

// Leave gives the planner's lease back and takes it no more, because the entry host stops.
func (f *Former) Leave() { f.once.Do(func() { close(f.leftChannel()) }) }

func (f *Former) leftChannel() chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.left == nil {
		f.left = make(chan struct{})
	}
	return f.left
}

// Run takes the planner's lease whenever it is free and plans while it is held.
func (f *Former) Run(ctx context.Context) error {
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
		if wait(ctx, changed, rand.N(takeOverSpread)); f.View.Snapshot().PlannerHeld {
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

func hasEngine(t *rudderroute.Table) bool {
	for _, s := range t.Services() {
		if s.Engine != nil && len(s.Engine.Models) > 0 {
			return true
		}
	}
	return false
}

// take writes the planner's key with a new lease if nobody holds it.
func (f *Former) take(ctx context.Context) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	lease, err := f.Store.GrantLease(ctx, LeaseTTL)
	if err != nil {
		return 0, err
	}
	_, err = f.Store.Put(ctx, rudderstore.PutRequest{Key: rudderview.PlannerKey, Value: []byte(f.Name), Lease: lease})
	return lease, err
}

// plan steps until the lease is lost.
func (f *Former) plan(ctx context.Context, lease int64) {
	f.mu.Lock()
	f.memory, f.plans, f.dead = map[string]*rudderform.Memory{}, map[string]rudderform.Stored{}, map[string]*verdict{}
	f.mu.Unlock()
	f.Logger.Info().Int64("lease", lease).Msg("planner's lease taken")
	held, cancel := context.WithCancel(ctx)
	defer cancel()
	go f.renew(held, cancel, lease)
	f.planning.Store(true)
	defer f.planning.Store(false)
	f.begin = f.Uptime()
	for held.Err() == nil {
		changed := f.View.Changed()
		busy := f.step(held, f.View.Snapshot())
		pause := 5 * stepInterval
		if busy {
			pause = stepInterval
		}
		f.await(held, changed, pause)
	}
	f.Logger.Warn().Int64("lease", lease).Bool("stopping", ctx.Err() != nil).Msg("planner's lease ended")
	if ctx.Err() != nil {
		f.giveBack(lease)
	}
}

// giveBack ends the lease, so that another entry host takes over at once.
func (f *Former) giveBack(lease int64) {
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	if err := f.Store.RevokeLease(ctx, lease); err != nil {
		f.Logger.Warn().Err(err).Int64("lease", lease).Msg("planner's lease not given back; it lapses by itself")
	}
}

// renew keeps the lease and ends the planner's work when it may have run out.
func (f *Former) renew(ctx context.Context, lost context.CancelFunc, lease int64) {
	defer lost()
	last := f.Uptime()
	for {
		wait(ctx, nil, renewInterval)
		if ctx.Err() != nil {
			return
		}
		begin := f.Uptime()
		callContext, cancel := context.WithTimeout(ctx, renewInterval)
		err := f.Store.KeepAlive(callContext, lease)
		cancel()
		switch {
		case err == nil:
			last = begin
		case errors.Is(err, rudderstore.ErrNotFound), f.Uptime()-last > LeaseTTL:
			f.Logger.Warn().Err(err).Int64("lease", lease).Msg("planner's lease not renewed")
			return
		}
	}
}

// step stores what changes and sends the orders that are due. busy reports that something is under way.
func (f *Former) step(ctx context.Context, snapshot *rudderview.Snapshot) (busy bool) {
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
			if f.confirmed(ctx, in, c) && f.store(ctx, c) {
				in.Plans[c.Plan.Domain] = f.stored(c)
			}
			busy = true
		}
		f.mu.Lock()
		orders := rudderform.Orders(in)
		for _, o := range orders {
			in.Memory.Sent(in.Now, o)
		}
		f.mu.Unlock()
		for _, o := range orders {
			go f.send(ctx, in.Memory, o)
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

func (f *Former) input(snapshot *rudderview.Snapshot, service *rudderroute.Service) rudderform.Input {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.memory[service.Name] == nil {
		f.memory[service.Name] = rudderform.NewMemory()
	}
	plans := map[string]rudderform.Stored{}
	for key, record := range snapshot.Plans {
		if own, known := f.plans[key]; known && own.Revision >= record.Revision {
			continue
		}
		retiring := map[string]time.Duration{}
		for id, since := range record.RetiringSince {
			retiring[id] = f.View.Uptime() - since
		}
		f.plans[key] = rudderform.Stored{Plan: record.Plan, Revision: record.Revision, RetiringFor: retiring}
	}
	for _, stored := range f.plans {
		if stored.Plan.Service == service.Name {
			plans[stored.Plan.Domain] = stored
		}
	}
	dead := map[string]int64{}
	gone := maps.Clone(snapshot.Gone)
	for name, v := range f.dead {
		if v.dead {
			dead[name] = v.born
		}
		if t := gone[name]; t != nil && v.known && v.born == t.Born {
			// Its record is gone, so only its own answer tells which group it is in.
			answered := *t
			answered.Membership = v.report.Membership
			gone[name] = &answered
		}
	}
	in := rudderform.Input{
		Now: f.Uptime(), Service: service, Targets: snapshot.Targets, Gone: gone, Plans: plans, Stall: f.Stall,
		Traffic: f.Traffic(), Settled: f.Traffic() || f.Uptime()-f.begin > settleTime, Memory: f.memory[service.Name],
		Dead: func(t *rudderview.Target) bool { born, known := dead[t.Name]; return known && born == t.Born },
	}
	in.Resumable = snapshot.Table.Resumable(service.Name)
	if f.Demand != nil {
		in.Demand = f.Demand(service.Name)
	}
	return in
}

// confirmed probes the members of the groups that a change forms. A planner that has just taken over does not
// know which targets its predecessor found dead, and a record outlives its target by seconds.
func (f *Former) confirmed(ctx context.Context, in rudderform.Input, c rudderform.Change) bool {
	old := map[string]bool{}
	for _, g := range in.Plans[c.Plan.Domain].Plan.Groups {
		old[rudderview.GroupID(g.Name, g.Epoch)] = true
	}
	var probes []<-chan struct{}
	f.mu.Lock()
	for _, g := range c.Plan.Groups {
		if old[rudderview.GroupID(g.Name, g.Epoch)] {
			continue
		}
		for _, m := range g.Members {
			if t := in.Targets[m.Target]; t != nil {
				probes = append(probes, f.check(t, confirmInterval))
			}
		}
	}
	f.mu.Unlock()
	for _, done := range probes {
		select {
		case <-done:
		case <-ctx.Done():
			return false
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, g := range c.Plan.Groups {
		for _, m := range g.Members {
			if v := f.dead[m.Target]; !old[rudderview.GroupID(g.Name, g.Epoch)] && v != nil && v.dead && v.born == m.Born {
				f.Logger.Info().Str("target", m.Target).Str("group", g.Name).Int64("epoch", g.Epoch).Msg("plan not written: a planned member does not answer")
				return false
			}
		}
	}
	return true
}

// stored returns what this planner stored last for the plan of a change.
func (f *Former) stored(c rudderform.Change) rudderform.Stored {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.plans[planKey(c)]
}

func planKey(c rudderform.Change) string { return rudderview.PlanPrefix + c.Plan.Key() }

// store writes a changed plan if nobody else changed it.
func (f *Former) store(ctx context.Context, c rudderform.Change) bool {
	value, err := c.Plan.Encode()
	if err != nil {
		f.Logger.Error().Err(err).Str("domain", c.Plan.Domain).Msg("plan cannot be encoded")
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	key := planKey(c)
	revision, err := f.Store.Put(ctx, rudderstore.PutRequest{Key: key, Value: value, Expected: c.Revision})
	f.Logger.Info().Err(err).Str("domain", c.Plan.Domain).Int64("expected", c.Revision).Int64("revision", revision).
		Str("changes", strings.Join(c.Notes, "; ")).Msg("plan written")
	if err != nil {
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.plans[key] = rudderform.Stored{Plan: c.Plan, Revision: revision}
	return true
}

// send sends one order and notes what its answer says.
func (f *Former) send(ctx context.Context, memory *rudderform.Memory, o rudderform.Order) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	begin := f.Uptime()
	err := f.Control.Send(ctx, o.Target, o.Address, o.Order)
	outcome := orderOutcome(err)
	f.Logger.Info().Err(err).Str("target", o.Target).Str("order", string(o.Order.Kind)).Str("group", o.Order.Group).
		Int64("epoch", o.Order.Epoch).Str("model", o.Order.Model).Str("reason", o.Reason).Str("outcome", outcome).
		Dur("took_ms", f.Uptime()-begin).Msg("order sent")
	if f.OnOrder != nil {
		f.OnOrder(string(o.Order.Kind), outcome)
	}
	f.mu.Lock()
	switch outcome {
	case "taken":
		memory.Taken(o)
	case "refused", "stale", "other_target", "not_listening":
		memory.Over(o)
	}
	f.mu.Unlock()
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

func orderOutcome(err error) string {
	for _, known := range []struct {
		err  error
		name string
	}{
		{ruddertarget.ErrRefused, "refused"},
		{ruddertarget.ErrStaleFencing, "stale"},
		{ruddertarget.ErrOtherTarget, "other_target"},
		{ruddertarget.ErrNotListening, "not_listening"},
		{ruddertarget.ErrUnreachable, "unreachable"},
	} {
		if errors.Is(err, known.err) {
			return known.name
		}
	}
	if err != nil {
		return "unanswered"
	}
	return "taken"
}

// await waits for a change of the view, an answer to an order or the time.
func (f *Former) await(ctx context.Context, changed <-chan struct{}, d time.Duration) {
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
