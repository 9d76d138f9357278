package rudderform

import (
	"cmp"
	"fmt"
	"slices"

	"comfreyrudder.example/rudderd/rudderroster"
	"comfreyrudder.example/rudderd/rudderview"
)

// succeed gives a group whose leader does not answer its next epoch: the same group, with another member as
// its leader and spares in place of the lost ones. The members need not be released for that, since they
// stay in their group: a leader that is only cut off stands still from the moment at which they take the
// new epoch, and cannot start a request without them.
func (in *Input) succeed(d *domain) {
	for i, g := range d.groups {
		r := in.Memory.retirements[groupKey(g)]
		if r == nil || r.graceful > 0 || !in.leaderDead(g) {
			continue
		}
		members := in.successors(d, g)
		if members == nil {
			continue
		}
		delete(in.Memory.retirements, groupKey(g))
		next := rudderroster.Group{Name: g.Name, Epoch: d.stored.Revision + 1, Model: g.Model}
		for _, t := range members {
			next.Members = append(next.Members, rudderroster.Member{Target: t.Name, Born: t.Born})
		}
		d.groups[i] = next
		d.hold(members)
		d.note(fmt.Sprintf("group %s goes on as %s: %s", groupKey(g), groupKey(next), r.reason))
	}
}

// successors returns the members of a group's next epoch: the survivors and free targets with the weights,
// or nil when these are too few.
func (in *Input) successors(d *domain, g rudderroster.Group) []*rudderview.Target {
	var members []*rudderview.Target
	for _, m := range g.Members {
		if t := in.Targets[m.Target]; t != nil && t.Born == m.Born && in.usable(t) && inGroup(t, g) {
			members = append(members, t)
		}
	}
	if len(members) == 0 || len(members) == len(g.Members) {
		return nil
	}
	spares := slices.DeleteFunc(slices.Clone(d.free), func(t *rudderview.Target) bool { return !warm(t, g.Model) })
	slices.SortStableFunc(spares, func(a, b *rudderview.Target) int { return cmp.Compare(a.Name, b.Name) })
	missing := len(g.Members) - len(members)
	if len(spares) < missing {
		return nil
	}
	return append(members, spares[:missing]...)
}
