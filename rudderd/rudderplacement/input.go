// Package rudderplacement decides which groups form from which targets, for services whose targets form groups
// in two steps: every member joins, and the leader is opened when all members are ready. Step computes the next
// plans; Orders computes the orders that carry them out. The package does no I/O: package ruddercoordinator runs
// it. Package rudderallocator plans the groups of the other services, whose hosts it allocates by fabric domain.
//
// Each start of a target is an incarnation, identified by Born. Each list of members of a group is an epoch. A
// target's record in the key-value service can disappear while the target still runs.
package rudderplacement

import (
	"cmp"
	"slices"
	"time"

	"comfreyrudder.example/rudderd/rudderroster"
	"comfreyrudder.example/rudderd/rudderroute"
	"comfreyrudder.example/rudderd/rudderview"
	"comfreyrudder.example/shared/rudderhost"
	"comfreyrudder.example/shared/ruddertarget"
)

// StoredPlan is a plan with its revision in the key-value service; Revision is 0 for a plan that is not stored.
type StoredPlan struct {
	Plan     rudderroster.Plan
	Revision int64
	// RetiringFor is, by name and epoch, how long this entry host has known that a group retires. A planner
	// that takes over uses it.
	RetiringFor map[string]time.Duration
}

// Input is the state of one service.
type Input struct {
	// Now is the planner's uptime.
	Now     time.Duration
	Service *rudderroute.Service
	Targets map[string]*rudderview.Target
	// Removed holds targets whose record was removed recently.
	Removed map[string]*rudderview.Target
	// Plans by domain.
	Plans map[string]StoredPlan
	// EraStart is below all revisions since the last restore of the key-value service, and above all earlier ones.
	EraStart int64
	// Reports holds the last answers of planned members that have answered since their record was removed.
	Reports map[string]ruddertarget.GroupReport
	// Dead reports whether this incarnation of a target is dead. Silent reports whether it did not answer the last probe; it
	// may recover, but takes no part in new groups meanwhile.
	Dead, Silent func(t *rudderview.Target) bool
	// Lost reports whether another probe has confirmed that a target is dead, so that its group may end.
	Lost func(t *rudderview.Target) bool
	// Evacuated reports whether a data centre is evacuated; nil means that none is.
	Evacuated func(dataCentre string) bool
	// Demand is the measured part of the work by model, 0 to 1.
	Demand map[string]float64
	// Refused is the part of each model's recent work that was refused, 0 to 1. Demand includes that work.
	Refused map[string]float64
	// StallTimeout is the time after which a leader that lost a member reports a broken group.
	StallTimeout time.Duration
	// Traffic is set once requests have been seen. The rate of loads is not limited before.
	Traffic bool
	// Settled is set once the targets have had time to register. Before, weights are staged, but no group that
	// needs a load is formed.
	Settled bool
	// WithinStartupGrace is set while this planner's view of the fleet is new: a target without a record may have
	// lost it unobserved, and the record may come back.
	WithinStartupGrace bool
	State              *State
}

// Order is one order for a target.
type Order struct {
	Target  string
	Address string
	Order   ruddertarget.GroupOrder
	Reason  string
	// Silent is the member whose silence is the only reason for the order, if there is one. The order is not sent if it answers.
	Silent rudderroster.Member
}

// PlanChange is the next plan of a domain.
type PlanChange struct {
	StoredPlan          // the revision that the change is based on
	Notes      []string // what changed, for the log
	// Replaced holds the silent leaders that the plan replaces. It is not stored if one of them answers.
	Replaced []rudderroster.Member
	// Donated holds "reserve" or "move" for each group that the plan ends for another model.
	Donated []string
}

// domain is the state of one fabric domain during a step.
type domain struct {
	name             string
	stored           StoredPlan
	groups           []rudderroster.Group
	free             []*rudderview.Target
	unplannedLeaders []*rudderview.Target // leaders of groups that are in no plan
	orphans          []*rudderview.Target // members of unplanned groups whose leaders are unknown
	size             int                  // usable targets
	unregistered     int                  // targets without a record that are not known to be dead
	room             int                  // usable targets that neither a remaining nor a new group needs
	receiver         string               // model for which targets are needed before all others
	recentlyGrown    bool                 // a target has registered within arrivalTime
	notes            []string
	replaced         []rudderroster.Member // silent leaders
	donated          []string              // as in PlanChange
	changed          bool
	evacuated        bool // its targets get no requests
}

