package rudderform

import (
	"fmt"
	"time"

	"comfreyrudder.example/rudderd/rudderroster"
	"comfreyrudder.example/shared/ruddertarget"
)

// gracefulLimit is how long a group with a leaving member may finish its requests; the leaving member
// stays for about this long.
const gracefulLimit = 8 * time.Second

// Step returns the plans that should be stored next. Orders follow from stored plans alone (see Orders).
func Step(in Input) []Change {
	in.Memory.forget(in.Now)
	domains := in.domains()
	for _, d := range domains {
		in.keep(d)
	}
	in.form(domains)
	var changes []Change
	for _, d := range domains {
		if d.changed {
			plan := rudderroster.Plan{Service: in.Service.Name, Domain: d.name, Groups: d.groups}
			changes = append(changes, Change{Stored: Stored{Plan: plan, Revision: d.stored.Revision}, Notes: d.notes})
		}
	}
	return changes
}

// keep moves the groups of a domain through their states and drops those that have let go.
func (in *Input) keep(d *domain) {
	kept := d.groups[:0:0]
	for _, g := range d.groups {
		switch {
		case g.Retiring && in.released(g):
			d.note(fmt.Sprintf("group %s released", groupKey(g)))
			continue
		case g.Retiring:
			if g.Graceful && (in.memberLost(g) != "" || in.Now-in.Memory.retiredSince(in.Now, g) > gracefulLimit) {
				g.Graceful = false
				d.note(fmt.Sprintf("group %s ends at once: %s", groupKey(g), in.memberLost(g)))
			}
		default:
			if reason := in.memberLost(g); reason != "" {
				g.Retiring, g.Reason = true, reason
				d.note(fmt.Sprintf("group %s retires: %s", groupKey(g), reason))
			} else if reason := in.memberLeaving(g); reason != "" {
				g.Retiring, g.Graceful, g.Reason = true, true, reason
				d.note(fmt.Sprintf("group %s retires: %s", groupKey(g), reason))
			}
		}
		kept = append(kept, g)
	}
	d.groups = kept
}

// memberLost says why a group cannot run, or "".
func (in *Input) memberLost(g rudderroster.Group) string {
	all := true
	leaderOpen := false
	for rank, m := range g.Members {
		t := in.Targets[m.Target]
		switch {
		case t == nil:
			return "member " + m.Target + " is gone"
		case t.Born != m.Born:
			return "member " + m.Target + " restarted"
		case in.Dead(t):
			return "member " + m.Target + " does not answer"
		}
		in := inGroup(t, g)
		all = all && in
		if rank == 0 && in {
			leaderOpen = t.Membership.Phase == ruddertarget.GroupOpen || t.Membership.Phase == ruddertarget.GroupClosing
			if t.Membership.Phase == ruddertarget.GroupBroken {
				return "leader reports a broken group"
			}
		}
	}
	if all {
		in.Memory.complete[groupKey(g)] = true
		return ""
	}
	if leaderOpen || in.Memory.complete[groupKey(g)] {
		return "a member is no longer in the group"
	}
	return ""
}

// memberLeaving says which member leaves, or "".
func (in *Input) memberLeaving(g rudderroster.Group) string {
	for _, m := range g.Members {
		if t := in.Targets[m.Target]; t != nil && t.Leaving() {
			return "member " + m.Target + " leaves"
		}
	}
	return ""
}

// released reports whether the leader of a retiring group has let go, so that its members may join other
// groups. A leader that takes no order holds its members until it must have noticed that they left.
func (in *Input) released(g rudderroster.Group) bool {
	leader := g.Members[0]
	since := in.Memory.retiredSince(in.Now, g)
	if t := in.Targets[leader.Target]; t != nil && (t.Born != leader.Born || in.Memory.complete[groupKey(g)] && !inGroup(t, g)) {
		return true
	}
	leave := leaveOrder(g)
	if in.Memory.done(leader.Target, leave) {
		return true
	}
	left := 0
	for _, m := range g.Members[1:] {
		if in.Memory.done(m.Target, leave) {
			left++
		}
	}
	if len(g.Members) > 1 && left == 0 {
		return in.Now-since > 2*(in.Stall+stallMargin)
	}
	return in.Now-since > in.Stall+stallMargin
}

func leaveOrder(g rudderroster.Group) ruddertarget.GroupOrder {
	return ruddertarget.GroupOrder{Kind: ruddertarget.OrderLeave, Group: g.Name, Epoch: g.Epoch}
}
