package rudderplacement

import (
	"maps"
	"slices"
	"time"

	"comfreyrudder.example/rudderd/rudderroster"
	"comfreyrudder.example/rudderd/rudderview"
	"comfreyrudder.example/shared/ruddertarget"
)

// Orders returns the orders that bring the targets from their reported state to the stored plans, and the stage
// orders for free targets. Orders that were sent recently are left out.
func Orders(in Input) []Order {
	var orders []Order
	domains := in.domains()
	for _, d := range domains {
		in.findFree(d)
		for _, leader := range d.unplannedLeaders {
			orders = append(orders, in.order(leader, unplannedLeave(leader), "its group is not planned"))
		}
		for _, t := range d.orphans {
			if t.Membership.Group != "" {
				orders = append(orders, in.order(t, in.State.orphans[t.Name].leave(), "leader of its group is unknown"))
			}
		}
		for _, g := range d.groups {
			if r := in.retirement(d, g); r != nil {
				if in.awaitsReserve(d, g, r) {
					continue
				}
				orders = append(orders, in.release(g, r)...)
			} else {
				orders = append(orders, in.assemble(g)...)
			}
		}
	}
	for _, d := range domains {
		d.room = in.room(d)
	}
	orders = append(orders, in.stage(domains)...)
	due := orders[:0]
	for _, o := range orders {
		if in.State.due(in.Now, o.Target, o.Order) {
			due = append(due, o)
		}
	}
	return due
}

// assemble orders the members to join, and opens the leader once every member reports that it is ready.
func (in *Input) assemble(g rudderroster.Group) []Order {
	var orders []Order
	ready := 0
	join := ruddertarget.GroupOrder{Kind: ruddertarget.OrderJoin, Group: g.Name, Epoch: g.Epoch, Model: g.Model, Members: g.Names()}
	for rank, m := range g.Members {
		t := in.member(m)
		if t == nil {
			return nil
		}
		switch {
		case !inGroup(t, g):
			orders = append(orders, in.order(t, join, "planned member"))
		case t.Membership.Rank != rank || t.Membership.Phase == ruddertarget.GroupJoining:
		case t.Membership.Phase == ruddertarget.GroupReady:
			ready++
		}
	}
	if ready == len(g.Members) {
		open := ruddertarget.GroupOrder{Kind: ruddertarget.OrderOpen, Group: g.Name, Epoch: g.Epoch}
		orders = append(orders, in.order(in.member(g.Members[0]), open, "every member is ready"))
	}
	return orders
}

// release ends a group by an order to its leader. When the leader does not answer, the other members are
// ordered to leave: the leader then stalls and reports the group as broken.
func (in *Input) release(g rudderroster.Group, r *retirement) []Order {
	leader := in.member(g.Members[0])
	if r.unconfirmed {
		return nil
	}
	if r.graceful > 0 {
		return in.drainGroup(g, r, leader)
	}
	leave, sent := leaveOrder(g), in.leaveSent(g)
	var orders []Order
	if leader != nil {
		orders = append(orders, in.order(leader, leave, r.reason))
	}
	if in.leaderLost(g) || in.Now-r.ending > leaderTimeout {
		for _, m := range g.Members[1:] {
			if t := in.member(m); t != nil && !in.Dead(t) && !in.State.done(m.Target, leave) {
				orders = append(orders, in.order(t, leave, "leader is not reachable"))
			}
		}
	}
	for i := range orders {
		if !sent {
			orders[i].Silent = r.silent
		}
	}
	return orders
}

// leaderTimeout is the time without a leader's answer after which the other members are ordered to leave.
const leaderTimeout = 2 * time.Second

// drainGroup closes the leader, and ends the group once the leader has finished its requests.
func (in *Input) drainGroup(g rudderroster.Group, r *retirement, leader *rudderview.Target) []Order {
	switch {
	case leader == nil || !inGroup(leader, g):
		return nil
	case leader.Membership.Phase == ruddertarget.GroupOpen:
		return []Order{in.order(leader, ruddertarget.GroupOrder{Kind: ruddertarget.OrderClose, Group: g.Name, Epoch: g.Epoch}, r.reason)}
	case leader.Membership.Phase == ruddertarget.GroupClosing:
		return nil
	}
	return []Order{in.order(leader, leaveOrder(g), r.reason)}
}

func (in *Input) order(t *rudderview.Target, o ruddertarget.GroupOrder, reason string) Order {
	return Order{Target: t.Name, Address: t.Address, Order: o, Reason: reason}
}

