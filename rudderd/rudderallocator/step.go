package rudderallocator

import (
	"fmt"
	"slices"
	"time"

	"comfreyrudder.example/shared/rudderconfig"
	"comfreyrudder.example/shared/ruddergroup"
	"comfreyrudder.example/shared/rudderhost"
	"comfreyrudder.example/shared/ruddertarget"
)

// Timing holds the time constants of Step.
type Timing struct {
	// MaxStatusAge is the age above which a member's status is ignored.
	MaxStatusAge time.Duration
	// DeadAfterMisses is the number of consecutive missed polls after which a host counts as dead.
	DeadAfterMisses int
	// MinimumHold is how long a surplus group is kept at least, and how long a window must stay open for a new
	// group to be formed. It keeps small changes from causing weight loads.
	MinimumHold time.Duration
	// DrainSettle is how long entry hosts may still send requests to a group after the plan marks it draining, plus
	// the lag of load reports.
	DrainSettle time.Duration
	// LoadTimeout is how long a group may take to become ready, in addition to LeadTime for its weights.
	LoadTimeout time.Duration
	// PreloadMargin is added to the estimated time for fetching weights.
	PreloadMargin time.Duration
	// WeightBytesPerSecond is the rate at which one host fetches weights; 0 leaves transfer time out.
	WeightBytesPerSecond float64
}

// DefaultTiming returns the constants for a poll interval of 1 s and a maximum status age of 3 s.
func DefaultTiming() Timing {
	return Timing{MaxStatusAge: 3 * time.Second, DeadAfterMisses: 3, MinimumHold: time.Minute,
		DrainSettle: 5 * time.Second, PreloadMargin: 30 * time.Second, LoadTimeout: 3 * time.Minute, WeightBytesPerSecond: 100e6}
}

// Observation is the result of polling one host.
type Observation struct {
	Status ruddertarget.Status
	// Age of Status; meaningless unless Known.
	Age time.Duration
	// Known is set once the host has answered a poll.
	Known bool
	// Missed is the number of consecutive polls without an answer.
	Missed int
}

// Dead reports whether the host has missed DeadAfterMisses consecutive polls.
func (o Observation) Dead(t Timing) bool { return o.Missed >= t.DeadAfterMisses }

func (o Observation) fresh(t Timing) bool { return o.Known && o.Age <= t.MaxStatusAge }

// Input is the state of one domain and the time constants for Step.
type Input struct {
	Now    time.Time
	Domain string
	Config *rudderconfig.Document
	// Hosts of the domain.
	Hosts []rudderhost.Host
	// Observed by host name.
	Observed map[string]Observation
	Plan     ruddergroup.Plan
	// Want is the number of groups by selector that the Allocation gives this domain.
	Want map[string]int
	// WantTotal and ServingTotal are the wanted and the serving groups by selector in the whole fleet. With
	// them, a surplus group of this domain keeps serving until its successor in another domain serves, unless
	// another selector needs its hosts. Optional.
	WantTotal, ServingTotal map[string]int
	// Upcoming holds this domain's windows that open soon, from the function Upcoming.
	Upcoming []UpcomingWindow
	// InFlight is the number of requests by group that shard owners know. Without an entry only the members'
	// load reports count.
	InFlight map[string]int
	Fencing  int64
	Planner  string
	Timing   Timing
}

// Order is one command for a target. The planner sets the ID and NotAfter of the inner order.
type Order struct {
	Host    string
	Address string
	Order   ruddertarget.Order
	Reason  Reason
}

// Result is the result of Step.
type Result struct {
	// Plan is the next plan. Its sequence number is new if Changed is set.
	Plan    ruddergroup.Plan
	Changed bool
	// Orders may be sent only once Plan has been stored.
	Orders []Order
	// Reasons explains each change of the plan.
	Reasons []Reason
}

type stepper struct {
	in        Input
	hosts     hostIndex
	groups    []ruddergroup.Group
	selectors []rudderconfig.Selector
	reasons   []Reason
	seq       int64
	changed   bool
	timedOut  map[string]bool // hosts that were not ready when their group's load timed out
}

