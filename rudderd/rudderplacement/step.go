package rudderplacement

import (
	"fmt"
	"slices"
	"time"

	"comfreyrudder.example/rudderd/rudderroster"
	"comfreyrudder.example/shared/ruddertarget"
)

const (
	// leavingGrace is how long a group with a leaving member may take to finish its requests, from when the member
	// began to leave. Until they end, the member stays for up to 10 s.
	leavingGrace = 9500 * time.Millisecond
	// leaderRecordTimeout is how long a group that no other member can lead waits for its leader's record.
	leaderRecordTimeout = 10 * time.Second
	// publishRetirementAfter is the time without a leader's answer after which the group is marked as retiring
	// in the stored plan, which all entry hosts read. A leader that answers ends its group at once, and then
	// the plan is written only once, without the group.
	publishRetirementAfter = 600 * time.Millisecond
)

// Step returns the plans to store next.
func Step(in Input) []PlanChange {
	in.State.prune(in.Now)
	in.State.forgetGroups(in.Plans)
	domains := in.domains()
	for _, d := range domains {
		in.noteLeaders(d.groups)
		in.updateRetirements(d)
		in.findFree(d)
		in.replaceLeaders(d)
	}
	in.form(domains)
	var changes []PlanChange
	for _, d := range domains {
		if d.changed {
			plan := rudderroster.Plan{Service: in.Service.Name, Domain: d.name, Groups: d.groups, Serial: d.stored.Plan.Serial + 1}
			changes = append(changes, PlanChange{StoredPlan: StoredPlan{Plan: plan, Revision: d.stored.Revision}, Notes: d.notes, Replaced: d.replaced, Donated: d.donated})
		}
	}
	return changes
}

// updateRetirements removes the groups of a domain that have ended, and marks those as retiring whose leader
// does not answer.
func (in *Input) updateRetirements(d *domain) {
	kept := d.groups[:0:0]
	for _, g := range d.groups {
		r := in.retirement(d, g)
		if r != nil && !r.unconfirmed && in.released(g, r) {
			if model, donated := receiver(r.reason); donated {
				d.receiver = model
			}
			d.note(fmt.Sprintf("group %s released after %s: %s", groupKey(g), (in.Now - r.since).Round(time.Millisecond), r.reason))
			continue
		}
		in.publish(d, &g, r)
		kept = append(kept, g)
	}
	d.groups = kept
}

// publish updates what the stored plan says about the end of a group; r is nil for a group that continues.
func (in *Input) publish(d *domain, g *rudderroster.Group, r *retirement) {
	switch {
	case g.Unconfirmed && (r == nil || r.graceful > 0):
		g.Retiring, g.Unconfirmed, g.Reason = false, false, ""
		d.note(fmt.Sprintf("group %s continues: its members answer", groupKey(*g)))
	case r == nil:
	case !g.Retiring && isDonated(r):
		g.Retiring, g.Reason = true, r.reason // the plan that first said so was not stored
		d.note(fmt.Sprintf("group %s retires: %s", groupKey(*g), r.reason))
	case !g.Retiring && r.graceful == 0 && (!r.unconfirmed && in.Now-r.since > publishRetirementAfter || in.leaderDead(*g)):
		g.Retiring, g.Reason, g.Unconfirmed = true, r.reason, r.unconfirmed
		ends := "retires"
		if r.unconfirmed {
			ends = "gets no new requests"
		}
		d.note(fmt.Sprintf("group %s %s: %s", groupKey(*g), ends, r.reason))
	case g.Unconfirmed && !r.unconfirmed:
		g.Unconfirmed, g.Reason = false, r.reason
		d.note(fmt.Sprintf("group %s retires: %s", groupKey(*g), r.reason))
	}
}

// retirement returns how a group ends, or nil for a group that continues.
func (in *Input) retirement(d *domain, g rudderroster.Group) *retirement {
	key := groupKey(g)
	r := in.State.retirements[key]
	lost := in.memberLost(g)
	if r != nil && r.silent.Target != "" && (lost.reason == "" || in.answers(r.silent)) && !in.leaveSent(g) {
		r = nil
	}
	if r == nil {
		if r = in.begin(d, g, lost); r == nil {
			delete(in.State.retirements, key)
			return nil
		}
		in.State.retirements[key] = r
	}
	certain := lost.reason != "" && !lost.unconfirmed
	if r.unconfirmed && certain {
		r.since, r.ending, r.reason, r.silent, r.unconfirmed = in.Now, in.Now, lost.reason, lost.silent, false
	}
	if r.graceful > 0 && (certain || in.Now >= r.graceful) {
		r.graceful, r.ending = 0, in.Now
	}
	return r
}

// begin returns how a group ends from now on, or nil if it continues.
func (in *Input) begin(d *domain, g rudderroster.Group, lost loss) *retirement {
	r := &retirement{since: in.Now, reason: lost.reason, silent: lost.silent, unconfirmed: lost.unconfirmed}
	gone, leaving := in.leaderGone(g), in.memberLeaving(g)
	switch {
	case lost.reason != "":
	case gone != "":
		r.reason, r.graceful = gone, in.Now+leavingGrace
	case leaving != "" && (!g.Retiring || g.Unconfirmed) && in.keepsServing(d, g):
		return nil
	case leaving != "":
		r.reason, r.graceful = leaving, in.leavingSince(g)+leavingGrace
	case g.Retiring && !g.Unconfirmed:
		r.reason = g.Reason
		if left := finishTime(g.Reason) - in.retiringFor(g); left > 0 {
			r.graceful = in.Now + left
		}
	case g.Unconfirmed && in.silentMember(g).Target != "":
		r.reason, r.silent, r.unconfirmed = g.Reason, in.silentMember(g), true
	default:
		return nil
	}
	if g.Retiring && in.anyFollowerLeft(g) {
		// The previous planner ordered the members to leave right after it had written the plan.
		r.since = min(r.since, in.Now-in.retiringFor(g)+takeOverMargin)
		r.left = r.since
	}
	r.ending = r.since
	return r
}

