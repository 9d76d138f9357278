package rudderplacement

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"comfreyrudder.example/rudderd/rudderroster"
	"comfreyrudder.example/rudderd/rudderroute"
	"comfreyrudder.example/rudderd/rudderview"
)

// candidate is a possible new group in a domain.
type candidate struct {
	domain  *domain
	model   rudderroute.Model
	members []*rudderview.Target
	loads   int // members that must load weights from the weight store
}

const (
	// arrivalTime is how long after the last new target a domain forms groups only of the model with the
	// largest deficit. The targets of a whole domain come back one by one, and small groups formed early would
	// leave no room for a large one.
	arrivalTime = 700 * time.Millisecond
	// reserve is the number of targets per domain that are kept free to replace lost members.
	reserve = 1
	// reserveWaiver is the ratio between a model's deficit and the largest other one from which it may use the
	// reserve.
	reserveWaiver = 1.5
)

// form places new groups in the domains, those of the model with the largest deficit first, and plans the ones
// that can start now. For a group whose members are not free yet, or whose loads must wait, it only reserves
// the targets.
func (in *Input) form(domains []*domain) {
	counts := in.counts(domains)
	loading := in.loading(domains)
	for _, d := range domains {
		d.room = in.room(d)
		in.findReceiver(d)
		d.recentlyGrown = in.State.recentlyGrown(in.Now, d.name, d.size)
	}
	in.useReserves(domains, counts)
	in.planMoves(domains, counts)
	for {
		best := in.best(domains, counts)
		if best == nil {
			return
		}
		best.domain.room -= best.model.Size
		if !best.domain.evacuated {
			counts[best.model.Name]++
		}
		switch {
		case len(best.members) < best.model.Size, best.loads > 0 && (!in.Settled || !in.mayLoad(best, loading)):
			best.domain.exclude(best.members)
		default:
			loading += best.loads
			in.add(best)
		}
	}
}

// room returns the number of usable targets of a domain that no remaining group needs. Members of groups that
// end are included.
func (in *Input) room(d *domain) int {
	room := d.size
	for _, g := range d.groups {
		if r := in.State.retirements[groupKey(g)]; r == nil || r.unconfirmed {
			room -= len(g.Members) - in.leavingMembers(g)
		}
	}
	return room
}

// exclude removes targets from the free list for the rest of the step.
func (d *domain) exclude(members []*rudderview.Target) {
	d.free = slices.DeleteFunc(d.free, func(t *rudderview.Target) bool { return slices.Contains(members, t) })
}

// counts returns the number of groups by model that get requests, without those marked as retiring.
func (in *Input) counts(domains []*domain) map[string]int {
	counts := map[string]int{}
	for _, d := range domains {
		for _, g := range d.groups {
			if !d.evacuated && (!g.Retiring || g.Unconfirmed) {
				counts[g.Model]++
			}
		}
	}
	return counts
}

// loading counts the planned members that do not have their model's weights yet.
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

// mayLoad reports whether the candidate's loads may start now. It limits their rate and the number that run at
// once: above LoadsAtOnce, which run at full speed, further loads only slow down the others.
func (in *Input) mayLoad(c *candidate, loading int) bool {
	if c.loads == 0 {
		return true
	}
	if loading > 0 && loading >= in.Service.Engine.LoadsAtOnce {
		return false
	}
	return !in.Traffic || in.State.loads.take(in.Now, in.Service.Engine.LoadsPerSecond, c.loads)
}

// deficit returns how much a model needs another group: its part of the work divided by the number of groups
// that it would then have.
func (in *Input) deficit(model rudderroute.Model, groups int) float64 {
	return in.share(model) / float64(groups+1)
}

// share returns a model's part of the work, measured in group time; the configuration states it in target time,
// so it is divided by the group size. If the demand was measured, the result is the mean of both, because the
// measurement covers only a few seconds.
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
			compareBool(best.domain.evacuated, c.domain.evacuated), // groups that get no requests can wait
			compareBool(c.domain.receiver == c.model.Name, best.domain.receiver == best.model.Name),
			cmp.Compare(in.value(c, counts), in.value(best, counts)),
			compareBool(len(c.members) == c.model.Size, len(best.members) == best.model.Size),
			cmp.Compare(best.loads, c.loads),
			// The domain with the least room comes first, so that others keep room for larger groups.
			cmp.Compare(best.domain.room, c.domain.room),
		) > 0
	}
	for _, m := range in.Service.Engine.Models {
		kept, top := in.requiredReserve(m, counts)
		for _, d := range domains {
			if !d.accepts(m, kept, top) {
				continue
			}
			c := in.candidate(d, m, counts)
			if c == nil || c.loads > 0 && in.Traffic && counts[m.Name] > 0 && d.room < m.Size+reserve && !in.shortOfGroups(m) {
				continue // a group that must load first is not worth the last spares
			}
			if better(c) {
				best = c
			}
		}
	}
	return best
}