// stage loads weights onto free targets, so that they can replace a lost member within seconds and the first
// groups form without a load.
func (in *Input) stage(domains []*domain) []Order {
	engine := in.Service.Engine
	if engine.MaxStagedModels < 1 {
		return nil
	}
	limit := engine.LoadsAtOnce
	if !in.Traffic {
		limit *= earlyLoadFactor
	}
	running, counts := in.loading(domains), in.counts(domains)
	var orders []Order
	domains = slices.Clone(domains)
	slices.SortStableFunc(domains, func(a, b *domain) int { return compareBool(a.evacuated, b.evacuated) })
	var wanted, reserves []staging
	for _, d := range domains {
		wanted = append(wanted, in.wantedStaging(d, counts)...)
		if !d.evacuated {
			reserves = append(reserves, in.moveStaging(d)...)
			reserves = append(reserves, in.reserveStaging(d, counts)...)
		}
	}
	wanted = append(wanted, reserves...)
	for _, w := range wanted {
		if w.begun {
			running++
		}
	}
	for _, w := range wanted {
		load := ruddertarget.GroupOrder{Kind: ruddertarget.OrderStage, Model: w.model}
		if !w.begun {
			if running >= limit || in.Traffic && !in.State.loads.take(in.Now, engine.LoadsPerSecond, 1) {
				continue
			}
			running++
			in.State.staging[w.target.Name] = stagingLoad{born: w.target.Born, model: w.model}
			delete(in.State.orders, orderKey(w.target.Name, load)) // the weights of an earlier load were replaced since
		}
		orders = append(orders, in.order(w.target, load, "weights for a spare target"))
	}
	return orders
}

// staging is a load on a free target that should start or is under way.
type staging struct {
	target *rudderview.Target
	model  string
	begun  bool
}

// wantedStaging returns the loads under way on the free targets of a domain and those that should start: for
// replacements of leaving members, on targets without weights, and on one of several spares of a model when
// another model has none.
func (in *Input) wantedStaging(d *domain, counts map[string]int) []staging {
	var list []staging
	var empty []*rudderview.Target
	spares, holders := map[string]int{}, map[string]*rudderview.Target{}
	for _, t := range d.free {
		begun := in.State.staging[t.Name]
		switch {
		case begun.born == t.Born && begun.model != "" && !slices.Contains(t.Staged, begun.model):
			spares[begun.model]++
			list = append(list, staging{target: t, model: begun.model, begun: true})
		case in.weights(t) != "":
			spares[in.weights(t)]++
			holders[in.weights(t)] = t
		default:
			empty = append(empty, t)
		}
	}
	replacing, empty := in.replacements(d, counts, spares, empty, holders)
	list = append(list, replacing...)
	for _, t := range empty {
		if model := in.mostNeededSpare(d, spares); model != "" {
			spares[model]++
			list = append(list, staging{target: t, model: model})
		}
	}
	if in.Settled && len(d.groups) > 0 && len(empty) == 0 {
		if t, model := in.convertSpare(d, spares, holders); t != nil {
			list = append(list, staging{target: t, model: model})
		}
	}
	return list
}

// convertSpare finds a spare that should load the weights of a model without spares, because that model would
// need it more than its own. It returns nil if there is none.
func (in *Input) convertSpare(d *domain, spares map[string]int, holders map[string]*rudderview.Target) (*rudderview.Target, string) {
	wanted := in.mostNeededSpare(d, spares)
	if wanted == "" || spares[wanted] > 0 {
		return nil, ""
	}
	for model, t := range holders {
		without := maps.Clone(spares)
		without[model]--
		if model != wanted && in.mostNeededSpare(d, without) == wanted {
			return t, wanted
		}
	}
	return nil, ""
}

// earlyLoadFactor multiplies LoadsAtOnce before the first request: it keeps the weight store busy while the
// targets' records lag behind their loads.
const earlyLoadFactor = 2

// weights returns the first configured model whose weights a target has, or "".
func (in *Input) weights(t *rudderview.Target) string {
	for _, m := range in.Service.Engine.Models {
		if warm(t, m.Name) {
			return m.Name
		}
	}
	return ""
}

// mostNeededSpare returns the model with the fewest spares in relation to its members in the domain, or to the
// size of a group that the free targets could form. The first spare goes to the model whose lost members cost most: each
// stops a whole group.
func (in *Input) mostNeededSpare(d *domain, spares map[string]int) string {
	members, total := map[string]int{}, 0
	for _, n := range spares {
		total += n
	}
	for _, g := range d.groups {
		members[g.Model] += len(g.Members)
	}
	best, most := "", 0.0
	for _, m := range in.Service.Engine.Models {
		weight := members[m.Name]
		if m.Size <= len(d.free) {
			weight = max(weight, m.Size) // another group may be formed here
		}
		if total == 0 {
			weight *= m.Size
		}
		need := float64(weight) / float64(1+spares[m.Name])
		if need > most || need > 0 && need == most && spares[m.Name] < spares[best] {
			best, most = m.Name, need
		}
	}
	return best
}
