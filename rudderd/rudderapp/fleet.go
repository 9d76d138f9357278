package rudderapp

import (
	"context"
	"slices"
	"sync"
	"time"

	"comfreyrudder.example/rudderd/rudderallocator"
	"comfreyrudder.example/rudderd/rudderfleet"
	"comfreyrudder.example/rudderd/ruddermember"
	"comfreyrudder.example/rudderd/rudderplanner"
	"comfreyrudder.example/rudderd/rudderrelay"
	"comfreyrudder.example/rudderd/rudderrouter"
	"comfreyrudder.example/rudderd/ruddersettings"
	"comfreyrudder.example/shared/rudderconfig"
	"comfreyrudder.example/shared/ruddergroup"
	"comfreyrudder.example/shared/rudderhost"
	"comfreyrudder.example/shared/ruddertarget"
)

// plannerCandidates is the number of entry hosts that are candidates for planning a fabric domain.
const plannerCandidates = 3

// wireFleet creates the planner, the fleet view and the relay of confirmations.
func (a *App) wireFleet() {
	a.fleet = &rudderfleet.Fleet{ConfirmTTL: a.Settings.ConfirmTTL, Evacuated: a.evacuated}
	times := plannerTimes(a.Settings)
	timing := rudderallocator.DefaultTiming()
	timing.MaxStatusAge, timing.WeightBytesPerSecond = a.Settings.ConfirmTTL, float64(a.Settings.WeightRate)
	a.planner = &rudderplanner.Planner{
		Store: a.store, Control: a.control, Clock: a.Clock, Name: a.self.Name,
		Hosts:         func(ctx context.Context) ([]rudderhost.Host, error) { return a.hosts.Hosts(ctx) },
		Config:        a.config.Current,
		CandidateRank: a.plannerRank, Successor: a.plannerSuccessor, Leaving: a.stopping.begun,
		OnStatus: func(domain, host, address string, status ruddertarget.Status, age time.Duration) {
			a.fleet.ObserveStatus(rudderfleet.Confirmation{
				Domain: domain, Host: host, Address: address, Status: status, At: a.Clock.Now().Add(-age),
			})
		},
		OnPlan:    a.observePlan,
		KnownPlan: a.fleet.Plan,
		Down:      a.fleet.Unresponsive,
		Stale:     a.stale,
		Serving:   func() map[string]int { return a.fleet.ServingCounts(a.Clock.Now()) },
		Logger:    a.Logger, Times: times, Timing: timing,
	}
	a.relay = &rudderrelay.Relay{
		Self: a.self.Name, Fleet: a.fleet, Members: a.node.Live, HTTPClient: a.peers, Clock: a.Clock,
		Interval: a.Settings.PollInterval, ConfirmTTL: a.Settings.ConfirmTTL, Planners: func() map[string][]string { return a.planners(a.followed()) },
		AllPlanners: func() map[string][]string { return a.planners(func(ruddergroup.Plan) bool { return true }) },
	}
}

// observePlan adds a plan to the fleet view and makes admission use it at once.
func (a *App) observePlan(p ruddergroup.Plan) {
	if a.fleet.ObservePlan(p) {
		a.owner.InvalidateView()
	}
}

// plannerTimes derives the planner's times from the settings. If a poll took longer than the poll interval, one
// unresponsive target would let the confirmations of all others expire. If candidates waited longer than a lease
// lasts, a domain would be left without a planner.
func plannerTimes(s ruddersettings.Settings) rudderplanner.Times {
	times := rudderplanner.DefaultTimes()
	times.PollInterval, times.LeaseTTL, times.OrderTTL = s.PollInterval, s.LeaseTTL, s.OrderTTL
	times.PollTimeout = min(times.PollTimeout, s.PollInterval*7/10)
	times.StoreTimeout = min(times.StoreTimeout, s.PollInterval/2)
	times.CandidateDelay = min(times.CandidateDelay, s.LeaseTTL/3)
	return times
}

// rankedPlanners ranks the live entry hosts as planners of a domain. Hosts in the domain's data centre come
// first: an outage of that data centre then affects only a domain that is lost anyway.
func (a *App) rankedPlanners(domain string) []ruddermember.Member {
	near, far := []ruddermember.Member{}, []ruddermember.Member{}
	plan, known := a.fleet.Plan(domain)
	for _, m := range a.node.Live() {
		if known && m.DataCentre == plan.DataCentre {
			near = append(near, m)
		} else {
			far = append(far, m)
		}
	}
	return append(ruddermember.Rank(domain, near), ruddermember.Rank(domain, far)...)
}

// plannerRank returns the rank of this entry host among the candidates for planning a domain, or -1 if it is none.
func (a *App) plannerRank(domain string) int {
	for i, m := range a.rankedPlanners(domain) {
		if i < plannerCandidates && m.Name == a.self.Name {
			return i
		}
	}
	return -1
}