// accepts reports whether a new group of a model may be placed in the domain. kept and top are those of requiredReserve.
func (d *domain) accepts(m rudderroute.Model, kept int, top bool) bool {
	if d.receiver == m.Name {
		kept = 0
	}
	return m.Size >= 1 && d.room >= m.Size+kept && (top || !d.recentlyGrown)
}

// loadDiscount is the value of a group that must load weights first, relative to one that serves within
// seconds.
const loadDiscount = 0.5

// value ranks candidates by the deficit of their model, discounted for those that must load weights. Before the
// first request there is time for loads, and only the balance between the models counts.
func (in *Input) value(c *candidate, counts map[string]int) float64 {
	value := in.deficit(c.model, counts[c.model.Name])
	if c.loads > 0 && in.Traffic {
		value *= loadDiscount
	}
	return value
}

// requiredReserve returns the number of targets that a new group of a model must leave free in its domain. top
// reports whether no other model has a larger deficit.
func (in *Input) requiredReserve(m rudderroute.Model, counts map[string]int) (kept int, top bool) {
	own, most := in.deficit(m, counts[m.Name]), 0.0
	for _, other := range in.Service.Engine.Models {
		if other.Name != m.Name {
			most = max(most, in.deficit(other, counts[other.Name]))
		}
	}
	if counts[m.Name] == 0 || own >= reserveWaiver*most || in.shortOfGroups(m) {
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

// candidate chooses members for a group of the model in a domain, warm targets first. Targets with the weights
// of a model that needs them about as much are left out, so that they can form its next group when another
// target registers. The candidate has fewer members than the model's size if it needs targets of groups that
// have not ended yet.
func (in *Input) candidate(d *domain, m rudderroute.Model, counts map[string]int) *candidate {
	own := in.deficit(m, counts[m.Name])
	var free []*rudderview.Target
	kept := 0
	for _, t := range d.free {
		if in.neededElsewhere(d, t, m, own, counts) {
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

// conversionFactor is the ratio between two models' deficits from which targets with the weights of one model
// load those of the other. Once its targets are converted, a large group seldom finds room again.
const conversionFactor = 1.6

// reachable is the part of a group's targets that must be free for the others to be expected soon. Targets with the
// weights of a model that needs many more would wait for it forever.
const reachable = 0.5

// neededElsewhere reports whether a target has only the weights of another model whose next group is within reach in
// the domain and whose deficit is within conversionFactor of m's. It is false before the first request, when loads
// cost little.
func (in *Input) neededElsewhere(d *domain, t *rudderview.Target, m rudderroute.Model, own float64, counts map[string]int) bool {
	if warm(t, m.Name) {
		return false
	}
	other, known := in.Service.Engine.Model(in.weights(t))
	if !known || d.size+d.unregistered < other.Size || float64(d.room+d.unregistered) < reachable*float64(other.Size) {
		return false
	}
	return in.Traffic && in.deficit(other, counts[other.Name])*conversionFactor > own
}

// stagingFor reports whether a target was ordered to stage the weights of a model.
func (in *Input) stagingFor(t *rudderview.Target, model string) bool {
	staging := in.State.staging[t.Name]
	return staging.born == t.Born && staging.model == model
}

// nextEpoch returns the epoch of new groups in a domain. It derives from the revision on which the plan's write is
// conditional, so that it rises with each write of the plan. After a restore of the key-value service it is above all
// epochs of before, which targets may have seen although the plans are lost.
func (in *Input) nextEpoch(d *domain) int64 { return max(d.stored.Revision, in.EraStart) + 1 }

// add adds a candidate to its domain's plan.
func (in *Input) add(c *candidate) {
	d := c.domain
	epoch := in.nextEpoch(d)
	g := rudderroster.Group{Name: fmt.Sprintf("%s-%s-%d", in.Service.Name, d.name, len(d.groups)), Epoch: epoch, Model: c.model.Name}
	for i := len(d.groups); slices.ContainsFunc(d.groups, func(other rudderroster.Group) bool { return other.Name == g.Name }); i++ {
		g.Name = fmt.Sprintf("%s-%s-%d", in.Service.Name, d.name, i)
	}
	for _, t := range c.members {
		g.Members = append(g.Members, rudderroster.Member{Target: t.Name, Born: t.Born})
		if !in.stagingFor(t, c.model.Name) {
			delete(in.State.staging, t.Name) // the group's weights may replace the staged ones
		}
	}
	d.groups = append(d.groups, g)
	d.exclude(c.members)
	d.note(fmt.Sprintf("group %s formed for model %s: %d loads, share of the work %.2f", groupKey(g), g.Model, c.loads, in.share(c.model)))
}
