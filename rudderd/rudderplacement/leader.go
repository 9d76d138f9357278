package rudderplacement

import (
	"fmt"
	"slices"
	"time"

	"comfreyrudder.example/rudderd/rudderroster"
	"comfreyrudder.example/rudderd/rudderview"
)

// replaceLeaderAfter is how long a group waits for the record of a leader that still answers before another
// member takes its place. Most of its requests end in this time; the others are resumed elsewhere.
const replaceLeaderAfter = 500 * time.Millisecond

// replaceLeaders starts the next epoch of each group whose leader does not answer, or has no record and so gets
// no requests: the same group with another member as its leader. The members need not leave first. A leader
// that is only cut off stalls as soon as they join the new epoch, because it cannot start a request without
// them.
func (in *Input) replaceLeaders(d *domain) {
	for i, g := range d.groups {
		reason := in.needsLeader(g)
		if reason == "" {
			continue
		}
		members := in.nextMembers(d, g)
		if members == nil {
			continue
		}
		if r := in.State.retirements[groupKey(g)]; r != nil && r.silent == g.Members[0] && !in.leaveSent(g) {
			d.replaced = append(d.replaced, r.silent)
		}
		delete(in.State.leaderMissing, groupKey(g))
		next := rudderroster.Group{Name: g.Name, Epoch: in.nextEpoch(d), Model: g.Model}
		for _, t := range members {
			next.Members = append(next.Members, rudderroster.Member{Target: t.Name, Born: t.Born})
		}
		d.groups[i] = next
		d.exclude(members)
		d.note(fmt.Sprintf("group %s continues as %s with another leader: %s", groupKey(g), groupKey(next), reason))
	}
}

// needsLeader returns why a group needs another leader, or "".
func (in *Input) needsLeader(g rudderroster.Group) string {
	r := in.State.retirements[groupKey(g)]
	since, leaderMissing := in.State.leaderMissing[groupKey(g)]
	switch {
	case r != nil && !r.unconfirmed && r.graceful == 0 && in.leaderLost(g):
		return r.reason
	case r == nil && leaderMissing && in.Now-since >= replaceLeaderAfter && in.State.complete[groupKey(g)]:
		return "leader " + g.Members[0].Target + " has no record"
	}
	return ""
}

// nextMembers returns the members of a group's next epoch: the surviving members, then warm free targets, then
// members that answer but have no record. It returns nil if these are too few, or if no member with a record
// survives to lead.
func (in *Input) nextMembers(d *domain, g rudderroster.Group) []*rudderview.Target {
	var members, unregistered []*rudderview.Target
	for _, m := range g.Members {
		t := in.member(m)
		switch {
		case t == nil || in.Dead(t) || in.Silent(t) || t.Leaving() || !inGroup(t, g):
		case in.Targets[m.Target] != nil:
			members = append(members, t)
		default:
			unregistered = append(unregistered, t)
		}
	}
	if len(members) == 0 {
		return nil
	}
	spares := slices.DeleteFunc(slices.Clone(d.free), func(t *rudderview.Target) bool { return !warm(t, g.Model) })
	members = append(members, spares...)
	members = append(members, unregistered...)
	if len(members) < len(g.Members) {
		return nil
	}
	return members[:len(g.Members)]
}
