// Package rudderform decides which groups the targets of a service form and which orders lead there, for
// targets that form groups in two steps: every member joins, and the leader is opened when all are ready.
// It does no I/O.
package rudderform

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

// StoredPlan is a plan as it stands in the key-value service; Revision is 0 for a plan that is not stored.
type StoredPlan struct {
	Plan     rudderroster.Plan
	Revision int64
	// RetiringFor is how long groups have been known to retire, by name and epoch, for a planner that
	// takes over.
	RetiringFor map[string]time.Duration
}

// Input is the state of one service.
type Input struct {
	// Now is the planner's uptime.
	Now     time.Duration
	Service *rudderroute.Service
	Targets map[string]*rudderview.Target
	// Gone holds targets whose record was removed lately.
	Gone map[string]*rudderview.Target
	// Plans by domain.
	Plans map[string]StoredPlan
	// Dead reports a life of a target that does not answer.
	Dead func(t *rudderview.Target) bool
	// Resumable says that all streams of the service can go on at another group, so that a group need not
	// wait long for its requests to end.
	Resumable bool
	// Demand is the part of the work of each model, 0 to 1.
	Demand map[string]float64
	// Stall is the time after which a leader without one of its members is broken.
	Stall time.Duration
	// Traffic tells whether requests have been seen. Loads before the first one are not limited.
	Traffic bool
	// Settled tells whether the targets have had time to register. Before, weights are staged, but no
	// group is formed that needs a load.
	Settled bool
	// Young tells that this planner has known the fleet for a moment only: a target without a record may have lost it while
	// nobody looked, and it may come back.
	Young bool
	State *State
}

// Order is one order for a target with its reason.
type Order struct {
	Target  string
	Address string
	Order   ruddertarget.GroupOrder
	Reason  string
}

// PlanChange is the next plan of a domain.
type PlanChange struct {
	StoredPlan // the revision that the change is based on
	Notes      []string
}

// domain is the working state of one fabric domain.
type domain struct {
	name    string
	stored  StoredPlan
	groups  []rudderroster.Group
	free    []*rudderview.Target
	stray   []*rudderview.Target // leaders of groups that are not planned
	orphans []*rudderview.Target // former members of groups whose leaders are not known
	size    int                  // usable targets
	away    int                  // targets whose record is gone and that are not known to be dead
	room    int                  // usable targets that no group keeps and no new group has been placed on
	young   bool                 // a target has come lately
	notes   []string
	changed bool
}

func (d *domain) note(text string) {
	d.changed = true
	d.notes = append(d.notes, text)
}

// usable reports whether a target may become a member.
func (in *Input) usable(t *rudderview.Target) bool {
	return t.Service == in.Service.Name && t.State == rudderhost.StateLive && t.FabricDomain != "" && !in.Dead(t)
}

// domains splits the targets and plans by fabric domain, in name order.
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
		}
	}
	for _, t := range in.Gone {
		if d := byName[t.FabricDomain]; d != nil && t.Service == in.Service.Name && !in.Dead(t) && !t.Leaving() {
			d.away++
		}
	}
	list := make([]*domain, 0, len(byName))
	for _, d := range byName {
		list = append(list, d)
	}
	slices.SortFunc(list, func(a, b *domain) int { return cmp.Compare(a.name, b.name) })
	return list
}

// findFree leaves those targets of the domain free that are in no planned group and not held by another one.
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
		if leader := in.strayLeader(t); leader != nil {
			d.stray = append(d.stray, leader)
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

// strayLeader returns the leader that holds a target in a group that is not planned, or nil. Such a group
// comes to light when targets return that no planner could reach; it must be closed before its members join
// another one.
func (in *Input) strayLeader(t *rudderview.Target) *rudderview.Target {
	own := t.Membership
	if own.Group == "" {
		return nil
	}
	for _, leader := range in.Targets {
		m := leader.Membership
		if m.Rank == 0 && m.Group == own.Group && m.Epoch == own.Epoch &&
			(m.Phase == ruddertarget.GroupOpen || m.Phase == ruddertarget.GroupClosing) &&
			!in.State.done(leader.Name, strayLeave(leader)) {
			return leader
		}
	}
	return nil
}

func strayLeave(leader *rudderview.Target) ruddertarget.GroupOrder {
	return ruddertarget.GroupOrder{Kind: ruddertarget.OrderLeave, Group: leader.Membership.Group, Epoch: leader.Membership.Epoch}
}

// member returns a planned member in the life that was planned, whether or not its record is still there, or
// nil.
func (in *Input) member(m rudderroster.Member) *rudderview.Target {
	t := in.Targets[m.Target]
	if t == nil {
		t = in.Gone[m.Target]
	}
	if t == nil || t.Born != m.Born {
		return nil
	}
	return t
}

// inGroup reports whether a target says that it is in the group, in this life.
func inGroup(t *rudderview.Target, g rudderroster.Group) bool {
	return t != nil && t.Membership.Group == g.Name && t.Membership.Epoch == g.Epoch
}

// warm reports whether a target can join a group of the model without a load from the weight store.
func warm(t *rudderview.Target, model string) bool {
	return t.Model == model || slices.Contains(t.Staged, model)
}
