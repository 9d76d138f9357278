package rudderform

import (
	"fmt"
	"slices"
	"time"

	"comfreyrudder.example/rudderd/rudderroster"
	"comfreyrudder.example/rudderd/rudderview"
)

// releadAfter is how long a group waits for the record of a leader that still answers before another member
// leads it. Most requests that run there end in this time; the others are resumed elsewhere.
const releadAfter = 500 * time.Millisecond

// succeed gives a group its next epoch whose leader does not answer, or has no record and so may take no
// requests: the same group, with another member as its leader. The members need not be released for that,
// since they stay in their group: a leader that is only cut off stands still from the moment at which they
// take the new epoch, and cannot start a request without them.
func (in *Input) succeed(d *domain) {
	for i, g := range d.groups {
		reason := in.needsLeader(g)
		if reason == "" {
			continue
		}
		members := in.successors(d, g)
		if members == nil {
			continue
		}
		delete(in.State.retirements, groupKey(g))
		delete(in.State.headless, groupKey(g))
		next := rudderroster.Group{Name: g.Name, Epoch: d.stored.Revision + 1, Model: g.Model}
		for _, t := range members {
			next.Members = append(next.Members, rudderroster.Member{Target: t.Name, Born: t.Born})
		}
		d.groups[i] = next
		d.hold(members)
		d.note(fmt.Sprintf("group %s goes on as %s: %s", groupKey(g), groupKey(next), reason))
	}
}

// needsLeader says why a group needs another leader, or "".
func (in *Input) needsLeader(g rudderroster.Group) string {
	r := in.State.retirements[groupKey(g)]
	since, headless := in.State.headless[groupKey(g)]
	switch {
	case r != nil && r.graceful == 0 && in.leaderDead(g):
		return r.reason
	case r == nil && headless && in.Now-since >= releadAfter && in.State.complete[groupKey(g)]:
		return "leader " + g.Members[0].Target + " has no record"
	}
	return ""
}

// successors returns the members of a group's next epoch: the survivors, free targets with the weights, and
// if these are too few, members that answer without having a record. It returns nil when the group cannot go
// on at once.
func (in *Input) successors(d *domain, g rudderroster.Group) []*rudderview.Target {
	var members, away []*rudderview.Target
	for _, m := range g.Members {
		t := in.member(m)
		switch {
		case t == nil || in.Dead(t) || t.Leaving() || !inGroup(t, g):
		case in.Targets[m.Target] != nil:
			members = append(members, t)
		default:
			away = append(away, t)
		}
	}
	if len(members) == 0 {
		return nil
	}
	spares := slices.DeleteFunc(slices.Clone(d.free), func(t *rudderview.Target) bool { return !warm(t, g.Model) })
	members = append(members, spares...)
	members = append(members, away...)
	if len(members) < len(g.Members) {
		return nil
	}
	return members[:len(g.Members)]
}
