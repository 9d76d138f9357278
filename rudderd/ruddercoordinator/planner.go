// Package ruddercoordinator runs the planner of package rudderplacement: the entry host that holds the planner's
// lease stores the plans by compare-and-swap and sends the orders to the targets. Package rudderplanner does this
// for package rudderallocator, with one lease per fabric domain.
package ruddercoordinator

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"comfreyrudder.example/rudderd/rudderplacement"
	"comfreyrudder.example/rudderd/rudderroute"
	"comfreyrudder.example/rudderd/rudderverdict"
	"comfreyrudder.example/rudderd/rudderview"
	"comfreyrudder.example/shared/rudderstore"
	"comfreyrudder.example/shared/ruddertarget"
)

const (
	// LeaseTTL is the time-to-live of the planner's lease. It is short, so that another entry host takes over
	// soon. A planner that has lost its lease does no harm: plans are written by compare-and-swap, and orders
	// carry epochs.
	LeaseTTL = time.Second
	// renewInterval is the interval between renewals, and the most that one may take. firstRenewTimeout bounds the first attempt
	// of a renewal, and doubles with each failed one: three may fail within LeaseTTL. A slow service gets answerMargin times its
	// last answer.
	renewInterval     = 300 * time.Millisecond
	firstRenewTimeout = 100 * time.Millisecond
	answerMargin      = 4
	// stepInterval is the time between two steps while a change is in progress.
	stepInterval = 100 * time.Millisecond
	// takeOverJitter bounds the random delay before an entry host tries to acquire a free lease.
	takeOverJitter = 300 * time.Millisecond
	// lowCapacityDelay is the additional delay of an entry host of low capacity. It gives the others time to learn
	// of the free lease from their watch and to write the key.
	lowCapacityDelay = 500 * time.Millisecond
	// isolatedDelay is the additional delay of an entry host without a path to targets.
	isolatedDelay = 800 * time.Millisecond
	// startedDelay is the additional delay of an entry host that has just started on a key-value service which was restored
	// from a copy: others may know plans that the copy lacks.
	startedDelay = time.Second
	// yieldAfter is how long an entry host of low capacity plans before it leaves the lease to one of high
	// capacity.
	yieldAfter = 3 * time.Second
	// storeTimeout bounds a call to the key-value service. firstStoreTimeout bounds the first write of a plan to a service that
	// answers fast, and doubles with each failed one: the plans of all fabric domains wait for a write whose answer is lost.
	storeTimeout      = 800 * time.Millisecond
	firstStoreTimeout = 200 * time.Millisecond
	// orderTimeout bounds a call that sends an order; targets answer within a round trip or not at all.
	orderTimeout = 500 * time.Millisecond
	// maxCalls bounds the concurrent orders and probes. Each takes a connection and its buffers, and a fleet of
	// thousands of targets is ordered to form groups within seconds.
	maxCalls = 256
	// settleTime is how long targets have to register before the first groups that need loads are formed.
	// Weights are staged in the meantime.
	settleTime = 4 * time.Second
	// recheckInterval is the time between two probes of a suspected or dead target.
	recheckInterval = 1500 * time.Millisecond
	// unregisteredInterval is the time between two probes of a member without a record.
	unregisteredInterval = time.Second
	// joiningInterval replaces unregisteredInterval while the leader of the member's group is not open.
	joiningInterval = 200 * time.Millisecond
	// confirmInterval is how long a probe result is valid for a member of a new group.
	confirmInterval = 2 * time.Second
	// decidingDelay is how long after MinSilence a silent target is probed again: entry hosts differ by some milliseconds in
	// when they have heard of it for the last time.
	decidingDelay = 20 * time.Millisecond
	// betweenInterval is how long before it may be dead a silent target is probed again. One that answers then and falls silent again is
	// not dead.
	betweenInterval = 500 * time.Millisecond
	// wakingTime is how much longer than MinSilence a target must be silent to count as lost: one that goes on takes some time until
	// it answers.
	wakingTime = 150 * time.Millisecond
	// silentTTL is how long a target counts as silent that may not be probed again, because it names a limit of requests.
	silentTTL = time.Second
	// examineInterval is how long a probe result is valid for Examine.
	examineInterval = 300 * time.Millisecond
)