func (d *domain) note(text string) {
	d.changed = true
	d.notes = append(d.notes, text)
}

// usable reports whether a target may become a member of a group.
func (in *Input) usable(t *rudderview.Target) bool {
	return t.Service == in.Service.Name && t.State == rudderhost.StateLive && t.FabricDomain != "" && !in.Dead(t) && !in.Silent(t)
}

// domains groups the targets and plans by fabric domain, sorted by name.
func (in *Input) domains() []*domain {
	byName := map[string]*domain{}
	get := func(name string) *domain {
		if byName[name] == nil {
			byName[name] = &domain{name: name, stored: in.Plans[name]}
		}
		return byName[name]
	}
	for name, stored := range in.Plans {
		get(name).groups = slices.Clone(stored.Plan.Groups)
	}
	for _, t := range in.Targets {
		if in.usable(t) {
			d := get(t.FabricDomain)
			d.free = append(d.free, t)
			d.size++
			d.evacuated = d.evacuated || in.Evacuated != nil && in.Evacuated(t.DataCentre)
		}
	}
	for _, t := range in.Removed {
		if d := byName[t.FabricDomain]; d != nil && t.Service == in.Service.Name && !in.Dead(t) && !t.Leaving() {
			d.unregistered++
		}
	}
	list := make([]*domain, 0, len(byName))
	for _, d := range byName {
		list = append(list, d)
	}
	slices.SortFunc(list, func(a, b *domain) int { return cmp.Compare(a.name, b.name) })
	return list
}

// findFree removes targets from the domain's free list that are in a planned group or may still be in another
// one. It collects unplanned leaders and orphans.
func (in *Input) findFree(d *domain) {
	taken := map[string]bool{}
	for _, g := range d.groups {
		for _, m := range g.Members {
			taken[m.Target] = true
		}
	}
	d.free = slices.DeleteFunc(d.free, func(t *rudderview.Target) bool {
		if taken[t.Name] {
			return true
		}
		if leader := in.unplannedLeader(t); leader != nil {
			d.unplannedLeaders = append(d.unplannedLeaders, leader)
			return true
		}
		if in.orphaned(t) {
			d.orphans = append(d.orphans, t)
			return true
		}
		return false
	})
	slices.SortFunc(d.free, func(a, b *rudderview.Target) int { return cmp.Compare(a.Name, b.Name) })
}

// unplannedLeader returns the open leader of a target's group if that group is in no plan, or nil. Such a group
// is found when targets come back that no planner could reach. It must end before its members join another one.
func (in *Input) unplannedLeader(t *rudderview.Target) *rudderview.Target {
	own := t.Membership
	if own.Group == "" {
		return nil
	}
	for _, leader := range in.Targets {
		m := leader.Membership
		if m.Rank == 0 && m.Group == own.Group && m.Epoch == own.Epoch &&
			(m.Phase == ruddertarget.GroupOpen || m.Phase == ruddertarget.GroupClosing) &&
			!in.State.done(leader.Name, unplannedLeave(leader)) {
			return leader
		}
	}
	return nil
}

// unplannedLeave returns the order that ends a leader's reported group.
func unplannedLeave(leader *rudderview.Target) ruddertarget.GroupOrder {
	return ruddertarget.GroupOrder{Kind: ruddertarget.OrderLeave, Group: leader.Membership.Group, Epoch: leader.Membership.Epoch}
}

// member returns the target of a planned member, with or without a record, or nil if it is unknown or runs as
// another incarnation.
func (in *Input) member(m rudderroster.Member) *rudderview.Target {
	t := in.Targets[m.Target]
	if t == nil {
		t = in.Removed[m.Target]
	}
	if t == nil || t.Born != m.Born {
		return nil
	}
	return t
}

// departed reports whether a follower has left as planned: it answered after its record was removed, and has stopped
// listening since. It stays until its group's leader has finished its requests.
func (in *Input) departed(t *rudderview.Target) bool {
	_, answered := in.Reports[t.Name]
	return answered && in.Targets[t.Name] == nil && in.Dead(t) && t.Membership.Rank > 0
}

// inGroup reports whether a target reports this epoch of the group.
func inGroup(t *rudderview.Target, g rudderroster.Group) bool {
	return t != nil && t.Membership.Group == g.Name && t.Membership.Epoch == g.Epoch
}

// warm reports whether a target has the model's weights, so that it can join a group without a load.
func warm(t *rudderview.Target, model string) bool {
	return t.Model == model || slices.Contains(t.Staged, model)
}