// Step computes the next plan of a domain and the orders that carry it out. When no host of the domain answers,
// the plan stays as it is: either the whole domain is down, and there are no spare hosts, or only this planner
// is cut off, and the groups may still serve.
func Step(in Input) Result {
	if DomainUnreachable(in.Hosts, in.Observed, in.Timing) {
		return Result{Plan: in.Plan}
	}
	st := &stepper{in: in, hosts: newHostIndex(in.Config, in.Hosts), seq: in.Plan.Seq + 1, selectors: activeSelectors(in.Config, in.Now), timedOut: map[string]bool{}}
	for _, g := range in.Plan.Groups {
		if g, keep := st.advance(cloneGroup(g)); keep {
			st.groups = append(st.groups, g)
		}
	}
	st.drainSurplus()
	st.form()
	next := in.Plan
	next.Groups = st.groups
	if st.changed {
		next.Domain, next.Seq, next.Fencing, next.Planner = in.Domain, st.seq, in.Fencing, in.Planner
		next.ConfigVersion = in.Config.Version
		if len(in.Hosts) > 0 {
			next.Region, next.DataCentre = in.Hosts[0].Region, in.Hosts[0].DataCentre
		}
	}
	return Result{Plan: next, Changed: st.changed, Orders: ordersFor(in, st.hosts, next), Reasons: st.reasons}
}

// DomainUnreachable reports whether every host of a domain counts as dead.
func DomainUnreachable(hosts []rudderhost.Host, observed map[string]Observation, t Timing) bool {
	return len(hosts) > 0 && !slices.ContainsFunc(hosts, func(h rudderhost.Host) bool { return !observed[h.Name].Dead(t) })
}

func cloneGroup(g ruddergroup.Group) ruddergroup.Group {
	g.Members = slices.Clone(g.Members)
	g.Adapters = slices.Clone(g.Adapters)
	return g
}

// note marks the plan as changed and records the reason.
func (st *stepper) note(r Reason) {
	st.changed = true
	st.reasons = append(st.reasons, r)
}

func (st *stepper) setState(g *ruddergroup.Group, s ruddergroup.State, r Reason) {
	g.State, g.SinceUnixMS, g.Reason = s, st.in.Now.UnixMilli(), ""
	if s == ruddergroup.StateDraining {
		g.Reason = r.Text
	}
	st.note(r)
}

// advance moves one group to its next state. It returns false if the group is removed from the plan.
func (st *stepper) advance(g ruddergroup.Group) (ruddergroup.Group, bool) {
	if r, broken := st.broken(g); broken {
		r.Group = g.ID
		st.note(r)
		if r.Code == CodeLoadTimeout {
			for rank, m := range g.Members {
				st.timedOut[m.Host] = !confirms(g, rank, st.in.Observed[m.Host].Status)
			}
		}
		return g, false
	}
	if g.State == ruddergroup.StateDraining {
		if st.released(g) {
			st.note(Reason{Code: CodeReleased, Group: g.ID, Text: "group is drained and its hosts are released"})
			return g, false
		}
		return g, true
	}
	if r, drain := st.mustDrain(g); drain {
		r.Group = g.ID
		st.setState(&g, ruddergroup.StateDraining, r)
		return g, true
	}
	if g.State == ruddergroup.StateLoading && st.ready(g) {
		st.setState(&g, ruddergroup.StateServing, Reason{Code: CodeReady, Group: g.ID, Text: "every member is ready"})
	}
	return g, true
}

// broken reports whether a group can no longer run: a member is dead or has restarted, a member of a serving
// group reports another role, or loading timed out. Its hosts become free at once, because the replica is lost
// in any case.
func (st *stepper) broken(g ruddergroup.Group) (Reason, bool) {
	for rank, m := range g.Members {
		o := st.in.Observed[m.Host]
		if o.Dead(st.in.Timing) {
			return Reason{Code: CodeMemberDead, Host: m.Host, Text: fmt.Sprintf("member missed %d polls", o.Missed)}, true
		}
		if !o.fresh(st.in.Timing) {
			continue
		}
		if o.Status.Incarnation != m.Incarnation {
			return Reason{Code: CodeMemberRestarted, Host: m.Host, Text: "member restarted"}, true
		}
		if g.State == ruddergroup.StateServing && !confirms(g, rank, o.Status) {
			return Reason{Code: CodeOtherRole, Host: m.Host,
				Text: fmt.Sprintf("member reports group %q rank %d phase %s", o.Status.Role.Group, o.Status.Role.Rank, o.Status.Phase)}, true
		}
	}
	if limit := st.loadLimit(g); g.State == ruddergroup.StateLoading && st.in.Now.Sub(time.UnixMilli(g.SinceUnixMS)) > limit {
		return Reason{Code: CodeLoadTimeout, Text: fmt.Sprintf("group did not become ready within %s", limit)}, true
	}
	return Reason{}, false
}

