package rudderplacement

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"comfreyrudder.example/rudderd/rudderroster"
	"comfreyrudder.example/rudderd/rudderroute"
	"comfreyrudder.example/rudderd/rudderview"
	"comfreyrudder.example/shared/ruddertarget"
)

// reservePrefix and movePrefix start the reasons of groups that end so that their targets can serve another model, as a reserve or
// because that model refuses work. A planner that takes over reads the model from the stored plan, and from the kind whether the
// group may finish its requests.
const (
	reservePrefix = "its targets complete a group of model "
	movePrefix    = "its targets go to model "
)

// receiver returns the model that gets the targets of a group that ends for the given reason.
func receiver(reason string) (model string, donated bool) {
	if model, donated = strings.CutPrefix(reason, reservePrefix); donated {
		return model, true
	}
	return strings.CutPrefix(reason, movePrefix)
}

// isDonated reports whether a group ends for another model.
func isDonated(r *retirement) bool {
	_, donated := receiver(r.reason)
	return donated && !r.unconfirmed
}

// finishTime returns how long a group that ends for the given reason may take to finish its requests.
func finishTime(reason string) time.Duration {
	if strings.HasPrefix(reason, movePrefix) {
		return leavingGrace
	}
	return 0
}

// donate begins the end of a group whose targets will serve another model. The stored plan shows it from the next write
// on, so that the group gets no new requests.
func (in *Input) donate(d *domain, g rudderroster.Group, reason string) {
	i := slices.IndexFunc(d.groups, func(other rudderroster.Group) bool { return groupKey(other) == groupKey(g) })
	d.groups[i].Retiring, d.groups[i].Reason = true, reason
	r := &retirement{since: in.Now, ending: in.Now, reason: reason}
	kind := "reserve"
	if finish := finishTime(reason); finish > 0 {
		kind, r.graceful = "move", in.Now+finish
	}
	d.donated = append(d.donated, kind)
	in.State.retirements[groupKey(g)] = r
	d.receiver, _ = receiver(reason)
	d.room = in.room(d)
	d.note(fmt.Sprintf("group %s retires: %s", groupKey(g), r.reason))
}

// findReceiver sets the model for which the targets of a domain are needed before all others: the one that gets the targets of a
// group which ends or has just ended, or else the largest one whose group ends because it lost a member.
func (in *Input) findReceiver(d *domain) {
	largest, model := in.smallest(), ""
	for _, g := range d.groups {
		r := in.State.retirements[groupKey(g)]
		if r == nil || r.unconfirmed {
			continue
		}
		if to, donated := receiver(r.reason); donated {
			d.receiver = to
			return
		}
		if r.graceful == 0 && len(g.Members) > largest {
			largest, model = len(g.Members), g.Model
		}
	}
	d.receiver = cmp.Or(d.receiver, model)
}

// smallest returns the size of the smallest model.
func (in *Input) smallest() int {
	return slices.MinFunc(in.Service.Engine.Models, func(a, b rudderroute.Model) int { return cmp.Compare(a.Size, b.Size) }).Size
}

// useReserves ends small groups whose targets complete a larger one. A large group that lost a member and finds no spare leaves
// more targets idle than a small group has. The small group ends at once, because the large one serves nobody meanwhile.
func (in *Input) useReserves(domains []*domain, counts map[string]int) {
	if !in.Traffic {
		return
	}
	for _, d := range domains {
		if d.evacuated {
			continue
		}
		for _, m := range in.bySize() {
			g := in.reserveGroup(d, m)
			if g == nil || d.room >= m.Size || d.room <= len(g.Members) || d.room+len(g.Members) < m.Size || in.warmRoom(d, m)+in.staged(*g, m) < m.Size {
				continue
			}
			if !in.worthReserve(m, g.Model, counts) {
				continue
			}
			counts[g.Model]--
			in.donate(d, *g, reservePrefix+m.Name)
			break
		}
	}
}

// worthReserve reports whether a group of a small model should give up its targets for one of a larger model: each group of that one
// has much more work, or it refuses more of it.
func (in *Input) worthReserve(m rudderroute.Model, small string, counts map[string]int) bool {
	own, _ := in.Service.Engine.Model(small)
	switch refused := in.Refused[m.Name]; {
	case in.Refused[small] > max(refusedLittle, refused):
		return false
	case refused > refusedMuch:
		return true
	}
	return in.deficit(m, counts[m.Name]) >= conversionFactor*in.deficit(own, counts[small]-1)
}

