package rudderform

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"comfreyrudder.example/rudderd/rudderroster"
	"comfreyrudder.example/rudderd/rudderroute"
	"comfreyrudder.example/rudderd/rudderview"
)

// candidate is a group that could be formed in a domain.
type candidate struct {
	domain  *domain
	model   rudderroute.Model
	members []*rudderview.Target
	loads   int // members that must fetch weights from the weight store
}

const (
	// arrivalTime is how long a domain waits after a target has come before groups of models are formed
	// that lack less: a whole domain comes back one target after the other, and small groups would leave
	// no room for a large one.
	arrivalTime = 700 * time.Millisecond
	// reserve is the number of targets of a domain that stay free to replace lost members.
	reserve = 1
	// reserveWaiver is how many times more than every other model a model must lack to use the reserve.
	reserveWaiver = 1.5
)

// form places groups on the targets of all domains, those of the model with the greatest lack first, and
// forms those whose members are free. A place whose members are not free yet is kept for its model.
func (in *Input) form(domains []*domain) {
	counts := in.counts(domains)
	loading := in.loading(domains)
	for _, d := range domains {
		d.room = in.room(d)
		d.young = in.State.grew(in.Now, d.name, d.size)
	}
	for {
		best := in.best(domains, counts)
		if best == nil {
			return
		}
		best.domain.room -= best.model.Size
		counts[best.model.Name]++
		switch {
		case len(best.members) < best.model.Size, best.loads > 0 && (!in.Settled || !in.mayLoad(best, loading)):
			best.domain.hold(best.members)
		default:
			loading += best.loads
			in.add(best)
		}
	}
}

// room is the number of usable targets of a domain that no group keeps; those of groups that end count.
func (in *Input) room(d *domain) int {
	room := d.size
	for _, g := range d.groups {
		if in.State.retirements[groupKey(g)] == nil {
			room -= len(g.Members) - in.leavingMembers(g)
		}
	}
	return room
}

// hold takes targets out of the free ones for the rest of the step.
func (d *domain) hold(members []*rudderview.Target) {
	d.free = slices.DeleteFunc(d.free, func(t *rudderview.Target) bool { return slices.Contains(members, t) })
}

// counts returns the number of groups by model, without retiring ones.
func (in *Input) counts(domains []*domain) map[string]int {
	counts := map[string]int{}
	for _, d := range domains {
		for _, g := range d.groups {
			if !g.Retiring {
				counts[g.Model]++
			}
		}
	}
	return counts
}

// loading counts the members that join without having the weights.
func (in *Input) loading(domains []*domain) int {
	n := 0
	for _, d := range domains {
		for _, g := range d.groups {
			for _, m := range g.Members {
				if t := in.Targets[m.Target]; t != nil && !warm(t, g.Model) {
					n++
				}
			}
		}
	}
	return n
}

// mayLoad limits the loads that begin now and that run at once. Above the number that run at full speed,
// further loads only delay those that have begun.
func (in *Input) mayLoad(c *candidate, loading int) bool {
	if c.loads == 0 {
		return true
	}
	if loading > 0 && loading >= in.Service.Engine.LoadsAtOnce {
		return false
	}
	return !in.Traffic || in.State.loads.take(in.Now, in.Service.Engine.LoadsPerSecond, c.loads)
}

// lack is how much a model needs another group: its part of the work for each group that it would have.
func (in *Input) lack(model rudderroute.Model, groups int) float64 {
	return in.share(model) / float64(groups+1)
}

// share is a model's part of the work in the time of groups; the configuration gives it in the time of single
// targets. It is the mean of the configured and the measured one, because
// the measured one follows a few seconds only.
func (in *Input) share(model rudderroute.Model) float64 {
	total := 0.0
	for _, m := range in.Service.Engine.Models {
		total += m.Share / float64(max(m.Size, 1))
	}
	configured := model.Share / float64(max(model.Size, 1))
	if total > 0 {
		configured /= total
	}
	if measured, known := in.Demand[model.Name]; known {
		return (configured + measured) / 2
	}
	return configured
}

// best returns the group to place next, or nil.
func (in *Input) best(domains []*domain, counts map[string]int) *candidate {
	var best *candidate
	better := func(c *candidate) bool {
		if best == nil {
			return true
		}
		return cmp.Or(
			cmp.Compare(in.value(c, counts), in.value(best, counts)),
			compareBool(len(c.members) == c.model.Size, len(best.members) == best.model.Size),
			cmp.Compare(best.loads, c.loads),
			// The tightest domain first: others keep room for larger groups.
			cmp.Compare(best.domain.room, c.domain.room),
		) > 0
	}
	for _, m := range in.Service.Engine.Models {
		kept, top := in.kept(m, counts)
		for _, d := range domains {
			if m.Size < 1 || d.room < m.Size+kept || d.young && !top {
				continue
			}
			c := in.candidate(d, m, counts)
			if c == nil || c.loads > 0 && in.Traffic && counts[m.Name] > 0 && d.room < m.Size+reserve {
				continue // a group that serves late is not worth the last spares
			}
			if better(c) {
				best = c
			}
		}
	}
	return best
}