// loadLimit is how long a group may load before it is given up and another one is formed. The next attempt
// avoids the members that were not ready if there are spare hosts.
func (st *stepper) loadLimit(g ruddergroup.Group) time.Duration {
	return st.in.Timing.LoadTimeout + LeadTime(findModel(st.in.Config, g.Model, g.ModelVersion).WeightBytes, st.in.Timing)
}

// confirms reports whether a member's status matches its planned rank in the group. A plain service takes no
// orders, so it may report no role.
func confirms(g ruddergroup.Group, rank int, s ruddertarget.Status) bool {
	if g.Service != "" {
		return s.Role.Group == "" || s.Role.Group == g.ID
	}
	return s.Role.Group == g.ID && s.Role.Rank == rank && s.Phase == ruddertarget.PhaseReady
}

// ready reports whether every member has a recent status that confirms its role.
func (st *stepper) ready(g ruddergroup.Group) bool {
	for rank, m := range g.Members {
		o := st.in.Observed[m.Host]
		if !o.fresh(st.in.Timing) || o.Status.Incarnation != m.Incarnation || !confirms(g, rank, o.Status) {
			return false
		}
	}
	return true
}

// mustDrain reports whether a group must stop taking new requests, and why.
func (st *stepper) mustDrain(g ruddergroup.Group) (Reason, bool) {
	s, ok := findSelector(st.in.Config, g.Selector)
	if !ok {
		return Reason{Code: CodeSelectorRemoved, Text: "selector was removed"}, true
	}
	if !s.ActiveAt(st.in.Now) {
		return Reason{Code: CodeWindowClosed, Text: "selector's window closed"}, true
	}
	if changed(st.in.Config, s, g) && (g.Firm != s.Firm || g.State == ruddergroup.StateLoading || st.mayRoll(s)) {
		return Reason{Code: CodeSelectorChanged, Text: "selector was changed"}, true
	}
	for _, m := range g.Members {
		_, listed := st.hosts.hosts[m.Host]
		if o := st.in.Observed[m.Host]; o.Known && o.Status.Leaving {
			return Reason{Code: CodeLeaving, Host: m.Host, Text: "host is leaving"}, true
		}
		if !listed {
			continue // the host list lags behind; polls decide whether the host is dead
		}
		if why := st.hosts.drainReason(m.Host); why != "" {
			return Reason{Code: CodeLeaving, Host: m.Host, Text: why}, true
		}
		if !st.hosts.fits(s, m.Host) {
			return Reason{Code: CodeSelectorChanged, Host: m.Host, Text: "host no longer matches the selector"}, true
		}
	}
	return Reason{}, false
}

// mayRoll reports whether every group of the selector in this domain serves. It makes a changed selector
// replace its groups one at a time.
func (st *stepper) mayRoll(s rudderconfig.Selector) bool {
	for _, groups := range [][]ruddergroup.Group{st.groups, st.in.Plan.Groups} {
		if slices.ContainsFunc(groups, func(g ruddergroup.Group) bool {
			return g.Selector == s.Name && g.State != ruddergroup.StateServing
		}) {
			return false
		}
	}
	return true
}

// changed reports whether a group no longer matches its selector's definition.
func changed(config *rudderconfig.Document, s rudderconfig.Selector, g ruddergroup.Group) bool {
	want := newGroup(config, s)
	return g.Firm != want.Firm || g.Model != want.Model || g.ModelVersion != want.ModelVersion || g.Service != want.Service ||
		!slices.Equal(g.Adapters, want.Adapters) || len(g.Members) != groupSize(s)
}

// newGroup returns a group for the selector, without members.
func newGroup(config *rudderconfig.Document, s rudderconfig.Selector) ruddergroup.Group {
	g := ruddergroup.Group{Selector: s.Name, Firm: s.Firm, Service: s.Service, State: ruddergroup.StateLoading}
	if s.Service != "" {
		g.State = ruddergroup.StateServing
		g.Slots = defaultServiceSlots
		for _, v := range config.Services {
			if v.Name == s.Service && v.Firm == s.Firm && v.MaxConcurrent > 0 {
				g.Slots = v.MaxConcurrent
			}
		}
		return g
	}
	m := findModel(config, s.Model, s.ModelVersion)
	g.Model, g.ModelVersion, g.Adapters, g.Slots = m.Name, m.Version, slices.Clone(s.Adapters), max(m.SlotsPerGroup, 1)
	return g
}

// defaultServiceSlots is the number of concurrent calls to one host of a plain service that does not set
// MaxConcurrent.
const defaultServiceSlots = 32
