package rudderplacement

import (
	"time"

	"comfreyrudder.example/rudderd/rudderroster"
	"comfreyrudder.example/rudderd/rudderview"
	"comfreyrudder.example/shared/ruddertarget"
)

// orphan is one incarnation of a target that reported a group which is in no plan and whose leader has no
// record. The leader may still be open: it may have lost its record while no planner was watching.
type orphan struct {
	born  int64
	group string
	epoch int64
	// left is the uptime at which the target was first known to have left the group; 0 before. From then on the
	// leader is stalled, and it is broken after Input.StallTimeout.
	left time.Duration
}

// plannedLeader is the leader of a planned group, with the uptime at which it was last planned.
type plannedLeader struct {
	rudderroster.Member
	at time.Duration
}

// leave returns the order to leave the orphan's group.
func (o orphan) leave() ruddertarget.GroupOrder {
	return ruddertarget.GroupOrder{Kind: ruddertarget.OrderLeave, Group: o.group, Epoch: o.epoch}
}

// holds reports whether a target reports the orphan's group.
func (o orphan) holds(t *rudderview.Target) bool {
	return t.Membership.Group == o.group && t.Membership.Epoch == o.epoch
}

// noteLeaders records the leaders of the planned groups.
func (in *Input) noteLeaders(groups []rudderroster.Group) {
	for _, g := range groups {
		in.State.leaders[groupKey(g)] = plannedLeader{g.Members[0], in.Now}
	}
}

// orphaned reports whether a target must not join another group yet, because the leader of its last one may
// still be open.
func (in *Input) orphaned(t *rudderview.Target) bool {
	o, known := in.State.orphans[t.Name]
	own := t.Membership
	if known && (o.born != t.Born || own.Group != "" && !o.holds(t)) {
		delete(in.State.orphans, t.Name)
		known = false
	}
	if !known {
		o = orphan{born: t.Born, group: own.Group, epoch: own.Epoch}
		if own.Group == "" || own.Rank == 0 || in.leaderSeen(o) {
			return false
		}
	}
	if o.left == 0 && (own.Group == "" || in.State.done(t.Name, o.leave())) {
		o.left = in.Now
	}
	in.State.orphans[t.Name] = o
	over := o.left > 0 && in.Now-o.left > in.StallTimeout+stallMargin
	return !over && !in.leaderReleased(o)
}

// leaderSeen reports whether the leader of an orphan's group has a record or is known to be dead.
func (in *Input) leaderSeen(o orphan) bool {
	if leader, known := in.State.leaders[rudderview.GroupID(o.group, o.epoch)]; known {
		removed := in.Removed[leader.Target]
		return in.Targets[leader.Target] != nil || removed != nil && in.Lost(removed)
	}
	return in.leaderOf(o) != nil
}

// leaderOf returns the target that reports that it leads the orphan's group, or nil.
func (in *Input) leaderOf(o orphan) *rudderview.Target {
	for _, t := range in.Targets {
		if t.Membership.Rank == 0 && o.holds(t) {
			return t
		}
	}
	return nil
}

// leaderReleased reports whether the leader of an orphan's group is known to have left it.
func (in *Input) leaderReleased(o orphan) bool {
	if t := in.leaderOf(o); t != nil {
		return in.State.done(t.Name, o.leave())
	}
	return in.leaderSeen(o)
}
