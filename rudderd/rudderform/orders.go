package rudderform

import (
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
		for _, g := range d.groups {
			if g.Retiring {
				orders = append(orders, in.release(g)...)
			} else {
				orders = append(orders, in.assemble(g)...)
			}
		}
	}
	orders = append(orders, in.stage(domains)...)
	due := orders[:0]
	for _, o := range orders {
		if in.Memory.due(in.Now, o.Target, o.Order) {
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
		t := in.Targets[m.Target]
		if t == nil || t.Born != m.Born {
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
		orders = append(orders, in.order(in.Targets[g.Members[0].Target], open, "every member is ready"))
	}
	return orders
}

// release makes the leader let go of a retiring group. When the leader does not answer, the other members
// leave, so that it stands still and breaks.
func (in *Input) release(g rudderroster.Group) []Order {
	leader := in.Targets[g.Members[0].Target]
	in.Memory.retiredSince(in.Now, g)
	if leader != nil && g.Graceful && inGroup(leader, g) && leader.Membership.Phase != ruddertarget.GroupReady {
		if leader.Membership.Phase == ruddertarget.GroupClosing {
			return nil
		}
		return []Order{in.order(leader, ruddertarget.GroupOrder{Kind: ruddertarget.OrderClose, Group: g.Name, Epoch: g.Epoch}, g.Reason)}
	}
	leave := leaveOrder(g)
	if leader != nil && !in.Dead(leader) {
		return []Order{in.order(leader, leave, g.Reason)}
	}
	var orders []Order
	if leader != nil {
		orders = append(orders, in.order(leader, leave, g.Reason))
	}
	for _, m := range g.Members[1:] {
		if t := in.Targets[m.Target]; t != nil && t.Born == m.Born && !in.Dead(t) {
			orders = append(orders, in.order(t, leave, "leader is not reachable"))
		}
	}
	return orders
}

func (in *Input) order(t *rudderview.Target, o ruddertarget.GroupOrder, reason string) Order {
	return Order{Target: t.Name, Address: t.Address, Order: o, Reason: reason}
}

// stage fetches weights onto free targets, so that they can replace a lost member within seconds.
func (in *Input) stage(domains []*domain) []Order {
	if in.Service.Engine.Staged < 1 {
		return nil
	}
	running := in.loading(domains)
	var orders []Order
	for _, d := range domains {
		spares := map[string]int{}
		for _, t := range d.free {
			for _, m := range in.Service.Engine.Models {
				if warm(t, m.Name) {
					spares[m.Name]++
				}
			}
		}
		for _, t := range d.free {
			if len(t.Staged) > 0 || t.Model != "" {
				continue
			}
			model := in.neededSpare(d, spares)
			if model == "" {
				continue
			}
			o := in.order(t, ruddertarget.GroupOrder{Kind: ruddertarget.OrderStage, Model: model}, "spare of the domain")
			spares[model]++
			if running >= in.Service.Engine.LoadsAtOnce || !in.Memory.due(in.Now, o.Target, o.Order) {
				running++
				continue
			}
			if in.Traffic && !in.Memory.loads.take(in.Now, in.Service.Engine.LoadsPerSecond, 1) {
				return orders
			}
			running++
			orders = append(orders, o)
		}
	}
	return orders
}

// neededSpare returns the model whose groups in the domain have the fewest spares for each member.
func (in *Input) neededSpare(d *domain, spares map[string]int) string {
	members := map[string]int{}
	for _, g := range d.groups {
		members[g.Model] += len(g.Members)
	}
	best, most := "", 0.0
	for _, m := range in.Service.Engine.Models {
		if need := float64(members[m.Name]) / float64(1+spares[m.Name]); need > most {
			best, most = m.Name, need
		}
	}
	return best
}
