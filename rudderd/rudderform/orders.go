package rudderform

import (
	"maps"
	"slices"
	"time"

	"comfreyrudder.example/rudderd/rudderroster"
	"comfreyrudder.example/rudderd/rudderview"
	"comfreyrudder.example/shared/ruddertarget"
)

// Orders returns the orders that lead from the targets' own word to the stored plans, and the loads that
// stage weights on free targets. Orders that were sent lately are left out.
func Orders(in Input) []Order {
	var orders []Order
	domains := in.domains()
	for _, d := range domains {
		in.findFree(d)
		for _, leader := range d.stray {
			orders = append(orders, in.order(leader, strayLeave(leader), "its group is not planned"))
		}
		for _, t := range d.orphans {
			if t.Membership.Group != "" {
				orders = append(orders, in.order(t, in.State.orphans[t.Name].leave(), "the leader of its group is not known"))
			}
		}
		for _, g := range d.groups {
			if r := in.retirement(d, g); r != nil {
				orders = append(orders, in.release(g, r)...)
			} else {
				orders = append(orders, in.assemble(g)...)
			}
		}
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

// assemble makes the members join, and opens the leader when all of them say that they are ready.
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

// release makes the leader let go of a group that ends. When the leader does not answer, the other members
// leave, so that it stands still and breaks.
func (in *Input) release(g rudderroster.Group, r *retirement) []Order {
	leader := in.member(g.Members[0])
	if r.graceful > 0 {
		return in.finish(g, r, leader)
	}
	leave := leaveOrder(g)
	var orders []Order
	if leader != nil {
		orders = append(orders, in.order(leader, leave, r.reason))
	}
	if in.leaderDead(g) || in.Now-r.since > leaderPatience {
		for _, m := range g.Members[1:] {
			if t := in.member(m); t != nil && !in.Dead(t) && !in.State.done(m.Target, leave) {
				orders = append(orders, in.order(t, leave, "leader is not reachable"))
			}
		}
	}
	return orders
}

// leaderPatience is the time without a leader's answer after which the other members leave.
const leaderPatience = 2 * time.Second

// finish closes the leader, and takes the group apart when the leader has nothing left to do.
func (in *Input) finish(g rudderroster.Group, r *retirement, leader *rudderview.Target) []Order {
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

// stage fetches weights onto free targets, so that they can replace a lost member within seconds, and so
// that the first groups need no load of their own.
func (in *Input) stage(domains []*domain) []Order {
	engine := in.Service.Engine
	if engine.MaxStagedModels < 1 {
		return nil
	}
	limit := engine.LoadsAtOnce
	if !in.Traffic {
		limit *= earlyLoads
	}
	running, counts := in.loading(domains), in.counts(domains)
	var orders []Order
	for _, d := range domains {
		for _, w := range in.wantedStaging(d, counts) {
			if !w.begun {
				if running >= limit || in.Traffic && !in.State.loads.take(in.Now, engine.LoadsPerSecond, 1) {
					return orders
				}
				in.State.staging[w.target.Name] = stagingLife{born: w.target.Born, model: w.model}
			}
			running++
			orders = append(orders, in.order(w.target, ruddertarget.GroupOrder{Kind: ruddertarget.OrderStage, Model: w.model}, "spare of the domain"))
		}
	}
	return orders
}

// staging is a load that a free target should make or makes.
type staging struct {
	target *rudderview.Target
	model  string
	begun  bool
}

// wantedStaging lists the loads under way on the free targets of a domain and those that should begin:
// in place of members that leave, on targets without weights, and on one of several spares of a model where another model has none.
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
		if model := in.neededSpare(d, spares); model != "" {
			spares[model]++
			list = append(list, staging{target: t, model: model})
		}
	}
	if in.Settled && len(d.groups) > 0 && len(empty) == 0 {
		if t, model := in.exchange(d, spares, holders); t != nil {
			list = append(list, staging{target: t, model: model})
		}
	}
	return list
}

// exchange finds a spare that should have the weights of a model that has no spare: it would be needed more
// than the spare that is given up.
func (in *Input) exchange(d *domain, spares map[string]int, holders map[string]*rudderview.Target) (*rudderview.Target, string) {
	wanted := in.neededSpare(d, spares)
	if wanted == "" || spares[wanted] > 0 {
		return nil, ""
	}
	for model, t := range holders {
		without := maps.Clone(spares)
		without[model]--
		if model != wanted && in.neededSpare(d, without) == wanted {
			return t, wanted
		}
	}
	return nil, ""
}

// earlyLoads is how many times more loads run at once before the first request than run at full speed: the
// weight store is kept busy while the targets' records lag.
const earlyLoads = 2

// weights returns the model whose weights a target has, or "".
func (in *Input) weights(t *rudderview.Target) string {
	for _, m := range in.Service.Engine.Models {
		if warm(t, m.Name) {
			return m.Name
		}
	}
	return ""
}

// neededSpare returns the model that has the fewest spares for its members in the domain, and for the group
// that the free targets could form.
func (in *Input) neededSpare(d *domain, spares map[string]int) string {
	members := map[string]int{}
	for _, g := range d.groups {
		members[g.Model] += len(g.Members)
	}
	best, most := "", 0.0
	for _, m := range in.Service.Engine.Models {
		weight := members[m.Name]
		if m.Size <= len(d.free) {
			weight = max(weight, m.Size) // another group may be formed here
		}
		need := float64(weight) / float64(1+spares[m.Name])
		if need > most || need > 0 && need == most && spares[m.Name] < spares[best] {
			best, most = m.Name, need
		}
	}
	return best
}
