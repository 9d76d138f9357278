package rudderplacement

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"comfreyrudder.example/rudderd/rudderroute"
	"comfreyrudder.example/rudderd/rudderview"
	"comfreyrudder.example/shared/rudderhost"
	"comfreyrudder.example/shared/ruddertarget"
)

// fleet simulates targets that carry out the orders of one planner at once.
type fleet struct {
	t       *testing.T
	now     time.Duration
	service *rudderroute.Service
	targets map[string]*rudderview.Target
	removed map[string]*rudderview.Target
	plans   map[string]StoredPlan
	dead    map[string]bool
	// unconfirmed holds the dead targets whose death no other probe has confirmed.
	unconfirmed map[string]bool
	state       *State
	traffic     bool
	// silent targets accept no orders.
	silent map[string]bool
	// hidden targets run without a record that the planner has ever seen.
	hidden map[string]*rudderview.Target
	// reports holds the answers of targets without a record.
	reports map[string]ruddertarget.GroupReport
	// busy leaders have requests in flight.
	busy map[string]bool
	// left is the last membership of each target that left a group.
	left map[string]ruddertarget.Membership
	// storeFails makes changed plans fail to be stored.
	storeFails bool
	// unsettled is the opposite of Input.Settled.
	unsettled bool
	// withinStartupGrace is Input.WithinStartupGrace.
	withinStartupGrace bool
	// shares and refused are Input.Demand and Input.Refused.
	shares, refused map[string]float64
	sent            []Order
	revision        int64
	loads           []time.Duration
	// loadTime is the duration of a load. loaded is when the loads under way end, by target.
	loadTime time.Duration
	loaded   map[string]time.Duration
	// breaksAt is when a leader that lost a member reports a broken group.
	breaksAt map[string]time.Duration
	// misread, if set, draws whether an order that is not carried out counts as accepted or inapplicable; optional.
	misread func(o Order) (accepted, inapplicable bool)
}

const stall = 6 * time.Second

func newFleet(t *testing.T, models ...rudderroute.Model) *fleet {
	return &fleet{
		t: t, now: time.Minute, targets: map[string]*rudderview.Target{}, removed: map[string]*rudderview.Target{},
		plans: map[string]StoredPlan{}, dead: map[string]bool{}, unconfirmed: map[string]bool{}, state: NewState(), silent: map[string]bool{}, hidden: map[string]*rudderview.Target{}, left: map[string]ruddertarget.Membership{},
		reports: map[string]ruddertarget.GroupReport{}, busy: map[string]bool{},
		service:  &rudderroute.Service{Name: "llm", Engine: &rudderroute.Engine{Models: models, Slots: 8, LoadsPerSecond: 5, LoadsAtOnce: 8, MaxStagedModels: 1}},
		breaksAt: map[string]time.Duration{}, loaded: map[string]time.Duration{},
	}
}

func (f *fleet) add(domain string, names ...string) {
	for _, name := range names {
		f.targets[name] = &rudderview.Target{
			Host:    rudderhost.Host{Name: name, Address: name + ":1", FabricDomain: domain, State: rudderhost.StateLive},
			Service: "llm", Born: 1,
		}
	}
}

func (f *fleet) addMany(domain string, n int) {
	for i := range n {
		f.add(domain, fmt.Sprintf("%s-%02d", domain, i))
	}
}

func (f *fleet) input() Input {
	return Input{
		Now: f.now, Service: f.service, Targets: f.targets, Removed: f.removed, Reports: f.reports, Plans: f.plans, StallTimeout: stall, Traffic: f.traffic,
		Settled: !f.unsettled || f.traffic, Demand: f.shares, Refused: f.refused, WithinStartupGrace: f.withinStartupGrace, State: f.state, Dead: func(t *rudderview.Target) bool { return f.dead[t.Name] },
		Silent: func(t *rudderview.Target) bool { return f.dead[t.Name] },
		Lost:   func(t *rudderview.Target) bool { return f.dead[t.Name] && !f.unconfirmed[t.Name] },
	}
}

