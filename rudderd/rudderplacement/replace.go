package rudderplacement

import (
	"time"

	"comfreyrudder.example/rudderd/rudderroster"
	"comfreyrudder.example/rudderd/rudderview"
)

// leavingServeLimit is how long a group goes on serving with a leaving follower. Targets of groups with
// requests stay for at most 10 s; the limit leaves the group time to finish its requests.
const leavingServeLimit = 8500 * time.Millisecond

// keepsServing reports whether a group with leaving members goes on serving, because its domain lacks warm
// spares to replace them. A load takes longer than the group needs to finish its requests, and a leaving
// follower still works. A leaving leader takes no requests.
func (in *Input) keepsServing(d *domain, g rudderroster.Group) bool {
	leader := in.Targets[g.Members[0].Target]
	if leader == nil || leader.Leaving() || !in.State.complete[groupKey(g)] || in.followerDeparted(g) {
		return false
	}
	return in.Now-in.leavingSince(g) < leavingServeLimit && in.leavingMembers(g) > in.warmSpares(d, g.Model)
}

// leavingSince returns the uptime at which a group was first known to have a leaving member.
func (in *Input) leavingSince(g rudderroster.Group) time.Duration {
	since, known := in.State.leaving[groupKey(g)]
	if !known {
		since = in.Now
		in.State.leaving[groupKey(g)] = since
	}
	return since
}

// leavingMembers counts the leaving members of a group.
func (in *Input) leavingMembers(g rudderroster.Group) int {
	n := 0
	for _, m := range g.Members {
		if t := in.member(m); t != nil && t.Leaving() {
			n++
		}
	}
	return n
}

// warmSpares counts the usable targets of a domain that are in no planned group and have the model's weights.
func (in *Input) warmSpares(d *domain, model string) int {
	planned := map[string]bool{}
	for _, g := range d.groups {
		for _, m := range g.Members {
			planned[m.Target] = true
		}
	}
	n := 0
	for _, t := range in.Targets {
		if t.FabricDomain == d.name && !planned[t.Name] && in.usable(t) && warm(t, model) {
			n++
		}
	}
	return n
}

// replacements returns the loads for free targets that will replace leaving members: targets without weights
// first, then spares of models with a smaller deficit. rest holds the targets without weights that remain.
func (in *Input) replacements(d *domain, counts, spares map[string]int, empty []*rudderview.Target, holders map[string]*rudderview.Target) (list []staging, rest []*rudderview.Target) {
	for _, g := range d.groups {
		missing := in.leavingMembers(g) - spares[g.Model]
		if missing <= 0 || in.State.retirements[groupKey(g)] != nil {
			continue
		}
		for ; missing > 0 && len(empty) > 0; missing-- {
			list = append(list, staging{target: empty[0], model: g.Model})
			empty = empty[1:]
			spares[g.Model]++
		}
		own, _ := in.Service.Engine.Model(g.Model)
		for _, other := range in.Service.Engine.Models {
			t := holders[other.Name]
			if missing == 0 || t == nil || other.Name == g.Model || in.deficit(other, counts[other.Name])*conversionFactor > in.deficit(own, counts[g.Model]-1) {
				continue
			}
			list = append(list, staging{target: t, model: g.Model})
			delete(holders, other.Name)
			spares[other.Name]--
			spares[g.Model]++
			missing--
		}
	}
	return list, empty
}