// Planner plans the groups of all services while it holds the planner's lease. Set the exported fields before
// Run.
type Planner struct {
	Name    string
	View    *rudderview.View
	Store   *rudderstore.Store
	Control *ruddertarget.GroupControl
	Logger  zerolog.Logger
	Uptime  func() time.Duration
	// StallTimeout is the time after which a leader that lost a member reports a broken group.
	StallTimeout time.Duration
	// Traffic reports whether this entry host has seen a request.
	Traffic func() bool
	// Demand returns the part of a service's work by model, as measured on this entry host, or nil if it is
	// unknown; optional.
	Demand func(service string) map[string]float64
	// Refused returns the part of the recent work of each model of a service that was refused; optional.
	Refused func(service string) map[string]float64
	// Probe probes a target. suspected is set if an earlier probe has found it unresponsive.
	Probe func(ctx context.Context, t *rudderview.Target, suspected bool) rudderverdict.Finding
	// LowCapacity reports whether other entry hosts have more capacity for planning than this one; optional.
	LowCapacity func() bool
	// HasPath reports whether this entry host has a path to targets, and CutOff whether it has none while another one has;
	// optional.
	HasPath, CutOff func(ctx context.Context) bool
	// Ended reports whether a target that refuses connections has ended, as other entry hosts confirm. If it is nil, a
	// refused connection does not show that; optional.
	Ended func(ctx context.Context, t *rudderview.Target) bool
	// Relay sends an order through another entry host that reaches the target, if it may still be sent then, and returns the name of
	// that host. Without one, the name is empty and the error ErrUnreachable; optional.
	Relay func(ctx context.Context, t *rudderview.Target, order ruddertarget.GroupOrder, maySend func() bool) (host string, err error)
	// OnOrder counts an order by its kind and outcome; optional.
	OnOrder func(kind, outcome string)
	// OnRetire counts a group that a stored plan ends for another model, as a "reserve" or in a "move"; optional.
	OnRetire func(kind string)

	calls        callSlots
	planning     atomic.Bool
	answered     atomic.Int64 // time that the last answered renewal took, in nanoseconds
	mu           sync.Mutex
	states       map[string]*rudderplacement.State     // by service
	plans        map[string]rudderplacement.StoredPlan // by key, as read or last written by this planner
	results      map[string]*probeResult               // of the last probe, by target
	unreached    map[string]time.Duration              // uptime at which no other entry host reached a target either, by target
	failedWrites map[string]failedWrite                // by key of a plan whose last write failed
	wake         chan struct{}
	resigned     chan struct{} // closed by Resign
	resignOnce   sync.Once
	leaseSince   time.Duration            // uptime at which the lease was acquired
	summaries    map[string]loggedSummary // by service
}

// Planning reports whether this entry host holds the planner's lease.
func (p *Planner) Planning() bool { return p.planning.Load() }

// probeResult is the result of probing one incarnation of a target.
type probeResult struct {
	born int64
	dead bool
	// silent is set if the target was unresponsive, and failedAt is the uptime at which the first probe that found it so
	// started.
	silent   bool
	failedAt time.Duration
	// triedAt is the uptime at which the last probe started that failed.
	triedAt time.Duration
	// skipped is set if the last probe was not made, because the target names a limit of requests.
	skipped bool
	// aliveAt is the uptime at which its group showed for the last time that it was alive, as entry hosts have told; 0 if
	// none has.
	aliveAt time.Duration
	// answeredAt is the uptime at which the last probe started that was answered; 0 if none was.
	answeredAt time.Duration
	// lost is set if a later probe has confirmed that the target is dead: its process has ended, or two probes have failed that
	// started MinSilence and wakingTime or more apart. Groups end only then.
	lost bool
	// confirmed is set if an entry host has reported that the target is dead, and reporter is its name. outlived is that of the
	// last one after whose report the target has answered.
	confirmed          bool
	reporter, outlived string
	report             ruddertarget.GroupReport // last answer while the target had no record
	known              bool                     // report is set
	slow               bool                     // by the last answer
	running            bool
	checked            time.Duration // uptime of the last start or end of a probe
	done               chan struct{} // closed when the probe has ended
}

// Run acquires the planner's lease whenever it is free and plans while holding it, until the context ends or
// Resign is called.
func (p *Planner) Run(ctx context.Context) error {
	p.wake = make(chan struct{}, 1)
	ctx, end := context.WithCancel(ctx)
	defer end()
	go func() {
		select {
		case <-p.resignedChannel():
			end()
		case <-ctx.Done():
		}
	}()
	for ctx.Err() == nil {
		changed := p.View.Changed()
		snapshot := p.View.Snapshot()
		if snapshot.Table == nil || snapshot.PlannerHeld || !hasEngine(snapshot.Table) {
			wait(ctx, changed, time.Second)
			continue
		}
		if wait(ctx, changed, p.takeOverDelay()); p.View.Snapshot().PlannerHeld {
			continue
		}
		if p.HasPath != nil && !p.HasPath(ctx) && !p.staysFree(ctx, isolatedDelay+rand.N(takeOverJitter)) {
			continue
		}
		lease, err := p.acquireLease(ctx)
		if err != nil {
			p.Logger.Debug().Err(err).Msg("planner lease not acquired")
			wait(ctx, nil, takeOverJitter)
			continue
		}
		p.plan(ctx, lease)
	}
	return nil
}