// step runs one step of the planner and carries out its orders.
func (f *fleet) step() {
	f.t.Helper()
	f.now += 100 * time.Millisecond
	f.endLoads()
	for _, c := range Step(f.input()) {
		if f.storeFails {
			continue
		}
		f.revision++
		f.plans[c.Plan.Domain] = StoredPlan{Plan: c.Plan, Revision: f.revision}
	}
	in := f.input()
	for _, o := range Orders(in) {
		f.state.MarkSent(f.now, o)
		f.sent = append(f.sent, o)
		f.carryOut(o)
	}
	for name, at := range f.breaksAt {
		t := f.targets[name]
		if t == nil {
			t = f.hidden[name]
		}
		if t != nil && f.now >= at && t.Membership.Phase == ruddertarget.GroupOpen {
			t.Membership.Phase = ruddertarget.GroupBroken
		}
	}
	f.check()
}

func (f *fleet) run(d time.Duration) {
	f.t.Helper()
	for end := f.now + d; f.now < end; {
		f.step()
	}
}

// endLoads ends the loads that are due.
func (f *fleet) endLoads() {
	for name, at := range f.loaded {
		if t := f.targets[name]; t != nil && f.now >= at {
			t.Staged = []string{t.Model}
			if model := f.state.staging[name].model; t.Membership.Phase != ruddertarget.GroupJoining && model != "" {
				t.Staged = []string{model}
			}
			if t.Membership.Phase == ruddertarget.GroupJoining {
				t.Membership.Phase = ruddertarget.GroupReady
			}
			delete(f.loaded, name)
		}
	}
}

// carryOut applies an order to its target as a target does.
func (f *fleet) carryOut(o Order) {
	t := f.targets[o.Target]
	if t == nil {
		t = f.removed[o.Target]
	}
	if t == nil || f.silent[o.Target] {
		return
	}
	if f.misread != nil && o.Order.Kind != ruddertarget.OrderLeave {
		if accepted, inapplicable := f.misread(o); accepted {
			f.state.MarkAccepted(o)
			return
		} else if inapplicable {
			f.state.MarkInapplicable(o)
			return
		}
	}
	own := &t.Membership
	same := own.Group == o.Order.Group && own.Epoch == o.Order.Epoch
	switch o.Order.Kind {
	case ruddertarget.OrderJoin:
		f.checkJoin(t, o.Order.Group)
		if f.loaded[t.Name] > 0 && same {
			return
		}
		cold := !warm(t, o.Order.Model)
		staged := f.loaded[t.Name] // a load under way is not started again
		require.GreaterOrEqual(f.t, o.Order.Epoch, own.Epoch)
		*own = ruddertarget.Membership{Group: o.Order.Group, Epoch: o.Order.Epoch, Rank: slices.Index(o.Order.Members, o.Target), Phase: ruddertarget.GroupReady}
		t.Model = o.Order.Model
		if cold && staged == 0 {
			f.loads = append(f.loads, f.now)
			staged = f.now + f.loadTime
		}
		if cold && f.loadTime > 0 {
			own.Phase = ruddertarget.GroupJoining
			f.loaded[t.Name] = staged
		} else {
			t.Staged = []string{o.Order.Model}
		}
	case ruddertarget.OrderOpen:
		if !same || own.Phase != ruddertarget.GroupReady {
			f.state.MarkInapplicable(o)
			return
		}
		own.Phase = ruddertarget.GroupOpen
		f.checkOpen(t)
	case ruddertarget.OrderClose:
		if same {
			own.Phase = ruddertarget.GroupReady
			if f.busy[o.Target] {
				own.Phase = ruddertarget.GroupClosing
			}
		}
	case ruddertarget.OrderLeave:
		if same {
			f.breakLeader(*own)
			f.left[t.Name] = *own
			*own = ruddertarget.Membership{}
		}
	case ruddertarget.OrderStage:
		f.loads = append(f.loads, f.now)
		if f.loadTime > 0 {
			f.loaded[t.Name] = f.now + f.loadTime
		} else {
			t.Staged = []string{o.Order.Model}
		}
	}
	f.state.MarkAccepted(o)
}