// plannerSuccessor returns the highest-ranked other entry host for planning a domain, or "".
func (a *App) plannerSuccessor(domain string) string {
	for _, m := range a.rankedPlanners(domain) {
		if m.Name != a.self.Name {
			return m.Name
		}
	}
	return ""
}

// stale reports whether the confirmations of a domain's members are about to expire at this entry host, because
// the planner no longer relays them. This entry host then polls the members itself.
func (a *App) stale(domain string) bool {
	return a.fleet.OldestReport(a.Clock.Now(), domain) > a.Settings.ConfirmTTL/2
}

// planners returns the domains whose plan is wanted, by the entry host that plans them.
func (a *App) planners(wanted func(ruddergroup.Plan) bool) map[string][]string {
	planners := make(map[string][]string)
	for _, plan := range a.fleet.Plans() {
		if wanted(plan) {
			planners[plan.Planner] = append(planners[plan.Planner], plan.Domain)
		}
	}
	return planners
}

// followed returns a filter for the plans whose confirmations this entry host needs: those with groups whose slots it
// grants or would grant next, and those of domains for whose planning it is a candidate.
func (a *App) followed() func(ruddergroup.Plan) bool {
	groups := a.owner.PrimaryAndStandbyGroups()
	return func(p ruddergroup.Plan) bool {
		return a.plannerRank(p.Domain) >= 0 ||
			slices.ContainsFunc(p.Groups, func(g ruddergroup.Group) bool { return groups[g.ID] })
	}
}

// confirmGroup queries the members of a group for their status, and reports whether they confirm that it serves.
func (a *App) confirmGroup(ctx context.Context, id string) bool {
	for _, plan := range a.fleet.Plans() {
		i := slices.IndexFunc(plan.Groups, func(g ruddergroup.Group) bool { return g.ID == id })
		if i < 0 {
			continue
		}
		ctx, cancel := context.WithTimeout(ctx, a.planner.Times.PollTimeout)
		defer cancel()
		var polls sync.WaitGroup
		for _, m := range plan.Groups[i].Members {
			polls.Go(func() {
				at := a.Clock.Now()
				if status, err := a.control.Status(ctx, m.Address); err == nil {
					a.fleet.ObserveStatus(rudderfleet.Confirmation{Domain: plan.Domain, Host: m.Host, Address: m.Address, Status: status, At: at})
				}
			})
		}
		polls.Wait()
		return slices.ContainsFunc(a.fleet.Serving(a.Clock.Now(), rudderfleet.Filter{Domain: plan.Domain}),
			func(g rudderfleet.Group) bool { return g.ID == id })
	}
	return false
}

// servable lists the groups that accept work or drain, for admission.
func (a *App) servable() []rudderrouter.Group {
	document := a.config.Current()
	if document == nil {
		return nil
	}
	selectors := make(map[string]rudderconfig.Selector, len(document.Selectors))
	for _, s := range document.Selectors {
		selectors[s.Name] = s
	}
	now := a.Clock.Now()
	confirmed := make(map[string]ruddertarget.Load)
	for _, g := range a.fleet.Serving(now, rudderfleet.Filter{}) {
		confirmed[g.ID] = g.Load
	}
	var groups []rudderrouter.Group
	for _, plan := range a.fleet.Plans() {
		for _, g := range plan.Groups {
			if g.State == ruddergroup.StateLoading {
				continue
			}
			load, serves := confirmed[g.ID]
			evacuated := document.Evacuated(plan.DataCentre)
			unconfirmed := !serves && !evacuated && g.State == ruddergroup.StateServing && a.fleet.Unconfirmed(now, plan.Domain, g)
			selector, exists := selectors[g.Selector]
			groups = append(groups, rudderrouter.Group{
				ID: g.ID, Selector: g.Selector, Firm: g.Firm, Model: g.Model, ModelVersion: g.ModelVersion, Service: g.Service,
				Workspaces: selector.Workspaces, Classes: selector.Classes, ShortShare: selector.ShortShare,
				DataCentre: plan.DataCentre, Region: plan.Region, Slots: g.Slots, Leader: g.Leader(),
				// A group whose members contradict the plan stays in its shard but gets no new work. If its
				// confirmations are not known here, the shard's owner may still grant it. A group that the
				// configuration drains gets no new work even while this entry host cannot read the plan that
				// drains it. A group in an evacuated data centre finishes what it runs, like a draining one.
				Draining:    !serves && !unconfirmed || evacuated || !exists || drainedByConfig(document, g),
				Unconfirmed: unconfirmed,
				Load:        load.Running + load.Waiting, LoadAtUnixMS: unixMS(load.At),
			})
		}
	}
	return groups
}

// drainedByConfig reports whether the configuration drains a member of the group.
func drainedByConfig(document *rudderconfig.Document, g ruddergroup.Group) bool {
	for _, h := range document.Hosts {
		if h.Drain && slices.ContainsFunc(g.Members, func(m ruddergroup.Member) bool { return m.Host == h.Name }) {
			return true
		}
	}
	return false
}

func unixMS(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixMilli()
}