// takeOverDelay returns the random time to wait before trying to acquire a free lease. Entry hosts of low
// capacity wait longer than the others.
func (p *Planner) takeOverDelay() time.Duration {
	delay := rand.N(takeOverJitter)
	if p.lowCapacity() {
		delay += takeOverJitter + lowCapacityDelay
	}
	if rudderstore.EraStart(p.View.Snapshot().Revision) > 0 && p.View.WithinStartupGrace() {
		delay += startedDelay
	}
	return delay
}

// staysFree waits and reports whether the lease is free all the time.
func (p *Planner) staysFree(ctx context.Context, d time.Duration) bool {
	for until := p.Uptime() + d; ctx.Err() == nil; {
		changed := p.View.Changed()
		if p.View.Snapshot().PlannerHeld {
			return false
		}
		left := until - p.Uptime()
		if left <= 0 {
			return true
		}
		wait(ctx, changed, left)
	}
	return false
}

func (p *Planner) lowCapacity() bool { return p.LowCapacity != nil && p.LowCapacity() }

// shouldYield reports whether this entry host should leave the lease to another one that has a path to targets, or to
// one of high capacity. For the latter it plans for yieldAfter first, so that the lease does not flap when no other entry
// host takes it.
func (p *Planner) shouldYield(ctx context.Context) bool {
	return p.CutOff != nil && p.CutOff(ctx) || p.lowCapacity() && p.Uptime()-p.leaseSince >= yieldAfter
}

// hasEngine reports whether any service has targets that form groups.
func hasEngine(t *rudderroute.Table) bool {
	for _, s := range t.Services() {
		if s.Engine != nil && len(s.Engine.Models) > 0 {
			return true
		}
	}
	return false
}

// plan runs steps until the lease is lost or yielded, or the context ends.
func (p *Planner) plan(ctx context.Context, lease int64) {
	p.mu.Lock()
	p.states, p.plans, p.results = map[string]*rudderplacement.State{}, map[string]rudderplacement.StoredPlan{}, map[string]*probeResult{}
	p.unreached = map[string]time.Duration{}
	p.failedWrites, p.summaries = map[string]failedWrite{}, map[string]loggedSummary{}
	p.mu.Unlock()
	p.Logger.Info().Int64("lease", lease).Msg("planner lease acquired")
	held, cancel := context.WithCancel(ctx)
	defer cancel()
	go p.keepLease(held, cancel, lease)
	p.planning.Store(true)
	defer p.planning.Store(false)
	p.leaseSince = p.Uptime()
	yielded := false
	for held.Err() == nil && !yielded {
		changed := p.View.Changed()
		busy := p.step(held, p.View.Snapshot())
		pause := 5 * stepInterval
		if busy {
			pause = stepInterval
		}
		p.waitForWork(held, changed, pause)
		yielded = p.shouldYield(held)
	}
	p.Logger.Warn().Int64("lease", lease).Bool("stopping", ctx.Err() != nil).Bool("yielded", yielded).Msg("planner lease ended")
	if ctx.Err() != nil || yielded {
		p.revokeLease(lease)
	}
}

// step stores changed plans and sends the due orders. busy reports whether a change is in progress.
func (p *Planner) step(ctx context.Context, snapshot *rudderview.Snapshot) (busy bool) {
	p.probeSuspects(snapshot)
	p.saveLost(ctx, snapshot)
	for _, service := range snapshot.Table.Services() {
		if service.Engine == nil || len(service.Engine.Models) == 0 {
			continue
		}
		in := p.input(snapshot, &service)
		p.mu.Lock()
		changes := rudderplacement.Step(in)
		p.mu.Unlock()
		for _, c := range changes {
			if p.mayStore(c) && p.membersAlive(ctx, in, c) && p.replacesSilent(c) && p.store(ctx, c) {
				in.Plans[c.Plan.Domain] = p.stored(c)
			}
			busy = true
		}
		p.mu.Lock()
		in.Now = p.Uptime() // the plans may have taken long to store
		orders := rudderplacement.Orders(in)
		for _, o := range orders {
			in.State.MarkSent(in.Now, o)
		}
		p.mu.Unlock()
		for _, o := range orders {
			go p.send(ctx, in.State, o)
		}
		p.summarize(in)
		busy = busy || len(orders) > 0 || inTransition(in)
	}
	return busy
}

// inTransition reports whether any group is retiring or its leader is not open.
func inTransition(in rudderplacement.Input) bool {
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

// waitForWork waits until the view changes, an order or probe ends, or d has passed.
func (p *Planner) waitForWork(ctx context.Context, changed <-chan struct{}, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-changed:
	case <-p.wake:
	case <-timer.C:
	}
}

// wait waits until changed is closed or d has passed.
func wait(ctx context.Context, changed <-chan struct{}, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-changed:
	case <-timer.C:
	}
}