// loadWorth is the worth of a group that needs loads from the weight store against one that serves within
// seconds.
const loadWorth = 0.5

// value compares candidates: what their model lacks, less for those that serve late. Before the first
// request there is time for loads, and the division between the models counts alone.
func (in *Input) value(c *candidate, counts map[string]int) float64 {
	value := in.lack(c.model, counts[c.model.Name])
	if c.loads > 0 && in.Traffic {
		value *= loadWorth
	}
	return value
}

// kept is the number of targets that a new group of a model must leave in its domain. top reports that no
// other model lacks more.
func (in *Input) kept(m rudderroute.Model, counts map[string]int) (kept int, top bool) {
	own, most := in.lack(m, counts[m.Name]), 0.0
	for _, other := range in.Service.Engine.Models {
		if other.Name != m.Name {
			most = max(most, in.lack(other, counts[other.Name]))
		}
	}
	if counts[m.Name] == 0 || own >= reserveWaiver*most {
		return 0, own >= most
	}
	return reserve, own >= most
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}

// candidate chooses members for a group of the model in a domain, those with its weights first. Targets with
// the weights of a model that lacks more are left alone: they form its next group when one more target
// comes. The candidate has fewer members than the model's size while targets of groups that end are not free.
func (in *Input) candidate(d *domain, m rudderroute.Model, counts map[string]int) *candidate {
	own := in.lack(m, counts[m.Name])
	var free []*rudderview.Target
	kept := 0
	for _, t := range d.free {
		if in.wantedMore(d, t, m, own, counts) {
			kept++
		} else {
			free = append(free, t)
		}
	}
	if d.room-kept < m.Size {
		return nil
	}
	slices.SortStableFunc(free, func(a, b *rudderview.Target) int {
		return cmp.Or(
			-compareBool(a.Model == m.Name, b.Model == m.Name),
			-compareBool(warm(a, m.Name), warm(b, m.Name)),
			-compareBool(in.stagingFor(a, m.Name), in.stagingFor(b, m.Name)),
			compareBool(len(a.Staged) > 0, len(b.Staged) > 0),
		)
	})
	c := &candidate{domain: d, model: m, members: free[:min(m.Size, len(free))]}
	for _, t := range c.members {
		if !warm(t, m.Name) {
			c.loads++
		}
	}
	return c
}

// conversion is how many times more a model must lack than another one before targets with the weights of the
// other one load its own. A large group that is taken apart seldom finds room again.
const conversion = 1.6

// wantedMore reports whether a target has only the weights of a model that lacks about as much as m, and whose
// groups fit the domain. Before the first request loads cost little.
func (in *Input) wantedMore(d *domain, t *rudderview.Target, m rudderroute.Model, own float64, counts map[string]int) bool {
	if warm(t, m.Name) {
		return false
	}
	other, known := in.Service.Engine.Model(in.weights(t))
	return in.Traffic && known && d.size+d.away >= other.Size && in.lack(other, counts[other.Name])*conversion > own
}

// stagingFor reports whether a target has been told to stage the weights of a model.
func (in *Input) stagingFor(t *rudderview.Target, model string) bool {
	staging := in.State.staging[t.Name]
	return staging.born == t.Born && staging.model == model
}

// add puts a candidate into its domain's plan. The epoch comes from the revision that the plan's write
// is conditional on, so that it rises with each write of the domain's plan.
func (in *Input) add(c *candidate) {
	d := c.domain
	epoch := d.stored.Revision + 1
	g := rudderroster.Group{Name: fmt.Sprintf("%s-%s-%d", in.Service.Name, d.name, len(d.groups)), Epoch: epoch, Model: c.model.Name}
	for i := len(d.groups); slices.ContainsFunc(d.groups, func(other rudderroster.Group) bool { return other.Name == g.Name }); i++ {
		g.Name = fmt.Sprintf("%s-%s-%d", in.Service.Name, d.name, i)
	}
	for _, t := range c.members {
		g.Members = append(g.Members, rudderroster.Member{Target: t.Name, Born: t.Born})
	}
	d.groups = append(d.groups, g)
	d.hold(c.members)
	d.note(fmt.Sprintf("group %s formed for %s, %d loads, share of the work %.2f", groupKey(g), g.Model, c.loads, in.share(c.model)))
}