// breakLeader makes a leader that the planner does not reach break after the stall time when it loses a member.
func (f *fleet) breakLeader(m ruddertarget.Membership) {
	for _, leader := range f.all() {
		unreached := f.hidden[leader.Name] != nil || f.silent[leader.Name]
		if own := leader.Membership; unreached && f.breaksAt[leader.Name] == 0 && own.Rank == 0 && m.Rank > 0 && own.Group == m.Group && own.Epoch == m.Epoch {
			f.breaksAt[leader.Name] = f.now + stall
		}
	}
}

// checkJoin fails the test if a target is ordered to join another group while the leader of its group is open.
func (f *fleet) checkJoin(t *rudderview.Target, group string) {
	f.t.Helper()
	if t.Membership.Group == group {
		return
	}
	for _, leader := range f.all() {
		m := leader.Membership
		last := t.Membership
		if f.left[t.Name].Group != "" {
			last = f.left[t.Name] // its leader has not broken yet
		}
		if last.Group != "" && m.Group == last.Group && m.Epoch == last.Epoch && m.Rank == 0 {
			require.NotEqual(f.t, ruddertarget.GroupOpen, m.Phase, "%s joins while leader %s is open", t.Name, leader.Name)
		}
	}
}

// checkOpen fails the test if a leader is opened without all of its members.
func (f *fleet) checkOpen(leader *rudderview.Target) {
	f.t.Helper()
	members := 0
	for _, t := range f.all() {
		if t.Membership.Group == leader.Membership.Group && t.Membership.Epoch == leader.Membership.Epoch {
			members++
		}
	}
	model, _ := f.service.Engine.Model(leader.Model)
	require.Equal(f.t, model.Size, members, "leader %s", leader.Name)
}

func (f *fleet) all() []*rudderview.Target {
	var list []*rudderview.Target
	for _, t := range f.targets {
		list = append(list, t)
	}
	for _, t := range f.removed {
		list = append(list, t)
	}
	for _, t := range f.hidden {
		list = append(list, t)
	}
	return list
}

// check fails the test if a target is planned twice.
func (f *fleet) check() {
	f.t.Helper()
	seen := map[string]string{}
	for _, stored := range f.plans {
		for _, g := range stored.Plan.Groups {
			for _, m := range g.Members {
				require.Empty(f.t, seen[m.Target], "%s is planned twice", m.Target)
				seen[m.Target] = g.Name
			}
		}
	}
}

// open counts the serving groups by model.
func (f *fleet) open() map[string]int {
	counts := map[string]int{}
	for _, t := range f.targets {
		if t.Membership.Rank == 0 && t.Membership.Phase == ruddertarget.GroupOpen {
			counts[t.Model]++
		}
	}
	return counts
}

// leader returns the leader of a serving group of the model.
func (f *fleet) leader(model string) *rudderview.Target {
	for _, name := range slices.Sorted(keys(f.targets)) {
		if t := f.targets[name]; t.Model == model && t.Membership.Rank == 0 && t.Membership.Phase == ruddertarget.GroupOpen {
			return t
		}
	}
	f.t.Fatalf("no group of %s", model)
	return nil
}

// follower returns another member of the leader's group.
func (f *fleet) follower(leader *rudderview.Target) *rudderview.Target {
	for _, name := range slices.Sorted(keys(f.targets)) {
		t := f.targets[name]
		if t != leader && t.Membership.Group == leader.Membership.Group && t.Membership.Epoch == leader.Membership.Epoch {
			return t
		}
	}
	f.t.Fatal("no follower")
	return nil
}

func keys[V any](m map[string]V) func(func(string) bool) {
	return func(yield func(string) bool) {
		for k := range m {
			if !yield(k) {
				return
			}
		}
	}
}

// removeRecord removes the record of a target that keeps running.
func (f *fleet) removeRecord(t *rudderview.Target) {
	f.removed[t.Name] = t
	delete(f.targets, t.Name)
}

func large() rudderroute.Model {
	return rudderroute.Model{Name: "large", Size: 6, Share: 0.67, TimeFactor: 1}
}
func small() rudderroute.Model {
	return rudderroute.Model{Name: "small", Size: 3, Share: 0.33, TimeFactor: 0.6}
}
