package rudderform

import (
	"cmp"
	"fmt"
	"slices"

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

// form builds groups from free targets, those of the model with the greatest lack first. Groups that need
// no load come before all others: they serve within seconds.
func (in *Input) form(domains []*domain) {
	counts := in.counts(domains)
	loading := in.loading(domains)
	for {
		best := in.best(domains, counts)
		if best == nil || best.loads > 0 && !in.Settled || !in.mayLoad(best, loading) {
			return
		}
		loading += best.loads
		counts[best.model.Name]++
		in.add(best)
	}
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
	return !in.Traffic || in.Memory.loads.take(in.Now, in.Service.Engine.LoadsPerSecond, c.loads)
}

// lack is how much a model needs another group: its part of the work for each group that it would have.
func (in *Input) lack(model rudderroute.Model, groups int) float64 {
	share, known := in.Demand[model.Name]
	if !known {
		share = model.Share
	}
	return share / float64(groups+1)
}

// best returns the group to form next, or nil.
func (in *Input) best(domains []*domain, counts map[string]int) *candidate {
	var best *candidate
	better := func(c *candidate) bool {
		if best == nil {
			return true
		}
		return cmp.Or(
			compareBool(c.loads == 0, best.loads == 0),
			cmp.Compare(in.lack(c.model, counts[c.model.Name]), in.lack(best.model, counts[best.model.Name])),
			cmp.Compare(best.loads, c.loads),
			cmp.Compare(len(c.domain.free), len(best.domain.free)),
		) > 0
	}
	for _, d := range domains {
		for _, m := range in.Service.Engine.Models {
			if c := in.candidate(d, m); c != nil && better(c) {
				best = c
			}
		}
	}
	return best
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

// candidate chooses members for a group of the model in a domain, those with its weights first.
func (in *Input) candidate(d *domain, m rudderroute.Model) *candidate {
	if m.Size < 1 || len(d.free) < m.Size {
		return nil
	}
	free := slices.Clone(d.free)
	slices.SortStableFunc(free, func(a, b *rudderview.Target) int {
		return cmp.Or(
			-compareBool(a.Model == m.Name, b.Model == m.Name),
			-compareBool(warm(a, m.Name), warm(b, m.Name)),
			compareBool(len(a.Staged) > 0, len(b.Staged) > 0),
		)
	})
	c := &candidate{domain: d, model: m, members: free[:m.Size]}
	for _, t := range c.members {
		if !warm(t, m.Name) {
			c.loads++
		}
	}
	return c
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
	d.free = slices.DeleteFunc(d.free, func(t *rudderview.Target) bool { return slices.Contains(c.members, t) })
	d.note(fmt.Sprintf("group %s formed for %s, %d loads", groupKey(g), g.Model, c.loads))
}