// takeOverMargin is how long after writing a plan the previous planner may have ordered the members to leave.
const takeOverMargin = time.Second

// anyFollowerLeft reports whether a member other than the leader reports that it is not in the group.
func (in *Input) anyFollowerLeft(g rudderroster.Group) bool {
	for _, m := range g.Members[1:] {
		if t := in.Targets[m.Target]; t != nil && t.Born == m.Born && !inGroup(t, g) {
			return true
		}
	}
	return false
}

func (in *Input) retiringFor(g rudderroster.Group) time.Duration {
	return in.Plans[in.domainOf(g)].RetiringFor[groupKey(g)]
}

// memberLost returns why a group cannot run. A member without a record is not lost while it answers.
func (in *Input) memberLost(g rudderroster.Group) loss {
	all, leaderOpen := true, false
	var dead loss
	for rank, m := range g.Members {
		t := in.member(m)
		switch {
		case t == nil && in.Targets[m.Target] != nil:
			return loss{reason: "member " + m.Target + " restarted"}
		case t == nil && in.WithinStartupGrace:
			all = false
			continue
		case t == nil:
			return loss{reason: "member " + m.Target + " is gone"}
		case in.Dead(t) && !in.departed(t):
			dead.add(m, !in.Lost(t))
		}
		member := inGroup(t, g)
		all = all && member
		if rank == 0 && member {
			leaderOpen = t.Membership.Phase == ruddertarget.GroupOpen || t.Membership.Phase == ruddertarget.GroupClosing
			if t.Membership.Phase == ruddertarget.GroupBroken {
				return loss{reason: "leader reports a broken group"}
			}
		}
	}
	if all {
		in.State.complete[groupKey(g)] = true
	} else if leaderOpen || in.State.complete[groupKey(g)] {
		return loss{reason: "a member is no longer in the group"}
	}
	return dead
}

// leaderGone returns a reason if the leader's record has been missing for leaderRecordTimeout, or "". Entry
// hosts send no requests to such a leader in the meantime.
func (in *Input) leaderGone(g rudderroster.Group) string {
	name, key := g.Members[0].Target, groupKey(g)
	if in.Targets[name] != nil {
		delete(in.State.leaderMissing, key)
		return ""
	}
	since, known := in.State.leaderMissing[key]
	if !known {
		since = in.Now
		in.State.leaderMissing[key] = since
	}
	if in.Now-since < leaderRecordTimeout {
		return ""
	}
	return "leader " + name + " has no record"
}

// domainOf returns the fabric domain of a planned group.
func (in *Input) domainOf(g rudderroster.Group) string {
	for name, stored := range in.Plans {
		for _, other := range stored.Plan.Groups {
			if other.Name == g.Name && other.Epoch == g.Epoch {
				return name
			}
		}
	}
	return ""
}

// memberLeaving returns a reason that names the first leaving member, or "".
func (in *Input) memberLeaving(g rudderroster.Group) string {
	for _, m := range g.Members {
		if t := in.member(m); t != nil && (t.Leaving() || in.departed(t)) {
			return "member " + m.Target + " leaves"
		}
	}
	return ""
}

// followerDeparted reports whether a follower has left, so that the leader accepts no new requests.
func (in *Input) followerDeparted(g rudderroster.Group) bool {
	return slices.ContainsFunc(g.Members, func(m rudderroster.Member) bool {
		t := in.member(m)
		return t != nil && in.departed(t)
	})
}

func (in *Input) leaderDead(g rudderroster.Group) bool {
	t := in.member(g.Members[0])
	return t == nil || in.Dead(t)
}

// released reports whether a group has ended at its leader, so that the members may join other groups. If the
// leader accepts no order, the members wait until it must have noticed that they left and broken the group.
func (in *Input) released(g rudderroster.Group, r *retirement) bool {
	leader := g.Members[0]
	if current := in.Targets[leader.Target]; current != nil &&
		(current.Born != leader.Born || in.State.complete[groupKey(g)] && !inGroup(current, g)) {
		return true
	}
	leave := leaveOrder(g)
	if in.State.done(leader.Target, leave) {
		return true
	}
	if r.graceful > 0 {
		return false
	}
	left, others := 0, 0
	for _, m := range g.Members[1:] {
		if t := in.Targets[m.Target]; t == nil || t.Born != m.Born {
			continue
		}
		others++
		if in.State.done(m.Target, leave) {
			left++
		}
	}
	if others == 0 && in.Targets[leader.Target] == nil {
		return true // no member of the group exists any more
	}
	if r.left == 0 && (left > 0 || in.anyFollowerLeft(g)) {
		r.left = in.Now
	}
	stalled := r.left
	switch {
	case stalled > 0:
	case others > 0:
		stalled = r.ending + in.StallTimeout + stallMargin
	default:
		stalled = r.ending
	}
	return in.Now-stalled > in.StallTimeout+stallMargin
}

func leaveOrder(g rudderroster.Group) ruddertarget.GroupOrder {
	return ruddertarget.GroupOrder{Kind: ruddertarget.OrderLeave, Group: g.Name, Epoch: g.Epoch}
}