// bySize returns the models, the largest first.
func (in *Input) bySize() []rudderroute.Model {
	return slices.SortedStableFunc(slices.Values(in.Service.Engine.Models), func(a, b rudderroute.Model) int { return cmp.Compare(b.Size, a.Size) })
}

// reserveGroup returns the group of a smaller model that is the domain's reserve for a model, or nil: one of the smallest, and
// among those the one with the most members that have the model's weights or are loading them.
func (in *Input) reserveGroup(d *domain, m rudderroute.Model) *rudderroster.Group {
	var best *rudderroster.Group
	for _, g := range d.groups {
		if len(g.Members) >= m.Size || !in.steady(g) {
			continue
		}
		if best == nil || cmp.Or(cmp.Compare(len(best.Members), len(g.Members)), cmp.Compare(in.prepared(g, m), in.prepared(*best, m))) > 0 {
			best = &g
		}
	}
	return best
}

// awaitsReserve reports whether a group that lost its leader can go on with another one as soon as a small group has given up
// its targets. Its members must not leave before.
func (in *Input) awaitsReserve(d *domain, g rudderroster.Group, r *retirement) bool {
	if r.unconfirmed || r.graceful > 0 || !in.leaderLost(g) || in.leaveSent(g) || in.Now-r.since >= leaderTimeout {
		return false
	}
	return slices.ContainsFunc(d.groups, func(other rudderroster.Group) bool {
		if other := in.State.retirements[groupKey(other)]; other != nil {
			model, donated := receiver(other.reason)
			return donated && model == g.Model
		}
		return false
	})
}

// steady reports whether a group serves and is to go on.
func (in *Input) steady(g rudderroster.Group) bool {
	return !g.Retiring && in.State.retirements[groupKey(g)] == nil && in.State.complete[groupKey(g)] && in.leavingMembers(g) == 0
}

// staged counts the members of a group that have the weights of a model.
func (in *Input) staged(g rudderroster.Group, m rudderroute.Model) int {
	return in.countMembers(g, func(t *rudderview.Target) bool { return warm(t, m.Name) })
}

// prepared counts the members of a group that have the weights of a model or were ordered to load them.
func (in *Input) prepared(g rudderroster.Group, m rudderroute.Model) int {
	return in.countMembers(g, func(t *rudderview.Target) bool { return warm(t, m.Name) || in.stagingFor(t, m.Name) })
}

func (in *Input) countMembers(g rudderroster.Group, match func(t *rudderview.Target) bool) int {
	n := 0
	for _, m := range g.Members {
		if t := in.Targets[m.Target]; t != nil && t.Born == m.Born && match(t) {
			n++
		}
	}
	return n
}

// warmRoom counts the usable targets of a domain with the weights of a model that no remaining group needs.
func (in *Input) warmRoom(d *domain, m rudderroute.Model) int {
	needed := map[string]bool{}
	for _, g := range d.groups {
		if r := in.State.retirements[groupKey(g)]; r == nil || r.unconfirmed {
			for _, member := range g.Members {
				needed[member.Target] = true
			}
		}
	}
	n := 0
	for _, t := range in.Targets {
		if t.FabricDomain == d.name && !needed[t.Name] && in.usable(t) && warm(t, m.Name) {
			n++
		}
	}
	return n
}

// reserveStaging returns the loads of a domain's reserve: the members of one small group get the weights of the largest model
// of which the domain has, or just had, a group.
func (in *Input) reserveStaging(d *domain, counts map[string]int) []staging {
	for _, m := range in.bySize() {
		group := slices.ContainsFunc(d.groups, func(g rudderroster.Group) bool { return g.Model == m.Name })
		if !group && 2*in.warmRoom(d, m) < m.Size {
			continue
		}
		if g := in.reserveGroup(d, m); g != nil && in.worthReserve(m, g.Model, counts) {
			return in.memberStaging(*g, m)
		}
		return nil
	}
	return nil
}

// memberStaging returns the loads with which the members of a group that serves fetch the weights of another model.
func (in *Input) memberStaging(g rudderroster.Group, m rudderroute.Model) []staging {
	var list []staging
	for _, member := range g.Members {
		t := in.Targets[member.Target]
		if t == nil || t.Born != member.Born || warm(t, m.Name) {
			continue
		}
		sent := in.State.orders[orderKey(t.Name, ruddertarget.GroupOrder{Kind: ruddertarget.OrderStage, Model: m.Name})]
		if sent == nil || !sent.inapplicable { // a refused order is tried again after orderRetention
			list = append(list, staging{target: t, model: m.Name, begun: in.stagingFor(t, m.Name)})
		}
	}
	return list
}
