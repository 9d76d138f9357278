package rudderplacement

import (
	"cmp"
	"slices"
	"time"

	"comfreyrudder.example/rudderd/rudderroster"
	"comfreyrudder.example/rudderd/rudderroute"
)

const (
	// refusedMuch is the part of a model's work from which on it is short of groups when that part is refused, and refusedStill
	// that down to which it remains so. Up to refusedLittle, a model has room.
	refusedMuch, refusedStill, refusedLittle = 0.05, 0.025, 0.01
	// moveMargin is the ratio by which the work for each group of the model that gets targets must exceed that of the other one
	// after the move. A move back would need the opposite, so that two moves do not alternate at the same demand.
	moveMargin = 1.1
	// domainsPerMove is the number of fabric domains of a service for each move that may be under way at once.
	domainsPerMove = 4
)

// move is a change of the groups of one domain: groups of a model end so that others of another model form.
type move struct {
	domain *domain
	to     rudderroute.Model
	groups []rudderroster.Group
	lacks  int // members without the weights of the other model
}

// planMoves starts a move that is ready, or records the loads for one that is being prepared.
func (in *Input) planMoves(domains []*domain, counts map[string]int) {
	clear(in.State.preparing)
	to, from, held := in.shortage(counts)
	underWay := in.movesUnderWay(domains)
	if to.Size == 0 || underWay >= max(1, len(domains)/domainsPerMove) {
		return
	}
	prepare := in.disturbance(to)
	m := in.nextMove(domains, to, from, counts, underWay)
	if m == nil || held < prepare {
		return
	}
	if in.Service.Engine.MaxStagedModels > 0 && m.lacks > 0 {
		for _, g := range m.groups {
			for _, member := range g.Members {
				in.State.preparing[member.Target] = stagingLoad{member.Born, to.Name}
			}
		}
		return
	}
	hold := prepare + leavingGrace/2 // half of the time that groups may take to finish their requests
	if m.lacks > 0 {
		hold += to.LoadTime // the targets serve nobody meanwhile
	}
	if held >= hold {
		for _, g := range m.groups {
			counts[g.Model]--
			in.donate(m.domain, g, movePrefix+to.Name)
		}
		in.State.moved[to.Name] = in.Now
	}
}

// shortOfGroups reports whether a model refuses much of its work, and more than twice as much as each other one. A spare target
// serves nobody meanwhile, so its groups may use the last ones.
func (in *Input) shortOfGroups(m rudderroute.Model) bool {
	refused := in.Refused[m.Name]
	return refused >= refusedMuch && !slices.ContainsFunc(in.Service.Engine.Models, func(other rudderroute.Model) bool {
		return other.Name != m.Name && 2*in.Refused[other.Name] > refused
	})
}

// moveStaging returns the loads for a move that is being prepared, of members that still serve.
func (in *Input) moveStaging(d *domain) []staging {
	var list []staging
	for _, g := range d.groups {
		for _, member := range g.Members {
			load := in.State.preparing[member.Target]
			if m, known := in.Service.Engine.Model(load.model); known && load.born == member.Born && in.steady(g) {
				list = append(list, in.memberStaging(rudderroster.Group{Members: []rudderroster.Member{member}}, m)...)
			}
		}
	}
	return list
}

// disturbance returns how long the targets of a move serve nobody once their groups have ended, if they have the weights.
func (in *Input) disturbance(to rudderroute.Model) time.Duration {
	return to.StagedLoadTime + in.Service.Engine.FormTime
}

// shortage returns the model that refuses the largest part of its work while another one, from, has room, and for how long that has
// been so. A model that has got targets by a move does not give any before it had the time to load and use them.
func (in *Input) shortage(counts map[string]int) (to, from rudderroute.Model, d time.Duration) {
	for _, m := range in.Service.Engine.Models {
		least := refusedMuch
		if _, short := in.State.shortages[m.Name]; short {
			least = refusedStill
		}
		if in.Demand[m.Name] > 0 && in.Refused[m.Name] >= max(least, in.Refused[to.Name]) {
			to = m
		}
	}
	least := 0.0
	for _, m := range in.Service.Engine.Models {
		demand, known := in.Demand[m.Name]
		movedAt, moved := in.State.moved[m.Name]
		if m.Name == to.Name || !known || in.Refused[m.Name] > refusedLittle || counts[m.Name] < 2 || moved && in.Now-movedAt < 2*(m.LoadTime+leavingGrace) {
			continue
		}
		if load := demand / float64(counts[m.Name]); from.Size == 0 || load < least {
			from, least = m, load
		}
	}
	if !in.Traffic || to.Size == 0 || from.Size == 0 {
		clear(in.State.shortages)
		return rudderroute.Model{}, from, 0
	}
	since, known := in.State.shortages[to.Name]
	if !known {
		clear(in.State.shortages)
		since = in.Now
		in.State.shortages[to.Name] = since
	}
	return to, from, in.Now - since
}

// movesUnderWay counts the domains in which groups end for another model.
func (in *Input) movesUnderWay(domains []*domain) int {
	n := 0
	for _, d := range domains {
		if slices.ContainsFunc(d.groups, func(g rudderroster.Group) bool { _, donated := receiver(g.Reason); return g.Retiring && donated }) {
			n++
		}
	}
	return n
}

// nextMove returns the move with the fewest loads that leaves the work more evenly divided, or nil.
func (in *Input) nextMove(domains []*domain, to, from rudderroute.Model, counts map[string]int, underWay int) *move {
	var best *move
	for _, d := range domains {
		m := in.moveIn(d, to, from)
		if m == nil || !in.pays(m, to, from, counts, underWay) {
			continue
		}
		if best == nil || cmp.Or(cmp.Compare(len(best.groups), len(m.groups)), cmp.Compare(best.lacks, m.lacks)) > 0 {
			best = m
		}
	}
	return best
}

// moveIn returns the move of a domain with the fewest groups that makes room for a group of the model to, or nil. The domain keeps
// a spare if it has one, and a domain in which a group forms or ends is left alone.
func (in *Input) moveIn(d *domain, to, from rudderroute.Model) *move {
	if d.evacuated {
		return nil
	}
	m := &move{domain: d, to: to}
	var groups []rudderroster.Group
	for _, g := range d.groups {
		if !in.steady(g) {
			return nil
		}
		if g.Model == from.Name {
			groups = append(groups, g)
		}
	}
	slices.SortStableFunc(groups, func(a, b rudderroster.Group) int { return cmp.Compare(in.prepared(b, to), in.prepared(a, to)) })
	room := d.room - min(d.room, reserve)
	for _, g := range groups {
		if room >= to.Size {
			break
		}
		m.groups = append(m.groups, g)
		m.lacks += len(g.Members) - in.staged(g, to)
		room += len(g.Members)
	}
	if room < to.Size || len(m.groups) == 0 {
		return nil
	}
	return m
}

// pays reports whether a group of the model that gets the targets has more work than one of the other model will have, by
// moveMargin. The groups that form at the end of the moves under way count for it.
func (in *Input) pays(m *move, to, from rudderroute.Model, counts map[string]int, underWay int) bool {
	left := counts[from.Name] - len(m.groups)
	if left < 1 {
		return false
	}
	return in.Demand[to.Name]/float64(max(counts[to.Name]+underWay, 1)) >= moveMargin*in.Demand[from.Name]/float64(left)
}
